package org.quetzalvane.standins.harness;

import java.io.File;
import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;

/** A child process that can be killed, terminated, frozen and thawed. Thread-safe. */
public final class ChildProcess implements AutoCloseable {
    private static final int STOP_TIMEOUT_SECONDS = 20;

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

    /** Kills the process and waits for it to exit. */
    public void kill() {
        process.destroyForcibly();
        waitForExit();
    }

    /** Terminates the process and returns its exit code. */
    public int terminate() {
        process.destroy();
        return waitForExit();
    }

    /** Requests termination without waiting for it. */
    public void requestTermination() {
        process.destroy();
    }

    /** Stops the process with SIGSTOP. */
    public void freeze() {
        signal("-STOP");
    }

    /** Continues the process with SIGCONT. */
    public void thaw() {
        signal("-CONT");
    }

    @Override
    public void close() {
        if (process.isAlive()) {
            thaw();
            process.destroyForcibly();
        }
    }

    /** Waits for the process to exit and returns its exit code. */
    public int waitForExit() {
        try {
            if (!process.waitFor(STOP_TIMEOUT_SECONDS, TimeUnit.SECONDS)) {
                throw new IllegalStateException(name + " did not exit within the stop timeout");
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
