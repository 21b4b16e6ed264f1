package io.caperturn.jobs.owner;

import io.caperturn.jobs.EventKey;
import io.caperturn.jobs.EventName;
import io.caperturn.jobs.LinkPort;
import io.caperturn.jobs.DecisionLoop;
import io.caperturn.jobs.message.JobFrame;
import io.caperturn.jobs.message.MemberRecord;
import io.caperturn.jobs.message.ProcessRole;
import io.caperturn.jobs.model.JobPlan;
import io.caperturn.jobs.model.JobState;
import io.caperturn.jobs.model.QueuePolicy;
import io.caperturn.jobs.model.RoutingTable;
import io.caperturn.jobs.record.JobWriter;
import io.caperturn.jobs.record.RecordStore;
import io.caperturn.jobs.record.StoredRecord;
import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;

/** Entry: takes jobs from callers, owns them until they are over, and takes over from entries that are lost. */
public final class EntryController {
    /** When a caller may come back after a fault, in milliseconds: faults of the store last seconds. */
    static final long FAULT_RETRY_MILLISECONDS = 1_000;
    /** Interval of the look at lost sidecars and waiting writes, in milliseconds. */
    private static final long TICK_MILLISECONDS = 50;
    /** Interval of signs of life to other entries, in milliseconds: a sixth of the silence that counts as loss. */
    private static final long PEER_MILLISECONDS = 400;

    private final DecisionLoop loop;
    private final RecordStore store;
    private final LinkPort links;
    private final EntryParameters settings;
    private final EntryHost environment;
    private final JobWriter writer;
    private final JobKeeper jobs;
    private final Dispatcher dispatcher;
    private final Membership membership;
    private final StoredJobs stored;
    private final Adoption adoption;
    private final Cancellation cancellation;
    private final Admission admission;
    private final WaitingCounts waitingCounts;
    private RoutingTable table;
    private boolean leaving;
    private boolean over;
    private long lastPeerFrame;

    /**
     * Creates an entry that knows nothing yet.
     *
     * @param loop the loop on which all calls come
     * @param store the store
     * @param links port to other processes
     * @param settings what this entry is
     * @param environment receiver of what this entry wants of its process
     */
    public EntryController(DecisionLoop loop, RecordStore store, LinkPort links, EntryParameters settings, EntryHost environment) {
        this.loop = loop;
        this.store = store;
        this.links = links;
        this.settings = settings;
        this.environment = environment;
        this.writer = new JobWriter(store, loop);
        this.jobs = new JobKeeper(loop, writer, settings, new Outcomes());
        this.dispatcher = new Dispatcher(loop, links, jobs);
        this.waitingCounts = new WaitingCounts(loop, jobs);
        this.membership = new Membership(loop, store, settings, new Changes());
        this.stored = new StoredJobs(loop, store);
        this.cancellation = new Cancellation(loop, links, settings, writer, jobs, dispatcher, membership, stored);
        this.admission = new Admission(loop, writer, dispatcher, membership, jobs);
        this.adoption = new Adoption(
                loop,
                store,
                links,
                settings,
                membership,
                dispatcher,
                jobs,
                name -> table == null ? Optional.empty() : table.findByName(name));
    }

    /** Begins to follow the table of processes and to act. */
    public void start() {
        membership.start();
        loop.after(TICK_MILLISECONDS, this::tick);
    }

    /**
     * Puts a version of the configuration in force, unless a newer one is.
     *
     * @param news the configuration
     */
    public void configure(RoutingTable news) {
        if (table == null || news.version() > table.version()) {
            loop.log()
                    .event(
                            EventName.CONFIGURED,
                            EventKey.VERSION,
                            news.version(),
                            EventKey.QUEUES,
                            news.queues().size(),
                            EventKey.BEFORE,
                            table == null ? 0 : table.version());
            table = news;
        }
    }

    /**
     * Tells whether new connections are welcome.
     *
     * @return false while this entry could only refuse
     */
    public boolean isReady() {
        return !leaving
                && !over
                && table != null
                && dispatcher.sidecars().stream().anyMatch(SidecarView::isUsable);
    }

