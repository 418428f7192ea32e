package org.quetzalvane.core.peer;

import java.util.List;
import java.util.Set;

import com.fasterxml.jackson.annotation.JsonProperty;
import com.fasterxml.jackson.annotation.JsonSubTypes;
import com.fasterxml.jackson.annotation.JsonTypeInfo;
import org.quetzalvane.core.ResultCode;
import org.quetzalvane.core.cluster.NodeInfo;
import org.quetzalvane.core.request.InferenceRequest;

/** A message between two nodes. Implementations are immutable. */
@JsonTypeInfo(use = JsonTypeInfo.Id.NAME, property = "t", defaultImpl = PeerMessage.Unknown.class)
@JsonSubTypes({
    @JsonSubTypes.Type(value = PeerMessage.Heartbeat.class, name = "hb"),
    @JsonSubTypes.Type(value = PeerMessage.RecordsRequest.class, name = "rw"),
    @JsonSubTypes.Type(value = PeerMessage.Records.class, name = "rs"),
    @JsonSubTypes.Type(value = PeerMessage.SnapshotPartRequest.class, name = "sw"),
    @JsonSubTypes.Type(value = PeerMessage.SnapshotPart.class, name = "sp"),
    @JsonSubTypes.Type(value = PeerMessage.Forward.class, name = "fw"),
    @JsonSubTypes.Type(value = PeerMessage.ForwardPart.class, name = "fp"),
    @JsonSubTypes.Type(value = PeerMessage.ForwardAlive.class, name = "fa"),
    @JsonSubTypes.Type(value = PeerMessage.ForwardEnd.class, name = "fe"),
    @JsonSubTypes.Type(value = PeerMessage.ForwardCancel.class, name = "fc"),
    @JsonSubTypes.Type(value = PeerMessage.LoadPermitRequest.class, name = "lw"),
    @JsonSubTypes.Type(value = PeerMessage.LoadPermitReply.class, name = "lp"),
    @JsonSubTypes.Type(value = PeerMessage.LoadPermitRelease.class, name = "le"),
    @JsonSubTypes.Type(value = PeerMessage.Failure.class, name = "err")
})
public sealed interface PeerMessage {

    /** A message of a type that this program version does not know; it is answered with a failure. */
    record Unknown() implements PeerMessage {}

    /**
     * A sign of life; the answer is the receiver's own.
     *
     * @param info who sends it
     * @param leaving whether the sender takes no new work
     * @param configOffset highest configuration offset the sender has applied
     * @param time the sender's hybrid logical time
     * @param signs what the sender heard of some other members
     */
    record Heartbeat(NodeInfo info, boolean leaving, long configOffset, long time, List<MemberObservation> signs)
            implements PeerMessage {
        /** Takes a missing list, of an older program version, as empty. */
        public Heartbeat {
            signs = signs == null ? List.of() : signs;
        }
    }

    /**
     * What a node heard of another. Immutable.
     *
     * @param node the other node
     * @param incarnation its incarnation
     * @param leaving whether it takes no new work
     * @param ageMillis how long ago it gave a sign of life, in milliseconds
     */
    record MemberObservation(
            @JsonProperty("n") String node,
            @JsonProperty("i") long incarnation,
            @JsonProperty("l") boolean leaving,
            @JsonProperty("a") long ageMillis) {}

    /**
     * Asks for configuration records.
     *
     * @param from first offset wanted
     */
    record RecordsRequest(long from) implements PeerMessage {}

    /**
     * Consecutive configuration records.
     *
     * @param from offset of the first record
     * @param records the records; empty when the receiver does not hold the offset, {@code from} is then the offset
     *     after the last one that it has applied
     */
    record Records(long from, List<byte[]> records) implements PeerMessage {}

    /**
     * Asks for a part of a snapshot of the configuration; asking for the first part makes a new one.
     *
     * @param part number of the part, from 0
     */
    record SnapshotPartRequest(int part) implements PeerMessage {}

    /**
     * A part of a snapshot of the configuration.
     *
     * @param data the part; empty when the receiver does not hold it
     */
    record SnapshotPart(byte[] data) implements PeerMessage {}

    /**
     * Hands a request to the owner of its engine; parts and an end come back.
     *
     * @param request the request; its instants are replaced by the receiver
     * @param remainingMillis time left until its deadline, in milliseconds
     * @param avoid names of engines that failed it before
     */
    record Forward(InferenceRequest request, long remainingMillis, Set<String> avoid) implements PeerMessage {}

    /**
     * A part of a forwarded request's answer.
     *
     * @param text the text
     */
    record ForwardPart(String text) implements PeerMessage {}

    /** The forwarded request is still waited for or running. */
    record ForwardAlive() implements PeerMessage {}

    /**
     * The final answer to a forwarded request.
     *
     * @param code the outcome
     * @param message explanation, for outcomes other than success
     * @param tokens tokens generated, on success
     * @param retryAfterMillis when to come back, for refusals, in milliseconds
     * @param where address to ask instead, for refusals, or empty
     */
    record ForwardEnd(ResultCode code, String message, int tokens, long retryAfterMillis, String where)
            implements PeerMessage {}

    /**
     * The caller of a forwarded request went away.
     *
     * @param requestId the request
     */
    record ForwardCancel(String requestId) implements PeerMessage {}

    /**
     * Asks the governor for the permit of one load.
     *
     * @param node who asks
     * @param value how much the load is worth; the greatest goes first
     */
    record LoadPermitRequest(String node, double value) implements PeerMessage {}

    /**
     * Answers {@link LoadPermitRequest}.
     *
     * @param granted whether one load may start
     * @param waitedNanos how long the wish lay with the governor
     */
    record LoadPermitReply(boolean granted, long waitedNanos) implements PeerMessage {}

    /**
     * A load ended, or its permit was not used.
     *
     * @param node whose load it was
     */
    record LoadPermitRelease(String node) implements PeerMessage {}

    /**
     * The message could not be served.
     *
     * @param code number of the result code
     * @param message explanation
     */
    record Failure(int code, String message) implements PeerMessage {}
}
