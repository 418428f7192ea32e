package org.quetzalvane.core.serve;

import java.util.List;
import java.util.function.Consumer;

import org.junit.jupiter.api.Named;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;
import org.quetzalvane.core.routes.RouteKind;

import static org.assertj.core.api.Assertions.assertThat;

/** Callers whose disconnect has arrived, but was not reported yet when their request is to be written. */
class DepartedCallerTest extends RequestFlowFixture {

    private static List<Arguments> writes() {
        return List.of(
                Arguments.of(step("first attempt, once it is connected", t -> t.client.connect()), true),
                Arguments.of(step("retry", t -> t.client.last().failed(false, "reset")), false),
                Arguments.of(step("replacement of a silent attempt", t -> t.advance(1_000)), false));
    }

    private static Named<Consumer<DepartedCallerTest>> step(String name, Consumer<DepartedCallerTest> step) {
        return Named.of(name, step);
    }

    /** Requests were written to endpoints in the pass of the event loop that read the disconnects of their callers. */
    @ParameterizedTest
    @MethodSource("writes")
    void nothingIsWrittenForACallerThatHasLeft(Consumer<DepartedCallerTest> write, boolean connecting) {
        client.connecting = connecting;
        RequestFlow flow = start(RouteKind.IDEMPOTENT, null);
        response.present = () -> {
            flow.callerDisconnected();
            return false;
        };
        write.accept(this);
        assertThat(client.withheld).hasSize(1);
        client.withheld.forEach(listener -> listener.failed(true, "expired"));
        assertThat(flow.isDone()).isTrue();
        assertThat(client.withheld).hasSize(1);
        assertThat(loads.sum(List.of())).isEmpty();
    }
}
