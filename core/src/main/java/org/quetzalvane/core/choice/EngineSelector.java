package org.quetzalvane.core.choice;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Set;
import java.util.function.Predicate;

import org.quetzalvane.core.cluster.RendezvousHash;
import org.quetzalvane.core.fleet.Endpoint;
import org.quetzalvane.core.limit.EndpointPermits;
import org.quetzalvane.core.residency.AdapterUsage;
import org.quetzalvane.core.residency.EngineResidency;
import org.quetzalvane.core.residency.ResidencyTable;
import org.quetzalvane.core.routes.AdapterRef;

/**
 * Selects the engine for a request for an adapter.
 *
 * <p>Among the engines on which the adapter is resident and whose wait fits the objective, the hash of the request
 * decides in proportion to the capacity that is left ({@link WeightedChoice}). The number of engines that hold an
 * adapter follows its demand at all nodes ({@link CopyCount}); where a limit that an engine named makes requests
 * wait, they go to the copy instead. An adapter that is not resident goes to an engine on which it was resident
 * before, because that engine most likely still has it in memory, else to the first in its rendezvous order that can
 * take it ({@link LoadTargets}). Confined to the event loop.
 */
public final class EngineSelector {
    /**
     * Excess of the expected wait over that of the best load target from which a copy is loaded whatever the demand,
     * as a fraction of the objective: the load takes a part of the objective, and requests that wait no longer are
     * on time.
     */
    private static final double COPY_BACKLOG_OBJECTIVE_FACTOR = 0.5;
    /** Longest expected wait of a load target, as a fraction of the objective; the rest is for load and prefill. */
    private static final double LOAD_TARGET_WAIT_OBJECTIVE_FACTOR = 0.25;
    /**
     * Longest expected wait of a load target that most likely has the adapter in memory, as a fraction of the
     * objective; such a load is short. With 0.25, few engines took 0.0704 instead of 0.0638 loads from the weight
     * store per request.
     */
    private static final double MEMORY_TARGET_WAIT_OBJECTIVE_FACTOR = 0.5;
    /**
     * Weight of an engine in the node's own data centre relative to one in another; responses that cross data centres
     * are charged for.
     */
    private static final double OWN_DATA_CENTRE_WEIGHT = 1.5;
    /** Smallest part of the capacity of an engine within the objective that counts as left. */
    private static final double MIN_LEFT = 0.02;

    /** Number of idle resident adapters that a load target should have: one for each load that its owner starts. */
    private static final int MIN_IDLE_ADAPTERS = 2;
    /** Requests for an adapter within the window of {@link AdapterDemand} from which a backlog is worth a copy. */
    private static final int MIN_COPY_REQUESTS = 3;

    private final EndpointLoads loads;
    private final AdapterUsage adapterUsage;
    private final AdapterDemand demand;
    private final ResidencyTable residency;
    private final OutlierDetector outliers;
    private final PrefillEstimator prefill;
    private final EndpointPermits permits;
    private final String dataCentre;
    private final Predicate<Endpoint> hasOwner;

    /**
     * Creates a selector.
     *
     * @param dataCentre data centre of this node
     * @param hasOwner whether some node owns an engine
     */
    public EngineSelector(Inputs inputs, String dataCentre, Predicate<Endpoint> hasOwner) {
        this.loads = inputs.endpointLoads();
        this.adapterUsage = inputs.adapterUsage();
        this.demand = inputs.adapterDemand();
        this.residency = inputs.residency();
        this.outliers = inputs.outlierDetector();
        this.prefill = inputs.prefillEstimator();
        this.permits = inputs.permits();
        this.dataCentre = dataCentre;
        this.hasOwner = hasOwner;
    }

    /**
     * State that the selection is based on.
     *
     * @param endpointLoads endpoint load of each endpoint
     * @param adapterUsage adapters in use
     * @param adapterDemand recent requests by adapter
     * @param residency adapters resident on each engine
     * @param outlierDetector suspends failing and slow endpoints
     * @param prefillEstimator estimates the wait for the first token
     * @param permits permits for engines that named a limit
     */
    public record Inputs(
            EndpointLoads endpointLoads,
            AdapterUsage adapterUsage,
            AdapterDemand adapterDemand,
            ResidencyTable residency,
            OutlierDetector outlierDetector,
            PrefillEstimator prefillEstimator,
            EndpointPermits permits) {}

