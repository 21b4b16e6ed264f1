package io.caperturn.replay.trace;

import io.caperturn.core.model.KindRow;
import io.caperturn.core.model.Limits;
import io.caperturn.core.model.Table;
import io.caperturn.core.model.TeamRow;
import io.caperturn.core.model.Urgency;
import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Recorded or generated sequence of submissions, cancellations and faults, with the table that applies to them: the
 * weights and limits of kinds of tasks and of teams.
 *
 * @param header the table and the speeds of the upstreams
 * @param events the events, in the order of time
 */
public record Trace(Header header, List<TraceEvent> events) {
    /** Copies the events. */
    public Trace {
        events = List.copyOf(events);
    }

    /**
     * Header of a trace, the first line of a trace file.
     *
     * @param name the name of the trace
     * @param speeds the speeds of the upstreams, repeated for further upstreams; empty if all have speed 1
     * @param kinds the rows of kinds
     * @param teams the rows of teams
     */
    public record Header(String name, List<Double> speeds, List<Kind> kinds, List<Team> teams) {
        /** Copies the lists and replaces absent ones by empty ones. */
        public Header {
            speeds = speeds == null ? List.of() : List.copyOf(speeds);
            kinds = kinds == null ? List.of() : List.copyOf(kinds);
            teams = teams == null ? List.of() : List.copyOf(teams);
        }

        /**
         * Returns the speed of an upstream.
         *
         * @param upstream the upstream's number, from 0
         * @return the speed, 1 for an upstream at which tasks take the times that the trace states
         */
        public double speed(int upstream) {
            return speeds.isEmpty() ? 1 : speeds.get(upstream % speeds.size());
        }

        /**
         * Returns the table that consists of the rows of kinds and teams, all with version 1.
         *
         * @return the table
         */
        public Table table() {
            Map<String, KindRow> kindRows = new HashMap<>();
            kinds.forEach(kind -> kindRows.put(kind.kind(), kind.row()));
            Map<String, TeamRow> teamRows = new HashMap<>();
            teams.forEach(team -> teamRows.put(
                    team.team(),
                    new TeamRow(
                            team.team(),
                            limits(team.running(), team.queued(), team.startsPerSecond()),
                            /* version= */ 1)));
            return new Table(1, kindRows, teamRows);
        }
    }

    /**
     * Table row of a kind.
     *
     * @param kind the name of the kind, which is a type of task
     * @param weight the weight of the kind
     * @param urgency the urgency of submissions that state none
     * @param running the maximum number of running tasks, null for no limit
     * @param queued the maximum number of waiting tasks, null for no limit
     * @param startsPerSecond the maximum number of task starts per second, null for no limit
     * @param taskTimeoutMilliseconds the maximum run time of a task
     */
    public record Kind(
            String kind,
            int weight,
            Urgency urgency,
            Integer running,
            Integer queued,
            Integer startsPerSecond,
            long taskTimeoutMilliseconds) {
        private KindRow row() {
            Limits limits = limits(running, queued, startsPerSecond);
            return new KindRow(
                    kind, weight, urgency, limits, Duration.ofMillis(taskTimeoutMilliseconds), /* version= */ 1);
        }
    }

    /**
     * Table row of a team.
     *
     * @param team the name of the team
     * @param running the maximum number of running tasks, null for no limit
     * @param queued the maximum number of waiting tasks, null for no limit
     * @param startsPerSecond the maximum number of task starts per second, null for no limit
     */
    public record Team(String team, Integer running, Integer queued, Integer startsPerSecond) {}

    private static Limits limits(Integer running, Integer queued, Integer startsPerSecond) {
        return new Limits(orUnlimited(running), orUnlimited(queued), orUnlimited(startsPerSecond));
    }

    private static int orUnlimited(Integer limit) {
        return limit == null ? Limits.UNLIMITED : limit;
    }
}
