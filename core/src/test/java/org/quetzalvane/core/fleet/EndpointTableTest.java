package org.quetzalvane.core.fleet;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.quetzalvane.core.time.ManualScheduler;

import static org.assertj.core.api.Assertions.assertThat;

class EndpointTableTest {
    private final ManualScheduler clock = new ManualScheduler();
    private final EndpointTable table = new EndpointTable(clock);

    private static Endpoint endpoint(String id, long born, Endpoint.State state) {
        return new Endpoint(id, "s", "127.0.0.1", 1, "a", "v1", state, 4, born, Map.of());
    }

    private List<String> usable() {
        return table.usable("s", null).stream().map(Endpoint::id).toList();
    }

    @Test
    void drainingEndpointIsALastResortForALimitedTime() {
        table.apply(endpoint("e1", 1, Endpoint.State.DRAINING));
        assertThat(usable()).containsExactly("e1");
        table.apply(endpoint("e2", 1, Endpoint.State.READY));
        assertThat(usable()).containsExactly("e2");
        clock.advance(Duration.ofMillis(EndpointTable.LAST_RESORT_MS + 1));
        table.entryRemoved("e2");
        assertThat(usable()).containsExactly("e2");
        clock.advance(Duration.ofMillis(EndpointTable.LAST_RESORT_MS + 1));
        assertThat(usable()).isEmpty();
    }

    @Test
    void lateReadyEntryDoesNotRestoreADrainingInstance() {
        table.apply(endpoint("e1", 1, Endpoint.State.DRAINING));
        clock.advance(Duration.ofSeconds(2));
        table.apply(endpoint("e1", 1, Endpoint.State.READY));
        assertThat(usable()).isEmpty();
        table.apply(endpoint("e1", 2, Endpoint.State.READY));
        assertThat(usable()).containsExactly("e1");
    }

    @Test
    void entryThatExpiredDuringAStoreOutageIsRestored() {
        table.apply(endpoint("e1", 1, Endpoint.State.READY));
        table.applyListing(Set.of());
        clock.advance(Duration.ofSeconds(2));
        assertThat(usable()).isEmpty();
        table.apply(endpoint("e1", 1, Endpoint.State.READY));
        assertThat(usable()).containsExactly("e1");
    }

    @Test
    void eachInstanceIsReportedOnce() {
        List<Long> instances = new ArrayList<>();
        table.onNewInstance(e -> instances.add(e.bornMs()));
        table.apply(endpoint("e1", 1, Endpoint.State.READY));
        table.apply(endpoint("e1", 1, Endpoint.State.READY));
        table.apply(endpoint("e1", 5, Endpoint.State.READY));
        assertThat(instances).containsExactly(1L, 5L);
    }

    /** The mark precedes the entry, whose late ready state must not lift it; it does not hold for a new instance. */
    @ParameterizedTest
    @CsvSource({"1, true, ''", "0, false, 'e1'", "2, true, 'e1'"})
    void endpointThatSaysItLeavesIsDrainingUntilItsNextInstance(long born, boolean news, String usableAfter) {
        table.apply(endpoint("e1", 1, Endpoint.State.READY));
        assertThat(table.markDraining("e1", born)).isEqualTo(news);
        assertThat(table.markDraining("e1", born)).isFalse();
        clock.advance(Duration.ofMillis(EndpointTable.LAST_RESORT_MS + 1));
        table.apply(endpoint("e1", 1, Endpoint.State.READY));
        assertThat(String.join(",", usable())).isEqualTo(usableAfter);
        table.apply(endpoint("e1", 3, Endpoint.State.READY));
        assertThat(usable()).containsExactly("e1");
    }

    /** A node that starts hears of leaving endpoints before it knows their entries, which still say ready. */
    @Test
    void endpointThatSaidItLeavesBeforeItIsListedIsNotReady() {
        assertThat(table.markDraining("e1", 1)).isTrue();
        assertThat(table.markDraining("e1", 1)).isFalse();
        assertThat(table.leavingMarks()).isEqualTo(Map.of("e1", 1L));
        table.apply(endpoint("e1", 1, Endpoint.State.READY));
        assertThat(table.ready()).isEmpty();
        clock.advance(Duration.ofMillis(EndpointTable.LAST_RESORT_MS + 1));
        table.apply(endpoint("e1", 1, Endpoint.State.READY));
        assertThat(usable()).isEmpty();
        table.apply(endpoint("e1", 2, Endpoint.State.READY));
        assertThat(usable()).containsExactly("e1");
    }

    @Test
    void marksOfLeavingEndpointsExpire() {
        table.markDraining("e1", 1);
        clock.advance(Duration.ofSeconds(61));
        assertThat(table.leavingMarks()).isEmpty();
        table.apply(endpoint("e1", 1, Endpoint.State.READY));
        assertThat(usable()).containsExactly("e1");
    }

    @Test
    void endpointThatAskedToWaitIsNotUsableUntilTheWaitEnds() {
        Endpoint e1 = endpoint("e1", 1, Endpoint.State.READY);
        table.apply(e1);
        table.apply(endpoint("e2", 1, Endpoint.State.READY));
        table.backOff(e1, 3_000);
        table.backOff(e1, 1_000);
        assertThat(usable()).containsExactly("e2");
        assertThat(table.backoffMs("s", null)).isZero();
        clock.advance(Duration.ofMillis(2_999));
        assertThat(usable()).containsExactly("e2");
        clock.advance(Duration.ofMillis(1));
        assertThat(usable()).containsExactlyInAnyOrder("e1", "e2");
    }

