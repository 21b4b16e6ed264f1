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
 * Harness that starts programs from the class path of this JVM as separate processes and kills them when it is closed.
 *
 * <p>The output of each process goes to a file of its own.
 */
public final class ProcessHarness implements AutoCloseable {
    private static final Duration START_TIMEOUT = Duration.ofSeconds(30);

    private final Path directory;
    private final List<RunningProcess> processes = new CopyOnWriteArrayList<>();
    private final Thread shutdownHook = new Thread(this::killAll);
    private int startedCount;

    /**
     * Creates a harness without processes.
     *
     * @param directory the folder for the output of processes, created if absent
     * @throws IOException if the folder can't be created
     */
    public ProcessHarness(Path directory) throws IOException {
        this.directory = Files.createDirectories(directory);
        Runtime.getRuntime().addShutdownHook(shutdownHook);
    }

    /**
     * Returns the folder for the output of processes.
     *
     * @return the folder
     */
    public Path directory() {
        return directory;
    }

    /**
     * Starts a program and waits until it has printed the addresses that it listens on.
     *
     * @param name the name of the process, for its output file and failure messages
     * @param mainClass the fully qualified main class
     * @param arguments the arguments of the program
     * @param addressKeys the keys of {@link RunningProcess#address} to wait for
     * @return the process
     * @throws IOException if the process can't be started
     * @throws AssertionError if the process exits early, with its output in the message, or does not listen in time
     */
    public RunningProcess start(String name, String mainClass, List<String> arguments, Set<String> addressKeys)
            throws IOException {
        RunningProcess process = launch(name, mainClass, arguments);
        Conditions.await(name + " listens at " + addressKeys, START_TIMEOUT, () -> {
            if (process.addresses().keySet().containsAll(addressKeys)) {
                return true;
            }
            if (!process.isAlive()) {
                throw new AssertionError(name + " exited:\n" + String.join("\n", process.outputLines()));
            }
            return false;
        });
        return process;
    }

    /** Kills all processes and waits until they have exited. */
    @Override
    public void close() {
        killAll();
        Runtime.getRuntime().removeShutdownHook(shutdownHook);
    }

    private synchronized RunningProcess launch(String name, String mainClass, List<String> arguments)
            throws IOException {
        startedCount++;
        Path outputFile = directory.resolve(startedCount + "-" + name + ".log");
        Files.deleteIfExists(outputFile);
        Files.createFile(outputFile);
        List<String> command = new ArrayList<>(List.of(
                Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                "-Xmx192m",
                "-XX:+UseSerialGC",
                "-XX:TieredStopAtLevel=1",
                mainClass));
        command.addAll(arguments);
        ProcessBuilder builder = new ProcessBuilder(command)
                .redirectErrorStream(true)
                .redirectOutput(ProcessBuilder.Redirect.appendTo(outputFile.toFile()));
        builder.environment().put("CLASSPATH", System.getProperty("java.class.path"));
        RunningProcess process = new RunningProcess(name, builder.start(), outputFile);
        processes.add(process);
        return process;
    }

    private void killAll() {
        processes.stream().filter(RunningProcess::isAlive).forEach(RunningProcess::kill);
    }
}
