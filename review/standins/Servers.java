import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;

/** Parts that the stand-ins of servers share. */
final class Servers {
    private Servers() {}

    /** Serves one accepted connection; the connection is closed when it returns. */
    interface Connection {
        void serve(Socket socket, InputStream in, OutputStream out) throws Exception;
    }

    /** Listens on a free port of a loopback address, one thread a connection. */
    static ServerSocket listen(String ip, int receiveBuffer, Connection handler) throws IOException {
        return listen(ip, 0, receiveBuffer, handler);
    }

    /** The same on a given port, or on a free one with port 0. */
    static ServerSocket listen(String ip, int port, int receiveBuffer, Connection handler) throws IOException {
        ServerSocket server = new ServerSocket();
        if (receiveBuffer > 0) {
            server.setReceiveBufferSize(receiveBuffer);
        }
        server.bind(new InetSocketAddress(InetAddress.getByName(ip), port), 200);
        daemon(() -> {
            while (!server.isClosed()) {
                try {
                    Socket s = server.accept();
                    s.setTcpNoDelay(true);
                    daemon(() -> {
                        try (s) {
                            handler.serve(s, new BufferedInputStream(s.getInputStream()), s.getOutputStream());
                        } catch (Exception e) {
                            // The connection ended.
                        }
                    });
                } catch (IOException e) {
                    return;
                }
            }
        });
        return server;
    }

    static void daemon(Runnable task) {
        Thread t = new Thread(task);
        t.setDaemon(true);
        t.start();
    }

    static String address(ServerSocket s) {
        return s.getInetAddress().getHostAddress() + ":" + s.getLocalPort();
    }

    static void write(OutputStream out, String text) throws IOException {
        out.write(text.getBytes(StandardCharsets.ISO_8859_1));
        out.flush();
    }

    /** A signed answer with a length. */
    static String answer(int status, String id, String extraHeaders, String body) {
        return "HTTP/1.1 " + status + " X\r\nX-Attempt-Id: " + id + "\r\n" + extraHeaders + "Content-Length: "
                + body.length() + "\r\n\r\n" + body;
    }

    /** Entry of a server without models. */
    static String entry(String service, String address, int slots) {
        return "{\"service\":\"" + service + "\",\"address\":\"" + address
                + "\",\"zone\":\"qs-a\",\"version\":\"v1\",\"slots\":" + slots
                + ",\"state\":\"ready\",\"cold_remaining_ms\":0,\"born\":" + System.currentTimeMillis()
                + ",\"sequence\":1}";
    }
}
