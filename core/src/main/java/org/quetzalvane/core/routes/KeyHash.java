package org.quetzalvane.core.routes;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;

/**
 * SHA-256 of an API key; the key itself cannot be derived from it. Immutable.
 *
 * @param a first 8 bytes of the hash
 * @param b second 8 bytes
 * @param c third 8 bytes
 * @param d last 8 bytes
 */
public record KeyHash(long a, long b, long c, long d) {

    /** Hash of the bytes of a key as they are sent; a key of the configuration is sent in UTF-8. */
    public static KeyHash of(byte[] key) {
        ByteBuffer hash = ByteBuffer.wrap(sha256().digest(key));
        return new KeyHash(hash.getLong(), hash.getLong(), hash.getLong(), hash.getLong());
    }

    /** Hash of a key of the configuration. */
    public static KeyHash of(String key) {
        return of(key.getBytes(StandardCharsets.UTF_8));
    }

    private static MessageDigest sha256() {
        try {
            return MessageDigest.getInstance("SHA-256");
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException("every Java platform has SHA-256", e);
        }
    }
}
