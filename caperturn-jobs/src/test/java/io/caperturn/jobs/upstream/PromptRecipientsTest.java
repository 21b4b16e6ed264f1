package io.caperturn.jobs.upstream;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Tests which entry processes a sidecar process tells of each change of its free resources. */
class PromptRecipientsTest {
    private static List<OwnerLease> linkedEntries(int count) {
        List<OwnerLease> entries = new ArrayList<>();
        for (int number = 0; number < count; number++) {
            OwnerLease entry = new OwnerLease("front-zone-" + number + "~19b", SidecarTimings.forLease(1_000));
            entry.openLink(/* now= */ 0);
            entries.add(entry);
        }
        return entries;
    }

    /** An entry that hears of few sidecars would place its tasks by old news. */
    @ParameterizedTest
    @CsvSource({"8, 40", "12, 66", "15, 80", "40, 4000"})
    void everyEntryIsToldByAboutTheSameNumberOfSidecars(int entries, int sidecars) {
        List<OwnerLease> linked = linkedEntries(entries);
        Map<String, Integer> tellers = new HashMap<>();
        for (int number = 0; number < sidecars; number++) {
            List<OwnerLease> selected = new PromptRecipients("side-zone-" + number).select(linked);
            assertEquals(PromptRecipients.MAXIMUM, selected.size());
            selected.forEach(entry -> tellers.merge(entry.incarnation(), 1, Integer::sum));
        }
        double mean = (double) sidecars * PromptRecipients.MAXIMUM / entries;
        for (OwnerLease entry : linked) {
            int count = tellers.getOrDefault(entry.incarnation(), 0);
            assertTrue(count >= mean / 2 && count <= 2 * mean, () -> entry.incarnation() + " is told by " + count);
        }
    }

    @ParameterizedTest
    @ValueSource(ints = {0, 1, 7})
    void lossOfAnEntryChangesOnlyTheSelectionsThatIncludeIt(int lost) {
        List<OwnerLease> linked = linkedEntries(15);
        for (int number = 0; number < 80; number++) {
            PromptRecipients recipients = new PromptRecipients("side-zone-" + number);
            List<OwnerLease> before = recipients.select(linked);
            List<OwnerLease> remaining = new ArrayList<>(linked);
            OwnerLease lostEntry = remaining.remove(lost);
            List<OwnerLease> after = recipients.select(remaining);
            List<OwnerLease> kept = new ArrayList<>(before);
            kept.remove(lostEntry);
            assertTrue(after.containsAll(kept), "the others are still told");
        }
    }

    @ParameterizedTest
    @ValueSource(ints = {0, 1, 3})
    void allOfAFewLinkedEntriesAreTold(int entries) {
        List<OwnerLease> owners = linkedEntries(entries);
        OwnerLease unlinked = new OwnerLease("unlinked", SidecarTimings.forLease(1_000));
        List<OwnerLease> all = new ArrayList<>(owners);
        all.add(unlinked);
        assertEquals(owners, new PromptRecipients("side").select(all));
    }
}
