package org.quetzalvane.transport;

import java.util.List;
import java.util.Set;
import java.util.function.IntConsumer;
import java.util.regex.Pattern;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseDecoder;
import io.netty.handler.codec.http.HttpVersion;

/**
 * Response decoder that accepts only status lines of HTTP, expects no body after a HEAD request, reports bytes that
 * arrive, and counts the status lines among those that it has read, up to the head that is accepted for a call.
 * Confined to the event loop.
 */
final class ResponseDecoder extends HttpResponseDecoder {
    private static final Set<HttpVersion> VERSIONS = Set.of(HttpVersion.HTTP_1_0, HttpVersion.HTTP_1_1);
    private static final Pattern STATUS = Pattern.compile("[1-5][0-9]{2}");
    /** Tabs, and all characters of ISO 8859-1 but control characters. */
    private static final Pattern REASON = Pattern.compile("[\\t\\x20-\\x7e\\x80-\\xff]*");

    private final IntConsumer arrived;
    private final Runnable afterRead;
    private final StatusLineCounter statusLines = new StatusLineCounter();
    private int headsRead;
    private boolean accepted;
    private boolean headRequest;

    /**
     * Creates a decoder.
     *
     * @param arrived receives the number of bytes that arrived, before they are read
     * @param afterRead called when they were read as far as possible
     */
    ResponseDecoder(IntConsumer arrived, Runnable afterRead) {
        this.arrived = arrived;
        this.afterRead = afterRead;
    }

    void startCall(boolean head) {
        headRequest = head;
        accepted = false;
        headsRead = 0;
        statusLines.reset();
    }

    /** The head read last belongs to the call; what follows may hold any text. */
    void acceptHead() {
        accepted = true;
    }

    /**
     * Whether each status line that was read is the beginning of a head, and each head begins with one; to be asked for
     * each part of a response.
     */
    boolean isInOrder(HttpObject part) {
        if (accepted) {
            return true;
        }
        boolean head = part instanceof HttpResponse;
        headsRead += head ? 1 : 0;
        return statusLines.count() == headsRead
                && (!head || VERSIONS.contains(((HttpResponse) part).protocolVersion()));
    }

    /** Whether bytes arrived that are not read yet. */
    boolean hasBytes() {
        return actualReadableBytes() > 0;
    }

    @Override
    public void channelRead(ChannelHandlerContext c, Object msg) throws Exception {
        arrived.accept(((ByteBuf) msg).readableBytes());
        super.channelRead(c, msg);
        afterRead.run();
    }

    @Override
    protected void decode(ChannelHandlerContext c, ByteBuf in, List<Object> out) throws Exception {
        int start = in.readerIndex();
        super.decode(c, in, out);
        if (!accepted) {
            statusLines.add(in, start, in.readerIndex());
        }
    }

    /** The library takes any integer for a status, with leading zeros or a sign as well. */
    @Override
    protected HttpMessage createMessage(String[] initialLine) {
        if (!STATUS.matcher(initialLine[1]).matches()
                || !REASON.matcher(initialLine[2]).matches()) {
            throw new IllegalArgumentException("no status line of HTTP");
        }
        return super.createMessage(initialLine);
    }

    @Override
    protected boolean isContentAlwaysEmpty(HttpMessage msg) {
        return headRequest && !msg.headers().contains(HttpHeaderNames.UPGRADE) || super.isContentAlwaysEmpty(msg);
    }
}
