package org.quetzalvane.core.team;

import java.util.List;
import java.util.Map;

import org.quetzalvane.core.choice.EndpointLoads;
import org.quetzalvane.core.limit.EndpointLimit;
import org.quetzalvane.core.quarantine.Clearance;
import org.quetzalvane.core.quarantine.Condemnation;
import org.quetzalvane.core.quarantine.InstanceReport;
import org.quetzalvane.core.quarantine.QuarantineTrials;
import org.quetzalvane.core.residency.EngineResidency;
import org.quetzalvane.core.residency.LoadRequest;
import org.quetzalvane.core.routes.AdapterRef;
import org.quetzalvane.core.store.PeerRecords;
import org.quetzalvane.core.store.StoreRecord;

/** A message between nodes. The lists and maps of a message must not be changed after construction. */
public sealed interface PeerMessage {

    /** Address for peers of the sending node, IP:PORT. */
    String from();

    /**
     * Status of a node, sent every {@link PeerTable#STATUS_INTERVAL_MS} by a hub to all hubs and by another node to its
     * hub. The loads and adapters in use of a hub include those of the nodes that report to it.
     *
     * @param node the sender
     * @param generation generation of its assignment
     * @param duties partitions assigned to it
     * @param ordered partitions under which it sent orders within the last lease
     * @param loads endpoint load of its requests by endpoint
     * @param inUse adapters that its requests use, by engine and once for each request
     * @param holdings adapters resident on the engines that it owns
     * @param members nodes that report to it
     * @param hubs addresses of the hubs whose status it receives
     * @param loading loads from the weight store in flight under its orders
     * @param number number of this status of the sender, increasing; 0 from a node of an older version
     * @param viewNumber number of the last view of the receiver that the sender has applied without a gap, or 0
     */
    record Status(
            NodeInfo node,
            long generation,
            List<Integer> duties,
            List<Integer> ordered,
            Map<String, EndpointLoads.Load> loads,
            Map<String, List<AdapterRef>> inUse,
            Map<String, EngineResidency> holdings,
            List<NodeInfo> members,
            List<String> hubs,
            int loading,
            long number,
            long viewNumber)
            implements PeerMessage {
        @Override
        public String from() {
            return node.address();
        }
    }

    /**
     * What a hub knows, sent every {@link PeerTable#STATUS_INTERVAL_MS} to the nodes that report to it. Parts that have
     * not changed since the last view are left out, but for every tenth view.
     *
     * @param from address of the sender for peers, IP:PORT
     * @param nodes all nodes that are up, or empty if unchanged
     * @param owners address of the owner of each partition, or null if unchanged
     * @param loads endpoint load by endpoint, including what the receiver reported in the status that {@code included}
     *     names
     * @param inUseCounts number of adapters in use by engine
     * @param popular adapters that many requests of all nodes together use
     * @param holdings adapters resident on each engine, without engines that have not changed
     * @param records how far the sender has read each topic of the store
     * @param included number of the last status of each receiver, by its address; null from a node of an older version,
     *     whose loads lack those of the receiver
     * @param number number of this view, one greater for each round of the sender
     * @param complete whether no part is left out
     */
    record View(
            String from,
            List<NodeInfo> nodes,
            Map<Integer, String> owners,
            Map<String, EndpointLoads.Load> loads,
            Map<String, Integer> inUseCounts,
            List<AdapterRef> popular,
            Map<String, EngineResidency> holdings,
            Map<String, TopicPosition> records,
            Map<String, Long> included,
            long number,
            boolean complete)
            implements PeerMessage {}

    /**
     * How far a node has read a topic of the store. Immutable.
     *
     * @param offset greatest offset of the records applied, or -1
     * @param ageMs time since the last response of the store, milliseconds
     */
    record TopicPosition(long offset, long ageMs) {}

    /**
     * Requests an adapter from the owner of an engine.
     *
     * @param from address of the sender for peers, IP:PORT
     * @param number number of the request, repeated in the reply
     * @param engine id of the engine
     * @param wish requested adapter, with rank and time limits
     */
    record AdapterLoadRequest(String from, long number, String engine, LoadRequest wish) implements PeerMessage {}

    /**
     * Reply to the {@link AdapterLoadRequest} of the same number.
     *
     * @param from address of the sender for peers, IP:PORT
     * @param number number of the request
     * @param loaded whether the adapter is resident on the engine
     * @param unreachable whether the sender does not reach the engine; false from a node of an older version
     */
    record AdapterLoadReply(String from, long number, boolean loaded, boolean unreachable) implements PeerMessage {}

    /**
     * Requests all records known to the peer; sent by a node that reports to it, or that cannot reach the store.
     *
     * @param from address of the sender for peers, IP:PORT
     */
    record RecordsRequest(String from) implements PeerMessage {}

    /**
     * The records of one topic.
     *
     * @param from address of the sender for peers, IP:PORT
     * @param topic name of the topic
     * @param complete whether these are all records known; otherwise those that the sender has just applied
     * @param records newest record of each key
     * @param endOffset of a complete list, see {@link PeerRecords}; otherwise the greatest offset that the sender had
     *     applied before; 0 if that is not stated, as in messages of older versions
     */
    record Records(String from, String topic, boolean complete, List<StoreRecord> records, long endOffset)
            implements PeerMessage {}

    /**
     * An endpoint states that it leaves; sent to all hubs, and by a hub to which it is news to its members.
     *
     * @param from address of the sender for peers, IP:PORT
     * @param endpoint id of the endpoint
     * @param bornMs start of the instance that leaves, milliseconds since the epoch
     */
    record EndpointLeaving(String from, String endpoint, long bornMs) implements PeerMessage {}

