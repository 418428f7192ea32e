package org.quetzalvane.core.ownership;

import java.util.List;
import java.util.Map;

import com.fasterxml.jackson.annotation.JsonProperty;
import com.fasterxml.jackson.annotation.JsonSubTypes;
import com.fasterxml.jackson.annotation.JsonTypeInfo;
import org.quetzalvane.core.cluster.NodeInfo;

/** A record of the ownership stream of a region. Implementations are immutable. */
@JsonTypeInfo(use = JsonTypeInfo.Id.NAME, property = "t")
@JsonSubTypes({
    @JsonSubTypes.Type(value = OwnershipRecord.Renewal.class, name = "renew"),
    @JsonSubTypes.Type(value = OwnershipRecord.Claim.class, name = "claim"),
    @JsonSubTypes.Type(value = OwnershipRecord.Release.class, name = "release"),
    @JsonSubTypes.Type(value = OwnershipRecord.Snapshot.class, name = "snapshot"),
    @JsonSubTypes.Type(value = OwnershipRecord.Reset.class, name = "reset")
})
public sealed interface OwnershipRecord {

    /**
     * Renews the lease under which a node owns all its engines.
     *
     * @param node the node
     * @param sequence number of the renewal within the incarnation
     * @param leaseMillis duration of the lease in milliseconds
     * @param leaving whether the node is leaving
     * @param complete whether the state of the node was complete; if not, the renewal also requests a snapshot
     */
    record Renewal(
            NodeInfo node, long sequence, long leaseMillis, boolean leaving, @JsonProperty("whole") boolean complete)
            implements OwnershipRecord {}

    /**
     * Claims engines and roles for a node.
     *
     * @param node the node
     * @param incarnation incarnation of the node
     * @param engines the engines and roles, each with the record that the claim supersedes
     */
    record Claim(String node, long incarnation, List<EngineClaim> engines) implements OwnershipRecord {}

    /**
     * Releases engines on which nothing of the releasing node runs any more.
     *
     * @param node the node
     * @param incarnation incarnation of the node
     * @param engines names of the engines and roles
     */
    record Release(String node, long incarnation, List<String> engines) implements OwnershipRecord {}

    /**
     * The claim of one engine.
     *
     * @param engine name of the engine or role
     * @param supersedes offset of the newest renewal or winning claim of the present owner, whichever is later; -1
     *     for an engine or role without an owner
     */
    record EngineClaim(String engine, long supersedes) {}

    /**
     * The state after all records up to an offset, for nodes that start after some of them expired.
     *
     * @param upTo offset of the newest record applied
     * @param newestCompleteRenewal offset of the newest renewal by a node whose state was complete, or -1
     * @param leases the leases, each with the engines owned under it
     */
    record Snapshot(long upTo, @JsonProperty("newestWhole") long newestCompleteRenewal, List<LeaseWithEngines> leases)
            implements OwnershipRecord {}

    /**
     * A lease and the engines owned under it.
     *
     * @param offset offset of the renewal
     * @param renewal the newest renewal of the lease
     * @param engines fencing token by engine or role
     */
    record LeaseWithEngines(long offset, Renewal renewal, Map<String, Long> engines) {}

    /**
     * Removes all owners; written by a node with an incomplete state after every lease of a node with a complete state
     * must have expired. Rejected if such a node has renewed its lease at an offset that the writer had not read.
     *
     * @param first offset from which the writer has read every record
     * @param newestCompleteRenewal offset of the newest renewal by a node with a complete state that the writer read,
     *    or -1
     */
    record Reset(long first, @JsonProperty("newestWhole") long newestCompleteRenewal) implements OwnershipRecord {}
}
