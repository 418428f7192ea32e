package org.quetzalvane.core.serve;

import org.quetzalvane.core.choice.AdapterDemand;
import org.quetzalvane.core.choice.Admission;
import org.quetzalvane.core.choice.EngineChoice;
import org.quetzalvane.core.choice.LoadTable;
import org.quetzalvane.core.choice.Outliers;
import org.quetzalvane.core.choice.PlainChoice;
import org.quetzalvane.core.choice.PrefillClock;
import org.quetzalvane.core.choice.RetryShare;
import org.quetzalvane.core.event.DecisionLog;
import org.quetzalvane.core.fleet.EndpointTable;
import org.quetzalvane.core.residency.AdapterLoader;
import org.quetzalvane.core.residency.AdapterUsage;
import org.quetzalvane.core.residency.ResidencyTable;
import org.quetzalvane.core.routes.ConfigBelief;
import org.quetzalvane.core.routes.NamedVersions;
import org.quetzalvane.core.time.Scheduler;

/**
 * What the requests of a node decide by, shared among them. Confined to the event loop.
 *
 * @param scheduler clock and timers
 * @param config configuration in force
 * @param versions adapter versions in force
 * @param endpoints endpoints listed
 * @param loads work in progress
 * @param use adapters in use
 * @param residency what engines hold
 * @param broker way of load requests
 * @param outliers endpoints passed over
 * @param prefill expected waits
 * @param demand how often adapters are asked for
 * @param engines choice among engines
 * @param plain choice among plain endpoints
 * @param admission what is refused
 * @param retries share of the retry budget
 * @param calls way of requests to endpoints
 * @param log takes the decisions
 */
public record ServeState(
        Scheduler scheduler,
        ConfigBelief config,
        NamedVersions versions,
        EndpointTable endpoints,
        LoadTable loads,
        AdapterUsage use,
        ResidencyTable residency,
        AdapterLoader broker,
        Outliers outliers,
        PrefillClock prefill,
        AdapterDemand demand,
        EngineChoice engines,
        PlainChoice plain,
        Admission admission,
        RetryShare retries,
        EndpointCalls calls,
        DecisionLog log) {}
