package io.caperturn.cli.status;

import com.fasterxml.jackson.annotation.JsonIgnoreProperties;
import java.util.List;

/**
 * State of the system as one entry process knows it, read from JSON. Components that the entry process does not report
 * are null.
 *
 * <p>An entry accepts submissions of tasks, and a sidecar passes them to the upstream next to it. A link is a
 * connection between two such processes. The operators' table holds weights and limits of the kinds of task.
 *
 * @param entry the name of the entry
 * @param availabilityZone the availability zone in which it runs
 * @param state serving or draining
 * @param tableVersion the version of the table in force there
 * @param tableAgeMilliseconds the time since this version was last confirmed by the stored table, in milliseconds
 * @param entries the other entries that it knows
 * @param sidecars the sidecars that it knows
 * @param kinds the queues, one for each kind
 */
@JsonIgnoreProperties(ignoreUnknown = true)
public record SystemStatus(
        String entry,
        String availabilityZone,
        String state,
        Long tableVersion,
        Long tableAgeMilliseconds,
        List<Peer> entries,
        List<Sidecar> sidecars,
        List<Queue> kinds) {
    /** Copies the lists. */
    public SystemStatus {
        entries = entries == null ? List.of() : List.copyOf(entries);
        sidecars = sidecars == null ? List.of() : List.copyOf(sidecars);
        kinds = kinds == null ? List.of() : List.copyOf(kinds);
    }

    /**
     * Another entry.
     *
     * @param name its name
     * @param availabilityZone the availability zone in which it runs
     * @param linkAddress the address at which it accepts links
     * @param state linked or lost
     * @param tableVersion the version of the table in force there
     */
    @JsonIgnoreProperties(ignoreUnknown = true)
    public record Peer(String name, String availabilityZone, String linkAddress, String state, Long tableVersion) {}

    /**
     * A sidecar.
     *
     * @param name its name
     * @param availabilityZone the availability zone in which it runs
     * @param state linked or lost
     * @param tableVersion the version of the table in force there
     * @param window the maximum number of tasks that this entry may have outstanding there
     * @param outstanding the number of tasks that this entry has outstanding there
     * @param upstream the upstream next to which it runs
     */
    @JsonIgnoreProperties(ignoreUnknown = true)
    public record Sidecar(
            String name,
            String availabilityZone,
            String state,
            Long tableVersion,
            Integer window,
            Integer outstanding,
            Upstream upstream) {}

    /**
     * An upstream.
     *
     * @param name its name
     * @param kinds the kinds that it serves
     * @param slots the number of tasks that it runs at once
     * @param connections the number of connections that it accepts
     * @param worker the worker on which it runs
     * @param rack the rack in which it stands
     * @param availabilityZone its availability zone
     * @param state serving, leaving, ejected (avoided because runs failed there) or absent
     * @param why why it is not serving
     */
    @JsonIgnoreProperties(ignoreUnknown = true)
    public record Upstream(
            String name,
            List<String> kinds,
            Integer slots,
            Integer connections,
            String worker,
            String rack,
            String availabilityZone,
            String state,
            String why) {
        /** Copies the kinds. */
        public Upstream {
            kinds = kinds == null ? List.of() : List.copyOf(kinds);
        }
    }

    /**
     * The queue of a kind.
     *
     * @param kind the kind
     * @param urgency the urgency of the kind
     * @param waiting the number of waiting tasks
     * @param running the number of running tasks
     * @param oldestWaitMilliseconds the time for which the oldest task has waited, in milliseconds
     */
    @JsonIgnoreProperties(ignoreUnknown = true)
    public record Queue(String kind, String urgency, Integer waiting, Integer running, Long oldestWaitMilliseconds) {}
}
