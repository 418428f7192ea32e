package org.quetzalvane.standins.harness;

import java.io.File;
import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;

/** A child process that can be killed, terminated, frozen and thawed. Thread-safe. */
public final class ChildProcess implements AutoCloseable {
    private static final int EXIT_TIMEOUT_SECONDS = 20;

    private final String name;
    private final Process process;

    private ChildProcess(String name, Process process) {
        this.name = name;
        this.process = process;
    }

    /** Starts a Java program whose output goes to a file in the directory. */
    static ChildProcess startJava(String name, Path directory, List<String> program) throws IOException {
        List<String> command = new ArrayList<>();
        command.add(Path.of(System.getProperty("java.home"), "bin", "java").toString());
        command.addAll(List.of("-XX:+UseSerialGC", "-XX:TieredStopAtLevel=1", "-Xshare:auto", "-Xmx128m"));
        command.addAll(program);
        File log = directory.resolve(name + ".log").toFile();
        Process process = new ProcessBuilder(command)
                .redirectErrorStream(true)
                .redirectOutput(ProcessBuilder.Redirect.appendTo(log))
                .start();
        return new ChildProcess(name, process);
    }

    public String name() {
        return name;
    }

    public boolean isAlive() {
        return process.isAlive();
    }

    /** Sends SIGKILL and waits for the process to exit, like {@link #waitForExit}. */
    public void kill() {
        process.destroyForcibly();
        waitForExit();
    }

    /** Sends SIGTERM and waits for the process to exit, like {@link #waitForExit}; returns its exit code. */
    public int terminate() {
        process.destroy();
        return waitForExit();
    }

    /** Sends SIGTERM without waiting for the process to exit. */
    public void requestTermination() {
        process.destroy();
    }

    /** Sends SIGSTOP, after which the process does not run until it is thawed. */
    public void freeze() {
        signal("-STOP");
    }

    /** Sends SIGCONT, after which a frozen process runs again. */
    public void thaw() {
        signal("-CONT");
    }

    /** Sends SIGCONT and SIGKILL if the process is alive, without waiting for it to exit. */
    @Override
    public void close() {
        if (process.isAlive()) {
            thaw();
            process.destroyForcibly();
        }
    }

    /**
     * Waits at most 20 s for the process to exit and returns its exit code; fails with {@link IllegalStateException} if
     * the process still runs.
     */
    public int waitForExit() {
        try {
            if (!process.waitFor(EXIT_TIMEOUT_SECONDS, TimeUnit.SECONDS)) {
                throw new IllegalStateException(name + " did not exit within the exit timeout");
            }
            return process.exitValue();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new IllegalStateException(e);
        }
    }

    private void signal(String signal) {
        try {
            new ProcessBuilder("kill", signal, Long.toString(process.pid()))
                    .start()
                    .waitFor();
        } catch (IOException | InterruptedException e) {
            throw new IllegalStateException(e);
        }
    }
}
