package io.caperturn.store.registry;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;

import io.caperturn.core.model.ProcessId;
import io.caperturn.store.FakePlatformStore;
import io.caperturn.store.FakePlatformStore.Fault;
import io.caperturn.store.RowKey;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Tests of the membership of entries (processes that accept submissions) in the store. */
class MembershipRepositoryTest {
    private final FakePlatformStore store = new FakePlatformStore();
    private final MembershipRepository membership = new MembershipRepository(store);

    @ParameterizedTest
    @EnumSource(
            names = {"REFUSED", "LIMITED"},
            mode = EnumSource.Mode.EXCLUDE)
    void listsJoinedEntryUnlessStoreRefuses(Fault fault) {
        store.failNext(List.of(fault));
        assertEquals(
                new MembershipResult.Done(),
                membership.join(member("entry", /* incarnation= */ 1, /* renewalCount= */ 0)));
        assertEquals(List.of(member("entry", 1, 0)), members().members());
    }

    @Test
    void laterIncarnationReplacesEarlierOne() {
        membership.join(member("entry", 1, 0));
        membership.join(member("entry", 2, 0));
        assertEquals(List.of(member("entry", 2, 0)), members().members());
        assertInstanceOf(MembershipResult.NotMember.class, membership.renew(member("entry", 1, 1)));
    }

    @Test
    void renewalKeepsTheVersion() {
        membership.join(member("entry", 1, 0));
        long version = members().version();
        assertEquals(new MembershipResult.Done(), membership.renew(member("entry", 1, 1)));
        assertEquals(new MembershipResult.Members(version, List.of(member("entry", 1, 1))), members());
    }

    @Test
    void memberThatRenewedIsNotRemoved() {
        membership.join(member("entry", 1, 0));
        membership.renew(member("entry", 1, 1));
        membership.remove(member("entry", 1, 0));
        assertEquals(1, members().members().size());
    }

    @Test
    void removedMemberRejoinsUnderNewVersion() {
        membership.join(member("entry", 1, 0));
        long version = members().version();
        membership.remove(member("entry", 1, 0));
        assertInstanceOf(MembershipResult.NotMember.class, membership.renew(member("entry", 1, 1)));
        membership.join(member("entry", 1, 0));
        // The removal and the second join each increase the version.
        assertEquals(version + 2, members().version());
    }

    @Test
    void reportsFailureWhileStoreIsDown() {
        store.setDown(true);
        assertInstanceOf(MembershipResult.Failed.class, membership.join(member("entry", 1, 0)));
        assertInstanceOf(MembershipResult.Failed.class, membership.renew(member("entry", 1, 1)));
        assertInstanceOf(MembershipResult.Failed.class, membership.list());
    }

    @Test
    void omitsUnreadableRow() {
        store.put(new RowKey("entries", "bad"), "{\"process\":{\"name\":\"\"}}");
        membership.join(member("entry", 1, 0));
        assertEquals(List.of(member("entry", 1, 0)), members().members());
    }

    /** A listed entry counts in each other one's share of the limits, and its address is connected to. */
    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {
                "odd|127.0.0.1:99999",
                "odd|127.0.0.1:-1",
                "odd|127.0.0.1",
                "odd|127.0.0.1:99999999999999999999",
                "odd|''",
                "other|127.0.0.1:1"
            })
    void omitsRowWithAnOddAddressOrName(String name, String address) {
        store.put(
                new RowKey("entries", "odd"),
                "{\"process\":{\"name\":\"" + name + "\",\"incarnation\":3},\"linkAddress\":\"" + address
                        + "\",\"availabilityZone\":\"z\",\"renewal\":0}");
        membership.join(member("entry", 1, 0));
        assertEquals(List.of(member("entry", 1, 0)), members().members());
    }

    @ParameterizedTest
    @ValueSource(strings = {"99999999999999999999", "1e400", "[[[[1]]]]", "\"x\""})
    void omitsRowWithAnOddNumber(String number) {
        store.put(
                new RowKey("entries", "odd"),
                "{\"process\":{\"name\":\"odd\",\"incarnation\":" + number
                        + "},\"linkAddress\":\"127.0.0.1:1\",\"availabilityZone\":\"z\",\"renewal\":0}");
        store.put(new RowKey("entries", "nested"), "{\"process\":" + "[".repeat(20_000));
        membership.join(member("entry", 1, 0));
        assertEquals(List.of(member("entry", 1, 0)), members().members());
    }

    private MembershipResult.Members members() {
        return assertInstanceOf(MembershipResult.Members.class, membership.list());
    }

    private static Member member(String name, long incarnation, long renewalCount) {
        return new Member(new ProcessId(name, incarnation), "127.0.0.1:1", "zone-a", renewalCount);
    }
}
