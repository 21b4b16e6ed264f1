package io.caperturn.jobs.owner;

import io.caperturn.jobs.model.JobState;
import java.util.function.Consumer;

/** Lookup of the state of a job at an entry, a process that accepts jobs: in memory, or else in the store. */
final class JobLookup {
    private final OwnedJobRepository jobs;
    private final StoredJobReader storedJobReader;
    private final OrphanedJobAdopter jobAdopter;

    JobLookup(OwnedJobRepository jobs, StoredJobReader storedJobReader, OrphanedJobAdopter jobAdopter) {
        this.jobs = jobs;
        this.storedJobReader = storedJobReader;
        this.jobAdopter = jobAdopter;
    }

    /** Looks up the state of a job; the receiver gets it, or the reason why it is not known. */
    void find(String identity, Consumer<CallerAnswers.Lookup> receiver) {
        OwnedJob job = jobs.find(identity);
        JobState finalState = jobs.findFinalState(identity);
        if (job != null) {
            receiver.accept(new CallerAnswers.Lookup.Found(job.state()));
        } else if (finalState != null) {
            receiver.accept(new CallerAnswers.Lookup.Found(finalState));
        } else {
            storedJobReader.read(identity, (openRecord, answer) -> {
                if (openRecord == null && answer instanceof CallerAnswers.Lookup.Found found) {
                    jobs.rememberFinalState(identity, found.state());
                }
                receiver.accept(answer);
                if (openRecord != null) {
                    jobAdopter.ensureOwner(identity, openRecord, () -> {}); // a job that is shown has to run
                }
            });
        }
    }
}