    /**
     * A selected engine. Immutable.
     *
     * @param engine selected engine
     * @param waitMs expected wait for the first token on the engine, in milliseconds
     * @param resident whether the adapter is resident on the engine; otherwise it must be loaded first
     * @param copyTarget engine on which an additional copy is to be loaded meanwhile, or null
     */
    public record Selection(Endpoint engine, double waitMs, boolean resident, Endpoint copyTarget) {}

    /**
     * What a request needs of an engine. Immutable.
     *
     * @param id id of the request
     * @param adapter requested adapter
     * @param version required version, or {@link org.quetzalvane.core.routes.RequiredVersions#ANY_VERSION}
     * @param objectiveMs latency objective, in milliseconds
     * @param promptTokens tokens of the prompt
     */
    public record Need(String id, AdapterRef adapter, int version, long objectiveMs, long promptTokens) {}

    /**
     * Selects one of the candidates, a suspended one only if no other can serve the adapter. Returns null if no
     * candidate has the adapter resident and none has its base model resident.
     *
     * @param candidates usable engines
     * @param excluded ids of engines that are not selected
     */
    public Selection select(List<Endpoint> candidates, Need need, Set<String> excluded) {
        List<Endpoint> remaining = excluded.isEmpty()
                ? candidates
                : candidates.stream().filter(e -> !excluded.contains(e.id())).toList();
        List<Endpoint> healthy = outliers.healthy(remaining, Endpoint::id);
        Selection selection = selectHealthy(healthy, need);
        boolean someSuspended = healthy.size() < remaining.size();
        return selection == null && someSuspended ? selectHealthy(remaining, need) : selection;
    }

    private Selection selectHealthy(List<Endpoint> engines, Need need) {
        List<Endpoint> residents = new ArrayList<>();
        List<Endpoint> others = new ArrayList<>();
        for (Endpoint e : engines) {
            EngineResidency r = residency.residencyOf(e);
            if (r.serves(need.adapter(), need.version())) {
                residents.add(e);
            } else if (r.held().containsKey(need.adapter().model())) {
                others.add(e);
            }
        }
        Endpoint resident = bestResident(residents, need);
        if (resident == null) {
            Endpoint target = need.adapter().adapter().isEmpty() ? null : loadTarget(others, need, 0);
            return target == null ? null : new Selection(target, waitMs(target), false, null);
        }
        double residentWaitMs = waitMs(resident);
        if (need.adapter().adapter().isEmpty() || others.isEmpty()) {
            return new Selection(resident, residentWaitMs, true, null);
        }
        int missing = wantedCopies(resident, need) - residents.size();
        if (missing > 0) {
            int position = (int) Long.remainderUnsigned(RendezvousHash.hash(need.id()), missing);
            return new Selection(resident, residentWaitMs, true, loadTarget(others, need, position));
        }
        return withCopyForBacklog(resident, residentWaitMs, others, need);
    }

    /** Number of engines that should hold the adapter, from its requests in progress at all nodes. */
    private int wantedCopies(Endpoint resident, Need need) {
        int requests = adapterUsage.requestsInProgress(need.adapter());
        return CopyCount.wanted(
                requests, prefill.waitMs(need.promptTokens()), prefill.runMs(), resident.requestSlots());
    }

    private Selection withCopyForBacklog(Endpoint resident, double waitMs, List<Endpoint> others, Need need) {
        double backlogMs = need.objectiveMs() * COPY_BACKLOG_OBJECTIVE_FACTOR;
        boolean limited = permits.waitMs(resident) > backlogMs;
        if (!limited && (waitMs <= backlogMs || !inDemand(need.adapter()))) {
            return new Selection(resident, waitMs, true, null);
        }
        Endpoint target = loadTarget(others, need, 0);
        boolean copyWorthwhile = target != null && waitMs > waitMs(target) + backlogMs;
        if (limited && copyWorthwhile) {
            return new Selection(target, waitMs(target), false, null);
        }
        return new Selection(resident, waitMs, true, copyWorthwhile ? target : null);
    }

