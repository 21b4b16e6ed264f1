package io.caperturn.testkit;

import com.beust.jcommander.JCommander;
import com.beust.jcommander.Parameter;
import com.beust.jcommander.ParameterException;
import com.beust.jcommander.Parameters;
import io.caperturn.testkit.platform.PlatformControl;
import io.caperturn.testkit.platform.StandInPlatform;
import io.caperturn.testkit.process.PathMeasurement;
import io.caperturn.testkit.relay.StandInRelay;
import io.caperturn.testkit.upstream.StandInUpstream;
import io.caperturn.testkit.upstream.UpstreamOptions;
import java.io.IOException;
import java.nio.file.Path;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.CountDownLatch;

/** Runs one stand-in as a process until it is terminated, or measures. */
public final class Main {
    private static final int EXIT_USAGE = 2;

    private Main() {}

    /**
     * Starts the stand-in that the arguments name, prints where it listens, and waits; or measures and ends.
     *
     * @param arguments {@code platform}, {@code upstream}, {@code relay} or {@code measure}, and its options
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
        new CountDownLatch(1).await();
    }

    private static Endpoint parse(String address) {
        return address == null ? null : Endpoint.parse(address);
    }

    private static void stopAtExit(AutoCloseable standIn) {
        Runtime.getRuntime().addShutdownHook(new Thread(() -> {
            try {
                standIn.close();
            } catch (Exception e) {
                System.err.println("event=stop-failed reason=\"" + e.getMessage() + "\"");
            }
        }));
    }

    @Parameters(commandDescription = "The platform's table service, in memory")
    private static final class PlatformCommand {
        @Parameter(names = "--listen", description = "Where to listen, host:port")
        private String listen = Endpoint.ANY.toString();

        @Parameter(names = "--writes-per-second", description = "Transactions with writes taken a second")
        private int writesPerSecond = PlatformControl.DEFAULT.writesPerSecond();

        @Parameter(names = "--sync-milliseconds", description = "How long a write takes to become durable")
        private long syncMilliseconds = PlatformControl.DEFAULT.syncMilliseconds();

        void run() throws IOException {
            StandInPlatform platform = new StandInPlatform(Endpoint.parse(listen));
            platform.control(new PlatformControl(PlatformControl.DEFAULT.mode(), 0, writesPerSecond, syncMilliseconds));
            stopAtExit(platform);
            System.out.println("event=listening http=" + platform.address());
        }
    }

    @Parameters(commandDescription = "An upstream")
    private static final class UpstreamCommand {
        @Parameter(names = "--listen", description = "Where to listen, host:port")
        private String listen = Endpoint.ANY.toString();

        @Parameter(names = "--sidecar", description = "Where to announce it, host:port")
        private String sidecar;

        @Parameter(names = "--advertise", description = "Address that it announces as its own, host:port")
        private String advertise;

        @Parameter(names = "--name", required = true, description = "Name, unique in the system")
        private String name;

        @Parameter(names = "--kind", required = true, description = "Kind of work that it serves; repeatable")
        private List<String> kinds;

        @Parameter(names = "--slots", description = "Tasks at once")
        private int slots = 8;

        @Parameter(names = "--connections", description = "Connections at once")
        private int connections = 64;

        @Parameter(names = "--speed", description = "How much faster than stated it runs tasks")
        private double speed = 1;

        @Parameter(names = "--worker", description = "Worker that it runs on")
        private String worker = "worker-1";

        @Parameter(names = "--rack", description = "Rack of the worker")
        private String rack = "rack-1";

        @Parameter(names = "--availability-zone", description = "Availability zone of the worker")
        private String availabilityZone = "zone-1";

        @Parameter(names = "--record", description = "File that the record of starts is appended to")
        private String record;

        void run() throws IOException {
            UpstreamOptions options = new UpstreamOptions(
                    name,
                    kinds,
                    slots,
                    connections,
                    new UpstreamOptions.Place(worker, rack, availabilityZone),
                    speed,
                    record == null ? null : Path.of(record));
            StandInUpstream upstream =
                    new StandInUpstream(Endpoint.parse(listen), options, parse(sidecar), parse(advertise));
            stopAtExit(upstream);
            System.out.println("event=listening http=" + upstream.address());
        }
    }

    @Parameters(commandDescription = "A TCP relay that fails on demand")
    private static final class RelayCommand {
        @Parameter(names = "--listen", description = "Where to accept connections, host:port")
        private String listen = Endpoint.ANY.toString();

        @Parameter(names = "--target", required = true, description = "Where it leads, host:port")
        private String target;

        @Parameter(names = "--control", description = "Where its control listens, host:port")
        private String control = Endpoint.ANY.toString();

        void run() throws IOException {
            StandInRelay relay =
                    new StandInRelay(Endpoint.parse(listen), Endpoint.parse(target), Endpoint.parse(control));
            stopAtExit(relay);
            System.out.println("event=listening http=" + relay.address() + " control=" + relay.controlAddress());
        }
    }

    @Parameters(commandDescription = "Measures response times of one client, directly and through an entry")
    private static final class MeasureCommand {
        private static final double MEDIAN = 0.5;
        private static final double HIGH = 0.99;

        @Parameter(names = "--entry", required = true, description = "The entry's HTTP address, host:port")
        private String entry;

        @Parameter(names = "--upstream", required = true, description = "The upstream's HTTP address, host:port")
        private String upstream;

        @Parameter(names = "--kind", required = true, description = "Kind of work")
        private String kind;

        @Parameter(names = "--run-milliseconds", description = "How long each task runs")
        private int runMilliseconds = 50;

        @Parameter(names = "--warm-up", description = "Rounds that don't count")
        private int warmUp = 50;

        @Parameter(names = "--rounds", description = "Rounds that count")
        private int rounds = 200;

        void run() {
            new PathMeasurement(Endpoint.parse(entry), Endpoint.parse(upstream), kind, runMilliseconds)
                    .run(warmUp, rounds)
                    .forEach((way, times) -> System.out.printf(
                            Locale.ROOT,
                            "event=measured way=%s requests=%d medianMilliseconds=%.2f p99Milliseconds=%.2f%n",
                            way,
                            rounds,
                            times.quantileMilliseconds(MEDIAN),
                            times.quantileMilliseconds(HIGH)));
        }
    }
}
