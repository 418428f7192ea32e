package org.quetzalvane.transport;

import io.netty.handler.codec.http.HttpResponse;

/**
 * Listener for the response to one HTTP call, called on the event loop: one head, any number of body chunks, one end;
 * or a failure at any point.
 */
public interface HttpResponseListener {

    /**
     * Whether a response belongs to this call; one that does not is discarded with its body.
     *
     * @param firstOnConnection whether the connection carried no call before, so that the response can be to no other
     */
    default boolean matches(HttpResponse head, boolean firstOnConnection) {
        return true;
    }

    /** Called when bytes have arrived that are no complete head yet; not called if the head arrives whole. */
    default void onPartOfHead() {}

    void onHead(HttpResponse head);

    void onBody(byte[] chunk);

    void onComplete();

    /**
     * Called before {@link #onFailure} if the server sent more than the bound of an input.
     *
     * @param input what was too large, for the log
     */
    default void onTooLarge(String input) {}

    /**
     * Called when no response will arrive or the response will remain incomplete.
     *
     * @param notSent whether no byte of the request can have reached the server
     * @param cause reason, for the log
     */
    void onFailure(boolean notSent, String cause);
}
