package org.quetzalvane.entry;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.UnaryOperator;
import java.util.stream.Stream;

import org.quetzalvane.platform.BootSettings;
import org.quetzalvane.platform.standin.CallerClient;
import org.quetzalvane.platform.standin.SettingsFile;

/** A node in a process of its own, which can be frozen and killed. Not thread-safe. */
final class EntryProcess implements AutoCloseable {
    private static final long EXIT_TIMEOUT_S = 20;
    private static final int HEAP_MB = 128;

    private final BootSettings settings;
    private final Path directory;
    private final Limits limits;
    private Process process;

    /**
     * Limits of a process.
     *
     * @param heapMb largest heap, MB
     * @param descriptors most open descriptors; 0 for those of this process
     */
    record Limits(int heapMb, int descriptors) {}

    /**
     * Starts a node.
     *
     * @param directory for the settings and the output
     */
    EntryProcess(BootSettings settings, Path directory) throws IOException {
        this(settings, directory, HEAP_MB);
    }

    /** Starts a node whose heap is at most {@code heapMb}, MB. */
    EntryProcess(BootSettings settings, Path directory, int heapMb) throws IOException {
        this(settings, directory, new Limits(heapMb, 0));
    }

    /** Starts a node with limits. */
    EntryProcess(BootSettings settings, Path directory, Limits limits) throws IOException {
        this.settings = settings;
        this.directory = directory;
        this.limits = limits;
        start();
    }

    /**
     * Starts nodes on one store, of which each knows all earlier ones, and waits until they are ready.
     *
     * @param adapted settings of a node by the usual ones
     * @param started receives each node as soon as its process runs, so that it can be closed if a later one fails
     */
    static void startAll(
            int count,
            String storeAddress,
            UnaryOperator<BootSettings> adapted,
            Path directory,
            Consumer<EntryProcess> started)
            throws IOException, InterruptedException {
        Set<String> seeds = new TreeSet<>();
        List<EntryProcess> nodes = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            BootSettings s = adapted.apply(TestSettings.of("n" + i, seeds, storeAddress));
            EntryProcess n = new EntryProcess(s, directory);
            nodes.add(n);
            started.accept(n);
            seeds.add(s.peerAddress());
        }
        for (EntryProcess n : nodes) {
            n.awaitReady();
        }
    }

    BootSettings settings() {
        return settings;
    }

    /** Starts the process, again after {@link #kill}. */
    void start() throws IOException {
        Path file = directory.resolve(settings.nodeName() + ".json");
        SettingsFile.write(file, settings);
        process = launch(file, directory.resolve(settings.nodeName() + ".log"), limits);
    }

    /** Starts a process of a node that appends its output to a file. */
    static Process launch(Path settingsFile, Path output, int heapMb) throws IOException {
        return launch(settingsFile, output, new Limits(heapMb, 0));
    }

    private static Process launch(Path settingsFile, Path output, Limits limits) throws IOException {
        List<String> words = new ArrayList<>();
        if (limits.descriptors > 0) {
            words.addAll(List.of("sh", "-c", "ulimit -n " + limits.descriptors + " && exec \"$0\" \"$@\""));
        }
        words.addAll(List.of(
                Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                "-XX:+UseSerialGC",
                "-XX:TieredStopAtLevel=1",
                "-Xmx" + limits.heapMb + "m",
                "-cp",
                System.getProperty("java.class.path"),
                EntryMain.class.getName()));
        ProcessBuilder command = new ProcessBuilder(words);
        command.environment().put(BootSettings.PATH_VARIABLE, settingsFile.toString());
        return command.redirectErrorStream(true)
                .redirectOutput(ProcessBuilder.Redirect.appendTo(output.toFile()))
                .start();
    }

    /** Waits until the node is ready; fails with its output if it exits. */
    void awaitReady() throws IOException, InterruptedException {
        awaitReadiness("HTTP/1.1 200");
    }

    /** Waits until the node answers whether it is ready; fails with its output if it exits. */
    void awaitListening() throws IOException, InterruptedException {
        awaitReadiness("HTTP/1.1 ");
    }

    private void awaitReadiness(String answer) throws IOException, InterruptedException {
        while (!readiness().startsWith(answer)) {
            if (!process.isAlive()) {
                throw new IllegalStateException("exit code " + process.exitValue() + "\n" + Files.readString(output()));
            }
            TimeUnit.MILLISECONDS.sleep(20);
        }
    }

    private String readiness() {
        try {
            return CallerClient.readiness(settings.readinessAddress());
        } catch (IOException e) {
            // The process does not listen yet.
            return "";
        }
    }

    /** Sends SIGSTOP. */
    void freeze() throws IOException, InterruptedException {
        signal("-STOP");
    }

    /** Sends SIGCONT. */
    void thaw() throws IOException, InterruptedException {
        signal("-CONT");
    }

    /** Freezes the node for a time. */
    void freezeFor(long ms) throws IOException, InterruptedException {
        freeze();
        TimeUnit.MILLISECONDS.sleep(ms);
        thaw();
    }

    /** Kills the node, starts it again after a time and waits until it is ready. */
    void killFor(long ms) throws IOException, InterruptedException {
        kill();
        TimeUnit.MILLISECONDS.sleep(ms);
        start();
        awaitReady();
    }

    /** Sends SIGKILL and waits for the exit. */
    void kill() throws InterruptedException {
        process.destroyForcibly();
        if (!process.waitFor(EXIT_TIMEOUT_S, TimeUnit.SECONDS)) {
            throw new IllegalStateException(settings.nodeName() + " did not exit");
        }
    }

    /** Sends SIGTERM. */
    void terminate() {
        process.destroy();
    }

    /** Sends SIGTERM and waits for the exit. */
    void stop() throws InterruptedException {
        process.destroy();
        if (!process.waitFor(EXIT_TIMEOUT_S, TimeUnit.SECONDS)) {
            throw new IllegalStateException(settings.nodeName() + " did not exit");
        }
    }

    /** Whether the process runs. */
    boolean alive() {
        return process.isAlive();
    }

    /** Memory that the process has in use, MB. */
    long residentMb() throws IOException {
        try (Stream<String> lines = Files.lines(Path.of("/proc", Long.toString(process.pid()), "status"))) {
            String line = lines.filter(l -> l.startsWith("VmRSS:")).findFirst().orElseThrow();
            return Long.parseLong(line.replaceAll("\\D", "")) / 1_024;
        }
    }

    /** Number of descriptors that the process has open. */
    long openDescriptors() throws IOException {
        try (Stream<Path> open = Files.list(Path.of("/proc", Long.toString(process.pid()), "fd"))) {
            return open.count();
        }
    }

    /** Exit code of a process that has ended. */
    int exitCode() {
        return process.exitValue();
    }

    /** Output of all processes of this node. */
    Path output() {
        return directory.resolve(settings.nodeName() + ".log");
    }

    /** Sends SIGHUP. */
    void hangUp() throws IOException, InterruptedException {
        signal("-HUP");
    }

    @Override
    public void close() {
        process.destroyForcibly();
    }

    private void signal(String signal) throws IOException, InterruptedException {
        new ProcessBuilder("kill", signal, Long.toString(process.pid())).start().waitFor();
    }
}