    /**
     * Requests an {@link EndpointLeaving} for each endpoint that leaves; sent by a node that connects to another one.
     *
     * @param from address of the sender for peers, IP:PORT
     */
    record EndpointLeavingRequest(String from) implements PeerMessage {}

    /**
     * Software versions that have begun streams, sent to all hubs.
     *
     * @param from address of the sender for peers, IP:PORT
     * @param streams hashes of the ids of the requests whose streams began, by software version
     */
    record StreamOrigins(String from, Map<String, List<Long>> streams) implements PeerMessage {}

    /**
     * Asks a hub which software version began a stream.
     *
     * @param from address of the sender for peers, IP:PORT
     * @param number number of the request, repeated in the reply
     * @param stream hash of the id of the request whose stream began
     */
    record StreamOriginRequest(String from, long number, long stream) implements PeerMessage {}

    /**
     * Reply to the {@link StreamOriginRequest} of the same number.
     *
     * @param from address of the sender for peers, IP:PORT
     * @param number number of the request
     * @param softwareVersion software version that began the stream, or null if it is unknown
     */
    record StreamOriginReply(String from, long number, String softwareVersion) implements PeerMessage {}

    /**
     * Endpoint instances whose connections broke, as the sender has seen them; sent to all hubs, and by a hub to which
     * it is news to its members.
     *
     * @param from address of the node that has seen them, IP:PORT
     * @param instances the instances
     */
    record CrashReports(String from, List<InstanceReport> instances) implements PeerMessage {}

    /**
     * Prompt parts whose responses got past their beginning; sent like {@link CrashReports}.
     *
     * @param from address of the node that has seen them, IP:PORT
     * @param clearances the parts
     */
    record PartClearances(String from, List<Clearance> clearances) implements PeerMessage {}

    /**
     * How a trial of a condemned set of prompt parts went on; sent like {@link CrashReports}.
     *
     * @param from address of the node that has made the trial, IP:PORT
     * @param set id of the set
     * @param outcome how it went on
     */
    record QuarantineTrial(String from, long set, QuarantineTrials.Outcome outcome) implements PeerMessage {}

    /**
     * The prompt parts that are condemned; sent by hubs at intervals, and in reply to a {@link CondemnedRequest}.
     *
     * @param from address of the sender for peers, IP:PORT
     * @param reply whether this is a reply
     * @param sets the condemned sets
     */
    record CondemnedParts(String from, boolean reply, List<Condemnation> sets) implements PeerMessage {}

    /**
     * Asks a hub which prompt parts are condemned.
     *
     * @param from address of the sender for peers, IP:PORT
     */
    record CondemnedRequest(String from) implements PeerMessage {}

    /**
     * Limits of requests per second that endpoints have named or that have ended; sent to all hubs, and by a hub to
     * which it is news to its members.
     *
     * @param from address of the sender for peers, IP:PORT
     * @param limits the limits
     */
    record EndpointLimits(String from, List<EndpointLimit> limits) implements PeerMessage {}

    /**
     * Asks the holder of a limited endpoint instance for a permit to send it one request.
     *
     * @param from address of the sender for peers, IP:PORT
     * @param number number of the request, repeated in the reply
     * @param endpoint id of the endpoint
     * @param bornMs start of the instance, milliseconds since the epoch
     * @param perSecond limit that the sender knows, requests per second
     * @param rank urgency, lowest number first
     * @param maxWaitMs longest wait, milliseconds
     */
    record PermitRequest(
            String from, long number, String endpoint, long bornMs, double perSecond, int rank, long maxWaitMs)
            implements PeerMessage {}

    /**
     * Reply to the {@link PermitRequest} of the same number.
     *
     * @param from address of the sender for peers, IP:PORT
     * @param number number of the request
     * @param endpoint id of the endpoint
     * @param bornMs start of the instance, milliseconds since the epoch
     * @param granted whether the request may be sent
     * @param waitMs time after which the next request can expect a permit, milliseconds
     */
    record PermitReply(String from, long number, String endpoint, long bornMs, boolean granted, long waitMs)
            implements PeerMessage {}

    /**
     * Returns a permit under which nothing was sent.
     *
     * @param from address of the sender for peers, IP:PORT
     * @param endpoint id of the endpoint
     * @param bornMs start of the instance, milliseconds since the epoch
     */
    record PermitReturn(String from, String endpoint, long bornMs) implements PeerMessage {}

    /**
     * Asks the holder of an account's budget for units of its allowance, or only corrects what was taken.
     *
     * @param from address of the sender for peers, IP:PORT
     * @param number number of the request, repeated in the reply; 0 for a correction, which has no reply
     * @param account name of the account
     * @param version version of the configuration that the allowance is from
     * @param perSecond rate of the allowance, units per second
     * @param burst capacity of the allowance, units
     * @param amount units that the waiting requests need together
     * @param least units that the cheapest of them needs
     * @param extra units that the sender expects to use within the lease time
     * @param correction units charged since the last message, less those that are returned
     */
    record BudgetRequest(
            String from,
            long number,
            String account,
            long version,
            double perSecond,
            double burst,
            long amount,
            long least,
            long extra,
            long correction)
            implements PeerMessage {}

    /**
     * Reply to the {@link BudgetRequest} of the same number.
     *
     * @param from address of the sender for peers, IP:PORT
     * @param number number of the request
     * @param holding whether the sender grants anything; otherwise the receiver uses its local share
     * @param granted units granted
     * @param left units that the budget still contains, negative while it is in debt
     * @param perSecond units per second that are granted now
     * @param usePerSecond units per second that all nodes together use
     */
    record BudgetReply(
            String from, long number, boolean holding, long granted, long left, double perSecond, long usePerSecond)
            implements PeerMessage {}
}
