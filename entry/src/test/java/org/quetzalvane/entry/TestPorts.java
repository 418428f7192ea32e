package org.quetzalvane.entry;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Ports for servers whose addresses must be known before they are bound. They lie below the range from which the kernel
 * takes the ports of outgoing connections, and no port is handed out twice, so that nothing takes a port between its
 * choice and its use. Thread-safe.
 */
final class TestPorts {
    private static final int FIRST = 12_000;
    private static final int COUNT = 18_000;
    /** Offset from one process to the next, so that builds that run side by side rarely probe the same ports. */
    private static final int PORTS_PER_PROCESS = 601;

    private static final AtomicInteger NEXT =
            new AtomicInteger((int) (ProcessHandle.current().pid() * PORTS_PER_PROCESS % COUNT));

    private TestPorts() {}

    /** A free address on loopback, IP:PORT. */
    static String freeAddress() {
        for (int tries = 0; tries < COUNT; tries++) {
            int port = FIRST + Math.floorMod(NEXT.getAndIncrement(), COUNT);
            try (ServerSocket s = new ServerSocket(port, 1, InetAddress.getLoopbackAddress())) {
                return "127.0.0.1:" + s.getLocalPort();
            } catch (IOException e) {
                // The port is in use; the next one is tried.
                continue;
            }
        }
        throw new IllegalStateException("no free port from " + FIRST + " to " + (FIRST + COUNT));
    }
}
