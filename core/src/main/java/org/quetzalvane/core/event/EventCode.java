package org.quetzalvane.core.event;

/**
 * Numbered events of the timeline and of the structured log.
 *
 * <p>Numbers are stable across releases: 1xxx process; 2xxx configuration, log service and platform store; 3xxx nodes
 * and ownership; 4xxx endpoints and adapter loads; 5xxx requests, and 5012 dropped log lines. Immutable and
 * thread-safe.
 */
public enum EventCode {
    NODE_STARTED(1001, "A node process started."),
    NODE_READY(1002, "The node has caught up with the configuration and serves requests."),
    NODE_DRAINING(1003, "The node is draining: it accepts no new requests and hands over its engines."),
    NODE_STOPPED(1004, "The node stopped with nothing left running."),
    TASK_FAILED(1005, "A background task failed; it will be run again."),
    BAD_INPUT(1006, "Input from outside was rejected."),
    INPUT_TOO_LARGE(1007, "Input from outside exceeded its bound; its connection was closed."),
    FOREIGN_RESPONSE(1008, "A server sent bytes that belong to no call in progress; its idle connections were closed."),
    SLOW_PASS(1009, "A pass of the event loop took long; what arrived meanwhile was read late."),

    CONFIG_APPLIED(2001, "A configuration record is in force on this node."),
    CONFIG_REFUSED(2002, "A configuration record was rejected."),
    VERSION_NAMED(2008, "The operator published a newer required version of an adapter."),
    CONFIG_MOVED(2009, "A newer configuration of the platform operator is in force."),
    STORE_LOST(2010, "The platform store does not respond."),
    STORE_BACK(2011, "The platform store responds again."),
    STORE_READ_OVERDUE(2016, "A read of the platform store was not answered in time; another one is sent beside it."),
    SERVED_VERSIONS(2014, "The software versions that serve each service were recorded in the platform store."),
    VERSION_HISTORY(
            2017, "This node knows all software versions that lasting streams may have begun at, or no longer does."),
    STREAM_ORIGINS_KEPT(2015, "This node began to keep the software versions of streams in the platform store."),
    STORE_RESTORED(2013, "The platform store came back from a copy; its records are read again."),
    BAD_RECORD(2012, "A record of the platform store is invalid and was skipped."),
    LOG_DOWN(2003, "The log service is unreachable."),
    LOG_UP(2004, "The log service is reachable again."),
    LOG_GAP(2005, "Log records expired before this node read them."),
    SNAPSHOT_WRITTEN(2006, "A snapshot was appended to the log."),
    SNAPSHOT_RESTORED(2007, "The state was restored from a snapshot."),

    MEMBER_JOINED(3001, "A node or a new incarnation of a node became known."),
    MEMBER_LEAVING(3002, "A node is leaving."),
    MEMBER_LOST(3003, "A silent node was removed from the membership."),
    DUTIES_CHANGED(3010, "The platform store confirmed an assignment with other partitions or a newer generation."),
    PEER_LOST(3011, "The connection to a peer was closed or timed out."),
    HUB_CHANGED(3012, "The node became a hub, stopped being one, or reports to another hub."),
    LEASE_RENEWED(3004, "The node read back the first renewal of its lease as valid."),
    LEASE_LOST(3005, "The lease of the node expired; the node dispatches nothing until it is renewed."),
    ENGINE_CLAIMED(3006, "A node acquired an engine by a claim."),
    ENGINE_RELEASED(3007, "An engine was released by its owner."),
    CLAIM_LOST(3008, "A claim was defeated by an earlier claim or renewal."),
    ORDER_FENCED(3009, "An engine refused an order with an outdated fencing token."),

    LOAD_STARTED(4001, "An adapter load was ordered."),
    LOAD_FINISHED(4002, "An adapter became resident."),
    LOAD_FAILED(4003, "An adapter load failed."),
    EVICTED(4004, "An adapter was evicted from its slot."),
    ENGINE_RESTARTED(4005, "An engine restarted as a new instance; its residency was read again."),
    ORDER_IN_DOUBT(
            4006, "The outcome of an order is unknown; the slot counts as occupied until the engine reports it."),

    ENGINE_READ(4007, "The owner of an engine read the report of its resident adapters."),
    ENDPOINT_CHANGED(4008, "An endpoint appeared, restarted as a new instance, changed its state or was removed."),
    ENDPOINT_SUSPENDED(4009, "An endpoint failed or did not respond and is suspended."),

    ENDPOINT_BACKOFF(4012, "An endpoint asked this node to send it nothing for a time."),
    CRASH_EVIDENCE(4013, "Connections of an endpoint instance broke while responses were in their beginning."),
    ENDPOINT_LIMIT(4014, "An endpoint named a limit of its requests per second, changed it or named none any more."),
    ALLOWANCE_SHARE(
            4015,
            "The holder of an account's budget does not answer, so that the node uses its local share, or it answers"
                    + " again."),

    LOAD_REFUSED(
            4010,
            "A load request was refused: the adapter did not become resident on the engine in time, or its owner does"
                    + " not reach it."),
    UNLOAD_WAITS(4011, "An unload waits for running requests of the adapter; the slot stays occupied meanwhile."),

    REQUEST_QUEUED(5001, "A request was queued."),
    REQUEST_DISPATCHED(5002, "A request was sent to an endpoint."),
    REQUEST_STREAMING(5003, "The first part of a response arrived."),
    REQUEST_DONE(5004, "A request completed."),
    REQUEST_REFUSED(5005, "A request was refused and not run."),
    REQUEST_FAILED(5006, "A dispatched request failed or its outcome is unknown."),
    REQUEST_CANCELLED(5007, "The caller disconnected."),
    REQUEST_RETRIED(5008, "An idempotent request is retried."),
    REQUEST_FORWARDED(5009, "A request was forwarded to the owner of its endpoint."),
    LATE_ANSWER_DROPPED(5010, "A response to an attempt that is no longer current was dropped."),
    REQUEST_RESUMED(5011, "A broken stream was resumed at another endpoint."),
    LINES_DROPPED(5012, "Log lines were dropped because the output did not keep up."),
    ATTEMPT_SILENT(5013, "An attempt made no progress within its timeout; states what could replace it."),
    PROMPT_CONDEMNED(
            5014,
            "Endpoints crash under a request or a set of prompt parts; repeats of it, or requests with all of them,"
                    + " are refused."),
    PROMPT_ACQUITTED(5015, "A request or a set of prompt parts is no longer condemned."),
    PROMPT_TRIAL(5016, "A request with condemned prompt parts is sent as a trial, or its trial ended."),
    ATTEMPT_KEPT(5017, "The attempt that was to replace a silent one failed or was withdrawn; the silent one goes on."),
    RETRY_SENT(5018, "A retry is written to its connection and counts in the retry budget from now on."),
    RETRY_WITHHELD(5019, "A retry was not sent, since the retry budget has shrunk while it waited."),
    REQUEST_DROPPED(5020, "A request was not handled, since its caller had closed the connection before.");

    private final int number;
    private final String description;

    EventCode(int number, String description) {
        this.number = number;
        this.description = description;
    }

    public int number() {
        return number;
    }

    public String description() {
        return description;
    }
}
