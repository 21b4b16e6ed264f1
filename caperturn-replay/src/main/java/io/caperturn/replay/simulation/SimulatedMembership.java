package io.caperturn.replay.simulation;

import io.caperturn.core.schedule.LimitShare;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** Simulated list of the live entries (processes that accept submissions), among which limits are divided equally. */
final class SimulatedMembership {
    /** Time for which an entry stays in the list after it has renewed its lease (temporary membership). */
    static final Duration LEASE_DURATION = Duration.ofSeconds(3);

    private final List<Integer> members = new ArrayList<>();
    private final Map<Integer, Double> lastRenewalMilliseconds = new HashMap<>();
    private long version = 1;

    SimulatedMembership(int entries) {
        for (int entry = 0; entry < entries; entry++) {
            members.add(entry);
            lastRenewalMilliseconds.put(entry, 0.0);
        }
    }

    /** Returns an entry's share of the limits under the present membership. */
    LimitShare currentShare(int entry) {
        return new LimitShare.EqualShare(version, members.indexOf(entry), members.size(), LEASE_DURATION);
    }

    /**
     * Renews the lease of an entry, adds the entry to the members if it was removed earlier, and removes entries whose
     * lease has expired.
     *
     * @param entry the number of the entry
     * @param nowMilliseconds the virtual time in milliseconds
     * @return the entry's share of the limits
     */
    LimitShare renewLease(int entry, double nowMilliseconds) {
        lastRenewalMilliseconds.put(entry, nowMilliseconds);
        if (members.removeIf(
                member -> nowMilliseconds - lastRenewalMilliseconds.get(member) > LEASE_DURATION.toMillis())) {
            version++;
        }
        if (!members.contains(entry)) {
            members.add(entry);
            version++;
        }
        return currentShare(entry);
    }
}
