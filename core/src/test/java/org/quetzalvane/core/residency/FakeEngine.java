package org.quetzalvane.core.residency;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;

import org.quetzalvane.core.fleet.Endpoint;
import org.quetzalvane.core.routes.AdapterRef;
import org.quetzalvane.core.time.Scheduler;

/** Fake engine that carries orders out at once and gives the answers set by the test, or accepts. */
final class FakeEngine implements EngineOrders {
    private final Scheduler clock;
    final Map<String, Integer> resident = new HashMap<>();
    final Set<String> models = new HashSet<>(Set.of("m"));
    final Set<AdapterRef> pending = new HashSet<>();
    final Set<String> inUse = new HashSet<>();
    final Map<String, Integer> unloading = new HashMap<>();
    boolean listsUnloading = true;
    boolean statesRequests = true;
    final Deque<Answer> nextAnswers = new ArrayDeque<>();
    final List<String> log = new ArrayList<>();
    long accepted;
    long timeoutMs;
    int reports;
    /** Whether it answers nothing. */
    boolean ended;
    /** Reports that are missing next. */
    int missingReports;

    boolean busy;
    long born = 1;
    int maxAdapters;

    FakeEngine(Scheduler clock) {
        this.clock = clock;
    }

    /** Ends the requests that a waiting unload of the adapter waits for. */
    void endRequests(String adapter) {
        inUse.remove(adapter);
        unloading.remove(adapter);
    }

    @Override
    public void order(Endpoint e, Order o, Consumer<Answer> done) {
        String name =
                o.target().adapter().isEmpty() ? o.target().model() : o.target().adapter();
        log.add(o.action() + " " + name + " expect " + o.expectedOrders() + " token " + o.fencingToken());
        if (ended) {
            done.accept(Answer.UNKNOWN);
            return;
        }
        Answer usual = o.action() == Action.UNLOAD && !inUse.contains(name) ? Answer.HOLDS : Answer.ACCEPTED;
        Answer answer = nextAnswers.isEmpty() ? usual : nextAnswers.remove();
        if (answer == Answer.ACCEPTED || answer == Answer.HOLDS) {
            accepted++;
            if (o.action() == Action.LOAD) {
                maxAdapters = Math.max(maxAdapters, resident.size() + unloading.size() + 1);
                resident.put(name, Math.max(1, o.version()));
            } else {
                Integer version = resident.remove(name);
                if (inUse.contains(name)) {
                    unloading.put(name, version);
                }
            }
            maxAdapters = Math.max(maxAdapters, resident.size() + unloading.size());
        }
        if (answer == Answer.UNKNOWN && timeoutMs > 0) {
            clock.schedule(Duration.ofMillis(timeoutMs), () -> done.accept(answer));
        } else {
            done.accept(answer);
        }
    }

    @Override
    public void report(Endpoint e, Consumer<Report> done) {
        reports++;
        if (ended || missingReports-- > 0) {
            done.accept(null);
            return;
        }
        Map<String, Map<String, Integer>> all = new HashMap<>();
        Map<String, Integer> listed = new HashMap<>(resident);
        if (listsUnloading) {
            listed.putAll(unloading);
        }
        models.forEach(m -> all.put(m, Map.copyOf(listed)));
        Set<String> running = statesRequests ? Set.copyOf(inUse) : null;
        done.accept(new Report(born, accepted, busy, all, Set.copyOf(pending), running));
    }
}
