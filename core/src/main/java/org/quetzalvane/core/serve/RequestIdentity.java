package org.quetzalvane.core.serve;

import net.openhft.hashing.LongHashFunction;

/**
 * What makes one request a repeat of another: method, host, target, adapter, credentials of the caller, and body; not
 * its id, its deadline or the position in a stream. Stateless and thread-safe.
 */
final class RequestIdentity {
    private static final LongHashFunction HASH = LongHashFunction.xx3();

    private RequestIdentity() {}

    /** Hash that repeats of a request share. */
    static long of(CallerRequest r) {
        String credentials =
                r.credentials().authorization().stream().findFirst().orElse("");
        return HASH.hashLongs(new long[] {
            HASH.hashChars(r.method()),
            HASH.hashChars(r.host()),
            HASH.hashChars(r.target()),
            HASH.hashChars(String.valueOf(r.adapter())),
            HASH.hashChars(credentials),
            HASH.hashBytes(r.body())
        });
    }
}
