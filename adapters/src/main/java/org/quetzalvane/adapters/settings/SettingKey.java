package org.quetzalvane.adapters.settings;

import java.net.URI;
import java.util.List;
import java.util.Optional;
import java.util.function.Function;
import java.util.regex.Pattern;

/**
 * One known key of the settings file: its default and its check. Immutable.
 *
 * @param path table and key, joined by a dot
 * @param missing the default as text; null when the key is required
 * @param numeric whether the value is a number
 * @param allowed description of what is allowed
 * @param valid whether a value given as text is allowed
 */
record SettingKey(String path, String missing, boolean numeric, String allowed, Function<String, Boolean> valid) {
    private static final Pattern NAME = Pattern.compile("[a-z0-9][a-z0-9-]{0,39}");
    private static final Pattern ADDRESS = Pattern.compile("\\d{1,3}(\\.\\d{1,3}){3}:\\d{1,5}|\\[[0-9a-f:]+]:\\d{1,5}");
    private static final int MAX_PORT = 65_535;
    private static final int MIN_SECRET = 16;

    /** A name, required. */
    static SettingKey name(String path) {
        String allowed = "1 to 40 lower-case letters, digits and hyphens";
        return new SettingKey(path, null, false, allowed, v -> NAME.matcher(v).matches());
    }

    /** An IP address and port, required. */
    static SettingKey address(String path) {
        return new SettingKey(path, null, false, "IP:PORT with a port from 1 to 65535", SettingKey::isAddress);
    }

    /** The base URL of an HTTP service, required. */
    static SettingKey url(String path) {
        return new SettingKey(path, null, false, "an http:// or https:// URL without a trailing /", SettingKey::isUrl);
    }

    /** A shared secret, required. */
    static SettingKey secret(String path) {
        return new SettingKey(
                path, null, false, "at least " + MIN_SECRET + " characters", v -> v.length() >= MIN_SECRET);
    }

    /** A whole number in a range. */
    static SettingKey whole(String path, long missing, long min, long max) {
        return new SettingKey(
                path, Long.toString(missing), true, "a whole number from " + min + " to " + max, v -> parse(v).filter(
                                n -> n == Math.rint(n) && n >= min && n <= max)
                        .isPresent());
    }

    /** A number in a range. */
    static SettingKey decimal(String path, double missing, double min, double max) {
        return new SettingKey(path, Double.toString(missing), true, "a number from " + min + " to " + max, v -> parse(v)
                .filter(n -> n >= min && n <= max)
                .isPresent());
    }

    /** One of a few words. */
    static SettingKey oneOf(String path, String missing, List<String> words) {
        return new SettingKey(path, missing, false, "one of " + String.join(", ", words), words::contains);
    }

    private static Optional<Double> parse(String v) {
        try {
            return Optional.of(Double.parseDouble(v));
        } catch (NumberFormatException e) {
            return Optional.empty();
        }
    }

    private static boolean isAddress(String v) {
        if (!ADDRESS.matcher(v).matches()) {
            return false;
        }
        int port = Integer.parseInt(v.substring(v.lastIndexOf(':') + 1));
        return port >= 1 && port <= MAX_PORT;
    }

    private static boolean isUrl(String v) {
        try {
            URI uri = URI.create(v);
            boolean http = "http".equals(uri.getScheme()) || "https".equals(uri.getScheme());
            return http && uri.getHost() != null && !v.endsWith("/");
        } catch (IllegalArgumentException e) {
            return false;
        }
    }
}
