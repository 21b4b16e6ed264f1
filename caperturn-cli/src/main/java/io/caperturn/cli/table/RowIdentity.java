package io.caperturn.cli.table;

import java.util.Arrays;
import java.util.Comparator;
import java.util.Objects;
import java.util.Optional;

/**
 * Identity of a row of the operators' table of weights and limits.
 *
 * @param type whether the row is that of a kind (named class of work) or a team
 * @param name the name of the kind or team
 */
public record RowIdentity(Type type, String name) implements Comparable<RowIdentity> {
    private static final Comparator<RowIdentity> ORDER =
            Comparator.comparing(RowIdentity::type).thenComparing(RowIdentity::name);

    /** Checks that both parts are present. */
    public RowIdentity {
        Objects.requireNonNull(type, "type");
        Objects.requireNonNull(name, "name");
    }

    @Override
    public int compareTo(RowIdentity other) {
        return ORDER.compare(this, other);
    }

    @Override
    public String toString() {
        return type.pluralLabel() + "/" + name;
    }

    /** Type of a row. */
    public enum Type {
        /** Row of a kind of work. */
        KIND("kind", "kinds"),
        /** Row of a team. */
        TEAM("team", "teams");

        private final String label;
        private final String pluralLabel;

        Type(String label, String pluralLabel) {
            this.label = label;
            this.pluralLabel = pluralLabel;
        }

        /**
         * Returns the singular name of the type.
         *
         * @return {@code kind} or {@code team}
         */
        public String label() {
            return label;
        }

        /**
         * Returns the plural name of the type.
         *
         * @return {@code kinds} or {@code teams}
         */
        public String pluralLabel() {
            return pluralLabel;
        }

        /**
         * Finds a type by its singular name.
         *
         * @param label the singular name
         * @return the type, or empty if no type has this name
         */
        public static Optional<Type> findByLabel(String label) {
            return Arrays.stream(values())
                    .filter(type -> type.label.equals(label))
                    .findFirst();
        }
    }
}
