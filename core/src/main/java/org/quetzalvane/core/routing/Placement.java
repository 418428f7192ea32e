package org.quetzalvane.core.routing;

import java.util.List;
import java.util.Optional;
import java.util.Set;

import org.quetzalvane.core.cluster.Membership;
import org.quetzalvane.core.cluster.NodeInfo;
import org.quetzalvane.core.cluster.RendezvousHash;
import org.quetzalvane.core.config.ConfigTable;
import org.quetzalvane.core.model.Adapter;
import org.quetzalvane.core.model.AdapterVersion;
import org.quetzalvane.core.model.Engine;
import org.quetzalvane.core.ownership.Ownership;

/**
 * Selects the engine for an adapter version: the first in rendezvous order, among the engines of this region with the
 * adapter's base model, that has a known owner and is not on a leaving host.
 *
 * <p>Invariant: a call sees every configuration record that was applied before the call began. Thread-safe; the first
 * call after a change of the configuration rebuilds the list of engines. {@link
 * org.quetzalvane.core.choice.EngineSelector} selects engines for quetzalvane-entry.
 */
public final class Placement {
    private final String region;
    private final ConfigTable config;
    private final Membership membership;
    private final Ownership ownership;
    private volatile EngineCandidates candidates = EngineCandidates.NONE;

    public Placement(String region, ConfigTable config, Membership membership, Ownership ownership) {
        this.region = region;
        this.config = config;
        this.membership = membership;
        this.ownership = ownership;
    }

    /** The route for an adapter version, or empty if no engine can serve it now. */
    public Optional<EngineRoute> route(AdapterVersion v) {
        return route(v, Set.of());
    }

    /** The route for an adapter version that avoids the named engines if another engine can serve it. */
    public Optional<EngineRoute> route(AdapterVersion v, Set<String> avoid) {
        Optional<String> baseModel = config.read(s -> s.adapter(v.adapter())).map(Adapter::baseModel);
        if (baseModel.isEmpty()) {
            return Optional.empty();
        }
        long hash = RendezvousHash.hash(v.toString());
        List<EngineCandidates.Candidate> fitting = currentCandidates().withBaseModel(baseModel.get());
        Optional<EngineRoute> other = best(hash, fitting, avoid);
        return other.isPresent() || avoid.isEmpty() ? other : best(hash, fitting, Set.of());
    }

    private Optional<EngineRoute> best(long keyHash, List<EngineCandidates.Candidate> engines, Set<String> avoid) {
        EngineRoute best = null;
        long bestScore = Long.MIN_VALUE;
        for (EngineCandidates.Candidate c : engines) {
            long score = RendezvousHash.score(keyHash, c.hash());
            if (best != null && !ranksBefore(score, c.engine(), bestScore, best.engine())) {
                continue;
            }
            Optional<NodeInfo> owner =
                    avoid.contains(c.engine().name()) ? Optional.empty() : availableOwner(c.engine());
            if (owner.isPresent()) {
                best = new EngineRoute(c.engine(), owner.get());
                bestScore = score;
            }
        }
        return Optional.ofNullable(best);
    }

    private static boolean ranksBefore(long score, Engine engine, long otherScore, Engine other) {
        return score > otherScore || score == otherScore && engine.name().compareTo(other.name()) < 0;
    }

    private Optional<NodeInfo> availableOwner(Engine e) {
        return membership.isHostLeaving(e.host()) ? Optional.empty() : ownership.ownerOf(e.name());
    }

    private EngineCandidates currentCandidates() {
        EngineCandidates known = candidates;
        long applied = config.appliedOffset();
        if (known.appliedOffset() == applied) {
            return known;
        }
        EngineCandidates rebuilt = EngineCandidates.of(applied, region, config.read(s -> s.engines()));
        candidates = rebuilt;
        return rebuilt;
    }
}
