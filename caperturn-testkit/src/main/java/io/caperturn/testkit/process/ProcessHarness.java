package io.caperturn.testkit.process;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.CopyOnWriteArrayList;

/**
 * Starts programs of the own class path as separate processes, and ends them all when it is closed.
 *
 * <p>Each program's output goes to a file of its own in the harness's folder.
 */
public final class ProcessHarness implements AutoCloseable {
    private static final Duration START_TIMEOUT = Duration.ofSeconds(30);

    private final Path directory;
    private final List<RunningProcess> processes = new CopyOnWriteArrayList<>();
    private final Thread endAtExit = new Thread(this::killAll);
    private int started;

    /**
     * Creates a harness without processes.
     *
     * @param directory the folder for their output, created if absent
     * @throws IOException if it can't be created
     */
    public ProcessHarness(Path directory) throws IOException {
        this.directory = Files.createDirectories(directory);
        Runtime.getRuntime().addShutdownHook(endAtExit);
    }

    /**
     * Returns the folder for the processes' output.
     *
     * @return the folder
     */
    public Path directory() {
        return directory;
    }

    /**
     * Starts a program and waits until it says where it listens.
     *
     * @param name the process's name, for its log and for failures
     * @param mainClass the program's main class
     * @param arguments its arguments
     * @param addresses the keys of the addresses that it must name
     * @return the process
     * @throws IOException if it can't be started
     * @throws AssertionError if it ends or does not listen in time; its output is part of the message
     */
    public RunningProcess start(String name, String mainClass, List<String> arguments, Set<String> addresses)
            throws IOException {
        RunningProcess process = launch(name, mainClass, arguments);
        Conditions.await(name + " listens at " + addresses, START_TIMEOUT, () -> {
            if (process.endpoints().keySet().containsAll(addresses)) {
                return true;
            }
            if (!process.isAlive()) {
                throw new AssertionError(name + " ended:\n" + String.join("\n", process.log()));
            }
            return false;
        });
        return process;
    }

    /** Ends all processes at once and waits for their ends. */
    @Override
    public void close() {
        killAll();
        Runtime.getRuntime().removeShutdownHook(endAtExit);
    }

    private synchronized RunningProcess launch(String name, String mainClass, List<String> arguments)
            throws IOException {
        started++;
        Path log = directory.resolve(started + "-" + name + ".log");
        Files.deleteIfExists(log);
        Files.createFile(log);
        List<String> command = new ArrayList<>(List.of(
                Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                "-Xmx192m",
                "-XX:+UseSerialGC",
                "-XX:TieredStopAtLevel=1",
                mainClass));
        command.addAll(arguments);
        ProcessBuilder builder = new ProcessBuilder(command)
                .redirectErrorStream(true)
                .redirectOutput(ProcessBuilder.Redirect.appendTo(log.toFile()));
        builder.environment().put("CLASSPATH", System.getProperty("java.class.path"));
        RunningProcess process = new RunningProcess(name, builder.start(), log);
        processes.add(process);
        return process;
    }

    private void killAll() {
        processes.stream().filter(RunningProcess::isAlive).forEach(RunningProcess::kill);
    }
}
