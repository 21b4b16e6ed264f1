package io.caperturn.jobs.owner;

import io.caperturn.jobs.DecisionLoop;
import io.caperturn.jobs.EventKey;
import io.caperturn.jobs.EventName;
import java.util.HashMap;
import java.util.Map;
import java.util.function.Consumer;

/**
 * Check that the stored jobs which this entry (process that accepts jobs) owns are still open in the store: another
 * entry may have cancelled one, and its notice may have been lost.
 */
final class OwnedJobCheck {
    private final DecisionLoop loop;
    private final OwnedJobRepository jobs;

    OwnedJobCheck(DecisionLoop loop, OwnedJobRepository jobs) {
        this.loop = loop;
        this.jobs = jobs;
    }

    /** Begins a check before a page of the open jobs is read; returns the receiver of that page. */
    Consumer<StoredJobReader.Page> begin() {
        Map<String, Long> versions = storedVersions();
        return page -> versions.forEach((identity, version) -> {
            if (page.lacks(identity)) {
                handleMissing(identity, version);
            }
        });
    }

    /** Returns the versions of the stored jobs that no write of this entry is about to change, by their identities. */
    private Map<String, Long> storedVersions() {
        Map<String, Long> versions = new HashMap<>();
        for (OwnedJob job : jobs.ownedJobs()) {
            if (job.plan().durable() && !job.isWriting()) {
                versions.put(job.identity(), job.version());
            }
        }
        return versions;
    }

    /** Writes a job that is not among the open ones, unless it has been written since; the outcome tells its state. */
    private void handleMissing(String identity, long version) {
        OwnedJob job = jobs.find(identity);
        if (job != null && job.version() == version && !job.isWriting()) {
            loop.log().event(EventName.JOB_MISSING, EventKey.JOB, identity, EventKey.VERSION, version);
            jobs.storeProgress(job);
        }
    }
}
