package io.caperturn.fleet.standin;

import java.nio.file.Path;
import java.util.List;

/**
 * Training run of an entry and a sidecar, during which the JVM records the loaded classes for its class archive, which
 * shortens later starts.
 */
public final class ClassArchiveTrainingRun {
    private static final int JOBS = 30;
    private static final long TASK_MILLISECONDS = 20;

    private ClassArchiveTrainingRun() {}

    /**
     * Runs an entry and a sidecar against the stand-ins, has them serve jobs, and stops them gracefully.
     *
     * @param arguments the folder for settings and logs, then the command line that starts a process, in which
     *     {@code ROLE} is replaced by {@code entry} or {@code sidecar}
     * @throws Exception if a process can't be started or does not answer
     */
    public static void main(String[] arguments) throws Exception {
        List<String> command = List.of(arguments).subList(1, arguments.length);
        try (StandInDeployment deployment = new StandInDeployment(Path.of(arguments[0]))) {
            deployment.addEntry(
                    "entry",
                    command.stream().map(word -> word.replace("ROLE", "entry")).toList());
            deployment.addSidecar(
                    "sidecar",
                    command.stream()
                            .map(word -> word.replace("ROLE", "sidecar"))
                            .toList(),
                    TASK_MILLISECONDS);
            deployment.start("entry");
            deployment.start("sidecar");
            deployment.awaitReady("entry");
            for (int number = 0; number < JOBS; number++) {
                String jobIdentity = String.format("%016x", number);
                boolean stored = number % 3 == 0;
                deployment.post("entry", jobIdentity, /* tasks= */ 2, stored).get();
                if (stored) {
                    deployment.awaitState("entry", jobIdentity, "completed");
                    deployment.delete("entry", jobIdentity);
                }
            }
            deployment.stopAll();
        }
    }
}
