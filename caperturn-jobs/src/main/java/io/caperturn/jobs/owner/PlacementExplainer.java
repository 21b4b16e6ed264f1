package io.caperturn.jobs.owner;

import io.caperturn.jobs.DecisionLoop;
import io.caperturn.jobs.EventKey;
import io.caperturn.jobs.EventName;
import io.caperturn.jobs.model.JobPlan;
import io.caperturn.jobs.model.QueuePolicy;
import io.caperturn.jobs.model.Resources;
import io.caperturn.jobs.model.StepPlan;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

/**
 * Explainer of what an entry (process that accepts jobs) would do with a job now: it makes the decisions on a new job
 * without their effects. Its only state is the time of the last explanation, which limits their rate.
 */
public final class PlacementExplainer {
    /** Minimum time between two explanations, in milliseconds, because they take time from the placement of tasks. */
    public static final long INTERVAL_MILLISECONDS = 200;
    /** Maximum number of tasks of an explained job. */
    public static final int MAX_TASKS = 10_000;
    /** Maximum number of candidates in an explanation, and of assessments in a trial: about those of a large job. */
    static final int MAX_ASSESSMENTS = 10_000;
    /**
     * Maximum number of visits of a task of the explained job while the tasks at each sidecar are counted, for a step
     * that limits them; a visit costs about a sixth of an assessment.
     */
    private static final int MAX_TASK_VISITS = 6 * MAX_ASSESSMENTS;

    /** Identity of the explained job, which is in no table. */
    private static final String IDENTITY = "explained";

    private final DecisionLoop loop;
    private final TaskDispatcher dispatcher;
    private final AdmissionCheck admission;
    private long nextExplanationAt = Long.MIN_VALUE;

    PlacementExplainer(DecisionLoop loop, TaskDispatcher dispatcher, AdmissionCheck admission) {
        this.loop = loop;
        this.dispatcher = dispatcher;
        this.admission = admission;
    }

    /** Check whether this entry would accept a job, without any effect. */
    interface AdmissionCheck {
        /** Assesses a job with a given identity, plan and policy of its queue. */
        JobAdmission.Assessment assess(String identity, JobPlan plan, QueuePolicy policy);
    }

    /**
     * Explains what would become of a job that arrived now; sends and stores nothing.
     *
     * @param plan the steps and tasks of the job, at most {@link #MAX_TASKS}
     * @param policy policy of the queue
     * @return the explanation, or the time after which to ask again
     */
    public PlacementExplanation.Answer explain(JobPlan plan, QueuePolicy policy) {
        long now = loop.monotonicMilliseconds();
        if (now < nextExplanationAt) {
            return new PlacementExplanation.Answer.TooSoon(nextExplanationAt - now);
        }
        nextExplanationAt = now + INTERVAL_MILLISECONDS;
        JobAdmission.Assessment assessment = admission.assess(IDENTITY, plan, policy);
        JobPlan explainedPlan = withoutExcessTasks(plan);
        OwnedJob job =
                new OwnedJob(IDENTITY, explainedPlan, policy, /* generation= */ 0, loop.wallClockMilliseconds(), now);
        List<OwnedTask> explainedTasks = job.tasks().stream()
                .filter(task -> task.step().prerequisiteSteps().isEmpty())
                .limit(maximumExplainedTasks(explainedPlan))
                .toList();
        PlacementTrial trial = new PlacementTrial(dispatcher, policy, now);
        List<PlacementExplanation.Candidate> candidates = assessCandidates(explainedTasks, trial);
        List<PlacementExplanation.Placement> placements =
                assessment.refusal().isPresent() ? List.of() : trial.place(explainedTasks, MAX_ASSESSMENTS);
        loop.log()
                .event(
                        EventName.EXPLAINED,
                        EventKey.QUEUE,
                        policy.name(),
                        EventKey.TASKS,
                        plan.taskCount(),
                        EventKey.REASON,
                        assessment
                                .refusal()
                                .map(CallerAnswers.Submission.Refused::reason)
                                .orElse(""),
                        EventKey.WAITING,
                        dispatcher.backlog().size());
        loop.log().count("explained");
        return new PlacementExplanation.Answer.Explained(new PlacementExplanation(
                assessment.refusal(),
                assessment.predictedMilliseconds(),
                assessment.allowedMilliseconds(),
                dispatcher.backlog().size(),
                plan.steps().stream()
                        .filter(step -> step.prerequisiteSteps().isEmpty())
                        .mapToInt(StepPlan::taskCount)
                        .sum(),
                candidates,
                placements));
    }

    /** Returns a plan with the same steps, but no more tasks of a step than can be explained. */
    private JobPlan withoutExcessTasks(JobPlan plan) {
        int maximum = hasLimitedStep(plan)
                ? Math.max(1, Math.min(maximumSelections(), (int) Math.sqrt(MAX_TASK_VISITS / sidecarCount())))
                : maximumSelections();
        List<StepPlan> steps = plan.steps().stream()
                .map(step -> new StepPlan(
                        Math.min(step.taskCount(), maximum),
                        step.resourcesPerTask(),
                        step.estimatedMilliseconds(),
                        step.prerequisiteSteps(),
                        step.requiredLabel(),
                        step.preferredRack(),
                        step.maximumPerUpstream()))
                .toList();
        return new JobPlan(plan.queue(), plan.payload(), steps, plan.durable());
    }

    private int maximumExplainedTasks(JobPlan plan) {
        return hasLimitedStep(plan)
                ? (int) Math.max(
                        1, Math.min(maximumSelections(), MAX_TASK_VISITS / ((long) sidecarCount() * plan.taskCount())))
                : maximumSelections();
    }

    private static boolean hasLimitedStep(JobPlan plan) {
        return plan.steps().stream().anyMatch(step -> step.maximumPerUpstream() > 0);
    }

    /** Returns the number of tasks for which all sidecars can be assessed. */
    private int maximumSelections() {
        return Math.max(1, MAX_ASSESSMENTS / sidecarCount());
    }

    private int sidecarCount() {
        return Math.max(1, dispatcher.sidecars().size());
    }

    /** Assesses all sidecars for the first task of each ready step, as far as the number of assessments allows. */
    private List<PlacementExplanation.Candidate> assessCandidates(List<OwnedTask> readyTasks, PlacementTrial trial) {
        List<PlacementExplanation.Candidate> candidates = new ArrayList<>();
        List<OwnedTask> firstTasks = readyTasks.stream()
                .filter(task -> task.identity().index() == 0)
                .limit(Math.max(
                        1, MAX_ASSESSMENTS / Math.max(1, dispatcher.sidecars().size())))
                .toList();
        for (OwnedTask task : firstTasks) {
            for (SidecarView sidecar : dispatcher.sidecars()) {
                candidates.add(new PlacementExplanation.Candidate(
                        task.identity().step(),
                        sidecar.node(),
                        sidecar.status() == null ? Resources.NONE : sidecar.freeResources(),
                        trial.assess(task, sidecar)));
            }
        }
        candidates.sort(Comparator.comparingInt(PlacementExplanation.Candidate::step)
                .thenComparingDouble(candidate -> rank(candidate.candidacy()))
                .thenComparing(PlacementExplanation.Candidate::node));
        return candidates;
    }

    /** Returns a number that is the lower the better the place: its cost, or else a number above all costs. */
    private static double rank(Candidacy candidacy) {
        return switch (candidacy) {
            case Candidacy.Possible possible -> possible.cost().total();
            case Candidacy.Full full -> Double.MAX_VALUE;
            case Candidacy.Excluded excluded -> Double.POSITIVE_INFINITY;
        };
    }
}
