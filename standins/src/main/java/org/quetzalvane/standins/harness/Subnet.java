package org.quetzalvane.standins.harness;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.security.SecureRandom;

/**
 * A loopback subnet in which nobody listens, so that every process of a cluster has an address of its own. Immutable.
 *
 * @param prefix the first three parts of its addresses
 */
record Subnet(String prefix) {
    private static final int TRIES = 20;
    private static final int PARTS = 254;

    /** Finds a subnet whose first addresses have the port free. */
    static Subnet free(int port) throws IOException {
        SecureRandom random = new SecureRandom();
        for (int i = 0; i < TRIES; i++) {
            Subnet candidate = new Subnet("127." + (1 + random.nextInt(PARTS)) + "." + random.nextInt(PARTS));
            if (candidate.isFree(port)) {
                return candidate;
            }
        }
        throw new IOException("no free loopback subnet found");
    }

    /** The address with the given last part. */
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
