package io.caperturn.store.table;

import io.caperturn.core.model.KindRow;
import io.caperturn.core.model.TeamRow;
import io.caperturn.store.RowKey;
import io.caperturn.store.Write;
import io.caperturn.store.internal.StoreJson;
import io.caperturn.store.internal.TableRowValue;
import java.util.Objects;
import java.util.Optional;

/**
 * Edit of one row of the operators' table of kinds (named classes of work) and teams; conditional on the row's version.
 */
public sealed interface RowEdit {
    /**
     * Returns the version that the row must have.
     *
     * @return the version, 0 if the row must not exist
     */
    long expectedVersion();

    /**
     * Returns the key of the edited row.
     *
     * @return the key
     */
    RowKey key();

    /**
     * Writes the row of a kind.
     *
     * @param expectedVersion the version that the row must have, 0 if it must not exist
     * @param row the new row; its version is ignored
     */
    record PutKind(long expectedVersion, KindRow row) implements RowEdit {
        /** Checks that the row is not null. */
        public PutKind {
            Objects.requireNonNull(row, "row");
        }

        @Override
        public RowKey key() {
            return new RowKey(TableRowValue.KINDS_TABLE, row.kind());
        }
    }

    /**
     * Writes the row of a team.
     *
     * @param expectedVersion the version that the row must have, 0 if it must not exist
     * @param row the new row; its version is ignored
     */
    record PutTeam(long expectedVersion, TeamRow row) implements RowEdit {
        /** Checks that the row is not null. */
        public PutTeam {
            Objects.requireNonNull(row, "row");
        }

        @Override
        public RowKey key() {
            return new RowKey(TableRowValue.TEAMS_TABLE, row.team());
        }
    }

    /**
     * Deletes the row of a kind.
     *
     * @param expectedVersion the version that the row must have
     * @param kind the kind's name
     */
    record DeleteKind(long expectedVersion, String kind) implements RowEdit {
        @Override
        public RowKey key() {
            return new RowKey(TableRowValue.KINDS_TABLE, kind);
        }
    }

    /**
     * Deletes the row of a team.
     *
     * @param expectedVersion the version that the row must have
     * @param team the team's name
     */
    record DeleteTeam(long expectedVersion, String team) implements RowEdit {
        @Override
        public RowKey key() {
            return new RowKey(TableRowValue.TEAMS_TABLE, team);
        }
    }

    /**
     * Returns the conditional write that applies the edit.
     *
     * @param changeId the identifier of the change that the edit belongs to
     * @return the write
     */
    default Write toWrite(String changeId) {
        Optional<String> value = switch (this) {
            case PutKind put -> Optional.of(StoreJson.write(TableRowValue.KindValue.of(put.row(), changeId)));
            case PutTeam put -> Optional.of(StoreJson.write(TableRowValue.TeamValue.of(put.row(), changeId)));
            case DeleteKind ignored -> Optional.empty();
            case DeleteTeam ignored -> Optional.empty();
        };
        return new Write(key(), expectedVersion(), value);
    }
}
