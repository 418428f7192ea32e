package org.quetzalvane.entry;

import org.junit.jupiter.api.Test;
import org.quetzalvane.core.event.EventCode;

import static org.assertj.core.api.Assertions.assertThat;

class EntryMetricsTest {

    @Test
    void eventsAreCountedAndDurationsRecorded() {
        EntryMetrics m = new EntryMetrics();
        m.gauge("unanswered", () -> 7);
        m.update(EventCode.REQUEST_REFUSED, "code", 206, "why", "no slot");
        m.update(EventCode.REQUEST_REFUSED, "code", 206);
        m.update(EventCode.REQUEST_DONE, "held_ms", 12L, "delimited", false, "ms", 90L);
        assertThat(m.text().lines())
                .contains(
                        "quetzalvane_events_total{event=\"request_refused\"} 2",
                        "quetzalvane_refused_total{code=\"206\"} 2",
                        "quetzalvane_unanswered 7",
                        "quetzalvane_request_held_ms{quantile=\"0.99\"} 12",
                        "quetzalvane_request_delimited_total{value=\"false\"} 1",
                        "quetzalvane_request_ms_count 1");
    }
}
