package org.quetzalvane.core.load;

import java.util.List;

import org.junit.jupiter.api.Test;
import org.quetzalvane.core.model.AdapterVersion;
import org.quetzalvane.core.port.EngineReport;

import static org.assertj.core.api.Assertions.assertThat;

/** Known state of adapter slots after orders and late reports. */
class SlotTableTest {
    private static final AdapterVersion V = new AdapterVersion("a", 1);

    @Test
    void lateReportDoesNotRestoreAnEvictedAdapter() {
        SlotTable slots = new SlotTable(8, 0, 1_000, new LoadBudget() {
            @Override
            public boolean tryAcquire(double value) {
                return true;
            }

            @Override
            public void release() {}
        });
        EngineReport listingReport = new EngineReport("i", 0, List.of(new EngineReport.Residency(V, false, 0)));
        slots.reconcile(listingReport, 100, 100);
        slots.freeSlot(slots.find(V).orElseThrow(), 200);

        slots.reconcile(listingReport, 150, 300);
        assertThat(slots.find(V)).isEmpty();

        slots.reconcile(listingReport, 250, 350);
        assertThat(slots.find(V)).isPresent();
    }
}
