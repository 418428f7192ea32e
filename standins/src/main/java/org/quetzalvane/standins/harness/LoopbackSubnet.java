package org.quetzalvane.standins.harness;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.security.SecureRandom;

/**
 * A randomly chosen /24 subnet of loopback addresses, one for each process of a cluster. Immutable.
 *
 * @param prefix first three octets of the addresses
 */
record LoopbackSubnet(String prefix) {
    private static final int MAX_ATTEMPTS = 20;
    private static final int OCTET_VALUES = 254;

    /** Finds a random subnet on whose address .2, the first that a cluster uses, the port is free. */
    static LoopbackSubnet findUnused(int probePort) throws IOException {
        SecureRandom random = new SecureRandom();
        for (int i = 0; i < MAX_ATTEMPTS; i++) {
            LoopbackSubnet candidate = new LoopbackSubnet(
                    "127." + (1 + random.nextInt(OCTET_VALUES)) + "." + random.nextInt(OCTET_VALUES));
            if (candidate.isFree(probePort)) {
                return candidate;
            }
        }
        throw new IOException("expected a random loopback subnet with a free probe port, found none");
    }

    /** Returns the address with the given last octet. */
    String ip(int lastOctet) {
        return prefix + "." + lastOctet;
    }

    private boolean isFree(int port) {
        try (ServerSocket probe = new ServerSocket(port, 1, InetAddress.getByName(ip(2)))) {
            return probe.isBound();
        } catch (IOException e) {
            return false;
        }
    }
}
