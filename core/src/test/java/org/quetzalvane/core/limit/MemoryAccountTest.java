package org.quetzalvane.core.limit;

import java.util.ArrayList;
import java.util.List;
import java.util.stream.IntStream;
import java.util.stream.Stream;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.quetzalvane.core.limit.MemoryAccount.Holding;
import org.quetzalvane.core.limit.MemoryAccount.Kind;

import static org.assertj.core.api.Assertions.assertThat;

class MemoryAccountTest {
    private static final long CAPACITY = 60_000_000;

    private final MemoryAccount account = new MemoryAccount(CAPACITY);

    @Test
    void sharesAddUpToTheCapacity() {
        long sum = Stream.of(Kind.values()).mapToLong(account::share).sum();
        assertThat(sum).isBetween(CAPACITY - Kind.values().length, CAPACITY);
    }

    /** Many large bodies at endpoints that read slowly, then smaller ones and small ones, while none ends. */
    @Test
    void smallBodiesAreHeldAfterLargeOnesAreRefused() {
        List<Holding> large = holdBodies(28, 4_000_000);
        List<Holding> medium = holdBodies(850, 100_000);
        List<Holding> small = holdBodies(100, 600);
        assertThat(large).hasSizeBetween(5, 27);
        assertThat(medium).hasSizeBetween(1, 849);
        assertThat(small).hasSize(100);
        assertThat(account.held(Kind.REQUEST_BODY)).isLessThanOrEqualTo(account.share(Kind.REQUEST_BODY));
        assertThat(account.refused(Kind.REQUEST_BODY)).isEqualTo(28 + 850 - large.size() - medium.size());
        large.forEach(Holding::close);
        assertThat(holdBodies(1, 4_000_000)).hasSize(1);
    }

    @Test
    void refusedGrowthKeepsWhatIsHeld() {
        Holding h = account.open(Kind.REQUEST_BODY);
        assertThat(h.tryHold(1_000)).isTrue();
        assertThat(h.tryHold(CAPACITY)).isFalse();
        assertThat(account.held(Kind.REQUEST_BODY)).isEqualTo(1_000);
    }

    /** Streams that stop within an event, each below the bound of an event. */
    @Test
    void largestResponsePartsAreShedAndOthersAreKept() {
        List<Integer> shed = new ArrayList<>();
        Holding sound = account.open(Kind.RESPONSE_PART, () -> shed.add(-1));
        sound.hold(2_000);
        List<Holding> streams = IntStream.range(0, 100)
                .mapToObj(i -> account.open(Kind.RESPONSE_PART, () -> shed.add(i)))
                .toList();
        for (int bytes = 100_000; bytes <= 1_000_000; bytes += 100_000) {
            for (int i = 0; i < streams.size(); i++) {
                if (!shed.contains(i)) {
                    streams.get(i).hold(bytes);
                }
                assertThat(account.held(Kind.RESPONSE_PART)).isLessThanOrEqualTo(account.share(Kind.RESPONSE_PART));
            }
        }
        assertThat(shed).isNotEmpty().doesNotHaveDuplicates().doesNotContain(-1);
        assertThat(account.refused(Kind.RESPONSE_PART)).isEqualTo(shed.size());
    }

    @Test
    void partThatExceedsTheShareAloneIsShedItself() {
        List<String> shed = new ArrayList<>();
        account.open(Kind.RESPONSE_PART, () -> shed.add("small")).hold(10);
        account.open(Kind.RESPONSE_PART, () -> shed.add("large")).hold(CAPACITY);
        assertThat(shed).containsExactly("large");
        assertThat(account.held(Kind.RESPONSE_PART)).isEqualTo(10);
    }

    @ParameterizedTest
    @EnumSource(Kind.class)
    void closingTwiceGivesBackOnce(Kind kind) {
        Holding other = account.open(kind);
        other.hold(5);
        Holding h = account.open(kind);
        h.hold(100);
        h.close();
        h.close();
        assertThat(account.held(kind)).isEqualTo(5);
    }

    private List<Holding> holdBodies(int count, long bytes) {
        List<Holding> held = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            Holding h = account.open(Kind.REQUEST_BODY);
            if (h.tryHold(bytes)) {
                held.add(h);
            }
        }
        return held;
    }
}
