package org.quetzalvane.core.peer;

import java.util.List;

import com.fasterxml.jackson.annotation.JsonSubTypes;
import com.fasterxml.jackson.annotation.JsonTypeInfo;
import org.quetzalvane.core.cluster.NodeInfo;

/** A message between two nodes. Implementations are immutable. */
@JsonTypeInfo(use = JsonTypeInfo.Id.NAME, property = "t")
@JsonSubTypes({
    @JsonSubTypes.Type(value = PeerMessage.Heartbeat.class, name = "hb"),
    @JsonSubTypes.Type(value = PeerMessage.RecordsWanted.class, name = "rw"),
    @JsonSubTypes.Type(value = PeerMessage.Records.class, name = "rs"),
    @JsonSubTypes.Type(value = PeerMessage.Failure.class, name = "err")
})
public sealed interface PeerMessage {

    /**
     * A sign of life; the answer is the receiver's own.
     *
     * @param info who sends it
     * @param leaving whether the sender takes no new work
     * @param configOffset highest configuration offset the sender has applied
     * @param time the sender's hybrid logical time
     */
    record Heartbeat(NodeInfo info, boolean leaving, long configOffset, long time) implements PeerMessage {}

    /**
     * Asks for configuration records.
     *
     * @param from first offset wanted
     */
    record RecordsWanted(long from) implements PeerMessage {}

    /**
     * Consecutive configuration records.
     *
     * @param from offset of the first record
     * @param records the records; empty when the receiver does not hold the offset
     */
    record Records(long from, List<byte[]> records) implements PeerMessage {}

    /**
     * The message could not be served.
     *
     * @param code number of the result code
     * @param message explanation
     */
    record Failure(int code, String message) implements PeerMessage {}
}
