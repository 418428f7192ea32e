package org.quetzalvane.transport;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.UnknownHostException;

import io.netty.util.NetUtil;

/** Parser of addresses of the form IP:PORT. Stateless and thread-safe. */
public final class Addresses {
    private Addresses() {}

    /**
     * Parses an address without a name look-up.
     *
     * @throws IllegalArgumentException if the text has another form
     */
    public static InetSocketAddress parse(String text) {
        int colon = text.lastIndexOf(':');
        byte[] ip = colon < 0 ? null : NetUtil.createByteArrayFromIpAddressString(text.substring(0, colon));
        if (ip == null) {
            throw new IllegalArgumentException("expected an address IP:PORT, got " + text);
        }
        try {
            return new InetSocketAddress(InetAddress.getByAddress(ip), Integer.parseInt(text.substring(colon + 1)));
        } catch (UnknownHostException e) {
            throw new IllegalArgumentException("expected an address IP:PORT, got " + text, e);
        }
    }
}
