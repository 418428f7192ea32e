package org.quetzalvane.transport;

import io.netty.handler.codec.http.HttpResponse;

/** Hears of one HTTP call on the event loop: a head, body parts, one end; or a failure at any point. */
public interface HttpReply {

    /** Whether a response answers this call; one that does not is passed over with its body. */
    default boolean belongs(HttpResponse head) {
        return true;
    }

    void head(HttpResponse head);

    void body(byte[] part);

    void end();

    /** The answer will not come or not be whole; {@code notSent} when no byte can have reached the server. */
    void failed(boolean notSent, String cause);
}
