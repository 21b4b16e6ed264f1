package io.caperturn.fleet.standin;

import java.io.File;
import java.io.IOException;
import java.io.OutputStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.jar.JarEntry;
import java.util.jar.JarOutputStream;
import java.util.stream.Stream;

/**
 * Command line of the processes with an archive of their loaded classes for each role, so that they start as fast as
 * those of a deployment.
 */
final class ArchivedCommand {
    private static final String ROLE = "ROLE";

    private final List<String> command;

    private ArchivedCommand(List<String> command) {
        this.command = command;
    }

    /** Packs the classes into jars, as an archive requires, and makes the archives in a folder. */
    static ArchivedCommand create(Path folder) throws Exception {
        List<String> jars = new ArrayList<>();
        for (String element : System.getProperty("java.class.path").split(File.pathSeparator)) {
            Path path = Path.of(element);
            if (!Files.isDirectory(path)) {
                jars.add(element);
            } else if (!path.endsWith("test-classes")) {
                Path jar = folder.resolve(jars.size() + ".jar");
                pack(path, jar);
                jars.add(jar.toString());
            }
        }
        String archive = folder.resolve(ROLE + ".jsa").toString();
        List<String> arguments = new ArrayList<>(List.of(folder.toString()));
        arguments.addAll(command("-XX:ArchiveClassesAtExit=" + archive, jars));
        ClassArchiveTrainingRun.main(arguments.toArray(String[]::new));
        return new ArchivedCommand(command("-XX:SharedArchiveFile=" + archive, jars));
    }

    private static List<String> command(String archiveOption, List<String> jars) {
        return List.of(
                Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                "-Xmx64m",
                "-Xss256k",
                "-XX:+UseSerialGC",
                "-XX:TieredStopAtLevel=1",
                archiveOption,
                "-cp",
                String.join(File.pathSeparator, jars),
                "io.caperturn.fleet.Main");
    }

    private static void pack(Path classes, Path jar) throws IOException {
        try (OutputStream output = Files.newOutputStream(jar);
                JarOutputStream archive = new JarOutputStream(output);
                Stream<Path> files = Files.walk(classes)) {
            for (Path file : files.filter(Files::isRegularFile).sorted().toList()) {
                archive.putNextEntry(
                        new JarEntry(classes.relativize(file).toString().replace(File.separatorChar, '/')));
                Files.copy(file, archive);
                archive.closeEntry();
            }
        }
    }

    /** Returns the command line for a role, {@code entry} or {@code sidecar}, which the caller appends. */
    List<String> forRole(String role) {
        return command.stream().map(word -> word.replace(ROLE, role)).toList();
    }
}
