package org.astershift.knownfailures;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.OutputStream;
import java.io.PrintStream;
import java.util.List;
import org.junit.jupiter.api.Test;

/** What KNOWN-RED.txt may list, and what the build does with it. */
class KnownFailureTest {
  private static final String REST =
      " | mvn -Dtest=X, no seed | ran_twice | suspected: x | issue 1";
  private static final List<KnownFailure> LISTED = KnownFailure.parse(List.of("X#a" + REST));

  /** What these tests pass over is no known failure of the build. */
  private static final PrintStream OUT = new PrintStream(OutputStream.nullOutputStream());

  @Test
  void everyLineNamesExistingTest() {
    for (KnownFailure entry : KnownFailure.read()) {
      assertTrue(entry.namesExistingTest(), entry.toString());
    }
  }

  @Test
  void lineWithMissingFieldIsRejected() {
    for (String line :
        List.of("", "X#a", "X#a | c | s | c", "X#a | c |  | c | i", "a" + REST + " | x")) {
      assertThrows(IllegalArgumentException.class, () -> KnownFailure.parse(List.of(line)), line);
    }
  }

  @Test
  void testListedTwiceIsRejected() {
    List<String> twice = List.of("X#a" + REST, "X#a" + REST);
    assertThrows(IllegalArgumentException.class, () -> KnownFailure.parse(twice));
  }

  @Test
  void lineWithoutExistingTestIsDetected() {
    List<String> none = List.of("X#a", "KnownFailureTest#b", "TraceTest/no.trace", "TraceTest", "");
    for (String test : none) {
      assertFalse(new KnownFailure(test, "c", "s", "c", "i").namesExistingTest(), test);
    }
    String own = "KnownFailureTest#aLineThatNamesNoTestIsSeen";
    assertTrue(new KnownFailure(own, "c", "s", "c", "i").namesExistingTest());
  }

  @Test
  void failureOfListedTestIsIgnored() throws Throwable {
    KnownFailureExtension.run(LISTED, OUT, "X#a", KnownFailureTest::fails);
  }

  @Test
  void listedTestThatPassesFails() {
    AssertionError e =
        assertThrows(
            AssertionError.class, () -> KnownFailureExtension.run(LISTED, OUT, "X#a", () -> null));
    assertTrue(e.getMessage().startsWith("red no more"), e.getMessage());
  }

  @Test
  void failureOfUnlistedTestIsReported() {
    AssertionError e =
        assertThrows(
            AssertionError.class,
            () -> KnownFailureExtension.run(LISTED, OUT, "X#b", KnownFailureTest::fails));
    assertEquals("it fails", e.getMessage());
  }

  private static Void fails() {
    throw new AssertionError("it fails");
  }
}
