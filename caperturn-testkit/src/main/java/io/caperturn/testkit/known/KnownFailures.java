package io.caperturn.testkit.known;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.lang.reflect.Method;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Set;
import java.util.stream.Collectors;
import org.junit.jupiter.api.extension.ExtensionContext;
import org.junit.jupiter.api.extension.InvocationInterceptor;
import org.junit.jupiter.api.extension.ReflectiveInvocationContext;
import org.opentest4j.TestAbortedException;

/**
 * JUnit extension that reports the failure of a test case listed in {@code KNOWN-RED.txt} as aborted.
 *
 * <p>A line {@code test: CLASS.METHOD DISPLAY-NAME} lists one case. Listed cases still run, and their failures are
 * printed; a listed case that passes is printed too, so that its line can be removed. Other cases are not affected.
 */
public final class KnownFailures implements InvocationInterceptor {
    private static final String LIST_FILE = "KNOWN-RED.txt";
    private static final String TEST_CASE_PREFIX = "test: ";

    private final Set<String> knownFailures = read();

    /** Creates the extension and reads the list from the current folder or its nearest parent that has the file. */
    public KnownFailures() {
        // The list is read by the initializer of the field.
    }

    @Override
    public void interceptTestMethod(
            Invocation<Void> invocation, ReflectiveInvocationContext<Method> method, ExtensionContext context)
            throws Throwable {
        intercept(invocation, context);
    }

    @Override
    public void interceptTestTemplateMethod(
            Invocation<Void> invocation, ReflectiveInvocationContext<Method> method, ExtensionContext context)
            throws Throwable {
        intercept(invocation, context);
    }

    private void intercept(Invocation<Void> invocation, ExtensionContext context) throws Throwable {
        String testCase = context.getRequiredTestClass().getSimpleName() + "."
                + context.getRequiredTestMethod().getName() + " " + context.getDisplayName();
        if (!knownFailures.contains(testCase)) {
            invocation.proceed();
            return;
        }
        try {
            invocation.proceed();
        } catch (AssertionError e) {
            System.out.println("known failure: " + testCase + ": " + e.getMessage());
            throw new TestAbortedException("known failure, listed in " + LIST_FILE + ": " + e.getMessage(), e);
        }
        System.out.println("listed in " + LIST_FILE + " but passed: " + testCase);
    }

    private static Set<String> read() {
        for (Path folder = Path.of("").toAbsolutePath(); folder != null; folder = folder.getParent()) {
            Path file = folder.resolve(LIST_FILE);
            if (Files.isRegularFile(file)) {
                return read(file);
            }
        }
        return Set.of();
    }

    private static Set<String> read(Path file) {
        try {
            return Files.readAllLines(file).stream()
                    .filter(line -> line.startsWith(TEST_CASE_PREFIX))
                    .map(line -> line.substring(TEST_CASE_PREFIX.length()).trim())
                    .collect(Collectors.toUnmodifiableSet());
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }
}
