package org.quetzalvane.core.limit;

import java.util.List;
import java.util.OptionalDouble;
import java.util.regex.Pattern;

/** Value of a header with the requests per second that an endpoint takes. Stateless and thread-safe. */
public final class RequestLimitValue {
    private static final Pattern DECIMAL = Pattern.compile("[0-9]{1,9}(\\.[0-9]{1,9})?");

    private RequestLimitValue() {}

    /**
     * The requests per second; empty if the values cannot be read as one decimal number without sign.
     *
     * @param values all values of the header, at least one
     */
    public static OptionalDouble parse(List<String> values) {
        String text = values.get(0).trim();
        return values.size() == 1 && DECIMAL.matcher(text).matches()
                ? OptionalDouble.of(Double.parseDouble(text))
                : OptionalDouble.empty();
    }
}
