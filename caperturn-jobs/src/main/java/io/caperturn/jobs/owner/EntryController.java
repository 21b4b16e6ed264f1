package io.caperturn.jobs.owner;

import io.caperturn.jobs.DecisionLoop;
import io.caperturn.jobs.EventKey;
import io.caperturn.jobs.EventName;
import io.caperturn.jobs.LinkPort;
import io.caperturn.jobs.message.JobFrame;
import io.caperturn.jobs.message.MemberRecord;
import io.caperturn.jobs.message.ProcessRole;
import io.caperturn.jobs.model.JobPlan;
import io.caperturn.jobs.model.JobState;
import io.caperturn.jobs.model.QueuePolicy;
import io.caperturn.jobs.model.RoutingTable;
import io.caperturn.jobs.record.JobWriter;
import io.caperturn.jobs.record.RecordStore;
import io.caperturn.jobs.record.StoreRetryBudget;
import io.caperturn.jobs.record.StoredRecord;
import io.caperturn.jobs.zone.ZoneEvacuations;
import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;

/**
 * Controller of an entry, a process that accepts jobs from callers and owns them: it sends their tasks to sidecars, the
 * processes beside upstreams, and stores their progress. It also takes over jobs of lost entries.
 *
 * <p>A durable job is stored before its caller is answered; a transient one is not, and its caller waits until it has
 * finished. A queue is a set of jobs with one policy. A link is a connection to another process.
 */
public final class EntryController {
    /** Delay before a retry after a fault, in milliseconds: faults of the store last for seconds. */
    static final long FAULT_RETRY_MILLISECONDS = 1_000;

    private final DecisionLoop loop;
    private final LinkPort links;
    private final EntryParameters parameters;
    private final EntryHost host;
    private final OwnedJobRepository jobs;
    private final TaskDispatcher dispatcher;
    private final ProcessMembership membership;
    private final StoredJobReader storedJobReader;
    private final OrphanedJobAdopter jobAdopter;
    private final JobCancellation cancellation;
    private final JobLookup lookup;
    private final JobAdmission admission;
    private final WaitingJobCounts waitingJobCounts;
    private final ReceivedFrames receivedFrames;
    private final EntryTick tick;
    private final PlacementExplainer placementExplainer;
    private RoutingTable routingTable;
    private boolean reportingNotReady;
    private boolean stopped;

    /**
     * Creates an entry without jobs and without a configuration.
     *
     * @param loop the loop on which all calls are made
     * @param store the store of jobs and processes
     * @param retries the budget of this process for repeated calls of the store
     * @param links the port to other processes
     * @param parameters instance, incarnation and address of this entry, and retention time of finished jobs
     * @param host process that runs this entry
     * @param evacuations evacuated availability zones as known to that process
     */
    public EntryController(
            DecisionLoop loop,
            RecordStore store,
            StoreRetryBudget retries,
            LinkPort links,
            EntryParameters parameters,
            EntryHost host,
            ZoneEvacuations evacuations) {
        this.loop = loop;
        this.links = links;
        this.parameters = parameters;
        this.host = host;
        JobWriter writer = new JobWriter(store, loop, retries);
        this.storedJobReader = new StoredJobReader(loop, store, retries);
        this.jobs = new OwnedJobRepository(loop, writer, retries, parameters, storedJobReader, new JobListener());
        this.dispatcher = new TaskDispatcher(loop, links, jobs, evacuations);
        this.waitingJobCounts = new WaitingJobCounts(loop, jobs);
        this.membership = new ProcessMembership(loop, store, retries, parameters, new MembershipListener());
        this.cancellation =
                new JobCancellation(loop, links, parameters, writer, jobs, dispatcher, membership, storedJobReader);
        this.admission = new JobAdmission(loop, writer, dispatcher, membership, jobs, evacuations);
        this.tick = new EntryTick(
                loop,
                List.of(
                        new EntryTick.Duty("membership", membership::tick),
                        new EntryTick.Duty("cancellations", cancellation.notices()::tick),
                        new EntryTick.Duty("jobs", jobs::tick),
                        new EntryTick.Duty("evacuations", admission.evacuationImpact()::abandonJobs),
                        new EntryTick.Duty("dispatch", dispatcher::tick),
                        new EntryTick.Duty(
                                "heartbeat",
                                new PeerHeartbeats(loop, links, parameters, membership, waitingJobCounts)::sendIfDue)));
        this.placementExplainer = new PlacementExplainer(loop, dispatcher, this::assess);
        this.jobAdopter = new OrphanedJobAdopter(
                loop, storedJobReader, links, parameters, membership, dispatcher, jobs, this::findQueue);
        this.lookup = new JobLookup(jobs, storedJobReader, jobAdopter);
        this.receivedFrames = new ReceivedFrames(
                loop,
                parameters,
                membership,
                dispatcher,
                jobAdopter,
                cancellation,
                waitingJobCounts,
                sidecar -> resign("fenced", sidecar));
    }

