package org.quetzalvane.standins.replay;

/**
 * Levels at which policies are compared: the rate of adapter loads that the baseline policy needs, relative to the rate
 * limit of the store.
 */
public enum LoadLevel {
    /** The baseline policy uses about 60% of the store's rate limit. */
    LIGHT(0.6),
    /** The baseline policy needs exactly the rate limit, beyond which loads queue up. */
    KNEE(1.0),
    /** The baseline policy needs twice the rate limit. */
    DOUBLE(2.0);

    private final double relativeLoadRate;

    LoadLevel(double share) {
        this.relativeLoadRate = share;
    }

    /** Returns the load rate of the baseline policy as a multiple of the store's rate limit. */
    public double relativeLoadRate() {
        return relativeLoadRate;
    }
}
