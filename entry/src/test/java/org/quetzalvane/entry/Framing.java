package org.quetzalvane.entry;

/** How an endpoint frames the body of its response. */
enum Framing {
    /** The body ends with the connection. */
    NONE,
    CHUNKS,
    LENGTH;

    static final String LAST_CHUNK = "0\r\n\r\n";

    /** Bytes of a response with a status line and headers, each with its line end, and a body. */
    String frame(String head, String body) {
        return switch (this) {
            case NONE -> head + "\r\n" + body;
            case CHUNKS -> head + "Transfer-Encoding: chunked\r\n\r\n" + Integer.toHexString(body.length()) + "\r\n"
                    + body + "\r\n" + LAST_CHUNK;
            case LENGTH -> head + "Content-Length: " + body.length() + "\r\n\r\n" + body;
        };
    }
}
