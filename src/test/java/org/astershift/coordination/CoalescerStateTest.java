package org.astershift.coordination;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import org.astershift.coordination.CoalescerState.Role;
import org.astershift.coordination.CoalescerState.Ticket;
import org.junit.jupiter.api.Test;

/** Who may share an answer with whom, without threads; their waits are tried in SharedTest. */
class CoalescerStateTest {
  private static final List<String> JOBS = List.of("a", "b");
  private final CoalescerState<Integer> state = new CoalescerState<>();

  /** One who asked, and when. */
  private record Caller(Ticket<Integer> ticket, int joinedAt) {}

  @Test
  void callersDuringComputationShareNextResult() {
    Ticket<Integer> first = state.join("a");
    Ticket<Integer> second = state.join("a");
    assertEquals(Role.COMPUTE, first.role());
    assertEquals(Role.QUEUED, second.role());
    assertEquals(new Ticket<>(second.round(), Role.SHARE), state.join("a"));
    assertEquals(Role.COMPUTE, state.join("b").role(), "another job is another matter");
    state.complete("a", 1);
    assertEquals(1, first.round().answer());
    assertFalse(second.round().completed());
    state.beginQueued("a");
    Ticket<Integer> late = state.join("a");
    assertEquals(Role.QUEUED, late.role(), "its answer began before this one asked");
    state.complete("a", 2);
    assertEquals(2, second.round().answer());
    state.abandonQueued("a");
    assertTrue(late.round().completed());
    assertNull(late.round().answer(), "nobody waits for who gave up");
    assertEquals(Role.COMPUTE, state.join("a").role());
  }

  /**
   * Whatever order askers, ends of work, failures and those who give up come in: no answer is given
   * whose work began before its asker came, one at most is in work and one follows, and in the end
   * nobody waits.
   */
  @Test
  void noCallerGetsResultStartedBeforeItJoined() {
    int shared = 0;
    for (int seed = 1; seed <= 300; seed++) {
      SplittableRandom random = new SplittableRandom(seed);
      Map<String, Integer> began = new HashMap<>();
      Map<String, Boolean> follows = new HashMap<>();
      List<Caller> callers = new ArrayList<>();
      for (int now = 1; now <= 400; now++) {
        String job = JOBS.get(random.nextInt(JOBS.size()));
        boolean ending = now > 380;
        int draw = ending ? 5 + random.nextInt(3) : random.nextInt(8);
        if (draw < 5) {
          Ticket<Integer> place = state.join(job);
          callers.add(new Caller(place, now));
          assertEquals(place.role() == Role.COMPUTE, !began.containsKey(job), "one in work");
          switch (place.role()) {
            case COMPUTE -> began.put(job, now);
            case QUEUED -> assertNull(follows.put(job, true), "one follows");
            default -> shared++;
          }
        } else if (began.containsKey(job)) {
          // The answer is the moment at which its work began.
          state.complete(job, random.nextInt(9) == 0 ? null : began.get(job));
          began.remove(job);
          assertFalse(state.isComputing(job));
          if (follows.remove(job) != null) {
            if (random.nextInt(9) == 0) {
              state.abandonQueued(job);
            } else {
              state.beginQueued(job);
              began.put(job, now);
            }
          }
        }
      }
      for (String job : JOBS) {
        while (began.remove(job) != null) {
          state.complete(job, 400);
          if (follows.remove(job) != null) {
            state.beginQueued(job);
            began.put(job, 400);
          }
        }
      }
      for (Caller a : callers) {
        assertTrue(a.ticket().round().completed(), "seed " + seed + ": nobody waits for ever");
        Integer answer = a.ticket().round().answer();
        assertTrue(answer == null || answer >= a.joinedAt(), "seed " + seed + ": an older answer");
      }
    }
    assertTrue(shared > 1000, "shared answers: " + shared);
  }
}
