package io.caperturn.jobs.upstream;

import io.caperturn.jobs.DecisionLoop;
import io.caperturn.jobs.LinkPort;
import io.caperturn.jobs.interference.InterferenceMonitor;
import io.caperturn.jobs.message.JobFrame;
import io.caperturn.jobs.model.PairSlowdown;
import io.caperturn.jobs.model.RunIdentity;
import io.caperturn.jobs.model.RunOutcome;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Sender of a sidecar's estimates of how much queues slow each other down, when they change, to the entries that accept
 * them: those whose dispatches name their queue.
 */
final class SlowdownSender {
    /** Minimum interval between two reports, in milliseconds. */
    private static final long REPORT_INTERVAL_MILLISECONDS = 1_000;
    /** Interval in which an unchanged report is repeated, in milliseconds; entries forget one after three of them. */
    private static final long REPETITION_MILLISECONDS = 20_000;
    /** Maximum number of entries that get a report at a time, so that the frames do not grow with their number. */
    private static final int MAX_RECEIVERS_PER_INTERVAL = 4;
    /** Relative change of a standard error that is reported. */
    private static final double STANDARD_ERROR_CHANGE = 0.25;
    /** Relative change of the average number of active runs that is reported. */
    private static final double LEVEL_CHANGE = 0.25;
    /** Change of the average number of active runs that is not reported, in hundredths. */
    private static final int NEGLIGIBLE_LEVEL_CHANGE = 50;

    private static final JobFrame.Slowdowns EMPTY = new JobFrame.Slowdowns(List.of(), Map.of());

    private final DecisionLoop loop;
    private final LinkPort links;
    private final RunRegistry registry;
    private final InterferenceMonitor monitor = new InterferenceMonitor();
    private final Map<String, Receiver> receivers = new HashMap<>();
    private JobFrame.Slowdowns latest = EMPTY;
    private long reportedAt;

    SlowdownSender(DecisionLoop loop, LinkPort links, RunRegistry registry) {
        this.loop = loop;
        this.links = links;
        this.registry = registry;
    }

    /** Entry that accepts reports. */
    private static final class Receiver {
        private final String incarnation;
        /** Latest report that was sent; {@link #EMPTY} before the first. */
        private JobFrame.Slowdowns sent = EMPTY;
        /** When it was sent, in milliseconds of the loop's clock; 0 before the first. */
        private long sentAt;

        Receiver(String incarnation) {
            this.incarnation = incarnation;
        }

        boolean isDue(JobFrame.Slowdowns report, long now) {
            return sent != report || report != EMPTY && now - sentAt >= REPETITION_MILLISECONDS;
        }
    }

    /** Records that an entry's link opened or closed: it has none of the reports and may be another version. */
    void forgetReceiver(String incarnation) {
        receivers.remove(incarnation);
    }

    /** Records the queue that an entry's dispatch names; empty if it names none. */
    void recordDispatch(String incarnation, String queue) {
        if (!queue.isEmpty()) {
            receivers.computeIfAbsent(incarnation, Receiver::new);
        }
    }

    void runStarted(LocalRun run) {
        if (!run.queue().isEmpty()) {
            monitor.runStarted(run.identity(), run.queue(), run.estimatedMilliseconds(), loop.monotonicMilliseconds());
        }
    }

    void runEnded(LocalRun run) {
        monitor.runEnded(run.identity(), run.outcome() == RunOutcome.DONE, loop.monotonicMilliseconds());
    }

    /** Sends the estimates to the entries that lack them, at most once a second. */
    void tick() {
        long now = loop.monotonicMilliseconds();
        if (now - reportedAt < REPORT_INTERVAL_MILLISECONDS || receivers.isEmpty()) {
            return;
        }
        reportedAt = now;
        Set<RunIdentity> active = new HashSet<>();
        registry.allRuns().stream().filter(LocalRun::isActive).forEach(run -> active.add(run.identity()));
        monitor.retainRuns(active, now);
        JobFrame.Slowdowns report = monitor.report(now);
        if (differs(report, latest)) {
            latest = report.pairs().isEmpty() ? EMPTY : report;
        }
        receivers.values().stream()
                .filter(receiver -> receiver.isDue(latest, now))
                .sorted(Comparator.comparingLong((Receiver receiver) -> receiver.sentAt)
                        .thenComparing(receiver -> receiver.incarnation))
                .limit(MAX_RECEIVERS_PER_INTERVAL)
                .toList()
                .forEach(receiver -> {
                    links.send(receiver.incarnation, latest);
                    receiver.sent = latest;
                    receiver.sentAt = now;
                });
    }

    /** Returns whether a report differs from another by more than its uncertainty. */
    private static boolean differs(JobFrame.Slowdowns report, JobFrame.Slowdowns before) {
        if (report.pairs().size() != before.pairs().size()
                || !report.levelHundredths()
                        .keySet()
                        .equals(before.levelHundredths().keySet())) {
            return true;
        }
        Map<String, PairSlowdown> pairsBefore = new HashMap<>();
        before.pairs().forEach(pair -> pairsBefore.put(key(pair), pair));
        for (PairSlowdown pair : report.pairs()) {
            PairSlowdown earlier = pairsBefore.get(key(pair));
            if (earlier == null
                    || Math.abs(pair.logSlowdown() - earlier.logSlowdown()) > pair.standardError()
                    || Math.abs(pair.standardError() - earlier.standardError())
                            > STANDARD_ERROR_CHANGE * earlier.standardError()) {
                return true;
            }
        }
        return report.levelHundredths().entrySet().stream().anyMatch(level -> {
            int earlier = before.levelHundredths().get(level.getKey());
            return Math.abs(level.getValue() - earlier) > Math.max(NEGLIGIBLE_LEVEL_CHANGE, LEVEL_CHANGE * earlier);
        });
    }

    private static String key(PairSlowdown pair) {
        return pair.queue() + "/" + pair.beside();
    }
}
