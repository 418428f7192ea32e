package org.quetzalvane.entry;

import java.util.List;

import org.junit.jupiter.api.Test;
import org.quetzalvane.core.event.EventCode;
import org.quetzalvane.core.limit.AccountAllowances;
import org.quetzalvane.core.limit.AccountUse;
import org.quetzalvane.core.routes.Allowance;
import org.quetzalvane.core.routes.ClientAccount;

import static org.assertj.core.api.Assertions.assertThat;

class EntryMetricsTest {

    /** Guards against counters that grow with the number of accounts, and against labels that break the text format. */
    @Test
    void accountsAreCountedUpToABoundAndTheRestTogether() {
        EntryMetrics m = new EntryMetrics();
        CountedAllowances counted = new CountedAllowances(AccountAllowances.UNLIMITED, m);
        for (int i = 0; i < AccountLabels.MAX_ACCOUNTS + 3; i++) {
            ClientAccount a = new ClientAccount("a\"" + i, 0, Allowance.UNLIMITED);
            counted.acquire(a, 1, 50, permit -> {});
            counted.charge(a, 1, 50);
            counted.giveBack(a, 50);
            m.update(EventCode.REQUEST_REFUSED, "code", 215, "why", "x", "account", a.name());
            m.update(EventCode.REQUEST_FAILED, "code", 301, "account", a.name());
        }
        m.update(EventCode.REQUEST_REFUSED, "code", 102, "why", "x");
        assertThat(m.text().lines())
                .contains(
                        "quetzalvane_account_admitted_total{account=\"a\\\"0\"} 1",
                        "quetzalvane_account_units{account=\"a\\\"0\"} 50",
                        "quetzalvane_account_refused_total{account=\"a\\\"0\",code=\"215\"} 1",
                        "quetzalvane_account_admitted_total{account=\"other\"} 3",
                        "quetzalvane_account_units{account=\"other\"} 150",
                        "quetzalvane_account_refused_total{account=\"other\",code=\"215\"} 3");
        assertThat(m.text().lines().filter(l -> l.contains("account_refused"))).hasSize(AccountLabels.MAX_ACCOUNTS + 1);
    }

    /** Guards against an operator who cannot see which node holds the budget of an account. */
    @Test
    void limitUseAndHolderOfAnAccountAreShown() {
        EntryMetrics m = new EntryMetrics();
        m.accountUses(() -> List.of(new AccountUse("a", 2_700, 10, 1_200, 3, true, "10.0.0.1:7400")));
        assertThat(m.text().lines())
                .containsExactly(
                        "quetzalvane_account_limit_per_second{account=\"a\"} 2700",
                        "quetzalvane_account_use_per_second{account=\"a\"} 1200",
                        "quetzalvane_account_local_share{account=\"a\"} 1",
                        "quetzalvane_account_holder{account=\"a\",holder=\"10.0.0.1:7400\"} 1");
    }

    @Test
    void eventsAreCountedAndDurationsRecorded() {
        EntryMetrics m = new EntryMetrics();
        m.gauge("unanswered", () -> 7);
        m.update(EventCode.REQUEST_REFUSED, "code", 206, "why", "no slot");
        m.update(EventCode.REQUEST_REFUSED, "code", 206);
        m.update(EventCode.REQUEST_DONE, "held_ms", 12L, "delimited", false, "ms", 90L);
        assertThat(m.text().lines())
                .contains(
                        "quetzalvane_events_total{event=\"request_refused\"} 2",
                        "quetzalvane_refused_total{code=\"206\"} 2",
                        "quetzalvane_unanswered 7",
                        "quetzalvane_request_held_ms{quantile=\"0.99\"} 12",
                        "quetzalvane_request_delimited_total{value=\"false\"} 1",
                        "quetzalvane_request_ms_count 1");
    }
}
