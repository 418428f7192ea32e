package org.quetzalvane.core.serve;

import java.util.function.BooleanSupplier;

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
import org.quetzalvane.core.limit.AccountAllowances;
import org.quetzalvane.core.limit.EndpointPermits;
import org.quetzalvane.core.limit.MemoryAccount;
import org.quetzalvane.core.quarantine.PromptQuarantine;
import org.quetzalvane.core.residency.AdapterLoader;
import org.quetzalvane.core.residency.AdapterUsage;
import org.quetzalvane.core.residency.ResidencyTable;
import org.quetzalvane.core.routes.CurrentConfig;
import org.quetzalvane.core.routes.RequiredVersions;
import org.quetzalvane.core.time.Scheduler;

/**
 * Collaborators shared by all requests of a node. Confined to the event loop.
 *
 * @param scheduler clock and timers
 * @param config configuration in force
 * @param requiredVersions adapter versions that requests must run on
 * @param endpoints listed endpoints
 * @param endpointLoads endpoint load of each endpoint
 * @param adapterUsage adapters in use
 * @param residency adapters resident on each engine
 * @param adapterLoader port for load requests
 * @param outlierDetector suspends failing and slow endpoints
 * @param prefillEstimator estimates the wait for the first token
 * @param adapterDemand recent requests by adapter
 * @param engineSelector selects engines
 * @param serviceEndpointSelector selects endpoints of plain services
 * @param permits permits for endpoints that named a limit
 * @param allowances allowances of client accounts
 * @param keysVerifiable whether the configuration is recent enough to tell whether an API key is valid
 * @param admission refuses requests beyond the engines' capacity
 * @param retryBudget this node's share of the retry budget
 * @param streamOrigins software versions that streams come from
 * @param servedVersions software versions that may have begun a stream of unknown origin
 * @param quarantine requests that crash endpoints
 * @param gracePeriod time that is left to a node that was told to stop
 * @param memory bytes that the node holds
 * @param endpointClient port for requests to endpoints
 * @param log structured log
 */
public record ServingContext(
        Scheduler scheduler,
        CurrentConfig config,
        RequiredVersions requiredVersions,
        EndpointTable endpoints,
        EndpointLoads endpointLoads,
        AdapterUsage adapterUsage,
        ResidencyTable residency,
        AdapterLoader adapterLoader,
        OutlierDetector outlierDetector,
        PrefillEstimator prefillEstimator,
        AdapterDemand adapterDemand,
        EngineSelector engineSelector,
        ServiceEndpointSelector serviceEndpointSelector,
        EndpointPermits permits,
        AccountAllowances allowances,
        BooleanSupplier keysVerifiable,
        Admission admission,
        RetryBudgetShare retryBudget,
        StreamOrigins streamOrigins,
        ServedVersions servedVersions,
        PromptQuarantine quarantine,
        GracePeriod gracePeriod,
        MemoryAccount memory,
        EndpointClient endpointClient,
        StructuredLog log) {}
