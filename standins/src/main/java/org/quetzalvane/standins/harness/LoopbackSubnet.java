package org.quetzalvane.standins.harness;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.security.SecureRandom;

/**
 * A loopback subnet on which no process listens, so that each process of a cluster can have its own address. Immutable.
 *
 * @param prefix first three octets of the addresses
 */
record LoopbackSubnet(String prefix) {
    private static final int MAX_ATTEMPTS = 20;
    private static final int OCTET_VALUES = 254;

    /** Finds a random subnet; checks that the port is free on the first address that a cluster uses. */
    static LoopbackSubnet findFree(int port) throws IOException {
        SecureRandom random = new SecureRandom();
        for (int i = 0; i < MAX_ATTEMPTS; i++) {
            LoopbackSubnet candidate = new LoopbackSubnet(
                    "127." + (1 + random.nextInt(OCTET_VALUES)) + "." + random.nextInt(OCTET_VALUES));
            if (candidate.isFree(port)) {
                return candidate;
            }
        }
        throw new IOException("no free loopback subnet found");
    }

    /** Returns the address with the given last octet. */
    String ip(int last) {
        return prefix + "." + last;
    }

    private boolean isFree(int port) {
        try (ServerSocket probe = new ServerSocket(port, 1, InetAddress.getByName(ip(2)))) {
            return probe.isBound();
        } catch (IOException e) {
            return false;
        }
    }
}
