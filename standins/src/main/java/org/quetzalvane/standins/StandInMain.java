package org.quetzalvane.standins;

import java.util.concurrent.CountDownLatch;

import com.beust.jcommander.JCommander;
import com.beust.jcommander.Parameter;
import com.beust.jcommander.ParameterException;
import org.quetzalvane.adapters.http.BufferingHttpClient;
import org.quetzalvane.adapters.http.JettyHttpServer;
import org.quetzalvane.core.time.SystemScheduler;

/**
 * Runs one stand-in as a process: {@code log}, {@code hosts}, {@code store}, {@code engine} or {@code service}.
 *
 * <p>Prints {@code listening} once it serves requests. Used by the main thread only.
 */
public final class StandInMain {
    private static final int EXIT_CODE_USAGE = 2;
    private static final int TIMER_THREADS = 4;
    private static final int SERVER_THREADS = 32;

    @Parameter(description = "log | hosts | store | engine | service", required = true)
    private String kind;

    @Parameter(names = "--listen", description = "Address to listen on, ip:port", required = true)
    private String listen;

    @Parameter(names = "--store", description = "Engine: base URL of the weight store")
    private String store = "";

    @Parameter(names = "--slots", description = "Engine: adapter slots")
    private int slots = 8;

    @Parameter(names = "--checks-fencing", description = "Engine: reject outdated fencing tokens")
    private boolean checksFencing;

    private StandInMain() {}

    /** Serves requests until the process is terminated. */
    public static void main(String[] args) throws Exception {
        System.setProperty("java.util.logging.manager", "org.jboss.logmanager.LogManager");
        StandInMain main = new StandInMain();
        JCommander commander =
                JCommander.newBuilder().programName("standin").addObject(main).build();
        try {
            commander.parse(args);
        } catch (ParameterException e) {
            System.err.println(e.getMessage());
            System.exit(EXIT_CODE_USAGE);
        }
        main.createRoutes(new SystemScheduler(TIMER_THREADS))
                .maxThreads(SERVER_THREADS)
                .start(main.listen);
        System.out.println("listening " + main.listen);
        new CountDownLatch(1).await();
    }

    private JettyHttpServer.Builder createRoutes(SystemScheduler scheduler) {
        JettyHttpServer.Builder b = JettyHttpServer.builder();
        switch (kind) {
            case "log":
                return new LogStandIn(scheduler).routes(b);
            case "hosts":
                return new HostListStandIn(scheduler).routes(b);
            case "store":
                return new StoreStandIn(scheduler).routes(b);
            case "engine":
                return new EngineStandIn(scheduler, BufferingHttpClient.start(), store, slots, checksFencing).routes(b);
            case "service":
                return new ServiceStandIn(scheduler).routes(b);
            default:
                throw new ParameterException("unknown stand-in " + kind);
        }
    }
}
