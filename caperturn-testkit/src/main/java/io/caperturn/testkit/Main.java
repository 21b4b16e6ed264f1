package io.caperturn.testkit;

import com.beust.jcommander.JCommander;
import com.beust.jcommander.Parameter;
import com.beust.jcommander.ParameterException;
import com.beust.jcommander.Parameters;
import io.caperturn.testkit.platform.PlatformBehaviour;
import io.caperturn.testkit.platform.StandInPlatform;
import io.caperturn.testkit.process.RouteMeasurement;
import io.caperturn.testkit.relay.StandInRelay;
import io.caperturn.testkit.upstream.StandInUpstream;
import io.caperturn.testkit.upstream.UpstreamOptions;
import java.io.IOException;
import java.nio.file.Path;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.CountDownLatch;

/**
 * Command line that runs a stand-in (a simulated platform, upstream or network) until the process is terminated, or
 * measures response times.
 */
public final class Main {
    private static final int EXIT_USAGE = 2;

    private Main() {}

    /**
     * Starts the stand-in that the arguments name, prints its addresses and waits; or measures response times and
     * returns.
     *
     * @param arguments {@code platform}, {@code upstream}, {@code relay} or {@code measure}, followed by its options
     * @throws IOException if an address can't be bound
     * @throws InterruptedException if the wait is interrupted
     */
    public static void main(String[] arguments) throws IOException, InterruptedException {
        PlatformCommand platform = new PlatformCommand();
        UpstreamCommand upstream = new UpstreamCommand();
        RelayCommand relay = new RelayCommand();
        MeasureCommand measure = new MeasureCommand();
        JCommander commander = JCommander.newBuilder()
                .programName("caperturn-testkit")
                .addCommand("platform", platform)
                .addCommand("upstream", upstream)
                .addCommand("relay", relay)
                .addCommand("measure", measure)
                .build();
        try {
            commander.parse(arguments);
        } catch (ParameterException e) {
            System.err.println(e.getMessage());
            System.exit(EXIT_USAGE);
        }
        String command = commander.getParsedCommand();
        if (command == null) {
            commander.usage();
            System.exit(EXIT_USAGE);
        }
        switch (command) {
            case "platform" -> platform.run();
            case "upstream" -> upstream.run();
            case "relay" -> relay.run();
            default -> {
                measure.run();
                return;
            }
        }
        // Blocks until a signal ends the process.
        new CountDownLatch(1).await();
    }

    private static HostAndPort parseOrNull(String address) {
        return address == null ? null : HostAndPort.parse(address);
    }

    private static void addShutdownHook(AutoCloseable standIn) {
        Runtime.getRuntime().addShutdownHook(new Thread(() -> {
            try {
                standIn.close();
            } catch (Exception e) {
                System.err.println("event=stop-failed reason=\"" + e.getMessage() + "\"");
            }
        }));
    }

    @Parameters(commandDescription = "Runs a stand-in for the platform's table service, in memory")
    private static final class PlatformCommand {
        @Parameter(names = "--listen", description = "Address to listen on, host:port")
        private String listenAddress = HostAndPort.FREE_LOOPBACK_PORT.toString();

        @Parameter(names = "--writes-per-second", description = "Maximum number of transactions with writes per second")
        private int writesPerSecond = PlatformBehaviour.DEFAULT.writesPerSecond();

        @Parameter(names = "--sync-milliseconds", description = "Time until a write is durable, in milliseconds")
        private long syncMilliseconds = PlatformBehaviour.DEFAULT.syncMilliseconds();

        void run() throws IOException {
            StandInPlatform platform = new StandInPlatform(HostAndPort.parse(listenAddress));
            platform.setBehaviour(
                    new PlatformBehaviour(PlatformBehaviour.DEFAULT.mode(), 0, writesPerSecond, syncMilliseconds));
            addShutdownHook(platform);
            System.out.println("event=listening http=" + platform.address());
        }
    }

    @Parameters(commandDescription = "Runs a stand-in for an upstream")
    private static final class UpstreamCommand {
        @Parameter(names = "--listen", description = "Address to listen on, host:port")
        private String listenAddress = HostAndPort.FREE_LOOPBACK_PORT.toString();

        @Parameter(
                names = "--sidecar",
                description = "Address of the sidecar that receives its announcements, host:port")
        private String sidecarAddress;

