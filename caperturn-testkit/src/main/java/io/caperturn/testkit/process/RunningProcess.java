package io.caperturn.testkit.process;

import io.caperturn.testkit.HostAndPort;
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

/** Process started by {@link ProcessHarness}. */
public final class RunningProcess {
    private static final Pattern KEY_AND_ADDRESS = Pattern.compile("(\\w+)=\"?(\\d+\\.\\d+\\.\\d+\\.\\d+:\\d+)\"?");
    private static final Duration EXIT_TIMEOUT = Duration.ofSeconds(10);

    private final String name;
    private final Process process;
    private final Path outputFile;

    RunningProcess(String name, Process process, Path outputFile) {
        this.name = Objects.requireNonNull(name, "name");
        this.process = process;
        this.outputFile = outputFile;
    }

    /**
     * Returns the name of the process.
     *
     * @return the name given to the harness at the start
     */
    public String name() {
        return name;
    }

    /**
     * Returns the process id.
     *
     * @return the id assigned by the operating system
     */
    public long id() {
        return process.pid();
    }

    /**
     * Returns whether the process has not exited; a paused process counts as alive.
     *
     * @return whether the process is alive
     */
    public boolean isAlive() {
        return process.isAlive();
    }

    /**
     * Returns what the process has printed so far.
     *
     * @return the lines of its standard output and standard error
     */
    public List<String> outputLines() {
        try {
            return new String(Files.readAllBytes(outputFile), StandardCharsets.UTF_8)
                    .lines()
                    .toList();
        } catch (IOException e) {
            throw new UncheckedIOException("cannot read " + outputFile, e);
        }
    }

    /**
     * Returns an address that the process listens on, read from its output.
     *
     * @param key the key of the address in the line {@code event=listening}
     * @return the address
     * @throws IllegalArgumentException if the process has not printed an address under the key
     */
    public HostAndPort address(String key) {
        HostAndPort address = addresses().get(key);
        if (address == null) {
            throw new IllegalArgumentException(name + " has not printed an address under the key " + key);
        }
        return address;
    }

    /** Sends SIGKILL and waits until the process has exited. */
    public void kill() {
        process.destroyForcibly();
        awaitExit(EXIT_TIMEOUT);
    }

    /** Sends SIGTERM and returns without waiting. */
    public void terminate() {
        process.destroy();
    }

    /** Pauses the process with SIGSTOP; it keeps its memory and connections. */
    public void pause() {
        signal("STOP");
    }

    /** Resumes a paused process with SIGCONT. */
    public void resume() {
        signal("CONT");
    }

    /**
     * Waits until the process has exited.
     *
     * @param timeout the maximum wait
     * @return the exit code
     * @throws AssertionError if the process does not exit in time
     */
    public int awaitExit(Duration timeout) {
        try {
            if (process.waitFor(timeout.toNanos(), TimeUnit.NANOSECONDS)) {
                return process.exitValue();
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        throw new AssertionError(name + " did not exit within " + timeout);
    }

    Map<String, HostAndPort> addresses() {
        Map<String, HostAndPort> found = new HashMap<>();
        outputLines().stream().filter(line -> line.contains("event=listening")).forEach(line -> {
            Matcher matcher = KEY_AND_ADDRESS.matcher(line);
            while (matcher.find()) {
                found.put(matcher.group(1), HostAndPort.parse(matcher.group(2)));
            }
        });
        return found;
    }

    private void signal(String signal) {
        try {
            int exitCode = new ProcessBuilder("kill", "-s", signal, String.valueOf(id()))
                    .start()
                    .waitFor();
            if (exitCode != 0) {
                throw new AssertionError("cannot send " + signal + " to " + name);
            }
        } catch (IOException e) {
            throw new UncheckedIOException("cannot send " + signal, e);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
