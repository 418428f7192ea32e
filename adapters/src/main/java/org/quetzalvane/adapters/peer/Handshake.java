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
 * Mutual authentication at the start of a peer connection.
 *
 * <p>Each side sends the name of its cluster and a random challenge, and proves that it knows the cluster's secret by a
 * keyed hash over both challenges; the secret itself is never sent. Another cluster name or a wrong hash fails with
 * {@link ResultCode#PEER_REJECTED}. Immutable and thread-safe.
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

    /**
     * Runs the handshake on a new connection; {@code connecting} is true on the connecting side, so that the hashes of
     * the two sides differ.
     */
    void run(DataInputStream in, DataOutputStream out, boolean connecting) throws IOException {
        byte[] ownChallenge = new byte[CHALLENGE_BYTES];
        RANDOM.nextBytes(ownChallenge);
        FrameCodec.write(out, FrameCodec.encode(new Hello(cluster, ownChallenge)));
        Hello peerHello = FrameCodec.decode(FrameCodec.read(in), Hello.class);
        if (!cluster.equals(peerHello.cluster()) || peerHello.challenge() == null) {
            throw new QuetzalvaneException(
                    ResultCode.PEER_REJECTED, "peer sent a hello of another cluster or without a challenge");
        }
        FrameCodec.write(out, FrameCodec.encode(new Proof(proofOf(connecting, peerHello.challenge(), ownChallenge))));
        Proof proof = FrameCodec.decode(FrameCodec.read(in), Proof.class);
        byte[] expected = proofOf(!connecting, ownChallenge, peerHello.challenge());
        if (proof.mac() == null || !MessageDigest.isEqual(expected, proof.mac())) {
            throw new QuetzalvaneException(
                    ResultCode.PEER_REJECTED, "proof of the peer does not match the cluster secret");
        }
    }

    /** Computes the proof of one side from the challenge that this side received and the one that it sent. */
    private byte[] proofOf(boolean connecting, byte[] challengeToProver, byte[] challengeFromProver) {
        try {
            Mac algorithm = Mac.getInstance(ALGORITHM);
            algorithm.init(new SecretKeySpec(secret, ALGORITHM));
            algorithm.update((byte) (connecting ? 1 : 2));
            algorithm.update(challengeToProver);
            algorithm.update(challengeFromProver);
            return algorithm.doFinal();
        } catch (GeneralSecurityException e) {
            throw new IllegalStateException(e);
        }
    }
}
