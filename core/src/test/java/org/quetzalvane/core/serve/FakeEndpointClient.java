package org.quetzalvane.core.serve;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.function.BiConsumer;

import org.quetzalvane.core.fleet.Endpoint;

/** Fake that writes each request at once, or when the test connects, and keeps it open until the test responds. */
final class FakeEndpointClient implements EndpointClient {
    final List<String> sent = new ArrayList<>();
    final List<EndpointRequest> requests = new ArrayList<>();
    final List<Listener> listeners = new ArrayList<>();
    /** Numbers of the attempts that were not cancelled. */
    final Set<Integer> open = new HashSet<>();

    int cancelled;
    boolean reading = true;
    /** Whether requests wait for their connections. */
    boolean connecting;

    /** Listeners of the requests that were not written, which the test tells so. */
    final List<Listener> withheld = new ArrayList<>();

    private final List<Runnable> unconnected = new ArrayList<>();
    private BiConsumer<String, String> onWritten = (endpoint, requestId) -> {};

    /** Sets the listener for requests that are written, which receives the ids of endpoint and request. */
    void onWritten(BiConsumer<String, String> listener) {
        onWritten = listener;
    }

    /** Makes the connections that requests wait for. */
    void connect() {
        List<Runnable> waiting = List.copyOf(unconnected);
        unconnected.clear();
        waiting.forEach(Runnable::run);
    }

    private void write(Endpoint endpoint, EndpointRequest request, Listener listener) {
        if (listener.beforeWrite()) {
            onWritten.accept(endpoint.id(), request.request().id());
        } else {
            withheld.add(listener);
        }
    }

    Listener last() {
        return listeners.get(listeners.size() - 1);
    }

    @Override
    public Call send(Endpoint endpoint, EndpointRequest request, Listener listener) {
        sent.add(endpoint.id());
        requests.add(request);
        int number = listeners.size();
        listeners.add(listener);
        open.add(number);
        Runnable write = () -> write(endpoint, request, listener);
        if (connecting) {
            unconnected.add(write);
        } else {
            write.run();
        }
        return new Call() {
            @Override
            public void cancel() {
                cancelled++;
                open.remove(number);
            }

            @Override
            public void setReading(boolean on) {
                reading = on;
            }
        };
    }
}
