package org.quetzalvane.standins.replay;

import java.io.BufferedReader;
import java.io.BufferedWriter;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

import com.fasterxml.jackson.databind.ObjectMapper;

/**
 * A sequence of request arrivals and faults for a replay, with sizes and expected outcomes. Immutable.
 *
 * @param header sizes and expected outcomes
 * @param events requests and faults, ordered by time
 */
public record Trace(TraceHeader header, List<TraceEvent> events) {
    private static final ObjectMapper JSON = new ObjectMapper();

    /** Reads a trace from a file of JSON lines, of which the first is the header. */
    public static Trace readFrom(Path file) throws IOException {
        try (BufferedReader in = Files.newBufferedReader(file)) {
            TraceHeader header = JSON.readValue(in.readLine(), TraceHeader.class);
            List<TraceEvent> events = new ArrayList<>();
            for (String line = in.readLine(); line != null; line = in.readLine()) {
                events.add(JSON.readValue(line, TraceEvent.class));
            }
            return new Trace(header, events);
        }
    }

    /** Writes the trace to a file of JSON lines. */
    public void writeTo(Path file) throws IOException {
        try (BufferedWriter out = Files.newBufferedWriter(file)) {
            out.write(JSON.writeValueAsString(header));
            out.newLine();
            for (TraceEvent e : events) {
                out.write(JSON.writerFor(TraceEvent.class).writeValueAsString(e));
                out.newLine();
            }
        }
    }
}
