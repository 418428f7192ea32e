package org.quetzalvane.core.team;

import java.nio.charset.StandardCharsets;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.function.Function;
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
 * <p>Besides one record for each software version there are
 *
 * <ul>
 *   <li>a mark for each pending version, at which streams are not to begin yet, or for one that is unused as well: no
 *       stream has begun at it unseen. It holds in the epoch of the store that it names: streams may have begun since a
 *       copy was taken.
 *   <li>a statement: the epoch of the store in which the records were complete. A copy that the store comes back from
 *       keeps the statement of the epoch before, which shows that it may lack versions.
 *   <li>counts of status reports, which are renewed at intervals and tell how old a copy is, see {@link CopyAge}.
 * </ul>
 *
 * @param versions recorded versions; must not be changed
 * @param pendingEpochs marked versions, and the epoch that each mark names; must not be changed
 * @param unused marked versions that are unused as well; must not be changed
 * @param completeEpoch epoch of the store that the statement names, or {@link #NOT_STATED}
 * @param reports counts of status reports, or null
 */
record ServedVersionRecords(
        Set<ServiceVersion> versions,
        Map<ServiceVersion, Long> pendingEpochs,
        Set<ServiceVersion> unused,
        long completeEpoch,
        ReportCounts reports) {
    static final long NOT_STATED = -1;
    /** Records of a store that no node has written to. */
    static final ServedVersionRecords NONE = new ServedVersionRecords(Set.of(), Map.of(), Set.of(), NOT_STATED, null);

    private static final LongHashFunction HASH = LongHashFunction.xx3();
    private static final char SEPARATOR = '\n';
    /** Key of the statement; the keys of versions are hexadecimal numbers. */
    private static final String STATEMENT_KEY = "complete";

    private static final String REPORTS_KEY = "reports";
    private static final String PENDING_KEY_PREFIX = "pending-";
    private static final String UNUSED_KEY_PREFIX = "unused-";

    /** The records in a listing, or null if it failed; a record that cannot be decoded is logged and skipped. */
    static ServedVersionRecords decode(KeyedTopic.ReadResult result, StructuredLog log) {
        if (result.outcome() != KeyedTopic.Outcome.OK) {
            return null;
        }
        Set<ServiceVersion> versions = new HashSet<>();
        Map<ServiceVersion, Long> pendingEpochs = new HashMap<>();
        Set<ServiceVersion> unused = new HashSet<>();
        long epoch = NOT_STATED;
        ReportCounts reports = null;
        for (StoreRecord r : result.records()) {
            if (r.value() == null) {
                continue;
            }
            String text = new String(r.value(), StandardCharsets.UTF_8);
            int at = text.indexOf(SEPARATOR);
            if (r.key().equals(STATEMENT_KEY) && isNumber(text)) {
                epoch = Long.parseLong(text);
            } else if (r.key().equals(REPORTS_KEY)) {
                reports = ReportCounts.decode(r.value());
            } else if (at > 0 && isMark(r.key()) && isNumber(text.substring(0, at))) {
                ServiceVersion marked = version(text.substring(at + 1));
                pendingEpochs.put(marked, Long.parseLong(text.substring(0, at)));
                if (r.key().startsWith(UNUSED_KEY_PREFIX)) {
                    unused.add(marked);
                }
            } else if (at > 0 && !isMark(r.key())) {
                versions.add(version(text));
            } else {
                log.log(EventCode.BAD_RECORD, r.key(), "offset", r.offset(), "cause", "no service and version");
            }
        }
        return new ServedVersionRecords(versions, pendingEpochs, unused, epoch, reports);
    }

    private static boolean isMark(String key) {
        return key.startsWith(PENDING_KEY_PREFIX) || key.startsWith(UNUSED_KEY_PREFIX);
    }

    private static boolean isNumber(String text) {
        return text.matches("\\d{1,18}");
    }

    private static ServiceVersion version(String text) {
        int at = text.indexOf(SEPARATOR);
        return new ServiceVersion(text.substring(0, Math.max(0, at)), text.substring(at + 1));
    }

    /** Whether no stream has begun at a version. */
    boolean isUnused(ServiceVersion v, long epoch) {
        return isPending(v, epoch) && unused.contains(v);
    }

    /** Whether streams are not to begin at a version yet. */
    boolean isPending(ServiceVersion v, long epoch) {
        Long marked = pendingEpochs.get(v);
        return marked != null && marked == epoch;
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

    /**
     * Values by key that mark versions as pending in an epoch of the store.
     *
     * @param unused those of the versions that are unused
     */
    static Map<String, byte[]> encodePending(Set<ServiceVersion> versions, Set<ServiceVersion> unused, long epoch) {
        Map<String, byte[]> values = new HashMap<>();
        versions.forEach(v ->
                values.put(markKey(v, unused.contains(v)), (epoch + "\n" + text(v)).getBytes(StandardCharsets.UTF_8)));
        return values;
    }

    /** Value by key that records counts of status reports. */
    static Map<String, byte[]> encodeReports(ReportCounts reports) {
        return Map.of(REPORTS_KEY, reports.encode());
    }

    static Set<String> keys(Collection<ServiceVersion> versions) {
        return map(versions, ServedVersionRecords::key);
    }

    /** Keys of all marks that versions may have. */
    static Set<String> markKeys(Collection<ServiceVersion> versions) {
        Set<String> keys = new HashSet<>(map(versions, v -> markKey(v, false)));
        keys.addAll(map(versions, v -> markKey(v, true)));
        return keys;
    }

    private static Set<String> map(Collection<ServiceVersion> versions, Function<ServiceVersion, String> key) {
        return versions.stream().map(key).collect(Collectors.toSet());
    }

    private static String key(ServiceVersion v) {
        return Long.toHexString(HASH.hashChars(text(v)));
    }

    private static String markKey(ServiceVersion v, boolean unused) {
        return (unused ? UNUSED_KEY_PREFIX : PENDING_KEY_PREFIX) + key(v);
    }

    private static String text(ServiceVersion v) {
        return v.service() + SEPARATOR + v.softwareVersion();
    }
}
