package org.quetzalvane.transport;

import java.util.function.BooleanSupplier;

import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.DefaultHttpHeadersFactory;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpHeadersFactory;
import org.quetzalvane.core.limit.MemoryAccount;

/**
 * Makes the headers of the requests on one connection and charges each line, as it is read, to the memory account of
 * the node. The head and the trailers of a request are one holding. Confined to the event loop.
 */
final class AccountedHeaders {
    /**
     * Bytes that a header line takes beyond its text: two strings, an entry of the request that was read, one of the
     * request that is sent on, and the references to them.
     */
    private static final int LINE_BYTES = 256;

    private final MemoryAccount memory;
    private final BooleanSupplier makeRoom;
    private MemoryAccount.Holding holding;

    /**
     * Creates the headers of a connection.
     *
     * @param makeRoom gives memory of another request back to the account; returns false if there is none to give back
     */
    AccountedHeaders(MemoryAccount memory, BooleanSupplier makeRoom) {
        this.memory = memory;
        this.makeRoom = makeRoom;
        this.holding = memory.open(MemoryAccount.Kind.REQUEST_HEAD);
    }

    /** Factory for the headers of heads. */
    HttpHeadersFactory heads() {
        return new Factory(DefaultHttpHeadersFactory.headersFactory());
    }

    /** Factory for the headers behind the last chunk. */
    HttpHeadersFactory trailers() {
        return new Factory(DefaultHttpHeadersFactory.trailersFactory());
    }

    /** Hands over what the request holds that has just been read; later headers belong to the next one. */
    MemoryAccount.Holding takeHolding() {
        MemoryAccount.Holding taken = holding;
        holding = memory.open(MemoryAccount.Kind.REQUEST_HEAD);
        return taken;
    }

    /** Gives back what the request holds that is being read. */
    void close() {
        holding.close();
    }

    private void charge(CharSequence name, Object value) {
        long bytes =
                holding.bytes() + LINE_BYTES + name.length() + value.toString().length();
        while (!holding.tryHold(bytes)) {
            if (!makeRoom.getAsBoolean()) {
                throw new HeadRefusedException();
            }
        }
    }

    private final class Factory implements HttpHeadersFactory {
        private final DefaultHttpHeadersFactory validation;

        Factory(DefaultHttpHeadersFactory validation) {
            this.validation = validation;
        }

        @Override
        public HttpHeaders newHeaders() {
            return new Headers(validation);
        }

        @Override
        public HttpHeaders newEmptyHeaders() {
            return new Headers(validation);
        }
    }

    private final class Headers extends DefaultHttpHeaders {

        Headers(DefaultHttpHeadersFactory validation) {
            super(validation.getNameValidator(), validation.getValueValidator());
        }

        @Override
        public HttpHeaders add(CharSequence name, Object value) {
            charge(name, value);
            return super.add(name, value);
        }
    }
}