    /**
     * Finds the queue for a request.
     *
     * @param host host name of the request
     * @param path its path
     * @return the queue, or nothing if there is none
     */
    public Optional<QueuePolicy> findQueue(String host, String path) {
        return table == null ? Optional.empty() : table.find(host, path);
    }

    /**
     * Tells whether a configuration is known.
     *
     * @return false until the first has come
     */
    public boolean isConfigured() {
        return table != null;
    }

    /**
     * Gives the size of the largest request body that is taken.
     *
     * @return the size in bytes
     */
    public long maximumBodyBytes() {
        return table == null ? 0 : table.maximumBodyBytes();
    }

    /**
     * Takes a job, or refuses it at once.
     *
     * @param identity identity of the job, chosen by the caller
     * @param plan what is to be done
     * @param policy its queue
     * @param receiver receiver of the answer
     */
    public void submit(String identity, JobPlan plan, QueuePolicy policy, Consumer<CallerAnswers.Submission> receiver) {
        boolean known = jobs.find(identity) != null
                || plan.durable() && (jobs.closedState(identity) != null || jobs.isInserting(identity));
        if (!known) {
            CallerAnswers.Submission.Refused refusal = over
                    ? new CallerAnswers.Submission.Refused("stopping", FAULT_RETRY_MILLISECONDS, false)
                    : admission.refusal(identity, plan, policy);
            if (refusal != null) {
                loop.log()
                        .event(
                                EventName.REFUSED,
                                EventKey.JOB,
                                identity,
                                EventKey.QUEUE,
                                policy.name(),
                                EventKey.REASON,
                                refusal.reason(),
                                EventKey.RETRY_AFTER,
                                refusal.retryAfterMilliseconds(),
                                EventKey.WAITING,
                                dispatcher.waiting().size());
                loop.log().count("refused-" + (refusal.overloaded() ? "load" : "fault"));
                receiver.accept(refusal);
                return;
            }
        }
        if (plan.durable()) {
            jobs.submit(identity, plan, policy, receiver);
        } else {
            jobs.runTransient(identity, plan, policy, receiver);
        }
    }

    /**
     * Gives up a job that is not stored, because its caller has gone or its time is over.
     *
     * @param identity identity of the job
     * @param cause why
     */
    public void abandon(String identity, String cause) {
        jobs.abandon(identity, cause);
    }

    /**
     * Tells the state of a job.
     *
     * @param identity identity of the job
     * @param receiver receiver of the answer
     */
    public void lookUp(String identity, Consumer<CallerAnswers.Lookup> receiver) {
        OwnedJob job = jobs.find(identity);
        JobState closed = jobs.closedState(identity);
        if (job != null) {
            receiver.accept(new CallerAnswers.Lookup.Found(job.state()));
        } else if (closed != null) {
            receiver.accept(new CallerAnswers.Lookup.Found(closed));
        } else {
            stored.read(identity, (open, answer) -> receiver.accept(answer));
        }
    }

    /**
     * Cancels a job.
     *
     * @param identity identity of the job
     * @param receiver receiver of the job's final state once it is stored, or of why it can't be told
     */
    public void cancel(String identity, Consumer<CallerAnswers.Lookup> receiver) {
        cancellation.cancel(identity, receiver);
    }

    /**
     * Counts the jobs of a queue of which no task has started, over all entries.
     *
     * @param queue name of the queue
     * @return the number
     */
    public int countWaitingJobs(String queue) {
        return waitingCounts.of(queue);
    }

    /** Tells balancers to send no new connections; those that come are still served. */
    public void reportNotReady() {
        leaving = true;
        loop.log().event(EventName.LEAVING, EventKey.JOBS, jobs.owned().size());
    }

    /** Refuses new jobs that would end later than those that were taken before. */
    public void refuseLongerJobs() {
        admission.close();
    }

    /**
     * Hands all jobs to the other entries.
     *
     * @param done called when others know
     */
    public void handOver(Runnable done) {
        over = true;
        adoption.stop();
        jobs.abandonAll("entry-stopped");
        loop.log().event(EventName.HANDING_OVER, EventKey.JOBS, jobs.owned().size());
        membership.leave(removed -> done.run());
    }

