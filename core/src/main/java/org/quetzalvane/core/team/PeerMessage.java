package org.quetzalvane.core.team;

import java.util.List;
import java.util.Map;

import org.quetzalvane.core.choice.EndpointLoads;
import org.quetzalvane.core.residency.EngineResidency;
import org.quetzalvane.core.residency.LoadRequest;
import org.quetzalvane.core.routes.AdapterRef;
import org.quetzalvane.core.store.StoreRecord;

/** A message between nodes. The lists and maps of a message must not be changed after construction. */
public sealed interface PeerMessage {

    /** Address for peers of the sending node, IP:PORT. */
    String from();

    /**
     * Status of a node, sent every {@link PeerTable#STATUS_INTERVAL_MS}.
     *
     * @param from address of the sender for peers, IP:PORT
     * @param callerAddress address for callers, IP:PORT
     * @param zone data centre
     * @param ready whether the node serves requests
     * @param leaving whether the node is leaving
     * @param generation generation of its assignment
     * @param duties partitions assigned to it
     * @param ordered partitions under which it sent orders within the last lease
     * @param loads endpoint load of its requests by endpoint
     * @param inUse adapters that its requests use, by engine
     * @param holdings adapters resident on the engines that it owns
     * @param members addresses of the peers that it considers up
     * @param loading loads from the weight store in flight under its orders
     */
    record Status(
            String from,
            String callerAddress,
            String zone,
            boolean ready,
            boolean leaving,
            long generation,
            List<Integer> duties,
            List<Integer> ordered,
            Map<String, EndpointLoads.Load> loads,
            Map<String, List<AdapterRef>> inUse,
            Map<String, EngineResidency> holdings,
            List<String> members,
            int loading)
            implements PeerMessage {}

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
     */
    record AdapterLoadReply(String from, long number, boolean loaded) implements PeerMessage {}

    /**
     * Requests all records known to the peer; sent by a node that cannot reach the store.
     *
     * @param from address of the sender for peers, IP:PORT
     */
    record RecordsRequest(String from) implements PeerMessage {}

    /**
     * The records of one topic.
     *
     * @param from address of the sender for peers, IP:PORT
     * @param topic name of the topic
     * @param records newest record of each key
     */
    record Records(String from, String topic, List<StoreRecord> records) implements PeerMessage {}
}
