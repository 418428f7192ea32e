package org.quetzalvane.core.peer;

import java.util.List;
import java.util.Set;

import com.fasterxml.jackson.annotation.JsonProperty;
import com.fasterxml.jackson.annotation.JsonSubTypes;
import com.fasterxml.jackson.annotation.JsonTypeInfo;
import org.quetzalvane.core.ResultCode;
import org.quetzalvane.core.cluster.NodeInfo;
import org.quetzalvane.core.request.InferenceRequest;

/** A message from one node to another. Implementations are immutable. */
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

    /** A message of a type that this program version does not know; the reply is a failure. */
    record Unknown() implements PeerMessage {}

    /**
     * A heartbeat; the reply is a heartbeat of the receiver.
     *
     * @param info identity and addresses of the sender
     * @param leaving whether the sender is leaving
     * @param configOffset highest configuration offset the sender has applied
     * @param time hybrid logical time of the sender, see {@link org.quetzalvane.core.event.Event}
     * @param observations observations of some other members
     */
    record Heartbeat(
            NodeInfo info,
            boolean leaving,
            long configOffset,
            long time,
            @JsonProperty("signs") List<MemberObservation> observations)
            implements PeerMessage {
        /** Treats a list that is missing, as from an older program version, as empty. */
        public Heartbeat {
            observations = observations == null ? List.of() : observations;
        }
    }

    /**
     * An observation of another member. Immutable.
     *
     * @param node name of the member
     * @param incarnation incarnation of the member
     * @param leaving whether the member is leaving
     * @param ageMillis age of the last heartbeat of the member in milliseconds
     */
    record MemberObservation(
            @JsonProperty("n") String node,
            @JsonProperty("i") long incarnation,
            @JsonProperty("l") boolean leaving,
            @JsonProperty("a") long ageMillis) {}

    /**
     * Requests configuration records.
     *
     * @param from offset of the first record requested
     */
    record RecordsRequest(long from) implements PeerMessage {}

    /**
     * Consecutive configuration records, the reply to {@link RecordsRequest}.
     *
     * @param from offset of the first record
     * @param records the records; if empty, the sender does not have the record requested, and {@code from} is the
     *    applied offset of the sender plus 1
     */
    record Records(long from, List<byte[]> records) implements PeerMessage {}

    /**
     * Requests a part of a snapshot of the configuration; the request for part 0 creates a new snapshot.
     *
     * @param part number of the part, from 0
     */
    record SnapshotPartRequest(int part) implements PeerMessage {}

    /**
     * A part of a snapshot of the configuration, the reply to {@link SnapshotPartRequest}.
     *
     * @param data the part; empty when the sender does not have it
     */
    record SnapshotPart(byte[] data) implements PeerMessage {}

    /**
     * Forwards a request to the owner of its engine; the reply is any number of chunks and keep-alives, and an end.
     *
     * @param request the request; {@code arrivalNanos} and {@code deadlineNanos} are of the sender's clock and are
     *    replaced by the receiver, the deadline from {@code remainingMillis}
     * @param remainingMillis time left until the deadline of the request, in milliseconds
     * @param avoid names of engines at which the request failed before
     */
    record Forward(InferenceRequest request, long remainingMillis, Set<String> avoid) implements PeerMessage {}

    /**
     * A chunk of the response to a forwarded request.
     *
     * @param text the text
     */
    record ForwardPart(String text) implements PeerMessage {}

    /** Keep-alive of a forwarded request, sent while it is queued or running. */
    record ForwardAlive() implements PeerMessage {}

    /**
     * The last reply to a forwarded request.
     *
     * @param code the outcome
     * @param message explanation, for outcomes other than success
     * @param tokens tokens generated, on success
     * @param retryAfterMillis time in milliseconds after which to retry, for refusals
     * @param where address of the node to use instead, for refusals, or empty
     */
    record ForwardEnd(ResultCode code, String message, int tokens, long retryAfterMillis, String where)
            implements PeerMessage {}

    /**
     * Cancels a forwarded request whose caller disconnected.
     *
     * @param requestId identifier of the request
     */
    record ForwardCancel(String requestId) implements PeerMessage {}

    /**
     * Requests a load permit from the load governor.
     *
     * @param node name of the requesting node
     * @param priority priority of the load; the highest is granted first
     */
    record LoadPermitRequest(String node, @JsonProperty("value") double priority) implements PeerMessage {}

    /**
     * The reply to {@link LoadPermitRequest}.
     *
     * @param granted whether one load may start
     * @param waitedNanos how long the request waited at the load governor, in nanoseconds
     */
    record LoadPermitReply(boolean granted, long waitedNanos) implements PeerMessage {}

    /**
     * Releases a load permit after the load ended, or when the permit was not used.
     *
     * @param node name of the node that had the permit
     */
    record LoadPermitRelease(String node) implements PeerMessage {}

    /**
     * The reply to a message that could not be handled.
     *
     * @param code number of the result code
     * @param message explanation
     */
    record Failure(int code, String message) implements PeerMessage {}
}
