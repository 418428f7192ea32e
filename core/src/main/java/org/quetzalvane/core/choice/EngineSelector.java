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
 * <p>An engine on which the adapter is resident is preferred, so that its prefix cache is used, until its expected wait
 * exceeds another engine's by {@link #COPY_BACKLOG_MS}; then a copy is loaded on the other engine, which spreads the
 * requests of popular adapters. Where that wait is for a permit, because the engine named a limit, the request goes to
 * the copy instead. An adapter that is not resident goes to an engine on which it was resident before,
 * because that engine most likely still has it in memory, else to the first in its rendezvous order, unless backlog,
 * missing idle adapters or a missing owner make another engine cheaper. Confined to the event loop.
 */
public final class EngineSelector {
    /**
     * Excess of the expected wait over that of the best load target from which a copy is loaded, ms: one load from the
     * weight store (265 ms) and a margin.
     */
    static final double COPY_BACKLOG_MS = 400;
    /**
     * Added to the expected wait of an engine in another data centre, ms; responses that cross data centres are charged
     * for.
     */
    private static final double REMOTE_DATA_CENTRE_COST_MS = 25;
    /**
     * Added to the expected wait for each position in rendezvous order, ms, if the adapter was not resident on the
     * engine before: weighs the price of a load from the weight store against that of a late first token.
     */
    private static final double RENDEZVOUS_POSITION_COST_MS = 200;

    /**
     * Number of idle resident adapters below which each missing one adds {@link #MISSING_IDLE_COST_MS}; the platform
     * allows as many loads in flight to one engine.
     */
    private static final int MIN_IDLE_ADAPTERS = 4;
    /**
     * Added to the expected wait for each idle adapter that is missing to {@link #MIN_IDLE_ADAPTERS}, ms: with runs of
     * 2 s on 17 adapter slots, one slot becomes free every 120 ms.
     */
    private static final double MISSING_IDLE_COST_MS = 120;
    /** Cost of an engine all of whose request slots are taken, compared with an idle one, ms: 1 ms for each of 64. */
    private static final double FULL_ENGINE_COST_MS = 64;
    /** Requests for an adapter within the window of {@link AdapterDemand} from which a copy is loaded. */
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
     * Selects one of the candidates, a suspended one only if no other can serve the adapter. Returns null if no
     * candidate has the adapter resident and none has its base model resident.
     *
     * @param candidates usable engines
     * @param ref requested adapter
     * @param version required version, or {@link org.quetzalvane.core.routes.RequiredVersions#ANY_VERSION}
     * @param excluded ids of engines that are not selected
     */
    public Selection select(List<Endpoint> candidates, AdapterRef ref, int version, Set<String> excluded) {
        List<Endpoint> remaining =
                candidates.stream().filter(e -> !excluded.contains(e.id())).toList();
        List<Endpoint> healthy = outliers.healthy(remaining, Endpoint::id);
        Selection selection = select(healthy, ref, version);
        boolean someSuspended = healthy.size() < remaining.size();
        return selection == null && someSuspended ? select(remaining, ref, version) : selection;
    }

    private Selection select(List<Endpoint> healthy, AdapterRef ref, int version) {
        List<Endpoint> residents = new ArrayList<>();
        List<Endpoint> loadable = new ArrayList<>();
        for (Endpoint e : healthy) {
            EngineResidency r = residency.residencyOf(e);
            if (r.serves(ref, version)) {
                residents.add(e);
            } else if (r.held().containsKey(ref.model())) {
                loadable.add(e);
            }
        }
        Endpoint resident = bestResident(residents);
        if (ref.adapter().isEmpty()) {
            return resident == null ? null : new Selection(resident, waitMs(resident), true, null);
        }
        boolean limited = resident != null && permits.waitMs(resident) > COPY_BACKLOG_MS;
        if (resident != null && !limited && (waitMs(resident) <= COPY_BACKLOG_MS || !inDemand(ref))) {
            return new Selection(resident, waitMs(resident), true, null);
        }
        Endpoint target = loadTarget(loadable, ref);
        if (resident == null) {
            return target == null ? null : new Selection(target, waitMs(target), false, null);
        }
        boolean copyWorthwhile = target != null && waitMs(resident) > waitMs(target) + COPY_BACKLOG_MS;
        if (limited && copyWorthwhile) {
            return new Selection(target, waitMs(target), false, null);
        }
        return new Selection(resident, waitMs(resident), true, copyWorthwhile ? target : null);
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

    /**
     * Added to the expected wait of an engine without an owner, ms: the time to assign its partition to another node.
     */
    private static final double NO_OWNER_COST_MS = 3_000;

    private Endpoint bestResident(List<Endpoint> residents) {
        return residents.stream()
                .min(Comparator.comparingDouble(this::residentCostMs).thenComparing(Endpoint::id))
                .orElse(null);
    }

    private Endpoint loadTarget(List<Endpoint> candidates, AdapterRef ref) {
        List<Endpoint> ranked = RendezvousHash.rank(ref.toString(), candidates, Endpoint::id);
        Endpoint best = null;
        double minCost = Double.MAX_VALUE;
        for (int i = 0; i < ranked.size(); i++) {
            Endpoint e = ranked.get(i);
            double position = residency.wasResident(e, ref) ? 0 : 1 + i;
            double cost = waitMs(e)
                    + permits.intervalMs(e)
                    + position * RENDEZVOUS_POSITION_COST_MS
                    + missingIdleCostMs(e)
                    + (hasOwner.test(e) ? 0 : NO_OWNER_COST_MS);
            if (cost < minCost) {
                minCost = cost;
                best = e;
            }
        }
        return best;
    }

    /**
     * Cost of the idle resident adapters that are missing to {@link #MIN_IDLE_ADAPTERS}, ms; free adapter slots are not
     * known here, and requests to the base model count as one adapter in use.
     */
    private double missingIdleCostMs(Endpoint e) {
        int idle = residency.residencyOf(e).adapterCount() - adapterUsage.inUseCount(e.id());
        return Math.max(0, MIN_IDLE_ADAPTERS - idle) * MISSING_IDLE_COST_MS;
    }

    /**
     * Whether the adapter gets enough requests to make a copy worth its load: at this node, or at all nodes together,
     * of which each of many sees a small part.
     */
    private boolean inDemand(AdapterRef ref) {
        return demand.recentRequests(ref) >= MIN_COPY_REQUESTS || adapterUsage.isPopular(ref);
    }

    /**
     * Cost of an engine on which the adapter is resident, ms; the part of its request slots that is taken decides
     * between engines with equal wait.
     */
    private double residentCostMs(Endpoint e) {
        double taken = (double) loads.total(e.id()).requests() / Math.max(1, e.requestSlots());
        return waitMs(e) + taken * FULL_ENGINE_COST_MS + (e.zone().equals(dataCentre) ? 0 : REMOTE_DATA_CENTRE_COST_MS);
    }
}
