package org.quetzalvane.entry;

import java.io.IOException;
import java.util.List;

import com.fasterxml.jackson.annotation.JsonFormat;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.ObjectMapper;
import org.msgpack.jackson.dataformat.MessagePackFactory;
import org.quetzalvane.core.choice.EndpointLoads;
import org.quetzalvane.core.limit.EndpointLimit;
import org.quetzalvane.core.quarantine.Clearance;
import org.quetzalvane.core.quarantine.Condemnation;
import org.quetzalvane.core.quarantine.InstanceReport;
import org.quetzalvane.core.residency.EngineResidency;
import org.quetzalvane.core.residency.LoadRequest;
import org.quetzalvane.core.routes.AdapterRef;
import org.quetzalvane.core.store.StoreRecord;
import org.quetzalvane.core.team.NodeInfo;
import org.quetzalvane.core.team.PeerMessage;

/**
 * Codec of the messages between nodes: one byte for the type, which is an index into {@link #TYPES}, then the
 * components in order as a MessagePack array. Trailing components that a newer version adds are ignored. Thread-safe.
 */
final class PeerCodec {
    /** Message types by their number on the wire. Types are only appended, never reordered or removed. */
    private static final List<Class<? extends PeerMessage>> TYPES = List.of(
            PeerMessage.Status.class,
            PeerMessage.AdapterLoadRequest.class,
            PeerMessage.AdapterLoadReply.class,
            PeerMessage.RecordsRequest.class,
            PeerMessage.Records.class,
            PeerMessage.View.class,
            PeerMessage.StreamOrigins.class,
            PeerMessage.StreamOriginRequest.class,
            PeerMessage.StreamOriginReply.class,
            PeerMessage.EndpointLeaving.class,
            PeerMessage.CrashReports.class,
            PeerMessage.PartClearances.class,
            PeerMessage.QuarantineTrial.class,
            PeerMessage.CondemnedParts.class,
            PeerMessage.CondemnedRequest.class,
            PeerMessage.EndpointLimits.class,
            PeerMessage.PermitRequest.class,
            PeerMessage.PermitReply.class,
            PeerMessage.PermitReturn.class,
            PeerMessage.EndpointLeavingRequest.class,
            PeerMessage.BudgetRequest.class,
            PeerMessage.BudgetReply.class);

    private final ObjectMapper mapper = new ObjectMapper(new MessagePackFactory());

    PeerCodec() {
        mapper.disable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES);
        mapper.enable(DeserializationFeature.UNWRAP_SINGLE_VALUE_ARRAYS);
        JsonFormat.Value array = JsonFormat.Value.forShape(JsonFormat.Shape.ARRAY);
        TYPES.forEach(t -> mapper.configOverride(t).setFormat(array));
        List.of(
                        EndpointLoads.Load.class,
                        EngineResidency.class,
                        AdapterRef.class,
                        LoadRequest.class,
                        StoreRecord.class,
                        NodeInfo.class,
                        PeerMessage.TopicPosition.class,
                        InstanceReport.class,
                        InstanceReport.BegunRequest.class,
                        Clearance.class,
                        Condemnation.class,
                        EndpointLimit.class)
                .forEach(t -> mapper.configOverride(t).setFormat(array));
    }

    byte[] encode(PeerMessage m) throws IOException {
        byte[] body = mapper.writeValueAsBytes(m);
        byte[] frame = new byte[body.length + 1];
        frame[0] = (byte) TYPES.indexOf(m.getClass());
        System.arraycopy(body, 0, frame, 1, body.length);
        return frame;
    }

    /** Decodes a frame; null for an empty frame or an unknown type, as a newer version may send. */
    PeerMessage decode(byte[] frame) throws IOException {
        if (frame.length == 0 || frame[0] < 0 || frame[0] >= TYPES.size()) {
            return null;
        }
        return mapper.readValue(frame, 1, frame.length - 1, TYPES.get(frame[0]));
    }
}
