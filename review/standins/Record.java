import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;

/** The record of a run: one line for each thing sent, answered or run, with the time since the start in seconds. */
final class Record implements AutoCloseable {
    private final PrintWriter out;
    private final long start = System.nanoTime();

    Record(Path directory) throws IOException {
        out = new PrintWriter(Files.newBufferedWriter(directory.resolve("record.txt")), true);
        line("TROUBLE=" + (trouble() ? 1 : 0));
    }

    /** Whether the run has its disruption. */
    static boolean trouble() {
        return !"0".equals(System.getenv("TROUBLE"));
    }

    /** A temporary folder that is removed when the script ends. */
    static Path temporary() throws IOException {
        Path folder = Files.createTempDirectory("case");
        Runtime.getRuntime().addShutdownHook(new Thread(() -> {
            try (var files = Files.list(folder)) {
                for (Path f : files.toList()) {
                    Files.delete(f);
                }
                Files.delete(folder);
            } catch (IOException e) {
                // It is in the system's temporary folder.
            }
        }));
        return folder;
    }

    synchronized void line(String text) {
        out.printf("%8.3f %s%n", (System.nanoTime() - start) / 1e9, text);
    }

    double seconds() {
        return (System.nanoTime() - start) / 1e9;
    }

    @Override
    public void close() {
        out.close();
    }
}
