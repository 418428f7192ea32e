package org.quetzalvane.core.serve;

import java.util.HashMap;
import java.util.List;
import java.util.Map;

import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.quetzalvane.core.ResultCode;
import org.quetzalvane.core.limit.Permit;
import org.quetzalvane.core.quarantine.Verdict;
import org.quetzalvane.core.residency.AdapterLoader;
import org.quetzalvane.core.routes.AccountTable;
import org.quetzalvane.core.routes.AdapterRef;
import org.quetzalvane.core.routes.Allowance;
import org.quetzalvane.core.routes.ClientAccount;
import org.quetzalvane.core.routes.KeyHash;
import org.quetzalvane.core.routes.RouteKind;

import static org.assertj.core.api.Assertions.assertThat;

/** Requests of client accounts: authentication on arrival and at each send, and the use of allowances. */
class AccountRequestTest extends RequestFlowFixture {
    private static final byte[] EVENT = "id: 1\ndata: a\n\n".getBytes();
    /** Cost of a request of the fixture, which states 100 prompt and no output tokens. */
    private static final long COST = 100;

    private static final String OVER_LONG = "x".repeat(3_073);

    private static final ClientAccount FIRST = account("first", 0);
    private static final ClientAccount SECOND = account("second", ClientAccount.NO_PRIORITY);
    private static final AccountTable BOTH = table(Map.of("k1", FIRST, "k2", SECOND));
    private static final AccountTable ONLY_SECOND = table(Map.of("k2", SECOND));

    @BeforeEach
    void defineAccounts() {
        configure(2, BOTH, false);
    }

    /** Guards against a request that is served under a wrong account, or refused, for its credentials. */
    @ParameterizedTest
    @CsvSource(
            nullValues = "-",
            value = {
                "false, Bearer k1, , first",
                "false, bEARER k1, , first",
                "false, 'Bearer  k1 ', , first",
                "false, -, , 401",
                "false, Basic k1, , 401",
                "false, k1, , 401",
                "false, Bearerk1, , 401",
                "false, Bearer, , 401",
                "false, '', , 401",
                "false, Bearer k9, , 401",
                "false, Bearer K1, , 401",
                "false, Bearer k1 k1, , 401",
                "false, Bearer long, , 401",
                "false, Bearer k1, Bearer k1, 401",
                "false, Bearer k1, Basic x, 401",
                "true, Bearer k2, , second",
                "true, -, , -",
                "true, Basic k1, , -",
                "true, Bearer k9, , 401",
                "true, Bearer, , 401",
                "true, Bearer long, , 401",
                "true, Bearer k1, Bearer k1, 401",
                "true, Basic x, Basic x, 401",
            })
    void outcomeDependsOnRouteAndCredentials(boolean isPublic, String first, String second, String outcome) {
        configure(3, BOTH, isPublic);
        List<String> lines = first == null ? List.of() : second == null ? List.of(first) : List.of(first, second);
        startWith(
                RouteKind.IDEMPOTENT,
                null,
                lines.stream().map(l -> l.replace("long", OVER_LONG)).toList());
        if ("401".equals(outcome)) {
            assertThat(response.errorCode).isEqualTo(ResultCode.UNAUTHENTICATED);
            assertThat(response.retryAfterMs).isNegative();
            assertThat(client.sent).isEmpty();
            assertThat(allowances.calls).isEmpty();
        } else {
            assertThat(client.requests).hasSize(1);
            assertThat(client.requests.get(0).account()).isEqualTo(outcome);
            assertThat(client.requests.get(0).forwardsCredentials()).isFalse();
            assertThat(allowances.calls).hasSize(outcome == null ? 0 : 1);
        }
    }

    /** Guards against a change for deployments without accounts. */
    @ParameterizedTest
    @ValueSource(strings = {"Bearer k1", "Basic x", ""})
    void withoutAccountsCredentialsArePassedOnUnchecked(String authorization) {
        configure(3, null, false);
        startWith(RouteKind.IDEMPOTENT, null, List.of(authorization));
        assertThat(client.requests.get(0).account()).isNull();
        assertThat(client.requests.get(0).forwardsCredentials()).isTrue();
        assertThat(allowances.calls).isEmpty();
    }

