package io.caperturn.jobs;

import java.util.ArrayList;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.function.BiConsumer;

/**
 * Values of jobs that are kept for a retention time; of more than a maximum number the earliest are forgotten sooner.
 *
 * @param <V> type of the values
 */
public final class RecentJobs<V> {
    private final DecisionLoop loop;
    private final long retentionMilliseconds;
    private final int maximumJobs;
    /** Values by the identity of the job, in the order in which they were put. */
    private final Map<String, Kept<V>> keptByJob = new LinkedHashMap<>();

    /**
     * Creates an empty collection.
     *
     * @param loop the loop on which all calls are made
     * @param retentionMilliseconds time for which a value is kept, in milliseconds
     * @param maximumJobs maximum number of values
     */
    public RecentJobs(DecisionLoop loop, long retentionMilliseconds, int maximumJobs) {
        this.loop = loop;
        this.retentionMilliseconds = retentionMilliseconds;
        this.maximumJobs = maximumJobs;
    }

    /** Value, and when it was put, in milliseconds of the loop's clock. */
    private record Kept<V>(V value, long putAt) {}

    /**
     * Puts the value of a job, in place of an earlier one.
     *
     * @param job identity of the job
     * @param value the value
     */
    public void put(String job, V value) {
        keptByJob.remove(job);
        keptByJob.put(job, new Kept<>(value, loop.monotonicMilliseconds()));
        forgetOld();
    }

    /**
     * Returns whether a value of a job is kept.
     *
     * @param job identity of the job
     * @return true if so
     */
    public boolean contains(String job) {
        forgetOld();
        return keptByJob.containsKey(job);
    }

    /**
     * Calls an action for each job and its value, the earliest first; the action may put values.
     *
     * @param action the action
     */
    public void forEach(BiConsumer<String, V> action) {
        forgetOld();
        new ArrayList<>(keptByJob.entrySet())
                .forEach(entry -> action.accept(entry.getKey(), entry.getValue().value()));
    }

    private void forgetOld() {
        long putBefore = loop.monotonicMilliseconds() - retentionMilliseconds;
        Iterator<Kept<V>> oldest = keptByJob.values().iterator();
        int excess = keptByJob.size() - maximumJobs;
        while (oldest.hasNext() && (oldest.next().putAt() < putBefore || excess > 0)) {
            oldest.remove();
            excess--;
        }
    }
}
