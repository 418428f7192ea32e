package org.quetzalvane.core.ownership;

import java.util.List;
import java.util.Map;

import com.fasterxml.jackson.annotation.JsonSubTypes;
import com.fasterxml.jackson.annotation.JsonTypeInfo;
import org.quetzalvane.core.cluster.NodeInfo;

/** A record of a region's ownership stream. Implementations are immutable. */
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
     * Renews the lease under which a node holds all its engines; {@code sequence} counts its renewals.
     *
     * @param node the node
     * @param sequence number of the renewal within the incarnation
     * @param leaseMillis how long the lease holds, in milliseconds
     * @param leaving whether it is leaving
     * @param whole whether the node knew the whole stream; a renewal without it asks for a snapshot
     */
    record Renewal(NodeInfo node, long sequence, long leaseMillis, boolean leaving, boolean whole)
            implements OwnershipRecord {}

    /**
     * Claims engines for a node; one record carries many.
     *
     * @param node the node
     * @param incarnation incarnation of the node
     * @param engines the engines
     */
    record Claim(String node, long incarnation, List<EngineClaim> engines) implements OwnershipRecord {}

    /**
     * Gives engines up; nothing of the releasing node runs on them any more.
     *
     * @param node the node
     * @param incarnation incarnation of the node
     * @param engines the engines
     */
    record Release(String node, long incarnation, List<String> engines) implements OwnershipRecord {}

    /**
     * Claim of one engine.
     *
     * @param supersedes offset of the newest lease record of the present holder; -1 when nobody holds the engine
     * @param engine name of the engine
     */
    record EngineClaim(String engine, long supersedes) {}

    /**
     * States the fold of all records up to an offset, for nodes that start after some of them expired.
     *
     * @param upTo offset of the newest record taken in
     * @param newestWhole offset of the newest renewal by a node that knew the whole stream, or -1
     * @param leases the leases with what is held under each
     */
    record Snapshot(long upTo, long newestWhole, List<HeldLease> leases) implements OwnershipRecord {}

    /**
     * A lease and the engines held under it.
     *
     * @param offset offset of the lease record
     * @param renewal the lease record
     * @param engines fencing number per engine
     */
    record HeldLease(long offset, Renewal renewal, Map<String, Long> engines) {}

    /**
     * Begins the stream anew with nothing held, when no node is left that knows all of it. Fails when a node
     * that does renewed after what the writer had read.
     *
     * @param first offset of the first record that the writer read
     * @param newestWhole offset of the newest renewal of a whole node that the writer read, or -1
     */
    record Reset(long first, long newestWhole) implements OwnershipRecord {}
}
