package io.caperturn.testkit.process;

import io.caperturn.testkit.Endpoint;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** One program that the harness started. */
public final class RunningProcess {
    private static final Pattern ADDRESS = Pattern.compile("(\\w+)=\"?(\\d+\\.\\d+\\.\\d+\\.\\d+:\\d+)\"?");
    private static final Duration EXIT_TIMEOUT = Duration.ofSeconds(10);

    private final String name;
    private final Process process;
    private final Path log;

    RunningProcess(String name, Process process, Path log) {
        this.name = Objects.requireNonNull(name, "name");
        this.process = process;
        this.log = log;
    }

    /**
     * Returns the process's name.
     *
     * @return the name that the harness gave it
     */
    public String name() {
        return name;
    }

    /**
     * Returns the process's id.
     *
     * @return the operating system's id
     */
    public long id() {
        return process.pid();
    }

    /**
     * Says whether the process still runs, paused ones included.
     *
     * @return whether it runs
     */
    public boolean isAlive() {
        return process.isAlive();
    }

    /**
     * Returns what the process has printed.
     *
     * @return its lines on standard output and error
     */
    public List<String> log() {
        try {
            return new String(Files.readAllBytes(log), StandardCharsets.UTF_8)
                    .lines()
                    .toList();
        } catch (IOException e) {
            throw new UncheckedIOException("can't read " + log, e);
        }
    }

    /**
     * Returns an address that the process said it listens on.
     *
     * @param key the address's key in its line {@code event=listening}
     * @return the address
     * @throws IllegalArgumentException if the process named none
     */
    public Endpoint endpoint(String key) {
        Endpoint endpoint = endpoints().get(key);
        if (endpoint == null) {
            throw new IllegalArgumentException(name + " does not listen at " + key);
        }
        return endpoint;
    }

    /** Ends the process at once by SIGKILL and waits for its end. */
    public void kill() {
        process.destroyForcibly();
        awaitExit(EXIT_TIMEOUT);
    }

    /** Asks the process to end by SIGTERM. */
    public void terminate() {
        process.destroy();
    }

    /** Stops the process by SIGSTOP; it keeps its memory and connections. */
    public void pause() {
        signal("STOP");
    }

    /** Lets a paused process go on by SIGCONT. */
    public void resume() {
        signal("CONT");
    }

    /**
     * Waits for the process's end.
     *
     * @param timeout the longest wait
     * @return its exit code
     * @throws AssertionError if it does not end in time
     */
    public int awaitExit(Duration timeout) {
        try {
            if (process.waitFor(timeout.toNanos(), TimeUnit.NANOSECONDS)) {
                return process.exitValue();
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        throw new AssertionError(name + " did not end within " + timeout);
    }

    Map<String, Endpoint> endpoints() {
        Map<String, Endpoint> found = new HashMap<>();
        log().stream().filter(line -> line.contains("event=listening")).forEach(line -> {
            Matcher matcher = ADDRESS.matcher(line);
            while (matcher.find()) {
                found.put(matcher.group(1), Endpoint.parse(matcher.group(2)));
            }
        });
        return found;
    }

    private void signal(String signal) {
        try {
            int code = new ProcessBuilder("kill", "-s", signal, String.valueOf(id()))
                    .start()
                    .waitFor();
            if (code != 0) {
                throw new AssertionError("can't send " + signal + " to " + name);
            }
        } catch (IOException e) {
            throw new UncheckedIOException("can't send " + signal, e);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
