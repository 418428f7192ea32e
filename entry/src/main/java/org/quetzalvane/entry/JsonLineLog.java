package org.quetzalvane.entry;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.LongSupplier;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import org.quetzalvane.core.event.EventCode;
import org.quetzalvane.core.event.StructuredLog;

/**
 * Structured log that writes one JSON object per line. Lines are queued and written by one thread. Lines logged
 * while the queue is full are dropped, and their number is written with the next batch. Thread-safe; {@link #log} never
 * blocks the calling thread.
 */
final class JsonLineLog implements StructuredLog {
    /** Capacity of the queue, lines: the refusals that one host logs in one second at its highest rate. */
    static final int MAX_QUEUED_LINES = 2_000;
    /** Longest text in a line, characters; longer ones, which clients can cause, are cut. */
    static final int MAX_TEXT_LENGTH = 2_048;

    static final String CUT_MARK = "...";

    /** Time between the first line of a batch and its writing, ms; a longer delay costs fewer wake-ups. */
    private static final long BATCH_DELAY_MS = 200;

    private final JsonFactory json = new JsonFactory();
    private final ArrayBlockingQueue<Line> queue = new ArrayBlockingQueue<>(MAX_QUEUED_LINES);
    private final AtomicLong dropped = new AtomicLong();
    private final String node;
    private final LongSupplier wallMillis;
    private final OutputStream out;

    private record Line(long atMillis, EventCode code, String subject, Object[] fields) {}

    JsonLineLog(String node, LongSupplier wallMillis, OutputStream out) {
        this.node = node;
        this.wallMillis = wallMillis;
        this.out = out;
    }

    /** Starts the writer thread. */
    void start() {
        Thread t = new Thread(this::run, "log-writer");
        t.setDaemon(true);
        t.start();
    }

    @Override
    public void log(EventCode code, String subject, Object... fields) {
        if (!queue.offer(new Line(wallMillis.getAsLong(), code, cut(subject), cut(fields)))) {
            dropped.incrementAndGet();
        }
    }

    private static Object[] cut(Object... fields) {
        Object[] kept = fields;
        for (int i = 0; i < fields.length; i++) {
            if (fields[i] instanceof String && ((String) fields[i]).length() > MAX_TEXT_LENGTH) {
                kept = kept == fields ? fields.clone() : kept;
                kept[i] = cut((String) fields[i]);
            }
        }
        return kept;
    }

    private static String cut(String text) {
        return text == null || text.length() <= MAX_TEXT_LENGTH
                ? text
                : text.substring(0, MAX_TEXT_LENGTH - CUT_MARK.length()) + CUT_MARK;
    }

    private void run() {
        try {
            while (!Thread.currentThread().isInterrupted()) {
                Line first = queue.poll(1, TimeUnit.MINUTES);
                if (first != null) {
                    TimeUnit.MILLISECONDS.sleep(BATCH_DELAY_MS);
                    writeBatch(first);
                }
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        } catch (IOException e) {
            // The output is closed. This thread ends; the queue fills up and further lines are dropped and counted.
            dropped.incrementAndGet();
        }
    }

    /** Writes all queued lines on the calling thread, before the process ends. */
    void flush() throws IOException {
        writeBatch(null);
    }

    private synchronized void writeBatch(Line first) throws IOException {
        List<Line> lines = new ArrayList<>();
        if (first != null) {
            lines.add(first);
        }
        queue.drainTo(lines);
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        for (Line l : lines) {
            encode(l, bytes);
        }
        long count = dropped.getAndSet(0);
        if (count > 0) {
            encode(
                    new Line(wallMillis.getAsLong(), EventCode.LINES_DROPPED, node, new Object[] {"lines", count}),
                    bytes);
        }
        bytes.writeTo(out);
        out.flush();
    }

    private void encode(Line l, ByteArrayOutputStream to) throws IOException {
        try (JsonGenerator g = json.createGenerator(to)) {
            g.writeStartObject();
            g.writeNumberField("at_ms", l.atMillis());
            g.writeStringField("node", node);
            g.writeNumberField("event", l.code().number());
            g.writeStringField("name", l.code().name());
            g.writeStringField("subject", l.subject());
            for (int i = 0; i + 1 < l.fields().length; i += 2) {
                writeField(g, String.valueOf(l.fields()[i]), l.fields()[i + 1]);
            }
            g.writeEndObject();
        }
        to.write('\n');
    }

    private static void writeField(JsonGenerator g, String name, Object value) throws IOException {
        if (value instanceof Long || value instanceof Integer) {
            g.writeNumberField(name, ((Number) value).longValue());
        } else if (value instanceof Boolean) {
            g.writeBooleanField(name, (Boolean) value);
        } else {
            g.writeStringField(name, String.valueOf(value));
        }
    }
}
