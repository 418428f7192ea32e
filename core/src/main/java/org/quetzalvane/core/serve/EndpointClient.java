package org.quetzalvane.core.serve;

import org.quetzalvane.core.fleet.Endpoint;

/** Port that sends requests to endpoints. Everything happens on the event loop. */
@FunctionalInterface
public interface EndpointClient {

    /** Sends a request; the listener hears of its fate, never from within this call. */
    Call send(Endpoint endpoint, EndpointRequest dispatch, Listener listener);

    /** A request that was sent. */
    interface Call {
        /** Stops it and frees the endpoint; the listener hears nothing more. */
        void cancel();

        /** Goes on or stops reading the answer, for a caller that does not keep up. */
        void setReading(boolean on);
    }

    /** Hears of one send: a head, then any number of body parts, then one end; or a failure at any point. */
    interface Listener {
        void head(ResponseHead head);

        void body(byte[] part);

        void end();

        /**
         * The answer will not come or not be whole.
         *
         * @param notSent whether no byte of the request can have reached the endpoint
         * @param cause for the log
         */
        void failed(boolean notSent, String cause);
    }
}
