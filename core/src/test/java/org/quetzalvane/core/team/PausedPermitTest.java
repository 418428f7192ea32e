package org.quetzalvane.core.team;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.quetzalvane.core.fleet.Endpoint;
import org.quetzalvane.core.limit.Permit;
import org.quetzalvane.core.time.ManualScheduler;
import org.quetzalvane.core.time.SuspendableMachine;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Replies of a holder that a node reads after it stood still. Input is processed before timers then, so that a permit
 * which was granted before the pause was used after it, in addition to what others had been granted since.
 */
class PausedPermitTest {
    private static final Endpoint ENDPOINT =
            new Endpoint("e1", "plain", "127.0.0.1", 1, "a", "v1", Endpoint.State.READY, 4, 1, Map.of());
    private static final long MAX_WAIT_MS = 50;

    private final ManualScheduler clock = new ManualScheduler();
    private final SuspendableMachine machine = new SuspendableMachine(clock);
    private final FreezableScheduler scheduler = new FreezableScheduler(machine);
    private final List<PeerMessage> sent = new ArrayList<>();
    private final List<Permit> permits = new ArrayList<>();
    private final PermitExchange exchange = new PermitExchange(
            scheduler,
            (code, subject, fields) -> {},
            new HubLinks("n1", () -> false, () -> Set.of("h1"), () -> List.of(), (to, m) -> sent.add(m)),
            () -> 2);

    private void askAndBeGrantedAfter(Runnable pause) {
        exchange.observe(ENDPOINT, 5, scheduler.nanoTime());
        sent.clear();
        exchange.acquire(ENDPOINT, 0, MAX_WAIT_MS, permits::add);
        PeerMessage.PermitRequest r = (PeerMessage.PermitRequest) sent.get(0);
        sent.clear();
        pause.run();
        exchange.receive(new PeerMessage.PermitReply("h1", r.number(), r.endpoint(), r.bornMs(), true, 0));
    }

    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void permitGrantedBeforeAPauseIsReturned(boolean machineSuspended) {
        askAndBeGrantedAfter(() -> {
            if (machineSuspended) {
                machine.suspend(5_000);
            } else {
                scheduler.setFrozen(true);
                clock.advance(Duration.ofSeconds(5));
            }
        });
        scheduler.setFrozen(false);
        assertThat(permits).extracting(Permit::granted).containsExactly(false);
        assertThat(sent).anyMatch(m -> m instanceof PeerMessage.PermitReturn);
    }

    @Test
    void permitGrantedInTimeIsUsed() {
        askAndBeGrantedAfter(() -> clock.advance(Duration.ofMillis(MAX_WAIT_MS)));
        assertThat(permits).extracting(Permit::granted).containsExactly(true);
        assertThat(sent).noneMatch(m -> m instanceof PeerMessage.PermitReturn);
    }
}
