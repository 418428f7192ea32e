package org.quetzalvane.core.routing;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;
import java.util.Optional;

import org.quetzalvane.core.ResultCode;
import org.quetzalvane.core.config.ConfigState;
import org.quetzalvane.core.config.ConfigTable;
import org.quetzalvane.core.exc.RefusedException;
import org.quetzalvane.core.model.AdapterVersion;
import org.quetzalvane.core.model.Caller;
import org.quetzalvane.core.request.Refusal;

/**
 * Authenticates callers and checks what they may use, by the configuration in force.
 *
 * <p>Methods throw {@link RefusedException} with the result code of the refusal. Stateless apart from the configuration
 * table; thread-safe.
 */
public final class AccessChecker {
    private final ConfigTable config;

    public AccessChecker(ConfigTable config) {
        this.config = config;
    }

    /**
     * The caller to which a bearer token belongs.
     *
     * @throws RefusedException UNAUTHENTICATED if the token is missing or unknown
     */
    public Caller authenticate(String token) {
        Optional<Caller> caller =
                token == null || token.isEmpty() ? Optional.empty() : config.read(s -> s.callerByToken(sha256(token)));
        return caller.orElseThrow(() -> refused(ResultCode.UNAUTHENTICATED, "the token is missing or unknown"));
    }

    /**
     * Checks that the caller may use the adapter version and that it exists.
     *
     * @throws RefusedException ACCESS_DENIED, UNKNOWN_ADAPTER or UNKNOWN_VERSION
     */
    public void checkAdapter(Caller caller, AdapterVersion v) {
        Optional<Refusal> refusal = config.read(s -> adapterRefusal(s, caller, v));
        refusal.ifPresent(r -> {
            throw new RefusedException(r);
        });
    }

    /**
     * Checks that the caller may use the service and that it exists.
     *
     * @throws RefusedException ACCESS_DENIED or UNKNOWN_SERVICE
     */
    public void checkService(Caller caller, String service) {
        boolean known = config.read(s -> s.service(service).isPresent());
        boolean allowed = config.read(s -> s.allowsService(caller.name(), service));
        if (!allowed) {
            throw refused(ResultCode.ACCESS_DENIED, caller.name() + " may not use service " + service);
        }
        if (!known) {
            throw refused(ResultCode.UNKNOWN_SERVICE, "service " + service + " does not exist");
        }
    }

    /** SHA-256 of a token in lower-case hexadecimal, the form that caller records store. */
    public static String sha256(String token) {
        try {
            MessageDigest d = MessageDigest.getInstance("SHA-256");
            return HexFormat.of().formatHex(d.digest(token.getBytes(StandardCharsets.UTF_8)));
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException(e);
        }
    }

    private static Optional<Refusal> adapterRefusal(ConfigState s, Caller caller, AdapterVersion v) {
        if (!s.allowsAdapter(caller.name(), v)) {
            return Optional.of(Refusal.of(ResultCode.ACCESS_DENIED, caller.name() + " may not use " + v));
        }
        if (s.adapter(v.adapter()).isEmpty()) {
            return Optional.of(Refusal.of(ResultCode.UNKNOWN_ADAPTER, "adapter " + v.adapter() + " does not exist"));
        }
        return s.version(v).isEmpty()
                ? Optional.of(Refusal.of(ResultCode.UNKNOWN_VERSION, "version " + v + " does not exist"))
                : Optional.empty();
    }

    private static RefusedException refused(ResultCode code, String message) {
        return new RefusedException(Refusal.of(code, message));
    }
}
