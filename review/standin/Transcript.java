import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;

/** Record of a run: what was sent, answered and run, with the time since its start in seconds. */
final class Transcript {
    private static final long STARTED_AT = System.nanoTime();
    private static PrintWriter file;

    private Transcript() {}

    static void open(Path path) throws IOException {
        file = new PrintWriter(Files.newBufferedWriter(path), true);
    }

    /** Returns the milliseconds since the start of the run. */
    static long now() {
        return (System.nanoTime() - STARTED_AT) / 1_000_000;
    }

    static synchronized void event(String text) {
        String line = String.format("%8.3f %s", now() / 1e3, text);
        if (file != null) {
            file.println(line);
        }
        System.out.println(line);
    }
}
