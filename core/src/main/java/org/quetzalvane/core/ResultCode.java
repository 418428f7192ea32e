package org.quetzalvane.core;

/**
 * Numbered results of requests, orders and configuration records.
 *
 * <p>Numbers are stable across releases, so that callers and operators can match on them. They are grouped by
 * hundreds: 0 success; 1xx errors of the caller; 2xx refusals; 3xx outcomes after dispatch; 4xx configuration records;
 * 5xx log service, peers and engines; 6xx settings, protocol and internal errors. A request with a code from 100 to 299
 * was not run.
 *
 * <p>Immutable and thread-safe.
 */
public enum ResultCode {
    OK(0, 200, false, "The request completed."),

    MALFORMED_REQUEST(101, 400, false, "The request could not be parsed or lacks a required field."),
    UNAUTHENTICATED(102, 401, false, "The caller's token is missing or unknown."),
    ACCESS_DENIED(103, 403, false, "No access rule lets this caller use the adapter, version or service."),
    UNKNOWN_ADAPTER(
            104,
            404,
            false,
            "The adapter does not exist in the configuration in force, or no adapter can have its name."),
    UNKNOWN_VERSION(105, 404, false, "The adapter exists but the named version does not."),
    UNKNOWN_SERVICE(106, 404, false, "The service does not exist in the configuration in force."),
    REQUEST_TOO_LARGE(107, 413, false, "The request body exceeds the configured limit."),
    REQUEST_TOO_SLOW(108, 408, false, "The request body did not arrive within the read timeout."),
    KEY_REQUIRED(109, 400, false, "A non-idempotent call carries no idempotency key issued by a node."),
    UNKNOWN_PATH(110, 404, false, "The path or method is not served here."),

    OVERLOADED(
            201,
            503,
            true,
            "The queue of the engine is full, the caller has reached its limit of queued requests, or "
                    + "the expected wait is too long for the priority. The request was not run."),
    DEADLINE_UNREACHABLE(202, 503, true, "The deadline cannot be met. The request was not run."),
    NO_ENGINE(203, 503, true, "No usable engine is left for the adapter's base model. The request was not run."),
    NOT_OWNER(
            204,
            421,
            true,
            "Another node owns the endpoint; use the address in the response. The request was not run."),
    DRAINING(205, 503, true, "The node is draining and accepts no new requests. The request was not run."),
    LOAD_FAILED(206, 503, true, "The adapter could not be loaded in time. The request was not run."),
    NOT_READY(207, 503, true, "The node has not reached the configuration in force. The request was not run."),
    LEASE_LAPSED(
            208, 503, true, "The node does not own the engine or its own lease has expired. The request was not run."),
    ENDPOINT_REJECTED(
            209, 503, true, "The endpoint reported that it did not run the attempt. The request was not run."),
    ENDPOINT_UNREACHABLE(210, 503, true, "No connection to the endpoint could be made. The request was not run."),
    CANCELLED_IN_QUEUE(212, 499, false, "The caller disconnected before dispatch. The request was not run."),

    STREAM_NOT_RESUMABLE(
            213,
            503,
            true,
            "The software version that began the stream is unknown or no endpoint has it. The request was not run."),

    PROMPT_QUARANTINED(
            214,
            503,
            true,
            "Endpoints crashed one after the other under this request, sent before, or under parts of its prompt."
                    + " The request was not run."),

    ALLOWANCE_EXCEEDED(
            215, 429, true, "The client account has used its allowance over all nodes. The request was not run."),
    NODE_MEMORY_FULL(216, 503, true, "The request cannot be held beside those in progress. The request was not run."),

    OUTCOME_UNKNOWN(301, 502, false, "The request was dispatched and its outcome is unknown."),
    STREAM_BROKEN(302, 502, false, "The response broke off before its end mark and is incomplete."),
    WRONG_ECHO(303, 502, false, "The response is for another adapter, version or attempt than was requested."),
    NEVER_WILL_RUN(
            304,
            409,
            false,
            "The incarnation that issued the idempotency key has ended, or the key was evicted. The "
                    + "outcome is unknown and the call will not be run again."),
    CALLER_GONE(305, 499, false, "The caller disconnected during the response; the attempt was cancelled."),
    ENDPOINT_FAILED(306, 502, false, "The endpoint reported a failure after it started the attempt."),
    PROGRESS_TIMEOUT(307, 504, false, "The endpoint made no progress within the timeout after dispatch."),
    HELD_ELSEWHERE(
            308, 409, true, "Another node holds the idempotency key and its outcome; use the address in the response."),

    RECORD_ACCEPTED(400, 200, false, "The configuration record is in force."),
    RECORD_REPEATED(401, 200, false, "A record with this id was applied before; this one has no effect."),
    REVISION_CONFLICT(402, 409, false, "The expected revision does not match; another operator changed the object."),
    UNKNOWN_SCHEMA(403, 400, false, "The record's schema version is not supported."),
    RECORD_MALFORMED(404, 400, false, "The record cannot be decoded."),
    RECORD_INVALID(405, 400, false, "The record breaks a rule, such as naming an object that does not exist."),
    NOT_IN_FORCE(406, 504, true, "The record was appended but not every node reported it in force in time."),

    LOG_UNAVAILABLE(501, 503, true, "The log service cannot be reached or refused the append."),
    LOG_EXPIRED(502, 410, false, "The requested offset has expired from the log."),
    FENCED(503, 409, false, "The engine refused an order with an outdated fencing token."),
    PEER_UNAVAILABLE(504, 503, true, "The peer node cannot be reached."),
    LOAD_REFUSED(
            505,
            503,
            true,
            "The engine refused an order, or a load could not be ordered because the version is not "
                    + "published or the lease expired."),

    SETTINGS_INVALID(601, 500, false, "The settings file has violations."),
    FRAME_INVALID(602, 400, false, "A frame between nodes has a wrong length or cannot be decoded."),
    PEER_REJECTED(603, 403, false, "A peer presented another cluster name or a wrong secret."),
    STALE_INCARNATION(607, 409, false, "A message is from an older incarnation of a node than the one known."),
    INTERNAL(699, 500, false, "An unexpected failure inside the node.");

    private final int number;
    private final int httpStatus;
    private final boolean retryable;
    private final String description;

    ResultCode(int number, int httpStatus, boolean retryable, String description) {
        this.number = number;
        this.httpStatus = httpStatus;
        this.retryable = retryable;
        this.description = description;
    }

    public int number() {
        return number;
    }

    /** The HTTP status of responses to callers with this code. */
    public int httpStatus() {
        return httpStatus;
    }

    /** Whether the same request may succeed later; refusals with such a code carry a retry time. */
    public boolean retryable() {
        return retryable;
    }

    public String description() {
        return description;
    }

    /** Whether this code states that the request was certainly not run. */
    public boolean provesNotRun() {
        return number >= 100 && number < 300;
    }
}
