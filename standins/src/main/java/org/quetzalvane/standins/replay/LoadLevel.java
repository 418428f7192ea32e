package org.quetzalvane.standins.replay;

/** Loads at which policies are compared, by what the first baseline would need of the store's rate. */
public enum LoadLevel {
    /** The baseline uses about 60% of the store's rate. */
    LIGHT(0.6),
    /** The baseline would use all of it. */
    KNEE(1.0),
    /** The baseline would need twice it. */
    DOUBLE(2.0);

    private final double share;

    LoadLevel(double share) {
        this.share = share;
    }

    public double share() {
        return share;
    }
}