        @Parameter(
                names = "--advertise",
                description = "Address announced to the sidecar, host:port; default is the address it listens on")
        private String advertisedAddress;

        @Parameter(names = "--name", required = true, description = "Name, unique in the system")
        private String name;

        @Parameter(names = "--kind", required = true, description = "Kind of work that the upstream serves; repeatable")
        private List<String> kinds;

        @Parameter(names = "--slots", description = "Maximum number of concurrent tasks")
        private int slots = 8;

        @Parameter(names = "--connections", description = "Maximum number of concurrent connections")
        private int connections = 64;

        @Parameter(names = "--speed", description = "Factor by which the run time of each task is divided")
        private double speed = 1;

        @Parameter(names = "--worker", description = "Worker (machine) that the upstream runs on")
        private String worker = "worker-1";

        @Parameter(names = "--rack", description = "Rack of the worker")
        private String rack = "rack-1";

        @Parameter(names = "--availability-zone", description = "Availability zone of the worker")
        private String availabilityZone = "zone-1";

        @Parameter(
                names = "--record",
                description = "File that each start and end of a task is appended to, as a line of JSON")
        private String recordFile;

        void run() throws IOException {
            UpstreamOptions options = new UpstreamOptions(
                    name,
                    kinds,
                    slots,
                    connections,
                    new UpstreamOptions.Location(worker, rack, availabilityZone),
                    speed,
                    recordFile == null ? null : Path.of(recordFile));
            StandInUpstream upstream = new StandInUpstream(
                    HostAndPort.parse(listenAddress),
                    options,
                    parseOrNull(sidecarAddress),
                    parseOrNull(advertisedAddress));
            addShutdownHook(upstream);
            System.out.println("event=listening http=" + upstream.address());
        }
    }

    @Parameters(commandDescription = "Runs a TCP relay that can cut, mute, refuse or delay connections")
    private static final class RelayCommand {
        @Parameter(names = "--listen", description = "Address that accepts connections, host:port")
        private String listenAddress = HostAndPort.FREE_LOOPBACK_PORT.toString();

        @Parameter(
                names = "--target",
                required = true,
                description = "Address that connections are forwarded to, host:port")
        private String targetAddress;

        @Parameter(names = "--control", description = "Address of its HTTP control, host:port")
        private String controlAddress = HostAndPort.FREE_LOOPBACK_PORT.toString();

        void run() throws IOException {
            StandInRelay relay = new StandInRelay(
                    HostAndPort.parse(listenAddress),
                    HostAndPort.parse(targetAddress),
                    HostAndPort.parse(controlAddress));
            addShutdownHook(relay);
            System.out.println("event=listening http=" + relay.address() + " control=" + relay.controlAddress());
        }
    }

    @Parameters(
            commandDescription =
                    "Measures response times of one client, directly at an upstream and through an entry process")
    private static final class MeasureCommand {
        private static final double MEDIAN = 0.5;
        private static final double NINETY_NINTH_PERCENTILE = 0.99;

        @Parameter(names = "--entry", required = true, description = "The entry's HTTP address, host:port")
        private String entryAddress;

        @Parameter(names = "--upstream", required = true, description = "The upstream's HTTP address, host:port")
        private String upstreamAddress;

        @Parameter(names = "--kind", required = true, description = "Kind of work")
        private String kind;

        @Parameter(names = "--run-milliseconds", description = "Run time of each task, in milliseconds")
        private int runMilliseconds = 50;

        @Parameter(
                names = "--warm-up",
                description = "Number of rounds before the measurement, whose times are discarded")
        private int warmUpRounds = 50;

        @Parameter(names = "--rounds", description = "Number of measured rounds; each sends one request by every route")
        private int rounds = 200;

        void run() {
            new RouteMeasurement(
                            HostAndPort.parse(entryAddress), HostAndPort.parse(upstreamAddress), kind, runMilliseconds)
                    .run(warmUpRounds, rounds)
                    .forEach((route, times) -> System.out.printf(
                            Locale.ROOT,
                            "event=measured way=%s requests=%d medianMilliseconds=%.2f p99Milliseconds=%.2f%n",
                            route,
                            rounds,
                            times.quantileMilliseconds(MEDIAN),
                            times.quantileMilliseconds(NINETY_NINTH_PERCENTILE)));
        }
    }
}
