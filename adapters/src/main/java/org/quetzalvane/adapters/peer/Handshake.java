package org.quetzalvane.adapters.peer;

import javax.crypto.Mac;
import javax.crypto.spec.SecretKeySpec;

import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.security.GeneralSecurityException;
import java.security.MessageDigest;
import java.security.SecureRandom;

import org.quetzalvane.core.ResultCode;
import org.quetzalvane.core.exc.QuetzalvaneException;

/**
 * Mutual proof of the cluster's name and shared secret at the start of a connection.
 *
 * <p>Each side sends a random challenge and answers the other's with a keyed hash over both; the secret itself never
 * travels. A wrong proof fails with {@link ResultCode#PEER_REJECTED}. Immutable and thread-safe.
 */
final class Handshake {
    private static final String ALGORITHM = "HmacSHA256";
    private static final int CHALLENGE_BYTES = 16;
    private static final SecureRandom RANDOM = new SecureRandom();

    private final String cluster;
    private final byte[] secret;

    /** First message of each side. Immutable. */
    record Hello(String cluster, byte[] challenge) {}

    /** Second message of each side. Immutable. */
    record Proof(byte[] mac) {}

    Handshake(String cluster, String secret) {
        this.cluster = cluster;
        this.secret = secret.getBytes(StandardCharsets.UTF_8);
    }

    /** Runs the handshake on a fresh connection; {@code role} differs between the two sides. */
    void run(DataInputStream in, DataOutputStream out, boolean client) throws IOException {
        byte[] own = new byte[CHALLENGE_BYTES];
        RANDOM.nextBytes(own);
        FrameCodec.write(out, FrameCodec.encode(new Hello(cluster, own)));
        Hello theirs = FrameCodec.decode(FrameCodec.read(in), Hello.class);
        if (!cluster.equals(theirs.cluster()) || theirs.challenge() == null) {
            throw new QuetzalvaneException(ResultCode.PEER_REJECTED, "another cluster name");
        }
        FrameCodec.write(out, FrameCodec.encode(new Proof(mac(client, theirs.challenge(), own))));
        Proof proof = FrameCodec.decode(FrameCodec.read(in), Proof.class);
        byte[] expected = mac(!client, own, theirs.challenge());
        if (proof.mac() == null || !MessageDigest.isEqual(expected, proof.mac())) {
            throw new QuetzalvaneException(ResultCode.PEER_REJECTED, "a wrong secret");
        }
    }

    private byte[] mac(boolean client, byte[] received, byte[] sent) {
        try {
            Mac mac = Mac.getInstance(ALGORITHM);
            mac.init(new SecretKeySpec(secret, ALGORITHM));
            mac.update((byte) (client ? 1 : 2));
            mac.update(received);
            mac.update(sent);
            return mac.doFinal();
        } catch (GeneralSecurityException e) {
            throw new IllegalStateException(e);
        }
    }
}
