package io.caperturn.jobs.owner;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotSame;

import io.caperturn.jobs.message.JobFrame;
import io.caperturn.jobs.message.ProcessRole;
import io.caperturn.jobs.model.Resources;
import io.caperturn.jobs.simulation.VirtualLoop;
import io.caperturn.jobs.simulation.VirtualTime;
import io.caperturn.jobs.zone.ZoneEvacuations;
import java.lang.reflect.Field;
import java.lang.reflect.Modifier;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Tests that the copy of a view of a sidecar (process beside an upstream) has all its state, and state of its own. */
class SidecarViewCopyTest {
    private static SidecarView viewWithEveryFieldSet() throws IllegalAccessException {
        SidecarView view = new SidecarView(
                new JobFrame.Hello(ProcessRole.SIDECAR, "node", "node~1", "zone"),
                new ZoneEvacuations(new VirtualLoop(new VirtualTime(), "entry")));
        view.recordDispatch(new Resources(1_600, 64, 0), /* work= */ 480_000, /* now= */ 3);
        for (Field field : instanceFields()) {
            if (Modifier.isFinal(field.getModifiers()) || field.getType() == JobFrame.Status.class) {
                continue;
            }
            if (field.getType() == boolean.class) {
                field.set(view, !field.getBoolean(view));
            } else if (field.getType() == int.class) {
                field.set(view, field.getInt(view) + 7);
            } else if (field.getType() == long.class) {
                field.set(view, field.getLong(view) + 7);
            } else if (field.getType() == String.class) {
                field.set(view, "text");
            } else if (field.getType() == UpstreamHealth.class) {
                field.set(view, UpstreamHealth.UNKNOWN.afterFailure("job", /* now= */ 4));
            } else if (field.getType() == Resources.class) {
                field.set(view, new Resources(7, 8, 9));
            } else {
                throw new IllegalStateException("no value for " + field);
            }
        }
        return view;
    }

    private static List<Field> instanceFields() {
        List<Field> fields = new ArrayList<>();
        for (Field field : SidecarView.class.getDeclaredFields()) {
            if (!Modifier.isStatic(field.getModifiers()) && !field.isSynthetic()) {
                field.setAccessible(true);
                fields.add(field);
            }
        }
        return fields;
    }

    @Test
    void everyFieldIsCopied() throws IllegalAccessException {
        SidecarView view = viewWithEveryFieldSet();
        SidecarView copy = view.copy();
        assertNotSame(view, copy);
        for (Field field : instanceFields()) {
            assertEquals(comparable(field.get(view)), comparable(field.get(copy)), field.getName());
        }
    }

    @Test
    void dispatchToTheCopyLeavesTheViewAsItIs() throws IllegalAccessException {
        SidecarView view = viewWithEveryFieldSet();
        List<Object> before = new ArrayList<>();
        for (Field field : instanceFields()) {
            before.add(comparable(field.get(view)));
        }
        SidecarView copy = view.copy();
        copy.recordDispatch(new Resources(1_600, 64, 0), 480_000, /* now= */ 4);
        copy.setHealth(copy.health().afterFailure("other-job", /* now= */ 5));
        copy.setLinked(false);
        List<Object> after = new ArrayList<>();
        for (Field field : instanceFields()) {
            after.add(comparable(field.get(view)));
        }
        assertEquals(before, after);
    }

    /** Returns a value whose {@code equals} compares content; that of a deque compares identity. */
    private static Object comparable(Object value) {
        return value instanceof ArrayDeque<?> deque ? List.copyOf((Collection<?>) deque) : value;
    }
}
