import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;

/** Jobs that the clients of the cases submit. */
final class Workload {
    private static final SplittableRandom RANDOM = new SplittableRandom();

    private Workload() {}

    static String newIdentity() {
        return String.format("%016x", RANDOM.nextLong());
    }

    static String probe() {
        return newIdentity();
    }

    /** Returns the body of a job whose steps run one after the other; each task takes a time in milliseconds. */
    static String job(boolean stored, int steps, int tasks, long workMilliseconds) {
        List<Object> stepList = new ArrayList<>();
        for (int step = 0; step < steps; step++) {
            Map<String, Object> fields = new LinkedHashMap<>();
            fields.put("count", tasks);
            fields.put("cpu", 1_600);
            fields.put("memMb", 64);
            fields.put("estimatedMs", workMilliseconds);
            if (step > 0) {
                fields.put("after", List.of(step - 1));
            }
            stepList.add(fields);
        }
        Map<String, Object> body = new LinkedHashMap<>();
        body.put("spec", "work " + workMilliseconds);
        body.put("steps", stepList);
        if (!stored) {
            body.put("bestEffort", true);
        }
        return Json.write(body);
    }

    /** Returns the body of a stored job of one step, whose first task takes a time and the others another one. */
    static String uneven(int tasks, int cpu, long firstMilliseconds, long otherMilliseconds) {
        Map<String, Object> step = new LinkedHashMap<>();
        step.put("count", tasks);
        step.put("cpu", cpu);
        step.put("memMb", 64);
        step.put("estimatedMs", firstMilliseconds);
        Map<String, Object> body = new LinkedHashMap<>();
        body.put("spec", "work " + firstMilliseconds + " " + otherMilliseconds);
        body.put("steps", List.of(step));
        return Json.write(body);
    }
}
