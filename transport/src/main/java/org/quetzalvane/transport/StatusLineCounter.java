package org.quetzalvane.transport;

import io.netty.buffer.ByteBuf;

/**
 * Counts the HTTP status lines ({@code HTTP/1.1 200}) in a sequence of bytes, wherever they begin, also within a line
 * or across two buffers. Not thread-safe.
 */
final class StatusLineCounter {
    /** {@code 0} stands for any digit. */
    private static final String PATTERN = "HTTP/0.0 000";

    private int matched;
    private int count;

    void add(ByteBuf bytes, int start, int end) {
        for (int i = start; i < end; i++) {
            add((char) bytes.getByte(i));
        }
    }

    private void add(char c) {
        // The first character does not occur again in the pattern, so that a mismatch can only start over with it.
        if (fits(PATTERN.charAt(matched), c)) {
            matched++;
        } else {
            matched = fits(PATTERN.charAt(0), c) ? 1 : 0;
        }
        if (matched == PATTERN.length()) {
            count++;
            matched = 0;
        }
    }

    private static boolean fits(char pattern, char c) {
        return pattern == '0' ? c >= '0' && c <= '9' : c == pattern;
    }

    int count() {
        return count;
    }

    void reset() {
        matched = 0;
        count = 0;
    }
}
