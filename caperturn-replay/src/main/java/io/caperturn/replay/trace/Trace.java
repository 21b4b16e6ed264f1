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
 * A recorded or generated load with the table in force and the faults that happened.
 *
 * @param header the table and the speeds
 * @param events what happened, in the order of time
 */
public record Trace(Header header, List<TraceEvent> events) {
    /** Copies the events. */
    public Trace {
        events = List.copyOf(events);
    }

    /**
     * First line of a trace.
     *
     * @param name the trace's name
     * @param speeds speeds of the upstreams, taken in turn; empty stands for speed 1 of all
     * @param kinds the rows of kinds
     * @param teams the rows of teams
     */
    public record Header(String name, List<Double> speeds, List<Kind> kinds, List<Team> teams) {
        /** Copies the lists; absent ones are empty. */
        public Header {
            speeds = speeds == null ? List.of() : List.copyOf(speeds);
            kinds = kinds == null ? List.of() : List.copyOf(kinds);
            teams = teams == null ? List.of() : List.copyOf(teams);
        }

        /**
         * Returns the speed of an upstream.
         *
         * @param upstream the upstream's number, from 0
         * @return its speed, 1 being the one that declared times refer to
         */
        public double speed(int upstream) {
            return speeds.isEmpty() ? 1 : speeds.get(upstream % speeds.size());
        }

        /**
         * Returns the table that the rows make up.
         *
         * @return the table
         */
        public Table table() {
            Map<String, KindRow> kindRows = new HashMap<>();
            kinds.forEach(kind -> kindRows.put(kind.kind(), kind.row()));
            Map<String, TeamRow> teamRows = new HashMap<>();
            teams.forEach(team -> teamRows.put(
                    team.team(),
                    new TeamRow(team.team(), limits(team.running(), team.queued(), team.startsPerSecond()), 1)));
            return new Table(1, kindRows, teamRows);
        }
    }

    /**
     * Row of a kind.
     *
     * @param kind its name
     * @param weight its weight
     * @param urgency its urgency
     * @param running most tasks running, null for no limit
     * @param queued most tasks waiting, null for no limit
     * @param startsPerSecond most starts in a second, null for no limit
     * @param taskTimeoutMilliseconds longest time that a task may run
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
            return new KindRow(kind, weight, urgency, limits, Duration.ofMillis(taskTimeoutMilliseconds), 1);
        }
    }

    /**
     * Row of a team.
     *
     * @param team its name
     * @param running most tasks running, null for no limit
     * @param queued most tasks waiting, null for no limit
     * @param startsPerSecond most starts in a second, null for no limit
     */
    public record Team(String team, Integer running, Integer queued, Integer startsPerSecond) {}

    private static Limits limits(Integer running, Integer queued, Integer startsPerSecond) {
        return new Limits(orUnlimited(running), orUnlimited(queued), orUnlimited(startsPerSecond));
    }

    private static int orUnlimited(Integer limit) {
        return limit == null ? Limits.UNLIMITED : limit;
    }
}