    /** Guards against an empty list of accounts that is taken for none, which would serve every caller. */
    @Test
    void emptyListOfAccountsAdmitsNobody() {
        configure(3, table(Map.of()), false);
        startWith(RouteKind.IDEMPOTENT, null, List.of("Bearer k1"));
        assertThat(response.errorCode).isEqualTo(ResultCode.UNAUTHENTICATED);
    }

    /** Guards against an account's priority that some decision does not follow. */
    @ParameterizedTest
    @CsvSource({"k1, 1, 0", "k2, 3, 1"})
    void priorityOfTheAccountReplacesThatOfTheRoute(String key, int enginePriority, int rank) {
        permits.waits.put("engine-1", 0L);
        permits.waits.put("engine-2", 0L);
        startWithKey(RouteKind.STREAMING, MISSING_ADAPTER, key);
        assertThat(loader.lastRequest.rank()).isEqualTo(rank);
        loader.complete(AdapterLoader.Outcome.RESIDENT);
        assertThat(permits.ranks).containsExactly(rank);
        permits.last.accept(new Permit(true, 0));
        assertThat(client.requests.get(0).enginePriority()).isEqualTo(enginePriority);
    }

    /** Guards against a revoked key under which a request that waited for a load still runs. */
    @Test
    void keyRevokedWhileTheAdapterLoadsIsRefused() {
        startWithKey(RouteKind.STREAMING, MISSING_ADAPTER, "k1");
        configure(3, ONLY_SECOND, false);
        loader.complete(AdapterLoader.Outcome.RESIDENT);
        assertRefusedAsRevoked();
    }

    /** Guards against a revoked key under which a request that waited for a permit still runs. */
    @Test
    void keyRevokedWhileWaitingForAPermitIsRefusedAndThePermitReturned() {
        permits.waits.put("plain-1", 0L);
        permits.waits.put("plain-2", 0L);
        startWithKey(RouteKind.IDEMPOTENT, null, "k1");
        configure(3, ONLY_SECOND, false);
        permits.last.accept(new Permit(true, 0));
        assertRefusedAsRevoked();
        assertThat(permits.returned).isEqualTo(permits.asked);
    }

    /** Guards against a revoked key that is used again after an endpoint refused the request. */
    @Test
    void keyRevokedBeforeARetryOfARefusedRequestIsRefused() {
        startWithKey(RouteKind.NON_IDEMPOTENT, null, "k1");
        configure(3, ONLY_SECOND, false);
        client.last().head(head(503, true));
        assertThat(client.sent).hasSize(1);
        assertThat(response.errorCode).isEqualTo(ResultCode.UNAUTHENTICATED);
        assertThat(allowances.used).isZero();
    }

    /** Guards against a refusal that claims that a request did not run though its first attempt may have. */
    @ParameterizedTest
    @EnumSource(
            value = RouteKind.class,
            names = {"IDEMPOTENT", "STREAMING"})
    void keyRevokedBeforeARetryOfARequestThatMayHaveRunFailsWithUnknownOutcome(RouteKind kind) {
        startWithKey(kind, kind == RouteKind.STREAMING ? RESIDENT_ADAPTER : null, "k1");
        configure(3, ONLY_SECOND, false);
        client.last().failed(false, "reset");
        assertThat(client.sent).hasSize(1);
        assertThat(response.errorCode).isEqualTo(ResultCode.OUTCOME_UNKNOWN);
        assertThat(allowances.used).isEqualTo(COST);
    }

    /** Guards against a running stream that is cut, or replaced under a revoked key. */
    @Test
    void silentStreamIsNotReplacedUnderARevokedKeyAndGoesOn() {
        startWithKey(RouteKind.STREAMING, RESIDENT_ADAPTER, "k1");
        client.last().head(head(200, false));
        client.last().body(EVENT);
        configure(3, ONLY_SECOND, false);
        advance(1_900);
        client.last().body(EVENT);
        client.last().end();
        assertThat(client.sent).hasSize(1);
        assertThat(response.ended).isTrue();
    }

    /** Guards against a replacement that lacks the account's name or is not charged. */
    @Test
    void replacementOfASilentAttemptCarriesTheAccountAndIsCharged() {
        startWithKey(RouteKind.STREAMING, RESIDENT_ADAPTER, "k1");
        client.last().head(head(200, false));
        client.last().body(EVENT);
        advance(1_300);
        assertThat(client.requests).extracting(EndpointRequest::account).containsExactly("first", "first");
        assertThat(allowances.calls).containsExactly("acquire first 100", "charge first 100");
    }

