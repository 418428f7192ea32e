package org.quetzalvane.entry;

import org.quetzalvane.core.event.EventCode;
import org.quetzalvane.core.event.StructuredLog;
import org.quetzalvane.platform.StoreClient;

/**
 * Logs the changes of the store's era and its answers that exceed their bound.
 *
 * @param log structured log
 * @param storeRestored runs when the store has come back from a copy
 */
record StoreEraLog(StructuredLog log, Runnable storeRestored) implements StoreClient.EraListener {

    @Override
    public void restored(long before, long after) {
        log.log(EventCode.STORE_RESTORED, "store", "era_before", before, "era", after);
        storeRestored.run();
    }

    @Override
    public void rejected(String value, long known) {
        log.log(EventCode.BAD_INPUT, "store", "field", "era", "value", value, "known", known);
    }

    @Override
    public void inputTooLarge(String input) {
        log.log(EventCode.INPUT_TOO_LARGE, "store", "input", input);
    }
}
