package org.quetzalvane.standins.harness;

import java.io.File;
import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;

/** A child process that can be killed, terminated, frozen and thawed. Thread-safe. */
public final class Child implements AutoCloseable {
    private static final int STOP_SECONDS = 20;

    private final String name;
    private final Process process;

    private Child(String name, Process process) {
        this.name = name;
        this.process = process;
    }

    /** Starts a Java program; its output goes to a file in the directory. */
    static Child java(String name, Path directory, List<String> program) throws IOException {
        List<String> command = new ArrayList<>();
        command.add(Path.of(System.getProperty("java.home"), "bin", "java").toString());
        command.addAll(List.of("-XX:+UseSerialGC", "-XX:TieredStopAtLevel=1", "-Xshare:auto", "-Xmx128m"));
        command.addAll(program);
        File log = directory.resolve(name + ".log").toFile();
        Process p = new ProcessBuilder(command)
                .redirectErrorStream(true)
                .redirectOutput(ProcessBuilder.Redirect.appendTo(log))
                .start();
        return new Child(name, p);
    }

    public String name() {
        return name;
    }

    public boolean isAlive() {
        return process.isAlive();
    }

    /** Ends the process at once. */
    public void kill() {
        process.destroyForcibly();
        waitForExit();
    }

    /** Asks the process to stop and returns its exit code. */
    public int terminate() {
        process.destroy();
        return waitForExit();
    }

    /** Asks the process to stop without waiting. */
    public void terminateLater() {
        process.destroy();
    }

    public void freeze() {
        signal("-STOP");
    }

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

    /** Waits for the process to end and returns its exit code. */
    public int waitForExit() {
        try {
            if (!process.waitFor(STOP_SECONDS, TimeUnit.SECONDS)) {
                throw new IllegalStateException(name + " does not stop");
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
