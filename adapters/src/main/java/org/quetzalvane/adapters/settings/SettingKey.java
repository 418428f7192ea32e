package org.quetzalvane.adapters.settings;

import java.net.URI;
import java.util.List;
import java.util.Optional;
import java.util.function.Function;
import java.util.regex.Pattern;

/**
 * Definition of one key of the settings file: its default value and its validation. Immutable.
 *
 * @param path table and key, joined by a dot
 * @param defaultValue default value as text; null if the key is required
 * @param numeric whether the value is a number
 * @param allowed description of the allowed values
 * @param valid tests whether a value given as text is allowed
 */
record SettingKey(String path, String defaultValue, boolean numeric, String allowed, Function<String, Boolean> valid) {
    private static final Pattern NAME = Pattern.compile("[a-z0-9][a-z0-9-]{0,39}");
    private static final Pattern ADDRESS = Pattern.compile("\\d{1,3}(\\.\\d{1,3}){3}:\\d{1,5}|\\[[0-9a-f:]+]:\\d{1,5}");
    private static final int MAX_PORT = 65_535;
    private static final int MIN_SECRET_CHARACTERS = 16;

    /** Required name. */
    static SettingKey name(String path) {
        String allowed = "1 to 40 lower-case letters, digits and hyphens";
        return new SettingKey(path, null, false, allowed, v -> NAME.matcher(v).matches());
    }

    /** Required IP address with a port. */
    static SettingKey address(String path) {
        return new SettingKey(path, null, false, "IP:PORT with a port from 1 to 65535", SettingKey::isAddress);
    }

    /** Required base URL of an HTTP service. */
    static SettingKey url(String path) {
        return new SettingKey(path, null, false, "an http:// or https:// URL without a trailing /", SettingKey::isUrl);
    }

    /** Required shared secret. */
    static SettingKey secret(String path) {
        return new SettingKey(
                path,
                null,
                false,
                "at least " + MIN_SECRET_CHARACTERS + " characters",
                v -> v.length() >= MIN_SECRET_CHARACTERS);
    }

    /** Integer in a range, both ends included. */
    static SettingKey integer(String path, long defaultValue, long min, long max) {
        return new SettingKey(
                path, Long.toString(defaultValue), true, "a whole number from " + min + " to " + max, v -> parseNumber(
                                v)
                        .filter(n -> n == Math.rint(n) && n >= min && n <= max)
                        .isPresent());
    }

    /** Number in a range, both ends included. */
    static SettingKey decimal(String path, double defaultValue, double min, double max) {
        return new SettingKey(
                path, Double.toString(defaultValue), true, "a number from " + min + " to " + max, v -> parseNumber(v)
                        .filter(n -> n >= min && n <= max)
                        .isPresent());
    }

    /** One of the given words. */
    static SettingKey oneOf(String path, String defaultValue, List<String> choices) {
        return new SettingKey(path, defaultValue, false, "one of " + String.join(", ", choices), choices::contains);
    }

    private static Optional<Double> parseNumber(String text) {
        try {
            return Optional.of(Double.parseDouble(text));
        } catch (NumberFormatException e) {
            return Optional.empty();
        }
    }

    private static boolean isAddress(String text) {
        if (!ADDRESS.matcher(text).matches()) {
            return false;
        }
        int port = Integer.parseInt(text.substring(text.lastIndexOf(':') + 1));
        return port >= 1 && port <= MAX_PORT;
    }

    private static boolean isUrl(String text) {
        try {
            URI uri = URI.create(text);
            boolean isHttp = "http".equals(uri.getScheme()) || "https".equals(uri.getScheme());
            return isHttp && uri.getHost() != null && !text.endsWith("/");
        } catch (IllegalArgumentException e) {
            return false;
        }
    }
}
