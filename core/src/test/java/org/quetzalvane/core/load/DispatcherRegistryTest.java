package org.quetzalvane.core.load;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;

import org.junit.jupiter.api.Test;
import org.quetzalvane.core.event.EventLog;
import org.quetzalvane.core.event.HybridClock;
import org.quetzalvane.core.model.AdapterVersion;
import org.quetzalvane.core.model.DataCentre;
import org.quetzalvane.core.model.Engine;
import org.quetzalvane.core.port.AttemptListener;
import org.quetzalvane.core.port.AttemptRequest;
import org.quetzalvane.core.port.EnginePort;
import org.quetzalvane.core.port.EngineReport;
import org.quetzalvane.core.time.ManualScheduler;

import static org.assertj.core.api.Assertions.assertThat;

/** Dispatchers of the owned engines when configuration and ownership change. */
class DispatcherRegistryTest {
    private final ManualScheduler time = new ManualScheduler();
    private final List<String> reportedUrls = new ArrayList<>();
    private final DispatcherRegistry registry =
            new DispatcherRegistry(context(), DispatchConfig.defaults(), e -> () -> true);

    @Test
    void changedEngineReplacesTheDispatcherUnderTheSameFencingToken() {
        registry.acquired(engine("http://old", 8), 5);
        registry.acquired(engine("http://old", 8), 5);
        EngineDispatcher first = registry.find("e1").orElseThrow();
        registry.acquired(engine("http://new", 4), 5);
        assertThat(registry.find("e1").orElseThrow().engine()).isEqualTo(engine("http://new", 4));
        assertThat(registry.find("e1")).get().isNotSameAs(first);
        reportedUrls.clear();
        time.advance(Duration.ofSeconds(3));
        assertThat(reportedUrls).isNotEmpty().containsOnly("http://new");
    }

    private static Engine engine(String url, int slots) {
        return new Engine("e1", url, "host-1", new DataCentre("r1", "a"), "base", slots, 8, false);
    }

    private DispatchContext context() {
        EventLog events = new EventLog("n1", new HybridClock(time), 100, e -> {});
        LoadBudget budget =
                new EqualShareBudget(time, () -> new org.quetzalvane.core.model.LoadLimits("r1", 1, 1), () -> 1);
        return new DispatchContext(
                new RecordingPort(), budget, v -> Optional.empty(), time, events, DispatchListener.none());
    }

    private final class RecordingPort implements EnginePort {

        @Override
        public CompletableFuture<Void> load(Engine engine, AdapterVersion version, String weights, long fencingToken) {
            return new CompletableFuture<>();
        }

        @Override
        public CompletableFuture<Void> unload(Engine engine, AdapterVersion version, long fencingToken) {
            return new CompletableFuture<>();
        }

        @Override
        public CompletableFuture<Void> fence(Engine engine, long fencingToken) {
            return new CompletableFuture<>();
        }

        @Override
        public CompletableFuture<EngineReport> report(Engine engine) {
            reportedUrls.add(engine.url());
            return CompletableFuture.completedFuture(new EngineReport("i", 0, List.of()));
        }

        @Override
        public Cancellation run(Engine engine, AttemptRequest request, AttemptListener listener) {
            return () -> {};
        }
    }
}
