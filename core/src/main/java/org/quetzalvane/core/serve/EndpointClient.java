package org.quetzalvane.core.serve;

import org.quetzalvane.core.fleet.Endpoint;

/** Port that sends requests to endpoints. Confined to the event loop. */
@FunctionalInterface
public interface EndpointClient {

    /**
     * Sends a request; the listener is called later on the event loop, never from within this call, except for {@link
     * Listener#beforeWrite}.
     */
    Call send(Endpoint endpoint, EndpointRequest request, Listener listener);

    /** A request in flight. */
    interface Call {
        /** Cancels the request and frees the endpoint; the listener is not called again. */
        void cancel();

        /** Pauses (false) or resumes (true) reading the response; paused while the caller reads too slowly. */
        void setReading(boolean on);
    }

    /**
     * Receives the response of one attempt: the head, any number of body chunks, then the end; or a failure at any
     * point.
     */
    interface Listener {
        /**
         * The connection is ready, and the request is written next. Called once at most, possibly from within {@link
         * EndpointClient#send}; returns whether to write it. A request that is not written fails as not sent.
         */
        boolean beforeWrite();

        /** The endpoint has begun to write a response, of which the head is not complete. */
        default void partOfHead() {}

        void head(ResponseHead head);

        void body(byte[] chunk);

        void end();

        /**
         * The request failed: no response will arrive, or the response stays incomplete.
         *
         * @param notSent whether no byte of the request can have reached the endpoint
         * @param cause cause for the log
         */
        void failed(boolean notSent, String cause);
    }
}
