package org.quetzalvane.proofs;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.Collection;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.TimeUnit;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.quetzalvane.standins.harness.Demo;
import org.quetzalvane.standins.harness.Polling;

import static org.assertj.core.api.Assertions.assertThat;

/** The demonstration as a separate process: it succeeds and leaves no child process, also after a signal. */
class DemoTest {
    private static final Duration TIMEOUT = Duration.ofSeconds(30);
    private static final Duration RUN_TIMEOUT = Duration.ofSeconds(120);
    private static final int STOP_TIMEOUT_SECONDS = 30;

    /** Processes of the log, the host list, the weight store and the service, which start before the engines. */
    private static final int STAND_IN_PROCESSES = 4;

    @TempDir
    private Path directory;

    private Process start() throws IOException {
        String java = Path.of(System.getProperty("java.home"), "bin", "java").toString();
        return new ProcessBuilder(java, "-cp", System.getProperty("java.class.path"), Demo.class.getName())
                .redirectErrorStream(true)
                .redirectOutput(directory.resolve("demo.log").toFile())
                .start();
    }

    private static void awaitExitOf(Collection<ProcessHandle> children) {
        try {
            Polling.waitUntil(
                    "all child processes exit", TIMEOUT, () -> children.stream().noneMatch(ProcessHandle::isAlive));
        } finally {
            children.forEach(ProcessHandle::destroyForcibly);
        }
    }

    @Test
    void succeedsAndLeavesNoProcess() throws Exception {
        Process demo = start();
        Set<ProcessHandle> children = new HashSet<>();
        Polling.waitUntil("the demonstration ends", RUN_TIMEOUT, () -> {
            demo.descendants().forEach(children::add);
            return !demo.isAlive();
        });
        awaitExitOf(children);
        String output = Files.readString(directory.resolve("demo.log"));
        assertThat(demo.exitValue()).as(output).isZero();
        assertThat(output).contains("checks, 0 wrong", "LOAD_FAILED", "ENGINE_CLAIMED");
    }

    @ParameterizedTest
    @ValueSource(strings = {"-TERM", "-INT"})
    void leavesNoProcessAfterSignal(String signal) throws Exception {
        Process demo = start();
        Polling.waitUntil(
                "child processes run", TIMEOUT, () -> demo.descendants().count() > STAND_IN_PROCESSES);
        List<ProcessHandle> children = demo.descendants().toList();
        new ProcessBuilder("kill", signal, Long.toString(demo.pid())).start().waitFor();
        assertThat(demo.waitFor(STOP_TIMEOUT_SECONDS, TimeUnit.SECONDS)).isTrue();
        awaitExitOf(children);
        assertThat(demo.exitValue()).isNotZero();
    }
}
