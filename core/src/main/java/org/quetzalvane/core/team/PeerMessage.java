package org.quetzalvane.core.team;

import java.util.List;
import java.util.Map;

import org.quetzalvane.core.choice.EndpointLoads;
import org.quetzalvane.core.residency.EngineResidency;
import org.quetzalvane.core.residency.LoadRequest;
import org.quetzalvane.core.routes.AdapterRef;
import org.quetzalvane.core.store.StoreRecord;

/** What the nodes tell each other. All messages are immutable. */
public sealed interface PeerMessage {

    /** Address for peers of the node that sent it, IP:PORT. */
    String from();

    /**
     * A node's own state, sent at a steady pace.
     *
     * @param from address of the sender for peers, IP:PORT
     * @param callerAddress where callers connect, IP:PORT
     * @param zone data centre
     * @param ready whether it serves
     * @param leaving whether it is being stopped
     * @param generation generation of its duties
     * @param duties numbers of its duties
     * @param ordered numbers of the duties under which it gave orders within the last lease
     * @param loads its work at each endpoint
     * @param inUse adapters its requests run on, by engine
     * @param holdings what the engines of its duties hold
     * @param members addresses of the peers that it hears of
     * @param loading loads from the store that its orders have on their way
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
     * Asks the holder of an engine's duty for an adapter.
     *
     * @param from address of the sender for peers, IP:PORT
     * @param number ties the answer to its question
     * @param engine engine's id or the engine itself
     * @param wish what is wanted and how urgently
     */
    record AdapterLoadRequest(String from, long number, String engine, LoadRequest wish) implements PeerMessage {}

    /**
     * Answers {@link AdapterLoadRequest} of the same number.
     *
     * @param from address of the sender for peers, IP:PORT
     * @param number ties the answer to its question
     * @param loaded whether the engine holds the adapter
     */
    record AdapterLoadReply(String from, long number, boolean loaded) implements PeerMessage {}

    /**
     * Asks for all records that the peer knows, by a node that cannot reach the store.
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
