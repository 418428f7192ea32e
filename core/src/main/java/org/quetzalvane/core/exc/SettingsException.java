package org.quetzalvane.core.exc;

import java.util.List;

import org.quetzalvane.core.ResultCode;

/** Settings with faults; carries all of them. Immutable. */
public class SettingsException extends QuetzalvaneException {
    private static final long serialVersionUID = 1L;

    private final transient List<Violation> violations;

    /**
     * One fault. Immutable.
     *
     * @param key the key, with its table
     * @param value the value found, or empty
     * @param message what is wrong and what is allowed
     */
    public record Violation(String key, String value, String message) {

        @Override
        public String toString() {
            return value.isEmpty() ? key + ": " + message : key + " = " + value + ": " + message;
        }
    }

    /** Builds the exception; its message lists every fault on a line. */
    public SettingsException(List<Violation> faults) {
        super(
                ResultCode.SETTINGS_INVALID,
                String.join("\n", faults.stream().map(Violation::toString).toList()));
        this.violations = List.copyOf(faults);
    }

    public List<Violation> violations() {
        return violations;
    }
}
