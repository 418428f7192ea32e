package org.quetzalvane.core.team;

import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Map;

/**
 * How many status reports some instances of endpoints had written to the platform's list at one moment, by their own
 * count. Immutable.
 *
 * @param epoch epoch of the store at that moment
 * @param counts number of reports by instance; must not be changed
 */
record ReportCounts(long epoch, Map<Instance, Long> counts) {
    private static final char LINE_END = '\n';
    private static final char SEPARATOR = ' ';

    /**
     * An instance of an endpoint.
     *
     * @param id id of the endpoint, without white space
     * @param bornMs start of the instance, milliseconds since the epoch
     */
    record Instance(String id, long bornMs) {}

    byte[] encode() {
        StringBuilder text = new StringBuilder().append(epoch);
        counts.forEach((instance, count) -> text.append(LINE_END)
                .append(instance.id)
                .append(SEPARATOR)
                .append(instance.bornMs)
                .append(SEPARATOR)
                .append(count));
        return text.toString().getBytes(StandardCharsets.UTF_8);
    }

    /** Decodes what {@link #encode} has encoded; null if it is malformed. */
    static ReportCounts decode(byte[] value) {
        String[] lines = new String(value, StandardCharsets.UTF_8).split(String.valueOf(LINE_END));
        Map<Instance, Long> counts = new HashMap<>();
        try {
            for (int i = 1; i < lines.length; i++) {
                String[] fields = lines[i].split(String.valueOf(SEPARATOR));
                if (fields.length != 3) {
                    return null;
                }
                counts.put(new Instance(fields[0], Long.parseLong(fields[1])), Long.parseLong(fields[2]));
            }
            return new ReportCounts(Long.parseLong(lines[0]), counts);
        } catch (NumberFormatException e) {
            return null;
        }
    }
}
