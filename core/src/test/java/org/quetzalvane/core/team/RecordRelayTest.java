package org.quetzalvane.core.team;

import java.time.Duration;
import java.util.Map;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.quetzalvane.core.time.ManualScheduler;
import org.quetzalvane.core.time.SuspendableMachine;

import static org.assertj.core.api.Assertions.assertThat;

/** A node that gets the store's records through its hub, and hubs that are lost or cut off from the store. */
class RecordRelayTest {
    private static final String TOPIC = "operator";

    private final ManualScheduler clock = new ManualScheduler();
    private long applied = -1;
    private final RecordRelay relay = new RecordRelay(clock, topic -> applied);

    private boolean view(String hub, long offset, long storeAgeMs) {
        return relay.onView(hub, Map.of(TOPIC, new PeerMessage.TopicPosition(offset, storeAgeMs)));
    }

    private void synchronize(String hub) {
        assertThat(view(hub, 5, 10)).isTrue();
        applied = 5;
        relay.onRecords(hub, TOPIC);
        view(hub, 5, 10);
    }

    @Test
    void hubIsReliedOnOnceAllItsRecordsHaveArrived() {
        assertThat(view("h1", 5, 10)).isTrue();
        assertThat(relay.reliesOnHub(TOPIC)).isFalse();
        applied = 5;
        view("h1", 5, 10);
        assertThat(relay.reliesOnHub(TOPIC)).isFalse();
        relay.onRecords("h1", TOPIC);
        view("h1", 5, 10);
        assertThat(relay.reliesOnHub(TOPIC)).isTrue();
    }

    /** Parameters: age of the last view, time since the hub heard from the store, and whether the node relies on it. */
    @ParameterizedTest
    @CsvSource({"900, 600, true", "900, 610, false", "1000, 10, false", "0, 1510, false"})
    void storeIsReadWhileTheHubIsSilentOrCutOffFromTheStore(long viewAgeMs, long storeAgeMs, boolean relies) {
        synchronize("h1");
        view("h1", 5, storeAgeMs);
        clock.advance(Duration.ofMillis(viewAgeMs));
        assertThat(relay.reliesOnHub(TOPIC)).isEqualTo(relies);
    }

    /** Parameters: offset before the records that are passed on, and whether the node still relies on the hub. */
    @ParameterizedTest
    @CsvSource({"0, true", "5, true", "6, false"})
    void storeIsReadOnceARecordBeforeThosePassedOnIsMissing(long after, boolean relies) {
        synchronize("h1");
        relay.onPassedOn(TOPIC, after);
        applied = 7;
        assertThat(view("h1", 7, 10)).isFalse();
        assertThat(relay.reliesOnHub(TOPIC)).isEqualTo(relies);
        clock.advance(Duration.ofMillis(1_000));
        assertThat(view("h1", 7, 10)).isEqualTo(!relies);
        relay.onRecords("h1", TOPIC);
        assertThat(relay.reliesOnHub(TOPIC)).isTrue();
    }

    /**
     * A node that lost its hub counted its configuration as old as its own last read, which was before it had the hub.
     * Parameters: silence of the hub, time since this node's own read, and the age.
     */
    @ParameterizedTest
    @CsvSource({"0, 90000, 10", "900, 90000, 910", "1500, 90000, 1510", "1500, 200, 200", "60000, 90000, 60010"})
    void lossOfTheHubDoesNotMakeRecordsOlder(long silentMs, long ownMs, long ageMs) {
        assertThat(relay.ageMs(TOPIC, ownMs)).isEqualTo(ownMs);
        synchronize("h1");
        assertThat(relay.reliesOnHub(TOPIC)).isTrue();
        clock.advance(Duration.ofMillis(silentMs));
        if (silentMs > 900) {
            relay.onDisconnect("h1");
        }
        assertThat(relay.ageMs(TOPIC, ownMs)).isEqualTo(ageMs);
    }

