package io.caperturn.jobs.owner;

import io.caperturn.jobs.DecisionLoop;
import io.caperturn.jobs.EventKey;
import io.caperturn.jobs.EventName;
import io.caperturn.jobs.LinkPort;
import io.caperturn.jobs.message.JobFrame;
import io.caperturn.jobs.message.JobRecord;
import io.caperturn.jobs.model.RunFate;
import io.caperturn.jobs.model.RunOutcome;
import io.caperturn.jobs.record.StoredRecord;
import java.io.IOException;
import java.util.List;

/**
 * Answers of an entry (process that accepts jobs) to sidecars that ask about runs without an owner, or about ends that
 * no owner has confirmed.
 *
 * <p>An end finds its owner here, or by the stored record of its job: the entry that this names, one that adopts the
 * job, or none, because the record includes the end or the job is not open.
 */
final class UnclaimedRunAnswers {
    private final DecisionLoop loop;
    private final LinkPort links;
    private final String incarnation;
    private final OwnedJobRepository jobs;
    private final TaskDispatcher dispatcher;
    private final StoredJobReader storedJobReader;
    private final OrphanedJobAdopter adopter;

    UnclaimedRunAnswers(
            DecisionLoop loop,
            LinkPort links,
            EntryParameters parameters,
            OwnedJobRepository jobs,
            TaskDispatcher dispatcher,
            StoredJobReader storedJobReader,
            OrphanedJobAdopter adopter) {
        this.loop = loop;
        this.links = links;
        this.incarnation = parameters.incarnation();
        this.jobs = jobs;
        this.dispatcher = dispatcher;
        this.storedJobReader = storedJobReader;
        this.adopter = adopter;
    }

    /**
     * Handles a question.
     *
     * @param sender incarnation of the process that sent it: the sidecar, or an entry that sends it on to the owner
     * @param question the question
     */
    void handle(String sender, JobFrame.Unclaimed question) {
        boolean sentOn = !question.sidecar().isEmpty();
        String sidecar = sentOn ? question.sidecar() : sender;
        for (String job : question.jobs()) {
            List<JobFrame.Report> ends = question.ends().stream()
                    .filter(end -> end.run().task().job().equals(job))
                    .toList();
            if (jobs.find(job) != null) {
                log(sidecar, job, "owned-here", ends);
                ends.forEach(end -> dispatcher.handleUnclaimedEnd(sidecar, end));
            } else if (jobs.findFinalState(job) != null) {
                answerOver(sidecar, job, jobs.findFinalState(job), ends);
            } else if (sentOn) {
                log(sidecar, job, "not-owned", ends); // the next question finds the owner by the record as it is then
            } else if (storedJobReader.isStoreResponsive()) {
                answerByStore(sidecar, job, ends);
            }
        }
    }

    private void answerByStore(String sidecar, String job, List<JobFrame.Report> ends) {
        storedJobReader.read(job, (openRecord, answer) -> {
            if (openRecord != null) {
                log(sidecar, job, answer, ends);
                if (adopter.isAssignedHere(job)) {
                    adopter.ensureOwner(job, openRecord, () -> {});
                }
                answerByRecord(sidecar, job, openRecord, ends);
            } else if (answer instanceof CallerAnswers.Lookup.Unavailable) {
                log(sidecar, job, answer, ends);
            } else {
                answerOver(sidecar, job, answer, ends);
            }
        });
    }

    private void answerOver(String sidecar, String job, Object state, List<JobFrame.Report> ends) {
        log(sidecar, job, state, ends);
        links.send(sidecar, new JobFrame.JobOver(job));
    }

    /**
     * Confirms the ends that the record of an open job includes, and sends the others on to the owner that it names.
     */
    private void answerByRecord(String sidecar, String job, StoredRecord openRecord, List<JobFrame.Report> ends) {
        JobRecord content;
        try {
            content = JobRecord.decode(openRecord.value());
        } catch (IOException e) {
            storedJobReader.handleUnreadable(openRecord, e);
            return;
        }
        List<JobFrame.Report> needed =
                ends.stream().filter(end -> !includesEnd(content, end)).toList();
        ends.stream()
                .filter(end -> !needed.contains(end))
                .forEach(end -> links.send(sidecar, new JobFrame.Settled(end.run())));
        // A record that names this entry is the effect of a write whose answer will make the job an owned one.
        if (!needed.isEmpty() && !content.owner().equals(incarnation)) {
            links.send(content.owner(), new JobFrame.Unclaimed(List.of(job), needed, sidecar));
        }
    }

    private static boolean includesEnd(JobRecord content, JobFrame.Report end) {
        return content.includesEnd(end.run(), end.outcome() == RunOutcome.DONE ? RunFate.SUCCEEDED : RunFate.FAILED);
    }

    private void log(String sidecar, String job, Object state, List<JobFrame.Report> ends) {
        loop.log()
                .event(
                        EventName.UNCLAIMED,
                        EventKey.JOB,
                        job,
                        EventKey.SIDECAR,
                        sidecar,
                        EventKey.STATE,
                        state,
                        EventKey.ENDED,
                        ends.size());
    }
}