    @Test
    void earliestEndOfAllWaitsIsKnownAndANewInstanceTakesRequests() {
        Endpoint e1 = endpoint("e1", 1, Endpoint.State.READY);
        Endpoint e2 = endpoint("e2", 1, Endpoint.State.READY);
        table.apply(e1);
        table.apply(e2);
        table.backOff(e1, 5_000);
        table.backOff(e2, 2_000);
        assertThat(usable()).isEmpty();
        assertThat(table.backoffMs("s", null)).isEqualTo(2_000);
        table.apply(endpoint("e1", 2, Endpoint.State.READY));
        assertThat(usable()).containsExactly("e1");
    }

    private static Endpoint endpointOfVersion(long born, String softwareVersion) {
        return new Endpoint("e1", "s", "127.0.0.1", 1, "a", softwareVersion, Endpoint.State.READY, 4, born, Map.of());
    }

    /** After a restore of the store, the entry of an earlier run of an endpoint replaced that of its present run. */
    @ParameterizedTest
    @CsvSource({"0, false", "1200, false", "2499, false", "1200, true"})
    void entryOfAnEarlierRunDoesNotReplaceTheKnownOneThatIsWrittenAgain(long writtenAfterMs, boolean twoRestores) {
        List<Long> instances = new ArrayList<>();
        table.onNewInstance(e -> instances.add(e.bornMs()));
        table.apply(endpointOfVersion(5, "v2"));
        assertThat(table.apply(endpointOfVersion(1, "v1"))).isFalse();
        clock.advance(Duration.ofMillis(writtenAfterMs));
        assertThat(table.find("e1").bornMs()).isEqualTo(5);
        assertThat(table.apply(endpointOfVersion(5, "v2"))).isTrue();
        if (twoRestores) {
            assertThat(table.apply(endpointOfVersion(1, "v1"))).isFalse();
            clock.advance(Duration.ofMillis(EndpointTable.HOLD_BACK_MS - 1));
            assertThat(table.find("e1").bornMs()).isEqualTo(5);
            table.apply(endpointOfVersion(5, "v2"));
        }
        clock.advance(Duration.ofMillis(2 * EndpointTable.HOLD_BACK_MS));
        assertThat(table.find("e1").softwareVersion()).isEqualTo("v2");
        assertThat(table.softwareVersions("s")).containsExactly("v2");
        assertThat(instances).containsExactly(5L);
    }

    /** The clock of the endpoint was set back between its starts; its entry may stay the only one of its instance. */
    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void instanceWithAnEarlierStartIsUsedOnceItWritesAgainOrTheKnownOneStaysSilent(boolean writesAgain) {
        table.apply(endpointOfVersion(5, "v1"));
        assertThat(table.apply(endpointOfVersion(3, "v2"))).isFalse();
        clock.advance(Duration.ofMillis(writesAgain ? 1_200 : EndpointTable.HOLD_BACK_MS));
        if (writesAgain) {
            assertThat(table.apply(endpointOfVersion(3, "v2"))).isTrue();
        }
        assertThat(table.find("e1").bornMs()).isEqualTo(3);
        clock.advance(Duration.ofMillis(EndpointTable.HOLD_BACK_MS));
        assertThat(table.find("e1").bornMs()).isEqualTo(3);
    }

    @Test
    void entryThatIsHeldBackIsForgottenWhenItsKeyIsRemoved() {
        table.apply(endpointOfVersion(5, "v2"));
        table.apply(endpointOfVersion(1, "v1"));
        table.entryRemoved("e1");
        clock.advance(Duration.ofMillis(EndpointTable.HOLD_BACK_MS));
        assertThat(table.softwareVersions("s")).containsExactly("v2");
    }

    /** Streams of the replaced instance may still be taken up, and its version seemed never to have served. */
    @Test
    void versionOfAReplacedInstanceStaysKnownAsLongAsItsStreamsMayLast() {
        table.apply(endpointOfVersion(1, "v1"));
        table.apply(endpointOfVersion(5, "v2"));
        clock.advance(Duration.ofMillis(EndpointTable.RETENTION_MS));
        assertThat(table.softwareVersions("s")).containsExactlyInAnyOrder("v1", "v2");
        clock.advance(Duration.ofMillis(1));
        assertThat(table.softwareVersions("s")).containsExactly("v2");
        assertThat(table.softwareVersions()).containsExactly(new ServiceVersion("s", "v2"));
    }

    @Test
    void versionThatCameUnderTheIdOfAnotherCountsAsUpgradedAsLongAsStreamsMayLast() {
        table.apply(endpointOfVersion(1, "v1"));
        table.apply(endpointOfVersion(2, "v1"));
        table.apply(endpointOfVersion(5, "v2"));
        assertThat(table.isUpgradedInPlace(new ServiceVersion("s", "v1"))).isFalse();
        assertThat(table.isUpgradedInPlace(new ServiceVersion("s", "v2"))).isTrue();
        clock.advance(Duration.ofMillis(EndpointTable.RETENTION_MS + 1));
        assertThat(table.isUpgradedInPlace(new ServiceVersion("s", "v2"))).isFalse();
    }
}
