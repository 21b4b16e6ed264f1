package io.caperturn.replay.simulation;

import io.caperturn.core.schedule.LimitShare;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** The entries that the platform's table lists as live, by whose number limits are divided. */
final class Membership {
    static final Duration LEASE = Duration.ofSeconds(3);

    private final List<Integer> members = new ArrayList<>();
    private final Map<Integer, Double> seenAt = new HashMap<>();
    private long version = 1;

    Membership(int entries) {
        for (int entry = 0; entry < entries; entry++) {
            members.add(entry);
            seenAt.put(entry, 0.0);
        }
    }

    /** Returns the part of an entry under the present membership. */
    LimitShare share(int entry) {
        return new LimitShare.EqualPart(version, members.indexOf(entry), members.size(), LEASE);
    }

    /** Notes that an entry reads the membership now, after which it is a member. */
    LimitShare read(int entry, double nowMilliseconds) {
        seenAt.put(entry, nowMilliseconds);
        if (members.removeIf(member -> nowMilliseconds - seenAt.get(member) > LEASE.toMillis())) {
            version++;
        }
        if (!members.contains(entry)) {
            members.add(entry);
            version++;
        }
        return share(entry);
    }
}