    /** Guards against requests that are refused, or not, while their keys cannot be verified. */
    @ParameterizedTest
    @CsvSource({
        "false, Bearer k1, NOT_READY",
        "false, Bearer k9, NOT_READY",
        "false, Basic x, UNAUTHENTICATED",
        "true, Bearer k1, ",
        "true, Basic x, ",
    })
    void requestThatNeedsAKeyIsRefusedWhileKeysCannotBeVerified(
            boolean isPublic, String authorization, ResultCode outcome) {
        configure(3, BOTH, isPublic);
        keysVerifiable = false;
        startWith(RouteKind.IDEMPOTENT, null, List.of(authorization));
        assertThat(response.errorCode).isEqualTo(outcome);
        assertThat(client.sent).hasSize(outcome == null ? 1 : 0);
    }

    /** Guards against keys that are refused for good by a node that may lack the configuration that added them. */
    @ParameterizedTest
    @CsvSource({
        "2000, Bearer k9, UNAUTHENTICATED",
        "2001, Bearer k9, NOT_READY",
        "2001, Bearer k1, ",
        "2001, Bearer, UNAUTHENTICATED"
    })
    void unknownKeyIsRefusedForGoodOnlyByAConfigurationThatIsUpToDate(
            long ageMs, String authorization, ResultCode outcome) {
        configure(3, BOTH, false);
        configAgeMs = ageMs;
        startWith(RouteKind.IDEMPOTENT, null, List.of(authorization));
        assertThat(response.errorCode).isEqualTo(outcome);
        assertThat(client.sent).hasSize(outcome == null ? 1 : 0);
    }

    /** Guards against a request beyond the allowance that waits, runs or tells its caller to come back too early. */
    @Test
    void requestBeyondTheAllowanceIsRefusedBeforeItWaitsForAnything() {
        allowances.held = true;
        startWithKey(RouteKind.STREAMING, MISSING_ADAPTER, "k1");
        allowances.decide(Permit.denied(700));
        assertThat(response.errorCode).isEqualTo(ResultCode.ALLOWANCE_EXCEEDED);
        assertThat(response.retryAfterMs).isBetween(700L, 900L);
        assertThat(loader.engines).isEmpty();
        assertThat(client.sent).isEmpty();
        assertThat(allowances.used).isZero();
    }

    /** Guards against a grant that is lost because its request ended while it was asked for. */
    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void grantForARequestThatHasEndedIsGivenBack(boolean callerLeft) {
        allowances.held = true;
        RequestFlow flow = startWithKey(RouteKind.IDEMPOTENT, null, "k1");
        if (callerLeft) {
            flow.callerDisconnected();
        } else {
            advance(3_000);
            assertThat(response.errorCode).isEqualTo(ResultCode.DEADLINE_UNREACHABLE);
        }
        allowances.decide(Permit.UNLIMITED);
        assertThat(allowances.used).isZero();
        assertThat(client.sent).isEmpty();
    }

    /** Guards against a key revoked while the allowance was asked for. */
    @Test
    void keyRevokedWhileTheAllowanceIsAcquiredIsRefused() {
        allowances.held = true;
        startWithKey(RouteKind.IDEMPOTENT, null, "k1");
        configure(3, ONLY_SECOND, false);
        allowances.decide(Permit.UNLIMITED);
        assertRefusedAsRevoked();
    }

    /** Guards against charges for attempts that did not run, and against free retries. */
    @ParameterizedTest
    @CsvSource({"refused, 1", "unreachable, 1", "failed, 2"})
    void eachAttemptThatMayHaveRunIsChargedOnce(String firstOutcome, int charged) {
        startWithKey(RouteKind.IDEMPOTENT, null, "k1");
        switch (firstOutcome) {
            case "refused" -> client.last().head(head(503, true));
            case "unreachable" -> client.last().failed(true, "refused");
            default -> client.last().failed(false, "reset");
        }
        assertThat(client.sent).hasSize(2);
        client.last().head(plainHead(200));
        client.last().end();
        assertThat(response.ended).isTrue();
        assertThat(allowances.used).isEqualTo(charged * COST);
    }

