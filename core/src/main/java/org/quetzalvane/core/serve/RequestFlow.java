package org.quetzalvane.core.serve;

import java.util.Set;

import org.quetzalvane.core.ResultCode;
import org.quetzalvane.core.choice.RetryBudgetShare;
import org.quetzalvane.core.event.EventCode;
import org.quetzalvane.core.fleet.Endpoint;
import org.quetzalvane.core.limit.Permit;
import org.quetzalvane.core.limit.RetryAfter;
import org.quetzalvane.core.quarantine.RequestContent;
import org.quetzalvane.core.routes.Route;
import org.quetzalvane.core.routes.ServiceSpec;

/**
 * Handles one request from its arrival to its single final response.
 *
 * <p>Invariants: the caller gets exactly one final response; a request that may have run is retried only where its
 * route allows that; it is reported as not run only if every attempt was refused by its endpoint or never reached one.
 * Confined to the event loop.
 */
public final class RequestFlow
        implements Attempt.Handler, EngineAcquisition.Handler, AttemptReplacement.Handler, RequestDeadline.Handler {
    /**
     * Retry time sent to the caller when no better estimate exists, ms: one load from the weight store (265 ms) and a
     * margin.
     */
    static final long DEFAULT_RETRY_AFTER_MS = 300;

    private final ServingContext context;
    private final CallerRequest request;
    private final CallerResponse response;
    private final RequestLog requestLog;
    private final FinalResponse finalResponse;
    private final long arrivedNanos;
    private final AccountGate account;

    private Route route;
    private ServiceSpec service;
    private RequestDeadline deadline;
    private boolean done;
    private Attempt current;
    private ResponseStream responseStream;
    private StreamVersion streamVersion;
    private final AttemptHistory history;
    /** Retry that the next attempt to be written uses; null for the first one. */
    private RetryBudgetShare.Reservation retry;

    private EngineAcquisition acquisition;
    private EndpointSelection selection;
    private PermitGate permits;
    private final SilentAttempts silentAttempts = new SilentAttempts(this::candidateKept);
    private QuarantineGate quarantine;
    private Attempt.Shared shared;
    private AttemptSender sender;

    /** Creates the flow of a request that has just arrived. */
    public RequestFlow(ServingContext context, CallerRequest request, CallerResponse response) {
        this.context = context;
        this.request = request;
        this.response = response;
        this.arrivedNanos = context.scheduler().nanoTime();
        this.requestLog = new RequestLog(context, request, arrivedNanos);
        this.finalResponse = new FinalResponse(requestLog, response);
        this.history = new AttemptHistory(context);
        this.account = new AccountGate(context, request);
    }

    /** Starts handling the request; the response may be sent within this call. */
    public void start() {
        RouteMatch match = RouteMatch.of(context.config(), request);
        route = match.route();
        service = match.service();
        requestLog.setRoute(route);
        if (match.refusal() != null) {
            refuse(match.refusal(), match.retryAfterMs(), match.cause());
            return;
        }
        Refusal refusal = account.checkArrival(route);
        requestLog.setAccount(account.accountName());
        if (endIf(refusal)) {
            return;
        }
        route = account.prioritized(route);
        long ms = request.timeoutMs() < 0 ? route.timeoutMs() : Math.min(route.timeoutMs(), request.timeoutMs());
        deadline = new RequestDeadline(context, route, ms, this);
        if (!endIf(deadline.refusal())) {
            account.acquire(this::decided);
        }
    }

    private void decided(Permit allowance) {
        if (allowance.granted()) {
            admitted();
        } else {
            long retryAfterMs = RetryAfter.spread(allowance.waitMs(), request.id());
            refuse(ResultCode.ALLOWANCE_EXCEEDED, retryAfterMs, "wait_ms=" + allowance.waitMs());
        }
    }

    private void admitted() {
        context.retryBudget().recordRequest(service.name());
        if (request.adapter() != null) {
            context.adapterDemand().recordRequest(request.adapter());
        }
        RequestContent content =
                RequestContent.of(service.name(), RequestIdentity.of(request), request.sharedParts(), request.id());
        quarantine = new QuarantineGate(context.quarantine(), content);
        quarantine.watch(this::condemned);
        shared = new Attempt.Shared(context, request, content, route, response, this);
        sender = new AttemptSender(shared, service, deadline, account);
        acquisition = new EngineAcquisition(context, request, route, this);
        selection = new EndpointSelection(context, request, service, history, acquisition, this);
        permits = new PermitGate(context, request, route, this);
        streamVersion = new StreamVersion(context, request, route);
        streamVersion.resolve(service.name(), this::streamVersionResolved);
    }

    private void streamVersionResolved(boolean mayGoOn) {
        if (done) {
            return;
        }
        if (mayGoOn) {
            selectNext();
        } else {
            giveUp(ResultCode.STREAM_NOT_RESUMABLE, "unknown origin");
        }
    }

    /** Cancels the request because its caller has disconnected. */
    public void callerDisconnected() {
        if (done) {
            return;
        }
        requestLog.logCancelled(history.sends(), current);
        finish();
    }

    /** Resumes reading the endpoint's response once the caller can be written to again. */
    public void callerWritable() {
        if (current != null) {
            current.resumeReading();
        }
    }

    @Override
    public boolean isDone() {
        return done;
    }

    @Override
    public boolean mayHaveRun() {
        return history.mayHaveRun() > 0;
    }

    @Override
    public void selectNext() {
        if (!endIfForbidden()) {
            selection.next(streamVersion.required());
        }
    }

    @Override
    public void send(Endpoint e, int version) {
        if (!endIfForbidden()) {
            permits.acquire(e, () -> sendPermitted(e, version));
        }
    }

    private void sendPermitted(Endpoint e, int version) {
        permits.sent();
        if (endIfForbidden()) {
            context.permits().giveBack(e);
            return;
        }
        current = sender.createAttempt(e, retry);
        if (current == null) {
            context.permits().giveBack(e);
            deadline.reached();
        } else {
            sendCandidate(current, version);
        }
    }

    @Override
    public Attempt createCandidate(Endpoint e, RetryBudgetShare.Reservation candidateRetry) {
        boolean maySend = account.check(route) == null && quarantine.check().maySend();
        return maySend ? sender.createAttempt(e, candidateRetry) : null;
    }

    @Override
    public void sendCandidate(Attempt a, int version) {
        quarantine.sent();
        sender.send(a, version, responseStream == null ? request.lastEventId() : responseStream.lastId());
    }

    @Override
    public void refused(Attempt a, ResponseHead head) {
        clearCurrent(a);
        account.notRun(a);
        Endpoint e = a.endpoint();
        boolean lacksAdapter = head.misdirected() && request.adapter() != null;
        if (lacksAdapter) {
            context.residency().recordAbsent(e, request.adapter());
        }
        boolean mayAskAnother = history.recordRefusal(a);
        if (silentAttempts.isCandidate(a)) {
            silentAttempts.candidateFailed(a, "status=" + head.status());
            return;
        }
        boolean again = mayAskAnother && tryReserveRetry();
        log(EventCode.REQUEST_RETRIED, "endpoint", e.id(), "status", head.status(), "not_run", true, "again", again);
        if (again && lacksAdapter && acquisition.repeatLoad(e, history.triedEndpoints())) {
            return;
        }
        if (again) {
            selectNext();
        } else {
            giveUp(ResultCode.ENDPOINT_REJECTED, "status=" + head.status());
        }
    }

    @Override
    public void unreachable(Attempt a, String cause) {
        clearCurrent(a);
        account.notRun(a);
        boolean mayAskAnother = history.recordUnreachable(a, cause);
        if (silentAttempts.isCandidate(a)) {
            silentAttempts.candidateFailed(a, cause);
            return;
        }
        if (silentAttempts.accept()) {
            return;
        }
        silentAttempts.withdraw("unreachable");
        if (mayAskAnother) {
            selectNext();
        } else {
            giveUp(ResultCode.ENDPOINT_UNREACHABLE, cause);
        }
    }

    @Override
    public void withheld(Attempt a, WriteCheck.Withheld why) {
        clearCurrent(a);
        account.notRun(a);
        if (silentAttempts.isCandidate(a)) {
            silentAttempts.candidateFailed(a, why.name());
            return;
        }
        if (silentAttempts.accept()) {
            return;
        }
        silentAttempts.withdraw(why.name());
        if (why == WriteCheck.Withheld.ENDPOINT_BACKS_OFF) {
            selectNext();
        } else {
            giveUp(ResultCode.ENDPOINT_REJECTED, why.name());
        }
    }

    @Override
    public void failed(Attempt a, ResultCode code, String cause, boolean retryReserved) {
        if (silentAttempts.isCandidate(a)) {
            history.recordFailure(a, cause);
            silentAttempts.candidateFailed(a, cause);
            return;
        }
        if (silentAttempts.accept()) {
            return;
        }
        silentAttempts.withdraw("broken off");
        boolean again = retryReserved || mayRetryAfterThis() && streamResumable() && tryReserveRetry();
        recordFailedAttempt(a, cause);
        if (again) {
            requestLog.logRetry(a.endpoint(), responseStream != null, cause);
            selectNext();
        } else {
            fail(code, cause);
        }
    }

    @Override
    public boolean accept(Attempt a, ResponseHead head) {
        if (!silentAttempts.isCandidate(a)) {
            return true;
        }
        if (head.success() && (responseStream == null || responseStream.isContinuedBy(head))) {
            return silentAttempts.accept();
        }
        history.recordFailure(a, "status=" + head.status());
        silentAttempts.candidateFailed(a, "status=" + head.status());
        return false;
    }

    @Override
    public void silent(Attempt a) {
        boolean replaceable = !silentAttempts.isReplacing()
                && sender.remainingMs() >= route.objectiveMs()
                && mayRetryAfterThis()
                && streamResumable();
        RetryBudgetShare.Reservation reserved =
                replaceable ? context.retryBudget().tryReserve(service.name()) : null;
        if (reserved != null) {
            silentAttempts.replace(() -> new AttemptReplacement(shared, service, this, a, reserved, waitsSince(a)));
        }
    }

    @Override
    public void progressed(Attempt a) {
        if (a == current) {
            silentAttempts.withdraw("the endpoint goes on");
        }
    }

    @Override
    public void replace(Attempt silent, Attempt candidate) {
        silent.cancel();
        recordFailedAttempt(silent, "silent");
        requestLog.logRetry(silent.endpoint(), responseStream != null, "silent");
        current = candidate;
        releaseRetry();
        retry = candidate.retry();
    }

    private void candidateKept(Attempt candidate, boolean withdrawn, String why) {
        if (withdrawn) {
            history.recordCancelled();
        }
        log(EventCode.ATTEMPT_KEPT, "candidate", candidate.endpoint().id(), "why", why);
    }

    private void recordFailedAttempt(Attempt a, String cause) {
        clearCurrent(a);
        history.recordFailure(a, cause);
        acquisition.resetAfterAttempt(waitsSince(a));
    }

    /** Time since which the caller has received nothing: the last chunk, or the request's arrival. */
    private long waitsSince(Attempt a) {
        return responseStream == null ? arrivedNanos : a.lastProgressNanos();
    }

    @Override
    public void completed(Attempt a) {
        clearCurrent(a);
        requestLog.logDone(a, history.mayHaveRun() + 1);
        deadline.served(requestLog.elapsedMs());
        finish();
    }

    @Override
    public boolean mayRetryAfterThis() {
        return history.permitsAnother(route);
    }

    @Override
    public boolean tryReserveRetry() {
        releaseRetry();
        retry = context.retryBudget().tryReserve(service.name());
        return retry != null;
    }

    private void releaseRetry() {
        if (retry != null) {
            retry.release();
        }
    }

    @Override
    public ResponseStream responseStream() {
        return responseStream;
    }

    @Override
    public void setResponseStream(ResponseStream stream) {
        responseStream = stream;
    }

    @Override
    public StreamVersion streamVersion() {
        return streamVersion;
    }

    @Override
    public String requiredSoftwareVersion() {
        return streamVersion.required();
    }

    @Override
    public Set<String> triedEndpoints() {
        return history.triedEndpoints();
    }

    /** Ends the request if nothing may be sent any more; returns whether it has ended. */
    private boolean endIfForbidden() {
        return endIf(deadline.refusal()) || endIf(account.check(route)) || endIf(quarantine.refusal());
    }

    private boolean endIf(Refusal refusal) {
        if (refusal != null) {
            giveUp(refusal.code(), refusal.retryAfterMs(), refusal.cause());
        }
        return refusal != null;
    }

    /** The request, or parts of its prompt, became condemned while it waits or runs. */
    private void condemned() {
        silentAttempts.withdraw("condemned");
        if (current == null) {
            endIf(quarantine.refusal());
        } else if (!current.isPastBeginning()) {
            history.recordCancelled();
            fail(ResultCode.OUTCOME_UNKNOWN, "the request was condemned before the response was past its beginning");
        }
    }

    private void clearCurrent(Attempt ended) {
        if (current == ended) {
            current = null;
        }
    }

    private boolean streamResumable() {
        return responseStream == null || responseStream.resumable();
    }

    /**
     * Ends the request: refuses it with the code if no attempt may have run, otherwise fails it with {@link
     * ResultCode#OUTCOME_UNKNOWN}.
     */
    private void giveUp(ResultCode code, String cause) {
        giveUp(code, DEFAULT_RETRY_AFTER_MS, cause);
    }

    @Override
    public void giveUp(ResultCode code, long retryAfterMs, String cause) {
        if (history.mayHaveRun() > 0) {
            fail(ResultCode.OUTCOME_UNKNOWN, cause);
        } else {
            refuse(code, retryAfterMs, cause);
        }
    }

    private void refuse(ResultCode code, long retryAfterMs, String cause) {
        finalResponse.refuse(code, retryAfterMs, cause);
        finish();
    }

    private void fail(ResultCode code, String cause) {
        String endpoint =
                current == null ? history.lastEndpoint() : current.endpoint().id();
        finalResponse.fail(code, endpoint, history.mayHaveRun(), responseStream != null, cause);
        finish();
    }

    @Override
    public boolean sent() {
        return mayHaveRun() || current != null;
    }

    @Override
    public void end(ResultCode notRun, ResultCode sent, long retryAfterMs, String cause) {
        if (done) {
            return;
        }
        if (sent()) {
            fail(sent, cause);
        } else {
            refuse(notRun, retryAfterMs, cause);
        }
    }

    private void finish() {
        done = true;
        account.close();
        if (quarantine != null) {
            quarantine.close();
        }
        if (deadline != null) {
            deadline.close();
        }
        silentAttempts.close();
        releaseRetry();
        if (current != null) {
            current.cancel();
        }
    }

    private void log(EventCode code, Object... fields) {
        requestLog.log(code, fields);
    }
}
