package org.quetzalvane.entry;

import java.io.IOException;
import java.io.OutputStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Set;
import java.util.concurrent.TimeUnit;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.extension.RegisterExtension;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.quetzalvane.platform.BootSettings;
import org.quetzalvane.platform.standin.CallerClient;
import org.quetzalvane.platform.standin.SampleConfig;
import org.quetzalvane.platform.standin.SettingsFile;

import static org.assertj.core.api.Assertions.assertThat;

/** Signals that a node, run as a process, gets before it is ready. */
@Timeout(value = 60, unit = TimeUnit.SECONDS)
class StartSignalsProcessTest {
    private static final long GRACE_MS = 3_000;
    private static final long EXIT_TIMEOUT_S = 10;
    private static final long READY_TIMEOUT_S = 15;
    private static final long BEFORE_SETTINGS_MS = 300;
    private static final int HEAP_MB = 128;

    @RegisterExtension
    final LoopbackCluster cluster = new LoopbackCluster();

    @TempDir
    private Path directory;

    private BootSettings settings;
    private Path pipe;

    /** Guards against SIGHUP that ends a process that has not read its settings yet. */
    @Test
    void hangUpBeforeTheSettingsAreReadIsIgnored() throws Exception {
        Process p = launch();
        try {
            signalWhileReadingSettings(p, "-HUP");
            assertReady(p);
        } finally {
            p.destroyForcibly();
        }
    }

    /** Guards against SIGHUP that ends a process whose node is starting. */
    @ParameterizedTest
    @ValueSource(longs = {0, 100, 200, 300})
    void hangUpDuringTheStartIsIgnored(long afterMs) throws Exception {
        Process p = launch();
        try {
            SettingsFile.write(pipe, settings);
            TimeUnit.MILLISECONDS.sleep(afterMs);
            signal(p, "-HUP");
            assertReady(p);
        } finally {
            p.destroyForcibly();
        }
    }

    /** Guards against a stop that waits for a node that does not start, or that ends like a failure. */
    @Test
    void stopBeforeTheSettingsAreReadIsNoFailure() throws Exception {
        Process p = launch();
        try {
            try (OutputStream out = Files.newOutputStream(pipe)) {
                out.write('{');
                TimeUnit.MILLISECONDS.sleep(BEFORE_SETTINGS_MS);
                signal(p, "-TERM");
                assertStopped(p);
            }
        } finally {
            p.destroyForcibly();
        }
    }

    /** Guards against a stop during the start that ends the process like a failure. */
    @ParameterizedTest
    @ValueSource(longs = {0, 100, 200, 300})
    void stopDuringTheStartIsNoFailure(long afterMs) throws Exception {
        Process p = launch();
        try {
            SettingsFile.write(pipe, settings);
            TimeUnit.MILLISECONDS.sleep(afterMs);
            signal(p, "-TERM");
            signal(p, "-HUP");
            assertStopped(p);
        } finally {
            p.destroyForcibly();
        }
    }

    /** Starts a process that waits for its settings, which are a named pipe. */
    private Process launch() throws Exception {
        cluster.store().writeConfig(SampleConfig.withVersion(1));
        settings = TestSettings.withGracePeriod(
                TestSettings.of("n1", Set.of(), cluster.store().address()), GRACE_MS);
        pipe = directory.resolve("n1.json");
        new ProcessBuilder("mkfifo", pipe.toString()).start().waitFor();
        return EntryProcess.launch(pipe, directory.resolve("n1.log"), HEAP_MB);
    }

    private void signalWhileReadingSettings(Process p, String signal) throws Exception {
        Path file = directory.resolve("settings.json");
        SettingsFile.write(file, settings);
        // The pipe opens once the process reads it.
        try (OutputStream out = Files.newOutputStream(pipe)) {
            TimeUnit.MILLISECONDS.sleep(BEFORE_SETTINGS_MS);
            signal(p, signal);
            Files.copy(file, out);
        }
    }

    private void assertReady(Process p) throws Exception {
        long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(READY_TIMEOUT_S);
        while (!ready() && p.isAlive() && System.nanoTime() < end) {
            TimeUnit.MILLISECONDS.sleep(20);
        }
        assertThat(p.isAlive()).as("the process runs").isTrue();
        assertThat(ready()).as("the node is ready").isTrue();
    }

    private boolean ready() {
        try {
            return CallerClient.readiness(settings.readinessAddress()).startsWith("HTTP/1.1 200");
        } catch (IOException e) {
            // The process does not listen yet.
            return false;
        }
    }

    private static void assertStopped(Process p) throws Exception {
        assertThat(p.waitFor(EXIT_TIMEOUT_S, TimeUnit.SECONDS)).isTrue();
        assertThat(p.exitValue()).isZero();
    }

    private static void signal(Process p, String signal) throws Exception {
        new ProcessBuilder("kill", signal, Long.toString(p.pid())).start().waitFor();
    }
}
