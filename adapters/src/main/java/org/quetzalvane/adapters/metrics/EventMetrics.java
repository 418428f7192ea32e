package org.quetzalvane.adapters.metrics;

import java.util.function.Consumer;

import com.codahale.metrics.MetricRegistry;
import org.quetzalvane.core.event.Event;
import org.quetzalvane.core.event.EventCode;

/**
 * Counts events by number as {@code event.NUMBER} and requests by outcome as {@code requests.OUTCOME}. Thread-safe.
 *
 * <p>The owner of the engine counts the outcome of a request; a node that forwards the request to the owner counts it
 * as {@code forwarded}.
 */
public final class EventMetrics implements Consumer<Event> {
    private final MetricRegistry registry;

    public EventMetrics(MetricRegistry registry) {
        this.registry = registry;
    }

    @Override
    public void accept(Event e) {
        registry.counter("event." + e.code().number()).inc();
        String outcome = outcome(e.code());
        if (outcome != null) {
            registry.counter("requests." + outcome).inc();
        }
    }

    private static String outcome(EventCode code) {
        return switch (code) {
            case REQUEST_DONE -> "done";
            case REQUEST_REFUSED -> "refused";
            case REQUEST_FAILED -> "failed";
            case REQUEST_CANCELLED -> "cancelled";
            case REQUEST_FORWARDED -> "forwarded";
            default -> null;
        };
    }
}