    /**
     * Expected wait for the first token at an engine, ms: for a permit if it named a limit, pending prompts, and
     * requests beyond its request slots.
     */
    public double waitMs(Endpoint e) {
        EndpointLoads.Load l = loads.total(e.id());
        int queued = Math.max(0, l.requests() - e.requestSlots());
        return permits.waitMs(e)
                + prefill.waitMs(l.pendingTokens())
                + queued * prefill.slotIntervalMs(e.requestSlots());
    }

    /** An engine by {@link WeightedChoice} whose wait fits the objective, else the one with the shortest wait. */
    private Endpoint bestResident(List<Endpoint> residents, Need need) {
        if (residents.size() < 2) {
            return residents.isEmpty() ? null : residents.get(0);
        }
        Endpoint chosen = WeightedChoice.betterOfTwo(residents, need.id(), e -> weight(e, need.objectiveMs()));
        return chosen != null
                ? chosen
                : residents.stream()
                        .min(Comparator.comparingDouble(this::waitMs).thenComparing(Endpoint::id))
                        .orElse(null);
    }

    /** Capacity of an engine that is left within the objective: the smaller of prefill and request slots. */
    private double weight(Endpoint e, long objectiveMs) {
        double waitLeft = 1 - waitMs(e) / Math.max(1, objectiveMs);
        if (waitLeft <= 0) {
            return 0;
        }
        double slots = Math.max(1, e.requestSlots());
        double slotsLeft = 1 - loads.total(e.id()).requests() / slots;
        double left = Math.max(MIN_LEFT, Math.min(waitLeft, slotsLeft));
        return left * slots * (e.zone().equals(dataCentre) ? OWN_DATA_CENTRE_WEIGHT : 1);
    }

    /**
     * A load target that can take a load at once if there is one, else the one with the shortest wait among those whose
     * owner is known and reaches them.
     */
    private Endpoint loadTarget(List<Endpoint> candidates, Need need, int position) {
        String key = need.adapter().toString();
        double limitMs = need.objectiveMs() * LOAD_TARGET_WAIT_OBJECTIVE_FACTOR;
        double memoryLimitMs = need.objectiveMs() * MEMORY_TARGET_WAIT_OBJECTIVE_FACTOR;
        Endpoint target = LoadTargets.inOrder(
                key,
                candidates,
                e -> residency.wasResident(e, need.adapter()) && canTakeLoad(e, memoryLimitMs),
                position);
        if (target == null || position > 0) {
            target = LoadTargets.inOrder(key, candidates, e -> canTakeLoad(e, limitMs), position);
        }
        return target != null
                ? target
                : candidates.stream()
                        .min(Comparator.comparing((Endpoint e) -> !hasOwner.test(e))
                                .thenComparing(e -> !residency.takesLoads(e))
                                .thenComparingInt(this::missingIdle)
                                .thenComparingDouble(this::waitMs)
                                .thenComparing(Endpoint::id))
                        .orElse(null);
    }

    private boolean canTakeLoad(Endpoint e, double longestWaitMs) {
        return missingIdle(e) == 0
                && waitMs(e) + permits.intervalMs(e) <= longestWaitMs
                && hasOwner.test(e)
                && residency.takesLoads(e);
    }

    /**
     * Number of idle resident adapters that are missing to {@link #MIN_IDLE_ADAPTERS}; free adapter slots are not
     * known here, and requests to the base model count as one adapter in use.
     */
    private int missingIdle(Endpoint e) {
        int inUse = adapterUsage.inUseCount(e.id());
        return inUse == 0
                ? 0
                : Math.max(0, MIN_IDLE_ADAPTERS - (residency.residencyOf(e).adapterCount() - inUse));
    }

    /**
     * Whether the adapter gets enough requests to make a copy worth its load: at this node, or at all nodes together,
     * of which each of many sees a small part.
     */
    private boolean inDemand(AdapterRef ref) {
        return demand.recentRequests(ref) >= MIN_COPY_REQUESTS || adapterUsage.isPopular(ref);
    }
}
