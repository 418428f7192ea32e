package org.quetzalvane.core.load;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.concurrent.CompletableFuture;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.quetzalvane.core.model.LoadLimits;
import org.quetzalvane.core.peer.PeerMessage;
import org.quetzalvane.core.peer.PeerPort;
import org.quetzalvane.core.time.ManualScheduler;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * The weight store's limits hold in every time window while messages are delayed randomly and one node stops without
 * releasing its permits.
 */
class LoadGovernorTest {
    private static final LoadLimits LIMITS = new LoadLimits("r1", 3, 8);
    private static final int NODES = 9;
    private static final long NANOS_PER_MILLI = 1_000_000;

    private final ManualScheduler time = new ManualScheduler();
    private final List<Long> starts = new ArrayList<>();
    private final boolean[] stopped = new boolean[NODES];
    private int inFlight;
    private int maxInFlight;

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5})
    void loadsStartNoFasterThanTheRateInAnyWindow(long seed) {
        Random random = new Random(seed);
        LoadGovernor governor = new LoadGovernor(time, () -> LIMITS, alwaysActive());
        for (int i = 0; i < NODES; i++) {
            runNode(i, governor, random);
        }
        time.schedule(Duration.ofSeconds(20), () -> stopped[0] = true);

        time.advance(Duration.ofSeconds(120));

        assertThat(starts).hasSizeGreaterThan(200);
        for (int window = 1; window <= 30; window++) {
            assertThat(maxStartsIn(Math.round(window * 1e9 / LIMITS.loadsPerSecond())))
                    .isLessThanOrEqualTo(window);
        }
        assertThat(maxInFlight).isLessThanOrEqualTo(LIMITS.maxInFlight());
    }

    private void runNode(int number, LoadGovernor governor, Random random) {
        GovernedBudget budget = new GovernedBudget("n" + number, time, governorClient(governor, random), noFallback());
        Runnable work = () -> {
            if (!stopped[number] && budget.tryAcquire(random.nextInt(10))) {
                load(budget, number, random.nextInt(4000));
            }
        };
        budget.onAvailable(work);
        time.repeat(Duration.ofMillis(50), work);
    }

    private void load(LoadBudget budget, int number, long millis) {
        starts.add(time.nanoTime());
        inFlight++;
        maxInFlight = Math.max(maxInFlight, inFlight);
        time.schedule(Duration.ofMillis(millis), () -> {
            inFlight--;
            if (!stopped[number]) {
                budget.release();
            }
        });
    }

    private int maxStartsIn(long window) {
        int most = 0;
        int first = 0;
        for (int i = 0; i < starts.size(); i++) {
            while (starts.get(i) - starts.get(first) >= window) {
                first++;
            }
            most = Math.max(most, i - first + 1);
        }
        return most;
    }

    private GovernedBudget.GovernorClient governorClient(LoadGovernor governor, Random random) {
        return new GovernedBudget.GovernorClient() {
            @Override
            public boolean isAbsent() {
                return false;
            }

            @Override
            public CompletableFuture<PeerMessage> requestPermit(PeerMessage.LoadPermitRequest request) {
                CompletableFuture<PeerMessage> pendingReply = new CompletableFuture<>();
                later(() -> governor.requestPermit(request, reply(pendingReply)));
                return pendingReply;
            }

            @Override
            public void releasePermit(PeerMessage.LoadPermitRelease release) {
                later(() -> governor.releasePermit(release));
            }

            private PeerPort.Reply reply(CompletableFuture<PeerMessage> pendingReply) {
                return new PeerPort.Reply() {
                    @Override
                    public void part(PeerMessage m) {}

                    @Override
                    public void end(PeerMessage m) {
                        later(() -> pendingReply.complete(m));
                    }
                };
            }

            private void later(Runnable task) {
                time.schedule(Duration.ofNanos((long) (random.nextDouble() * 4 * NANOS_PER_MILLI)), task);
            }
        };
    }

    private static LoadBudget noFallback() {
        return new LoadBudget() {
            @Override
            public boolean tryAcquire(double value) {
                return false;
            }

            @Override
            public void release() {}
        };
    }

    private static LoadGovernor.Role alwaysActive() {
        return new LoadGovernor.Role() {
            @Override
            public boolean isActive() {
                return true;
            }

            @Override
            public long fencingToken() {
                return 1;
            }
        };
    }
}
