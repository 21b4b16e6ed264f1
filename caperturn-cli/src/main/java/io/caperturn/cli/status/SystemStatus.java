package io.caperturn.cli.status;

import com.fasterxml.jackson.annotation.JsonIgnoreProperties;
import java.util.List;

/**
 * What one entry sees of the system; members that it can't tell are null.
 *
 * @param entry the entry's name
 * @param availabilityZone where it runs
 * @param state serving or draining
 * @param tableVersion the version of the table in force there
 * @param tableAgeMilliseconds the age of the newest confirmation from the store
 * @param entries the other entries that it knows
 * @param sidecars the sidecars that it knows
 * @param kinds the queues by kind
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
     * @param availabilityZone where it runs
     * @param linkAddress where links reach it
     * @param state linked or lost
     * @param tableVersion the version of the table in force there
     */
    @JsonIgnoreProperties(ignoreUnknown = true)
    public record Peer(String name, String availabilityZone, String linkAddress, String state, Long tableVersion) {}

    /**
     * A sidecar.
     *
     * @param name its name
     * @param availabilityZone where it runs
     * @param state linked or lost
     * @param tableVersion the version of the table in force there
     * @param window the most attempts outstanding from this entry
     * @param outstanding the attempts outstanding from this entry
     * @param upstream the upstream beside it
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
     * @param slots how many tasks it runs at once
     * @param connections how many connections it accepts
     * @param worker its worker
     * @param rack its rack
     * @param availabilityZone its availability zone
     * @param state serving, leaving, ejected or absent
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
     * @param urgency its class of urgency
     * @param waiting the tasks that wait
     * @param running the tasks that run
     * @param oldestWaitMilliseconds how long the oldest has waited
     */
    @JsonIgnoreProperties(ignoreUnknown = true)
    public record Queue(String kind, String urgency, Integer waiting, Integer running, Long oldestWaitMilliseconds) {}
}
