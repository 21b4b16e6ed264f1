package io.caperturn.jobs.owner;

import io.caperturn.jobs.DecisionLoop;
import java.util.List;

/**
 * Schedule of the scans in which an entry (process that accepts jobs) reads all open (unfinished) jobs from the store,
 * to find those whose owner is lost: after each loss of an entry and each start of a process, and at an interval.
 *
 * <p>The entries make the periodic scans in turn, so that their number does not grow with that of the entries.
 */
final class OpenJobScans {
    /**
     * Delay before the second scan for jobs whose owner is lost, in milliseconds: it finds jobs that the lost entry
     * wrote after the first scan had read them.
     */
    private static final long RESCAN_MILLISECONDS = 1_500;

    /** Shortest time between the first scans for lost entries, in milliseconds. */
    private static final long SHORTEST_INTERVAL_MILLISECONDS = 250;

    /**
     * Interval of the periodic scans of all entries together, in milliseconds: they find jobs that the store has held
     * back for longer than the scans after an event.
     */
    static final long PERIOD_MILLISECONDS = 5_000;

    private final DecisionLoop loop;
    private final EntryParameters parameters;
    private final ProcessMembership membership;
    private final Scanner scanner;
    private boolean scanRequested;
    /** When the latest first scan for lost entries was made, in milliseconds of the loop's clock. */
    private long scannedAt = Long.MIN_VALUE / 2;

    /** When the latest scan that was asked for is due, in milliseconds of the loop's clock. */
    private long scanDueAt;

    private boolean scanScheduled;
    private boolean stopped;

    OpenJobScans(DecisionLoop loop, EntryParameters parameters, ProcessMembership membership, Scanner scanner) {
        this.loop = loop;
        this.parameters = parameters;
        this.membership = membership;
        this.scanner = scanner;
    }

    /** Maker of the scans. */
    interface Scanner {
        /**
         * Makes a scan.
         *
         * @param onlyAssigned whether to adopt only the jobs that are assigned to this entry, because the other entries
         *     make this scan too
         */
        void scan(boolean onlyAssigned);
    }

    /** Starts the periodic scans. */
    void start() {
        loop.after(PERIOD_MILLISECONDS, this::scanInTurn);
    }

    /** Ends all scans. */
    void stop() {
        stopped = true;
    }

    /** Scans soon, and again after a delay, because an entry is lost. */
    void entryLost() {
        if (!scanRequested) {
            // Entries whose loss is told by one answer of the store, or within the interval, share their scans.
            scanRequested = true;
            long delay = Math.max(0, scannedAt + SHORTEST_INTERVAL_MILLISECONDS - loop.monotonicMilliseconds());
            loop.after(delay, () -> {
                scanRequested = false;
                scannedAt = loop.monotonicMilliseconds();
                scan(/* onlyAssigned= */ true);
                request();
            });
        }
    }

    /**
     * Asks for a scan after the delay. Several that are asked for within that time are met by one after the last of
     * them, and one in between.
     */
    void request() {
        scanDueAt = loop.monotonicMilliseconds() + RESCAN_MILLISECONDS;
        if (!scanScheduled) {
            scanScheduled = true;
            loop.after(RESCAN_MILLISECONDS, this::scanWhenDue);
        }
    }

    private void scanWhenDue() {
        scanScheduled = false;
        scan(/* onlyAssigned= */ true);
        long remaining = scanDueAt - loop.monotonicMilliseconds();
        if (remaining > 0) {
            scanScheduled = true;
            loop.after(remaining, this::scanWhenDue);
        }
    }

    /** Makes the periodic scan if it is the turn of this entry; one after an event takes its place. */
    private void scanInTurn() {
        if (stopped) {
            return;
        }
        loop.after(PERIOD_MILLISECONDS, this::scanInTurn);
        if (!scanRequested && !scanScheduled && membership.hasStoreAnsweredRecently() && isTurn()) {
            loop.log().count("periodic-scan");
            scan(/* onlyAssigned= */ false);
        }
    }

    private boolean isTurn() {
        List<String> entryNodes = membership.entryNodes();
        long turn = loop.wallClockMilliseconds() / PERIOD_MILLISECONDS;
        return !entryNodes.isEmpty() && entryNodes.indexOf(parameters.node()) == Math.floorMod(turn, entryNodes.size());
    }

    private void scan(boolean onlyAssigned) {
        if (!stopped) {
            scanner.scan(onlyAssigned);
        }
    }
}
