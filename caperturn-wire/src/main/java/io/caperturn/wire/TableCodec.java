package io.caperturn.wire;

import io.caperturn.core.model.KindRow;
import io.caperturn.core.model.Limits;
import io.caperturn.core.model.Table;
import io.caperturn.core.model.TeamRow;
import io.caperturn.core.model.Urgency;
import io.caperturn.wire.message.KindValues;
import io.caperturn.wire.message.LimitValues;
import io.caperturn.wire.message.TableRows;
import io.caperturn.wire.message.TeamValues;
import java.time.Duration;
import java.util.Set;
import java.util.function.Function;
import java.util.stream.Collectors;

/** Conversion between protobuf messages and the operators' table: weights and limits of kinds of task and of teams. */
public final class TableCodec {
    private TableCodec() {}

    /**
     * Creates the message with the rows of a table that a receiver needs.
     *
     * @param table the table
     * @param kinds the kinds whose rows are needed, without the teams; empty for all kinds and all teams
     * @return the message
     */
    public static TableRows toMessage(Table table, Set<String> kinds) {
        TableRows.Builder builder = TableRows.newBuilder().setVersion(table.version());
        table.kinds().values().stream()
                .filter(row -> kinds.isEmpty() || kinds.contains(row.kind()))
                .map(TableCodec::toMessage)
                .forEach(builder::addKinds);
        if (kinds.isEmpty()) {
            table.teams().values().stream().map(TableCodec::toMessage).forEach(builder::addTeams);
        }
        return builder.build();
    }

    /**
     * Converts a message to a table.
     *
     * @param message the message
     * @return the table
     */
    public static Table fromMessage(TableRows message) {
        return new Table(
                message.getVersion(),
                message.getKindsList().stream()
                        .map(TableCodec::fromMessage)
                        .collect(Collectors.toMap(KindRow::kind, Function.identity())),
                message.getTeamsList().stream()
                        .map(TableCodec::fromMessage)
                        .collect(Collectors.toMap(TeamRow::team, Function.identity())));
    }

    private static KindValues toMessage(KindRow row) {
        return KindValues.newBuilder()
                .setKind(row.kind())
                .setWeight(row.weight())
                .setUrgency(row.urgency().name())
                .setLimits(toMessage(row.limits()))
                .setTaskTimeoutMilliseconds((int) row.taskTimeout().toMillis())
                .setRowVersion(row.rowVersion())
                .build();
    }

    private static KindRow fromMessage(KindValues message) {
        return new KindRow(
                message.getKind(),
                message.getWeight(),
                Urgency.valueOf(message.getUrgency()),
                fromMessage(message.getLimits()),
                Duration.ofMillis(message.getTaskTimeoutMilliseconds()),
                message.getRowVersion());
    }

    private static TeamValues toMessage(TeamRow row) {
        return TeamValues.newBuilder()
                .setTeam(row.team())
                .setLimits(toMessage(row.limits()))
                .setRowVersion(row.rowVersion())
                .build();
    }

    private static TeamRow fromMessage(TeamValues message) {
        return new TeamRow(message.getTeam(), fromMessage(message.getLimits()), message.getRowVersion());
    }

    private static LimitValues toMessage(Limits limits) {
        LimitValues.Builder builder = LimitValues.newBuilder();
        if (limits.running() != Limits.UNLIMITED) {
            builder.setRunning(limits.running());
        }
        if (limits.queued() != Limits.UNLIMITED) {
            builder.setQueued(limits.queued());
        }
        if (limits.startsPerSecond() != Limits.UNLIMITED) {
            builder.setStartsPerSecond(limits.startsPerSecond());
        }
        return builder.build();
    }

    private static Limits fromMessage(LimitValues message) {
        return new Limits(
                message.hasRunning() ? message.getRunning() : Limits.UNLIMITED,
                message.hasQueued() ? message.getQueued() : Limits.UNLIMITED,
                message.hasStartsPerSecond() ? message.getStartsPerSecond() : Limits.UNLIMITED);
    }
}