    /** Guards against an allowance that is kept by a request of which nothing was sent. */
    @Test
    void allowanceOfARequestThatIsNeverSentIsGivenBack() {
        quarantine.verdict = Verdict.refuse(4_000, "test");
        startWithKey(RouteKind.IDEMPOTENT, null, "k1");
        assertThat(response.errorCode).isEqualTo(ResultCode.PROMPT_QUARANTINED);
        assertThat(allowances.used).isZero();
    }

    /** Guards against a request that is sent under the former account of a key that moved to another one. */
    @Test
    void keyThatMovedToAnotherAccountIsChargedThere() {
        startWithKey(RouteKind.STREAMING, MISSING_ADAPTER, "k1");
        configure(3, table(Map.of("k1", SECOND)), false);
        loader.complete(AdapterLoader.Outcome.RESIDENT);
        assertThat(client.requests.get(0).account()).isEqualTo("second");
        assertThat(allowances.calls).containsExactly("acquire first 100", "give back first 100", "charge second 100");
    }

    /** Guards against malformed token counts under which an account would be charged too little. */
    @ParameterizedTest
    @CsvSource({
        "TOKENS, MALFORMED, MALFORMED_REQUEST, ",
        "TOKENS, ABSENT, , acquire a 200",
        "TOKENS, VALID, , acquire a 120",
        "REQUESTS, MALFORMED, , acquire a 1",
        "REQUESTS, VALID, , acquire a 1",
    })
    void costFollowsTheStatedTokens(
            Allowance.Unit unit, TokenCounts.Statement statement, ResultCode refusal, String call) {
        ClientAccount a = new ClientAccount("a", ClientAccount.NO_PRIORITY, new Allowance(unit, 1, 1, 200));
        configure(3, table(Map.of("k1", a)), false);
        start(request(RouteKind.IDEMPOTENT, null, List.of("Bearer k1"), new TokenCounts(100, 20, 0, statement)));
        assertThat(response.errorCode).isEqualTo(refusal);
        assertThat(allowances.calls).isEqualTo(call == null ? List.of() : List.of(call));
    }

    /** Guards against repeats of different callers that are taken for one request, and against keys in messages. */
    @Test
    void identityTellsCallersApartAndTextHoldsNoKey() {
        TokenCounts t = new TokenCounts(1, 1, 0, TokenCounts.Statement.VALID);
        CallerRequest first = request(RouteKind.IDEMPOTENT, null, List.of("Bearer k1-secret"), t);
        CallerRequest second = request(RouteKind.IDEMPOTENT, null, List.of("Bearer k2-secret"), t);
        assertThat(RequestIdentity.of(first)).isNotEqualTo(RequestIdentity.of(second));
        assertThat(first.toString()).doesNotContain("secret");
    }

    private void assertRefusedAsRevoked() {
        assertThat(response.errorCode).isEqualTo(ResultCode.UNAUTHENTICATED);
        assertThat(client.sent).isEmpty();
        assertThat(allowances.used).isZero();
    }

    private RequestFlow startWithKey(RouteKind kind, AdapterRef adapter, String key) {
        return startWith(kind, adapter, List.of("Bearer " + key));
    }

    private RequestFlow startWith(RouteKind kind, AdapterRef adapter, List<String> authorization) {
        TokenCounts counts = new TokenCounts(COST, 0, 0, TokenCounts.Statement.VALID);
        return start(request(kind, adapter, authorization, counts));
    }

    private static CallerRequest request(
            RouteKind kind, AdapterRef adapter, List<String> authorization, TokenCounts counts) {
        CallerRequest r = request(kind, adapter, null, (String) null);
        List<Header> headers =
                authorization.stream().map(v -> new Header("Authorization", v)).toList();
        return new CallerRequest(
                r.id(),
                r.method(),
                r.host(),
                r.target(),
                r.path(),
                List.of(),
                r.body(),
                r.timeoutMs(),
                r.adapter(),
                counts,
                null,
                null,
                r.sharedParts(),
                new Credentials(headers, authorization));
    }

    private static ClientAccount account(String name, int priority) {
        return new ClientAccount(name, priority, new Allowance(Allowance.Unit.TOKENS, 1_000, 1_000, 200));
    }

    private static AccountTable table(Map<String, ClientAccount> byKey) {
        Map<KeyHash, ClientAccount> hashes = new HashMap<>();
        byKey.forEach((key, a) -> hashes.put(KeyHash.of(key), a));
        return new AccountTable(List.copyOf(byKey.values()), hashes);
    }
}
