package org.quetzalvane.core.port;

import java.util.concurrent.CompletableFuture;

/**
 * Port for the append-only log service of the platform.
 *
 * <p>Futures fail with {@link org.quetzalvane.core.exc.QuetzalvaneException}; a failed append may have taken effect.
 * Implementations are thread-safe.
 */
public interface LogPort {

    /** Appends a record and returns its offset. */
    CompletableFuture<Long> append(String stream, byte[] data);

    /**
     * Reads records from an offset on; the batch is empty when there are none yet. Fails with
     * {@link org.quetzalvane.core.exc.LogExpiredException} when the offset has expired.
     */
    CompletableFuture<LogBatch> read(String stream, long from, int maxRecords);
}
