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
 * A recorded trace. Immutable.
 *
 * @param header sizes and stated outcomes
 * @param events requests and faults, in order of time
 */
public record Trace(TraceHeader header, List<TraceEvent> events) {
    private static final ObjectMapper JSON = new ObjectMapper();

    /** Reads a file of JSON lines, the header first. */
    public static Trace from(Path file) throws IOException {
        try (BufferedReader in = Files.newBufferedReader(file)) {
            TraceHeader header = JSON.readValue(in.readLine(), TraceHeader.class);
            List<TraceEvent> events = new ArrayList<>();
            for (String line = in.readLine(); line != null; line = in.readLine()) {
                events.add(JSON.readValue(line, TraceEvent.class));
            }
            return new Trace(header, events);
        }
    }

    /** Writes the trace as JSON lines. */
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
