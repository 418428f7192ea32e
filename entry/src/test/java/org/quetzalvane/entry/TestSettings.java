package org.quetzalvane.entry;

import java.util.Set;

import org.quetzalvane.core.limit.QuotaBounds;
import org.quetzalvane.platform.BootSettings;

/** Settings of nodes on loopback. Stateless. */
final class TestSettings {
    /** Part of the requests that all nodes may repeat in a window. */
    static final double RETRY_RATIO = 0.2;
    /** Repeats that all nodes may send in a window beyond that. */
    static final double RETRY_EXTRA = 50;
    /** Length of the window, ms. */
    static final long RETRY_WINDOW_MS = 10_000;

    private TestSettings() {}

    /** Settings with free addresses for a node that uses the given peers and store. */
    static BootSettings of(String name, Set<String> seeds, String storeAddress) {
        return withRetryBudget(name, seeds, storeAddress, RETRY_RATIO, RETRY_EXTRA);
    }

    /** Settings with another grace period, ms. */
    static BootSettings withGracePeriod(BootSettings s, long gracePeriodMs) {
        return copy(s, gracePeriodMs, s.revocation(), s.descriptors());
    }

    /** Settings that state the most descriptors. */
    static BootSettings withDescriptors(BootSettings s, int descriptors) {
        return copy(s, s.gracePeriodMs(), s.revocation(), descriptors);
    }

    /** Settings with another behaviour while the configuration may be out of date. */
    static BootSettings withRevocation(BootSettings s, BootSettings.Revocation revocation) {
        return copy(s, s.gracePeriodMs(), revocation, s.descriptors());
    }

    private static BootSettings copy(
            BootSettings s, long gracePeriodMs, BootSettings.Revocation revocation, int descriptors) {
        return new BootSettings(
                s.nodeName(),
                s.zone(),
                s.callerAddress(),
                s.readinessAddress(),
                s.peerAddress(),
                s.directoryAddress(),
                s.capacity(),
                s.seeds(),
                s.storeAddress(),
                s.enginePartitions(),
                s.drainTimeoutMs(),
                gracePeriodMs,
                s.leaseDurationMs(),
                s.fencingEnforced(),
                s.retryRatio(),
                s.retryExtra(),
                s.retryWindowMs(),
                s.maxDirectoryTtlS(),
                revocation,
                s.quota(),
                s.reportIntervalMs(),
                s.configApplyMs(),
                descriptors);
    }

    /** The same with the given part of the requests, and number beyond it, that all nodes may retry in a window. */
    static BootSettings withRetryBudget(
            String name, Set<String> seeds, String storeAddress, double ratio, double extra) {
        String[] addresses = new String[4];
        for (int i = 0; i < addresses.length; i++) {
            addresses[i] = TestPorts.freeAddress();
        }
        return new BootSettings(
                name,
                "a",
                addresses[0],
                addresses[1],
                addresses[2],
                addresses[3],
                100,
                seeds,
                storeAddress,
                24,
                2_000,
                8_000,
                3_000,
                true,
                ratio,
                extra,
                RETRY_WINDOW_MS,
                5,
                BootSettings.Revocation.LENIENT,
                QuotaBounds.DEFAULT,
                BootSettings.DEFAULT_REPORT_INTERVAL_MS,
                BootSettings.DEFAULT_CONFIG_APPLY_MS,
                0);
    }
}
