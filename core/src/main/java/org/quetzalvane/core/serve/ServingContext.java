package org.quetzalvane.core.serve;

import org.quetzalvane.core.choice.AdapterDemand;
import org.quetzalvane.core.choice.Admission;
import org.quetzalvane.core.choice.EndpointLoads;
import org.quetzalvane.core.choice.EngineSelector;
import org.quetzalvane.core.choice.OutlierDetector;
import org.quetzalvane.core.choice.PrefillEstimator;
import org.quetzalvane.core.choice.RetryBudgetShare;
import org.quetzalvane.core.choice.ServiceEndpointSelector;
import org.quetzalvane.core.event.StructuredLog;
import org.quetzalvane.core.fleet.EndpointTable;
import org.quetzalvane.core.residency.AdapterLoader;
import org.quetzalvane.core.residency.AdapterUsage;
import org.quetzalvane.core.residency.ResidencyTable;
import org.quetzalvane.core.routes.CurrentConfig;
import org.quetzalvane.core.routes.RequiredVersions;
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
public record ServingContext(
        Scheduler scheduler,
        CurrentConfig config,
        RequiredVersions versions,
        EndpointTable endpoints,
        EndpointLoads loads,
        AdapterUsage use,
        ResidencyTable residency,
        AdapterLoader broker,
        OutlierDetector outliers,
        PrefillEstimator prefill,
        AdapterDemand demand,
        EngineSelector engines,
        ServiceEndpointSelector plain,
        Admission admission,
        RetryBudgetShare retries,
        EndpointClient calls,
        StructuredLog log) {}