    /** Registers this entry, starts to follow the stored table of processes, and starts the periodic checks. */
    public void start() {
        membership.start();
        jobAdopter.start();
        tick.start();
    }

    /**
     * Applies a version of the configuration, unless a newer one is already in force.
     *
     * @param newRoutingTable the configuration, with the queues and the requests that belong to each
     */
    public void configure(RoutingTable newRoutingTable) {
        if (routingTable == null || newRoutingTable.version() > routingTable.version()) {
            loop.log()
                    .event(
                            EventName.CONFIGURED,
                            EventKey.VERSION,
                            newRoutingTable.version(),
                            EventKey.QUEUES,
                            newRoutingTable.queues().size(),
                            EventKey.BEFORE,
                            routingTable == null ? 0 : routingTable.version());
            routingTable = newRoutingTable;
        }
    }

    /**
     * Returns whether new connections should be sent here; not while this entry could only refuse jobs, unless because
     * all zones are evacuated.
     *
     * @return true if so
     */
    public boolean isReady() {
        return !reportingNotReady
                && !stopped
                && routingTable != null
                && (dispatcher.sidecars().stream().anyMatch(SidecarView::isUsable)
                        || admission.evacuationImpact().isEverySidecarEvacuated());
    }

    /**
     * {@return the policy of the queue for a request, or empty if no queue matches}
     *
     * @param requestHost host name of the request
     * @param path path of the request
     */
    public Optional<QueuePolicy> findQueue(String requestHost, String path) {
        return routingTable == null ? Optional.empty() : routingTable.find(requestHost, path);
    }

    /**
     * {@return the policy of a queue, or empty if there is none of that name}
     *
     * @param name name of the queue
     */
    public Optional<QueuePolicy> findQueue(String name) {
        return routingTable == null ? Optional.empty() : routingTable.findByName(name);
    }

    /** {@return whether a configuration has been received} */
    public boolean isConfigured() {
        return routingTable != null;
    }

    /** {@return the maximum size of a request body, in bytes; 0 without a configuration} */
    public long maximumBodyBytes() {
        return routingTable == null ? 0 : routingTable.maximumBodyBytes();
    }

    /**
     * Accepts a job, or refuses it at once.
     *
     * @param identity identity of the job, chosen by the caller
     * @param plan the steps and tasks of the job
     * @param policy policy of the queue that accepts the job
     * @param receiver receiver of the answer
     */
    public void submit(String identity, JobPlan plan, QueuePolicy policy, Consumer<CallerAnswers.Submission> receiver) {
        admission.recordSubmission();
        boolean alreadySubmitted = jobs.find(identity) != null
                || plan.durable() && (jobs.findFinalState(identity) != null || jobs.isInserting(identity));
        if (!alreadySubmitted) {
            dispatcher.confinement().demand().record(plan, policy);
            JobAdmission.Assessment assessment = assess(identity, plan, policy);
            if (assessment.refusal().isPresent()) {
                CallerAnswers.Submission.Refused refusal = assessment.refusal().get();
                admission.logRefusal(identity, policy, refusal, assessment);
                receiver.accept(refusal);
                return;
            }
        }
        if (plan.durable()) {
            jobs.submitDurable(identity, plan, policy, receiver);
        } else {
            jobs.runTransient(identity, plan, policy, receiver);
        }
    }

    private JobAdmission.Assessment assess(String identity, JobPlan plan, QueuePolicy policy) {
        return stopped
                ? JobAdmission.Assessment.ofFault(JobAdmission.STOPPING)
                : admission.assess(identity, plan, policy);
    }

    /** {@return the explainer of what this entry would do with a job now} */
    public PlacementExplainer placementExplainer() {
        return placementExplainer;
    }

    /**
     * Abandons a transient job, because its caller has disconnected or waits no longer.
     *
     * @param identity identity of the job
     * @param cause why the job is abandoned; written to the log
     */
    public void abandon(String identity, String cause) {
        jobs.abandon(identity, cause);
    }

    /**
     * Looks up the state of a job.
     *
     * @param identity identity of the job
     * @param receiver receiver of the answer
     */
    public void lookUpState(String identity, Consumer<CallerAnswers.Lookup> receiver) {
        lookup.find(identity, receiver);
    }

