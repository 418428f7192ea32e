package org.quetzalvane.core.request;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;

import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Combinators;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import org.junit.jupiter.api.Test;
import org.quetzalvane.core.ResultCode;
import org.quetzalvane.core.exc.QuetzalvaneException;
import org.quetzalvane.core.port.ServicePort.ServiceResponse;

import static org.assertj.core.api.Assertions.assertThat;

/** The call under a key runs at most once when requests are repeated, entries evicted or responses lost. */
class IdempotencyTableTest {
    private static final String CALLER = "caller-1";
    private static final ServiceResponse RESPONSE = new ServiceResponse(200, "{}");

    private final IdempotencyTable table = new IdempotencyTable("n1", 7, 10);

    /** One step of a generated history. Immutable. */
    record HistoryStep(boolean issuesKey, int keyIndex, int tableIndex, boolean responds) {}

    @Test
    void callUnderEvictedKeyIsNotRunAgainNorReportedAsNotRun() {
        IdempotencyTable small = new IdempotencyTable("n1", 7, 1);
        String key = small.issue(CALLER);
        assertThat(small.runOnce(key, CALLER, () -> CompletableFuture.completedFuture(RESPONSE)))
                .isCompletedWithValue(RESPONSE);
        for (int i = 0; i < 100; i++) {
            small.issue("caller-2");
        }
        ResultCode code = codeOf(small.runOnce(key, CALLER, () -> {
            throw new AssertionError("the call ran again");
        }));
        assertThat(code).isEqualTo(ResultCode.NEVER_WILL_RUN);
        assertThat(code.provesNotRun()).isFalse();
    }

    @Test
    void unissuedKeyOrKeyOfAnotherCallerIsRefused() {
        String key = table.issue(CALLER);
        assertThat(codeOf(table.runOnce(key, "caller-2", this::mustNotRun))).isEqualTo(ResultCode.KEY_REQUIRED);
        assertThat(codeOf(table.runOnce("n1:7:99", CALLER, this::mustNotRun))).isEqualTo(ResultCode.KEY_REQUIRED);
        assertThat(codeOf(table.runOnce("n1:7:x", CALLER, this::mustNotRun))).isEqualTo(ResultCode.KEY_REQUIRED);
    }

    @Test
    void failedStartIsRecordedSoThatRepeatsComplete() {
        String key = table.issue(CALLER);
        CompletableFuture<ServiceResponse> first = table.runOnce(key, CALLER, () -> {
            throw new IllegalStateException("failed after the request was sent");
        });
        assertThat(first).isCompletedExceptionally();
        assertThat(table.runOnce(key, CALLER, this::mustNotRun)).isCompletedExceptionally();
    }

    @Property(seed = "20261203", tries = 300)
    void callRunsAtMostOnceInEveryHistory(@ForAll("histories") List<HistoryStep> history) {
        List<IdempotencyTable> nodes = List.of(
                new IdempotencyTable("n1", 1, 3), new IdempotencyTable("n1", 2, 3), new IdempotencyTable("n2", 1, 3));
        List<String> keys = new ArrayList<>();
        Map<String, Integer> runs = new HashMap<>();
        for (HistoryStep s : history) {
            IdempotencyTable node = nodes.get(s.tableIndex);
            if (s.issuesKey || keys.isEmpty()) {
                keys.add(node.issue(CALLER));
                continue;
            }
            String key = keys.get(s.keyIndex % keys.size());
            int before = runs.getOrDefault(key, 0);
            CompletableFuture<ServiceResponse> outcome = node.runOnce(key, CALLER, () -> {
                runs.merge(key, 1, Integer::sum);
                return s.responds ? CompletableFuture.completedFuture(RESPONSE) : new CompletableFuture<>();
            });
            assertThat(runs.getOrDefault(key, 0)).isLessThanOrEqualTo(1);
            if (before > 0 && node.hasPrefixOfThisProcess(key) && outcome.isCompletedExceptionally()) {
                assertThat(codeOf(outcome).provesNotRun()).as(key).isFalse();
            }
        }
    }

    @Provide
    Arbitrary<List<HistoryStep>> histories() {
        return Combinators.combine(
                        Arbitraries.of(true, false, false),
                        Arbitraries.integers().between(0, 20),
                        Arbitraries.integers().between(0, 2),
                        Arbitraries.of(true, false))
                .as(HistoryStep::new)
                .list()
                .ofMaxSize(60);
    }

    private CompletableFuture<ServiceResponse> mustNotRun() {
        throw new AssertionError("the call ran");
    }

    private static ResultCode codeOf(CompletableFuture<ServiceResponse> outcome) {
        assertThat(outcome).isCompletedExceptionally();
        return QuetzalvaneException.codeOf(outcome.handle((a, f) -> f).join());
    }
}
