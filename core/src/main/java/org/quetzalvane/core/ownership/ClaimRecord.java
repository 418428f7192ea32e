package org.quetzalvane.core.ownership;

import java.util.List;

import com.fasterxml.jackson.annotation.JsonSubTypes;
import com.fasterxml.jackson.annotation.JsonTypeInfo;
import org.quetzalvane.core.cluster.NodeInfo;

/** A record of a region's ownership stream. Implementations are immutable. */
@JsonTypeInfo(use = JsonTypeInfo.Id.NAME, property = "t")
@JsonSubTypes({
    @JsonSubTypes.Type(value = ClaimRecord.Renewal.class, name = "renew"),
    @JsonSubTypes.Type(value = ClaimRecord.Claim.class, name = "claim"),
    @JsonSubTypes.Type(value = ClaimRecord.Release.class, name = "release")
})
public sealed interface ClaimRecord {

    /**
     * Renews the lease under which a node holds all its engines; {@code sequence} counts its renewals.
     *
     * @param node the node
     * @param sequence number of the renewal within the incarnation
     * @param leaseMillis how long the lease holds, in milliseconds
     * @param leaving whether it is leaving
     */
    record Renewal(NodeInfo node, long sequence, long leaseMillis, boolean leaving) implements ClaimRecord {}

    /**
     * Claims engines for a node; one record carries many.
     *
     * @param node the node
     * @param incarnation incarnation of the node
     * @param engines the engines
     */
    record Claim(String node, long incarnation, List<EngineClaim> engines) implements ClaimRecord {}

    /**
     * Gives engines up; nothing of the releasing node runs on them any more.
     *
     * @param node the node
     * @param incarnation incarnation of the node
     * @param engines the engines
     */
    record Release(String node, long incarnation, List<String> engines) implements ClaimRecord {}

    /**
     * Claim of one engine.
     *
     * @param supersedes offset of the newest lease record of the present holder; -1 when nobody holds the engine
     * @param engine name of the engine
     */
    record EngineClaim(String engine, long supersedes) {}
}
