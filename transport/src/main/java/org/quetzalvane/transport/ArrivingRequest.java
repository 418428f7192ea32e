package org.quetzalvane.transport;

import java.util.function.BooleanSupplier;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpUtil;
import org.quetzalvane.core.limit.MemoryAccount;

/**
 * The request that is being read on one connection, with what it holds of the memory of the node. Confined to the event
 * loop.
 */
final class ArrivingRequest {
    private final MemoryAccount memory;
    private final AccountedHeaders headers;
    private final BooleanSupplier makeRoom;
    private HttpRequest head;
    private RequestBody body;

    /**
     * Creates the state of a connection on which nothing has arrived.
     *
     * @param makeRoom gives memory of another request back to the account; returns false if there is none to give back
     */
    ArrivingRequest(MemoryAccount memory, AccountedHeaders headers, BooleanSupplier makeRoom) {
        this.memory = memory;
        this.headers = headers;
        this.makeRoom = makeRoom;
    }

    /** Whether the head of a request is complete and its end has not been read. */
    boolean hasHead() {
        return head != null;
    }

    /** Begins to read the body behind a head; returns false if it cannot be held. */
    boolean begin(HttpRequest r) {
        head = r;
        body = new RequestBody(memory.open(MemoryAccount.Kind.REQUEST_BODY));
        int length = (int) HttpUtil.getContentLength(r, 0L);
        return fits(() -> body.reserve(length));
    }

    /** Bytes of the body that have been read. */
    int bodyBytes() {
        return body.size();
    }

    /** Adds bytes of the body; returns false if they cannot be held. */
    boolean add(ByteBuf chunk) {
        return fits(() -> body.add(chunk));
    }

    /** Hands the request over, whole or without its body. */
    ServerExchange take(ServerConnection connection, ChannelHandlerContext ctx, boolean whole) {
        if (!whole) {
            body.close();
        }
        ServerExchange taken = new ServerExchange(connection, ctx, head, headers.takeHolding(), body, whole);
        head = null;
        body = null;
        return taken;
    }

    /** Gives back what the request holds, which is not handed over any more. */
    void release() {
        headers.close();
        if (body != null) {
            body.close();
        }
    }

    private boolean fits(BooleanSupplier hold) {
        while (!hold.getAsBoolean()) {
            if (!makeRoom.getAsBoolean()) {
                return false;
            }
        }
        return true;
    }
}
