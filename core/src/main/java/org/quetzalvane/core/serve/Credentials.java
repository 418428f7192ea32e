package org.quetzalvane.core.serve;

import java.nio.charset.StandardCharsets;
import java.util.List;

import org.quetzalvane.core.routes.KeyHash;

/**
 * The headers of a request that state who its caller is. They are passed on only if the configuration has no client
 * accounts. The text form shows none of them. Immutable.
 *
 * @param allHeaders all headers to pass on, these included, in the order of their arrival
 * @param authorization values of the Authorization headers
 */
public record Credentials(List<Header> allHeaders, List<String> authorization) {
    /** Credentials of a request without any headers. */
    public static final Credentials NONE = new Credentials(List.of(), List.of());

    private static final String SCHEME = "Bearer";
    /** Longest key, bytes: 1,024 characters, the limit of the configuration, of at most 3 bytes each. */
    private static final int MAX_KEY_BYTES = 3 * 1_024;

    public Credentials {
        allHeaders = List.copyOf(allHeaders);
        authorization = List.copyOf(authorization);
    }

    /** What kind of credentials a request carries. */
    enum Kind {
        /** None, or those of another scheme. */
        NONE,
        /** Several Authorization headers, or an empty or over-long key. */
        MALFORMED,
        KEY
    }

    Kind kind() {
        if (authorization.size() > 1) {
            return Kind.MALFORMED;
        }
        if (authorization.isEmpty() || !isBearer(authorization.get(0).trim())) {
            return Kind.NONE;
        }
        int length = key().length();
        return length == 0 || length > MAX_KEY_BYTES ? Kind.MALFORMED : Kind.KEY;
    }

    /** Hash of the key; only for credentials of the kind {@link Kind#KEY}. */
    KeyHash keyHash() {
        // A header has one character per byte received.
        return KeyHash.of(key().getBytes(StandardCharsets.ISO_8859_1));
    }

    private String key() {
        return authorization.get(0).trim().substring(SCHEME.length()).trim();
    }

    private static boolean isBearer(String value) {
        return value.regionMatches(true, 0, SCHEME, 0, SCHEME.length())
                && (value.length() == SCHEME.length() || value.charAt(SCHEME.length()) == ' ');
    }

    @Override
    public String toString() {
        return "Credentials[" + authorization.size() + " Authorization headers]";
    }
}