    /** A hub whose read of one topic hung was relied on for it, since it still heard from the store on another one. */
    @Test
    void hubIsReliedOnOnlyForTheTopicsOnWhichItHearsFromTheStore() {
        Map<String, PeerMessage.TopicPosition> positions = Map.of(
                TOPIC, new PeerMessage.TopicPosition(5, 1_600), "endpoints", new PeerMessage.TopicPosition(5, 10));
        applied = 5;
        relay.onView("h1", positions);
        relay.onRecords("h1", TOPIC);
        relay.onRecords("h1", "endpoints");
        assertThat(relay.reliesOnHub("endpoints")).isTrue();
        assertThat(relay.reliesOnHub(TOPIC)).isFalse();
        assertThat(relay.hubHearsStore("h1", "endpoints")).isTrue();
        assertThat(relay.hubHearsStore("h1", TOPIC)).isFalse();
    }

    /** A topic that a hub has not read yet counted as passed on by it. */
    @Test
    void hubIsNotReliedOnForATopicThatItDoesNotState() {
        synchronize("h1");
        assertThat(relay.reliesOnHub("endpoints")).isFalse();
    }

    /** Records passed on while the connection was lost were never requested once a later record had arrived. */
    @Test
    void allRecordsAreRequestedAfterTheConnectionToTheHubWasLost() {
        synchronize("h1");
        relay.onDisconnect("h1");
        applied = 7;
        assertThat(relay.reliesOnHub(TOPIC)).isFalse();
        assertThat(view("h1", 7, 10)).isTrue();
        assertThat(relay.reliesOnHub(TOPIC)).isFalse();
        relay.onRecords("h1", TOPIC);
        view("h1", 7, 10);
        assertThat(relay.reliesOnHub(TOPIC)).isTrue();
    }

    /** After a suspension the hub's records, and the age stated for them, looked as recent as before it. */
    @Test
    void storeIsReadAfterTheMachineWasSuspended() {
        SuspendableMachine machine = new SuspendableMachine(clock);
        RecordRelay suspended = new RecordRelay(machine, topic -> 5L);
        Map<String, PeerMessage.TopicPosition> positions = Map.of(TOPIC, new PeerMessage.TopicPosition(5, 10));
        suspended.onView("h1", positions);
        suspended.onRecords("h1", TOPIC);
        suspended.onView("h1", positions);
        assertThat(suspended.reliesOnHub(TOPIC)).isTrue();
        machine.suspend(60_000);
        assertThat(suspended.reliesOnHub(TOPIC)).isFalse();
        assertThat(suspended.storeAgeMs(TOPIC)).isEqualTo(60_010);
    }

    @Test
    void ageOfTheRecordsIsThatOfTheHub() {
        synchronize("h1");
        view("h1", 5, 700);
        clock.advance(Duration.ofMillis(200));
        assertThat(relay.storeAgeMs(TOPIC)).isEqualTo(900);
    }

    @Test
    void missingRecordIsRequestedOnceASecond() {
        synchronize("h1");
        clock.advance(Duration.ofSeconds(2));
        assertThat(view("h1", 6, 10)).isTrue();
        assertThat(relay.reliesOnHub(TOPIC)).isFalse();
        clock.advance(Duration.ofMillis(300));
        assertThat(view("h1", 6, 10)).isFalse();
        clock.advance(Duration.ofMillis(700));
        assertThat(view("h1", 6, 10)).isTrue();
        applied = 6;
        view("h1", 6, 10);
        assertThat(relay.reliesOnHub(TOPIC)).isTrue();
    }

    @Test
    void newHubIsReliedOnOnlyAfterItsOwnRecords() {
        synchronize("h1");
        assertThat(view("h2", 5, 10)).isTrue();
        relay.onRecords("h1", TOPIC);
        view("h2", 5, 10);
        assertThat(relay.reliesOnHub(TOPIC)).isFalse();
        relay.onRecords("h2", TOPIC);
        view("h2", 5, 10);
        assertThat(relay.reliesOnHub(TOPIC)).isTrue();
    }
}