    /**
     * Tells whether this entry owns no job.
     *
     * @return true if nothing has to be handed over
     */
    public boolean isIdle() {
        return jobs.owned().isEmpty();
    }

    /**
     * Takes an opened link.
     *
     * @param hello who is at its other end
     */
    public void handleLinkOpened(JobFrame.Hello hello) {
        membership.linked(hello.node(), true);
        if (hello.role() == ProcessRole.SIDECAR) {
            dispatcher.linked(hello.node(), hello.incarnation());
        }
    }

    /**
     * Takes the loss of a link.
     *
     * @param hello who was at its other end
     */
    public void handleLinkClosed(JobFrame.Hello hello) {
        membership.linked(hello.node(), false);
        dispatcher.unlinked(hello.incarnation());
    }

    /**
     * Takes a frame.
     *
     * @param from who sent it
     * @param frame the frame
     */
    public void handleFrame(JobFrame.Hello from, JobFrame frame) {
        if (over) {
            return;
        }
        membership.heard(from.node());
        String incarnation = from.incarnation();
        switch (frame) {
            case JobFrame.Status status -> dispatcher.status(incarnation, status, membership.hasAuthority());
            case JobFrame.Report report -> dispatcher.report(incarnation, report);
            case JobFrame.Inventory inventory -> {
                adoption.answered(incarnation, inventory);
                if (inventory.fenced().isEmpty()) {
                    dispatcher.inventory(incarnation, inventory);
                }
            }
            case JobFrame.Unclaimed unclaimed -> unclaimed.jobs().forEach(job -> adoption.unclaimed(incarnation, job));
            case JobFrame.EntryState state -> waitingCounts.told(incarnation, state.waitingJobs());
            case JobFrame.CancelJob cancel -> {
                OwnedJob job = jobs.find(cancel.job());
                if (job != null) {
                    jobs.finish(job, JobState.CANCELLED);
                    dispatcher.withdrawAll(job);
                }
            }
            default -> loop.log().event(EventName.FRAME_UNEXPECTED, EventKey.FROM, incarnation, EventKey.FRAME, frame);
        }
    }

    private void tick() {
        if (over) {
            return;
        }
        loop.after(TICK_MILLISECONDS, this::tick);
        membership.tick();
        jobs.tick();
        dispatcher.tick();
        if (loop.monotonicMilliseconds() - lastPeerFrame >= PEER_MILLISECONDS) {
            lastPeerFrame = loop.monotonicMilliseconds();
            JobFrame state = new JobFrame.EntryState(waitingCounts.own());
            for (MemberRecord member : membership.of(ProcessRole.ENTRY)) {
                if (!member.incarnation().equals(settings.incarnation())) {
                    links.send(member.incarnation(), state);
                }
            }
        }
    }

    private final class Outcomes implements JobKeeper.Listener {
        @Override
        public void stored(OwnedJob job) {
            dispatcher.ready(job);
        }

        @Override
        public void over(OwnedJob job, JobState state) {
            if (state == JobState.COMPLETED) {
                admission.ended(job.policy().name(), loop.monotonicMilliseconds() - job.arrivedAt() > job.objective());
            } else {
                dispatcher.withdrawAll(job);
            }
        }

        @Override
        public void settled(List<OwnedJob.PendingEnd> ends) {
            ends.forEach(end -> links.send(end.sidecar(), new JobFrame.Settled(end.run())));
        }

        @Override
        public void foreign(String job, StoredRecord open) {
            adoption.takeOver(job, open);
        }
    }

    private final class Changes implements Membership.Events {
        @Override
        public void joined(MemberRecord member) {
            environment.connect(member);
            adoption.joined();
        }

        @Override
        public void lost(MemberRecord member) {
            environment.disconnect(member);
            dispatcher.unlinked(member.incarnation());
            if (member.role() == ProcessRole.ENTRY) {
                adoption.lost(member.incarnation());
            }
        }

        @Override
        public void resigned() {
            over = true;
            adoption.stop();
            membership.stop();
            loop.log().event(EventName.RESIGNED, EventKey.INCARNATION, settings.incarnation());
            jobs.clear();
            dispatcher.clear();
            environment.declaredLost();
        }
    }
}
