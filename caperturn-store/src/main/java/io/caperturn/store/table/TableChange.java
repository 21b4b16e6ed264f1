package io.caperturn.store.table;

import java.util.List;
import java.util.Objects;

/**
 * Edits that an operator wants applied as one.
 *
 * @param changeId identity that the operator's tool drew, by which a repeat of the same change is known; not blank
 * @param author who makes the change; not blank
 * @param edits the edits, at most one for each row
 */
public record TableChange(String changeId, String author, List<RowEdit> edits) {
    /** Copies the edits and checks that the change is named. */
    public TableChange {
        Objects.requireNonNull(changeId, "changeId");
        Objects.requireNonNull(author, "author");
        edits = List.copyOf(edits);
        if (changeId.isBlank() || author.isBlank()) {
            throw new IllegalArgumentException("changeId and author must not be blank");
        }
    }
}