    /**
     * Cancels a job.
     *
     * @param identity identity of the job
     * @param receiver receiver of the final state of the job once it is stored, or of the reason why that is unknown
     */
    public void cancel(String identity, Consumer<CallerAnswers.Lookup> receiver) {
        cancellation.cancel(identity, receiver);
    }

    /**
     * Returns the number of jobs of a queue of which no task has started, over all entries.
     *
     * @param queue name of the queue
     * @return the number of jobs
     */
    public int countWaitingJobs(String queue) {
        return waitingJobCounts.count(queue);
    }

    /** Makes this entry report that it is not ready, so that load balancers send no new connections. */
    void reportNotReady() {
        reportingNotReady = true;
        loop.log().event(EventName.LEAVING, EventKey.JOBS, jobs.ownedJobs().size());
    }

    JobAdmission admission() {
        return admission;
    }

    /**
     * Removes this entry from the table of processes, so that the other entries take over all its stored jobs.
     *
     * @param done called once the record of this entry has been removed, or the removal has failed
     */
    public void handOverJobs(Runnable done) {
        stopped = true;
        tick.stop();
        jobAdopter.stop();
        jobs.abandonAll("entry-stopped");
        loop.log().event(EventName.HANDING_OVER, EventKey.JOBS, jobs.ownedJobs().size());
        membership.leave(removed -> done.run());
    }

    /** Returns whether this entry owns no job, so that nothing has to be handed over. */
    boolean ownsNoJobs() {
        return jobs.ownedJobs().isEmpty();
    }

    /**
     * Handles an opened link.
     *
     * @param hello first frame of the peer, which identifies it
     */
    public void handleLinkOpened(JobFrame.Hello hello) {
        membership.setLinked(hello.node(), hello.incarnation(), true);
        cancellation.notices().linkOpened(hello);
        if (hello.role() == ProcessRole.SIDECAR) {
            dispatcher.linkOpened(hello);
        } else {
            jobAdopter.entryLinkOpened();
        }
    }

    /**
     * Handles a closed link.
     *
     * @param hello first frame of the peer, which identified it
     */
    public void handleLinkClosed(JobFrame.Hello hello) {
        membership.setLinked(hello.node(), hello.incarnation(), false);
        dispatcher.linkClosed(hello.incarnation());
    }

    /**
     * Handles a frame from another process.
     *
     * @param from first frame of the sender, which identified it
     * @param frame the frame
     */
    public void handleFrame(JobFrame.Hello from, JobFrame frame) {
        if (stopped) {
            return;
        }
        membership.recordContact(from.node());
        receivedFrames.handle(from.incarnation(), frame);
    }

    /** Gives up all jobs, which other entries adopt, and lets the host start this entry anew; logs why. */
    private void resign(String cause, String toldBy) {
        stopped = true;
        tick.stop();
        jobAdopter.stop();
        membership.stop();
        loop.log()
                .event(
                        EventName.RESIGNED,
                        EventKey.INCARNATION,
                        parameters.incarnation(),
                        EventKey.CAUSE,
                        cause,
                        EventKey.FROM,
                        toldBy);
        jobs.clear();
        dispatcher.clear();
        host.handleDeclaredLost();
    }

    private final class JobListener implements OwnedJobRepository.Listener {
        @Override
        public void jobAccepted(OwnedJob job) {
            dispatcher.enqueueReadyTasks(job);
        }

        @Override
        public void jobFinished(OwnedJob job, JobState state) {
            if (state == JobState.COMPLETED) {
                admission.recordCompletion(
                        job.policy().name(),
                        loop.monotonicMilliseconds() - job.arrivedAt() > job.objectiveMilliseconds());
            } else {
                dispatcher.stopAllRuns(job);
            }
        }

        @Override
        public void completionsDiscardable(List<OwnedJob.PendingCompletion> completions) {
            completions.forEach(
                    completion -> links.send(completion.sidecarIncarnation(), new JobFrame.Settled(completion.run())));
        }

        @Override
        public boolean unownedJobFound(String job, StoredRecord open, Runnable owned) {
            return jobAdopter.ensureOwner(job, open, owned);
        }
    }

    private final class MembershipListener implements ProcessMembership.ChangeListener {
        @Override
        public void memberJoined(MemberRecord member) {
            host.connect(member);
            jobAdopter.processJoined();
        }

        @Override
        public void memberLost(MemberRecord member) {
            host.disconnect(member);
            dispatcher.linkClosed(member.incarnation());
            if (member.role() == ProcessRole.ENTRY) {
                jobAdopter.entryLost(member.incarnation());
            }
        }

        @Override
        public void handleDeclaredLost() {
            resign("removed", ProcessRegistration.MEMBER_TABLE);
        }
    }
}
