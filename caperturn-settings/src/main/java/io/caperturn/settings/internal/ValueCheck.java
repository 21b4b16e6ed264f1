package io.caperturn.settings.internal;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.caperturn.settings.SettingsMistake;
import io.caperturn.settings.SettingsRole;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

/**
 * Second pass of checks: addresses, distinct entry seeds (addresses of the entry processes to connect to first) and
 * relations between values, which a schema can't express.
 */
public final class ValueCheck {
    private static final String SEEDS_PATH = "/entrySeeds";

    private final List<AddressRule> addressRules;
    private final List<OrderRule> orderRules;

    private ValueCheck(List<AddressRule> addressRules, List<OrderRule> orderRules) {
        this.addressRules = addressRules;
        this.orderRules = orderRules;
    }

    /** Rule for the address at a JSON pointer. */
    private record AddressRule(String path, AddressUse use) {}

    /** Rule that the number at one JSON pointer is smaller than that at another, or equal if allowed. */
    private record OrderRule(String smallerPath, String largerPath, boolean mayBeEqual) {
        private boolean holds(long smallerValue, long largerValue) {
            return mayBeEqual ? smallerValue <= largerValue : smallerValue < largerValue;
        }
    }

    /**
     * Returns the checks of a role.
     *
     * @param role the role
     * @return the checks
     */
    public static ValueCheck of(SettingsRole role) {
        OrderRule heartbeatBeforeSilence = new OrderRule(
                "/links/heartbeatIntervalMilliseconds", "/links/silenceTimeoutMilliseconds", /* mayBeEqual= */ false);
        return switch (role) {
            case ENTRY ->
                new ValueCheck(
                        List.of(
                                new AddressRule("/httpAddress", AddressUse.LISTEN),
                                new AddressRule("/linkAddress", AddressUse.LISTEN_AND_ADVERTISE),
                                new AddressRule("/platformAddress", AddressUse.CONNECT)),
                        List.of(
                                heartbeatBeforeSilence,
                                new OrderRule(
                                        "/claims/batchIntervalMilliseconds",
                                        "/claims/timeoutMilliseconds",
                                        /* mayBeEqual= */ false),
                                new OrderRule(
                                        "/requests/maximumDeadlineMilliseconds",
                                        "/claims/expiryMilliseconds",
                                        /* mayBeEqual= */ true),
                                new OrderRule(
                                        "/answers/milliseconds",
                                        "/claims/expiryMilliseconds",
                                        /* mayBeEqual= */ true)));
            case SIDECAR ->
                new ValueCheck(
                        List.of(new AddressRule("/announceAddress", AddressUse.LISTEN)),
                        List.of(heartbeatBeforeSilence));
        };
    }

    /**
     * Checks a JSON tree that includes the defaults.
     *
     * @param settings the tree; values of a wrong type are skipped, as the schema check reports them
     * @return all mistakes
     */
    public List<SettingsMistake> check(ObjectNode settings) {
        List<SettingsMistake> mistakes = new ArrayList<>();
        for (AddressRule rule : addressRules) {
            checkAddress(settings.at(rule.path()), rule.path(), rule.use(), mistakes);
        }
        checkSeeds(settings.at(SEEDS_PATH), mistakes);
        for (OrderRule rule : orderRules) {
            checkOrder(settings, rule, mistakes);
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
            String path = SEEDS_PATH + "/" + index;
            checkAddress(seed, path, AddressUse.CONNECT, mistakes);
            if (seed.isTextual() && !seen.add(seed.asText())) {
                mistakes.add(new SettingsMistake(path, seed.toString(), "each seed once"));
            }
        }
    }

    private static void checkAddress(JsonNode value, String path, AddressUse use, List<SettingsMistake> mistakes) {
        if (value.isTextual() && !use.allows(value.asText())) {
            mistakes.add(new SettingsMistake(path, value.toString(), use.allowedValues()));
        }
    }

    private static void checkOrder(ObjectNode settings, OrderRule rule, List<SettingsMistake> mistakes) {
        JsonNode smaller = settings.at(rule.smallerPath());
        JsonNode larger = settings.at(rule.largerPath());
        if (!smaller.isIntegralNumber() || !larger.isIntegralNumber()) {
            return;
        }
        if (!rule.holds(smaller.asLong(), larger.asLong())) {
            String bound = rule.mayBeEqual() ? "at least " : "more than ";
            mistakes.add(new SettingsMistake(
                    rule.largerPath(), larger.toString(), bound + rule.smallerPath() + ", which is " + smaller));
        }
    }
}
