package org.quetzalvane.core.team;

import java.nio.charset.StandardCharsets;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;

import net.openhft.hashing.LongHashFunction;
import org.quetzalvane.core.event.EventCode;
import org.quetzalvane.core.event.StructuredLog;
import org.quetzalvane.core.fleet.ServiceVersion;
import org.quetzalvane.core.store.KeyedTopic;
import org.quetzalvane.core.store.StoreRecord;

/**
 * The records of {@link ServedVersionTable} as read from the store. Immutable.
 *
 * <p>Besides one record for each software version there is a statement: the epoch of the store in which the records
 * were complete. A copy that the store comes back from keeps the statement of the epoch before, which shows that it may
 * lack versions.
 *
 * @param versions recorded versions; must not be changed
 * @param completeEpoch epoch of the store that the statement names, or {@link #NOT_STATED}
 */
record ServedVersionRecords(Set<ServiceVersion> versions, long completeEpoch) {
    static final long NOT_STATED = -1;

    private static final LongHashFunction HASH = LongHashFunction.xx3();
    private static final char SEPARATOR = '\n';
    /** Key of the statement; the keys of versions are hexadecimal numbers. */
    private static final String STATEMENT_KEY = "complete";

    /** The records in a listing, or null if it failed; a record that cannot be decoded is logged and skipped. */
    static ServedVersionRecords decode(KeyedTopic.ReadResult result, StructuredLog log) {
        if (result.outcome() != KeyedTopic.Outcome.OK) {
            return null;
        }
        Set<ServiceVersion> versions = new HashSet<>();
        long epoch = NOT_STATED;
        for (StoreRecord r : result.records()) {
            String text = r.value() == null ? "" : new String(r.value(), StandardCharsets.UTF_8);
            int at = text.indexOf(SEPARATOR);
            if (r.key().equals(STATEMENT_KEY) && text.matches("\\d{1,18}")) {
                epoch = Long.parseLong(text);
            } else if (at > 0) {
                versions.add(new ServiceVersion(text.substring(0, at), text.substring(at + 1)));
            } else if (r.value() != null) {
                log.log(EventCode.BAD_RECORD, r.key(), "offset", r.offset(), "cause", "no service and version");
            }
        }
        return new ServedVersionRecords(versions, epoch);
    }

    /** Whether no node has recorded anything. */
    boolean isEmpty() {
        return versions.isEmpty() && completeEpoch == NOT_STATED;
    }

    /** Values by key that record versions. */
    static Map<String, byte[]> encode(Collection<ServiceVersion> versions) {
        Map<String, byte[]> values = new HashMap<>();
        versions.forEach(v -> values.put(key(v), text(v).getBytes(StandardCharsets.UTF_8)));
        return values;
    }

    /** Value by key that states that the records are complete in an epoch of the store. */
    static Map<String, byte[]> encodeStatement(long epoch) {
        return Map.of(STATEMENT_KEY, Long.toString(epoch).getBytes(StandardCharsets.UTF_8));
    }

    static Set<String> keys(Collection<ServiceVersion> versions) {
        return versions.stream().map(ServedVersionRecords::key).collect(Collectors.toSet());
    }

    private static String key(ServiceVersion v) {
        return Long.toHexString(HASH.hashChars(text(v)));
    }

    private static String text(ServiceVersion v) {
        return v.service() + SEPARATOR + v.softwareVersion();
    }
}
