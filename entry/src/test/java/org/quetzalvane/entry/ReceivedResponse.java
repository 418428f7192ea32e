package org.quetzalvane.entry;

import java.util.Locale;

import org.quetzalvane.platform.standin.RawEndpointStandIn;

/**
 * What a caller received on its connection up to its end, read by the framing that the node stated. Immutable.
 *
 * @param status status, or 0 without a complete head
 * @param head status line and headers in lower case
 * @param body bytes of the body that arrived, without chunk lines
 * @param complete whether the framing shows the response as complete
 * @param rest bytes after the complete response
 */
record ReceivedResponse(int status, String head, String body, boolean complete, String rest) {
    private static final String LINE_END = "\r\n";
    private static final String HEAD_END = "\r\n\r\n";
    private static final String LENGTH = "content-length: ";

    static ReceivedResponse parse(String bytes) {
        int headEnd = bytes.indexOf(HEAD_END);
        if (headEnd < 0) {
            return new ReceivedResponse(0, bytes, "", false, "");
        }
        String head = bytes.substring(0, headEnd + LINE_END.length()).toLowerCase(Locale.ROOT);
        int status = Integer.parseInt(head.split(" ", 3)[1]);
        String rest = bytes.substring(headEnd + HEAD_END.length());
        if (head.contains("transfer-encoding: chunked")) {
            return parseChunks(status, head, rest);
        }
        int at = head.indexOf(LENGTH);
        int length = at < 0 ? 0 : Integer.parseInt(head.substring(at + LENGTH.length(), head.indexOf('\r', at)));
        boolean complete = rest.length() >= length;
        int end = Math.min(length, rest.length());
        return new ReceivedResponse(status, head, rest.substring(0, end), complete, rest.substring(end));
    }

    private static ReceivedResponse parseChunks(int status, String head, String bytes) {
        StringBuilder body = new StringBuilder();
        int at = 0;
        for (int line = bytes.indexOf(LINE_END); line >= 0; line = bytes.indexOf(LINE_END, at)) {
            int size = Integer.parseInt(bytes.substring(at, line), 16);
            at = line + LINE_END.length();
            if (size == 0) {
                boolean complete = bytes.startsWith(LINE_END, at);
                return new ReceivedResponse(
                        status,
                        head,
                        body.toString(),
                        complete,
                        bytes.substring(at).strip());
            }
            body.append(bytes, at, Math.min(at + size, bytes.length()));
            at = Math.min(at + size + LINE_END.length(), bytes.length());
        }
        return new ReceivedResponse(status, head, body.toString(), false, "");
    }

    /** Whether the response is one of an endpoint that signs its responses. */
    boolean signed() {
        return head.contains(RawEndpointStandIn.SIGNATURE_HEADER.toLowerCase(Locale.ROOT) + ": signed\r\n");
    }
}
