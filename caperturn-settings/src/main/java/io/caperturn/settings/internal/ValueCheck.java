package io.caperturn.settings.internal;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.caperturn.settings.SettingsMistake;
import io.caperturn.settings.SettingsRole;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

/** Second pass: what a schema can't say, namely addresses, distinct seeds and relations between values. */
public final class ValueCheck {
    private static final String SEEDS = "/entrySeeds";

    private final List<Address> addresses;
    private final List<Relation> relations;

    private ValueCheck(List<Address> addresses, List<Relation> relations) {
        this.addresses = addresses;
        this.relations = relations;
    }

    private record Address(String path, AddressUse use) {}

    private record Relation(String smaller, String larger, boolean mayBeEqual) {
        private boolean holds(long smallerValue, long largerValue) {
            return mayBeEqual ? smallerValue <= largerValue : smallerValue < largerValue;
        }
    }

    /**
     * Returns the checks of a role.
     *
     * @param role the program
     * @return the check
     */
    public static ValueCheck of(SettingsRole role) {
        Relation links =
                new Relation("/links/heartbeatIntervalMilliseconds", "/links/silenceTimeoutMilliseconds", false);
        return switch (role) {
            case ENTRY ->
                new ValueCheck(
                        List.of(
                                new Address("/httpAddress", AddressUse.LISTEN),
                                new Address("/linkAddress", AddressUse.LISTEN_AND_TELL),
                                new Address("/platformAddress", AddressUse.CONNECT)),
                        List.of(
                                links,
                                new Relation("/claims/batchIntervalMilliseconds", "/claims/timeoutMilliseconds", false),
                                new Relation(
                                        "/requests/maximumDeadlineMilliseconds", "/claims/expiryMilliseconds", true),
                                new Relation("/answers/milliseconds", "/claims/expiryMilliseconds", true)));
            case SIDECAR -> new ValueCheck(List.of(new Address("/announceAddress", AddressUse.LISTEN)), List.of(links));
        };
    }

    /**
     * Checks a complete tree.
     *
     * @param settings the tree with its defaults; values of a wrong type are passed over, as the schema reports them
     * @return every mistake
     */
    public List<SettingsMistake> check(ObjectNode settings) {
        List<SettingsMistake> mistakes = new ArrayList<>();
        for (Address address : addresses) {
            checkAddress(settings.at(address.path()), address.path(), address.use(), mistakes);
        }
        checkSeeds(settings.at(SEEDS), mistakes);
        for (Relation relation : relations) {
            checkRelation(settings, relation, mistakes);
        }
        return mistakes;
    }

    private static void checkSeeds(JsonNode seeds, List<SettingsMistake> mistakes) {
        if (!seeds.isArray()) {
            return;
        }
        Set<String> seen = new HashSet<>();
        for (int index = 0; index < seeds.size(); index++) {
            JsonNode seed = seeds.get(index);
            String path = SEEDS + "/" + index;
            checkAddress(seed, path, AddressUse.CONNECT, mistakes);
            if (seed.isTextual() && !seen.add(seed.asText())) {
                mistakes.add(new SettingsMistake(path, seed.toString(), "each seed once"));
            }
        }
    }

    private static void checkAddress(JsonNode value, String path, AddressUse use, List<SettingsMistake> mistakes) {
        if (value.isTextual() && !use.allows(value.asText())) {
            mistakes.add(new SettingsMistake(path, value.toString(), use.allowed()));
        }
    }

    private static void checkRelation(ObjectNode settings, Relation relation, List<SettingsMistake> mistakes) {
        JsonNode smaller = settings.at(relation.smaller());
        JsonNode larger = settings.at(relation.larger());
        if (!smaller.isIntegralNumber() || !larger.isIntegralNumber()) {
            return;
        }
        if (!relation.holds(smaller.asLong(), larger.asLong())) {
            String bound = relation.mayBeEqual() ? "at least " : "more than ";
            mistakes.add(new SettingsMistake(
                    relation.larger(), larger.toString(), bound + relation.smaller() + ", which is " + smaller));
        }
    }
}
