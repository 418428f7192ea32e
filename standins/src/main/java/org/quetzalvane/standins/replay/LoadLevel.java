package org.quetzalvane.standins.replay;

/**
 * Load levels at which policies are compared, as the load rate that the baseline policy needs relative to the store's
 * limit.
 */
public enum LoadLevel {
    /** The baseline policy uses about 60% of the store's rate limit. */
    LIGHT(0.6),
    /** The baseline policy needs the complete rate limit. */
    KNEE(1.0),
    /** The baseline policy needs twice the rate limit. */
    DOUBLE(2.0);

    private final double share;

    LoadLevel(double share) {
        this.share = share;
    }

    public double share() {
        return share;
    }
}
