import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

/** HTTP/1.1 messages on plain sockets, for stand-ins of clients and servers. */
final class Wire {
    private Wire() {}

    /** A message: start line, headers and body; {@code complete} is false if the connection ended inside it. */
    record Message(String start, List<String> headers, byte[] body, boolean complete) {
        String header(String name) {
            for (String h : headers) {
                int colon = h.indexOf(':');
                if (colon > 0 && h.substring(0, colon).equalsIgnoreCase(name)) {
                    return h.substring(colon + 1).trim();
                }
            }
            return null;
        }

        int status() {
            return Integer.parseInt(start.split(" ")[1]);
        }

        String path() {
            return start.split(" ")[1];
        }

        String text() {
            return new String(body, StandardCharsets.UTF_8);
        }
    }

    /** Start line and headers; null if the connection ended before the first byte. */
    static List<String> head(InputStream in) throws IOException {
        List<String> lines = new ArrayList<>();
        for (String line = line(in); ; line = line(in)) {
            if (line == null) {
                if (lines.isEmpty()) {
                    return null;
                }
                throw new EOFException("connection ended inside a head");
            }
            if (line.isEmpty()) {
                return lines;
            }
            lines.add(line);
        }
    }

    /** Reads a message; null if the connection ended before its first byte. */
    static Message read(InputStream in, boolean response) throws IOException {
        List<String> lines = head(in);
        if (lines == null) {
            return null;
        }
        Message h = new Message(lines.get(0), lines.subList(1, lines.size()), new byte[0], true);
        String length = h.header("Content-Length");
        ByteArrayOutputStream body = new ByteArrayOutputStream();
        boolean complete = true;
        if ("chunked".equalsIgnoreCase(h.header("Transfer-Encoding"))) {
            complete = chunks(in, body);
        } else if (length != null) {
            int n = Integer.parseInt(length);
            byte[] b = in.readNBytes(n);
            body.write(b);
            complete = b.length == n;
        } else if (response && h.status() != 204) {
            in.transferTo(body);
        }
        return new Message(h.start(), h.headers(), body.toByteArray(), complete);
    }

    private static boolean chunks(InputStream in, ByteArrayOutputStream body) throws IOException {
        while (true) {
            String size = line(in);
            if (size == null) {
                return false;
            }
            int n = Integer.parseInt(size.trim(), 16);
            byte[] b = in.readNBytes(n);
            body.write(b);
            if (b.length < n || line(in) == null) {
                return false;
            }
            if (n == 0) {
                return true;
            }
        }
    }

    private static String line(InputStream in) throws IOException {
        ByteArrayOutputStream line = new ByteArrayOutputStream();
        for (int c = in.read(); c >= 0; c = in.read()) {
            if (c == '\n') {
                String s = line.toString(StandardCharsets.ISO_8859_1);
                return s.endsWith("\r") ? s.substring(0, s.length() - 1) : s;
            }
            line.write(c);
        }
        return null;
    }
}
