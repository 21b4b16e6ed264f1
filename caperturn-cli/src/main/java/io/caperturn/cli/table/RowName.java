package io.caperturn.cli.table;

import java.util.Arrays;
import java.util.Comparator;
import java.util.Objects;
import java.util.Optional;

/**
 * Name of a row of the table.
 *
 * @param type what the row is for
 * @param name the kind's or team's name
 */
public record RowName(Type type, String name) implements Comparable<RowName> {
    private static final Comparator<RowName> ORDER =
            Comparator.comparing(RowName::type).thenComparing(RowName::name);

    /** Checks that both parts are present. */
    public RowName {
        Objects.requireNonNull(type, "type");
        Objects.requireNonNull(name, "name");
    }

    @Override
    public int compareTo(RowName other) {
        return ORDER.compare(this, other);
    }

    @Override
    public String toString() {
        return type.collection() + "/" + name;
    }

    /** What a row is for. */
    public enum Type {
        /** A kind of work. */
        KIND("kind", "kinds"),
        /** A team. */
        TEAM("team", "teams");

        private final String label;
        private final String collection;

        Type(String label, String collection) {
            this.label = label;
            this.collection = collection;
        }

        /**
         * Returns the word for one row.
         *
         * @return {@code kind} or {@code team}
         */
        public String label() {
            return label;
        }

        /**
         * Returns the word for all rows.
         *
         * @return {@code kinds} or {@code teams}
         */
        public String collection() {
            return collection;
        }

        /**
         * Finds a type by the word for one row.
         *
         * @param label the word
         * @return the type, or empty if no type has it
         */
        public static Optional<Type> find(String label) {
            return Arrays.stream(values())
                    .filter(type -> type.label.equals(label))
                    .findFirst();
        }
    }
}
