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

/**
 * Which callers may share a result, without threads; {@code RequestCoalescerTest} covers the
 * waiting.
 */
class CoalescerStateTest {
  private static final List<String> JOBS = List.of("a", "b");
  private final CoalescerState<Integer> state = new CoalescerState<>();

  /** The ticket of a caller, and when the caller joined. */
  private record Caller(Ticket<Integer> ticket, int joinedAt) {}

  @Test
  void callersDuringComputationShareNextResult() {
    Ticket<Integer> first = state.join("a");
    Ticket<Integer> second = state.join("a");
    assertEquals(Role.COMPUTE, first.role());
    assertEquals(Role.QUEUED, second.role());
    assertEquals(new Ticket<>(second.round(), Role.SHARE), state.join("a"));
    assertEquals(Role.COMPUTE, state.join("b").role(), "each job has its own computation");
    state.complete("a", 1);
    assertEquals(1, first.round().result());
    assertFalse(second.round().isCompleted());
    state.beginQueued("a");
    Ticket<Integer> late = state.join("a");
    assertEquals(
        Role.QUEUED, late.role(), "the current computation started before this caller joined");
    state.complete("a", 2);
    assertEquals(2, second.round().result());
    state.abandonQueued("a");
    assertTrue(late.round().isCompleted());
    assertNull(late.round().result(), "no caller waits for an abandoned computation");
    assertEquals(Role.COMPUTE, state.join("a").role());
  }

  /**
   * In any order of callers, completions, failures and abandoned computations, no caller gets a
   * result whose computation started before the caller joined. At most one computation is in
   * progress per job and one queued, and in the end no caller waits.
   */
  @Test
  void noCallerGetsResultStartedBeforeItJoined() {
    int shared = 0;
    for (int seed = 1; seed <= 300; seed++) {
      SplittableRandom random = new SplittableRandom(seed);
      Map<String, Integer> startedAt = new HashMap<>();
      Map<String, Boolean> queued = new HashMap<>();
      List<Caller> callers = new ArrayList<>();
      for (int now = 1; now <= 400; now++) {
        String job = JOBS.get(random.nextInt(JOBS.size()));
        boolean ending = now > 380;
        int draw = ending ? 5 + random.nextInt(3) : random.nextInt(8);
        if (draw < 5) {
          Ticket<Integer> ticket = state.join(job);
          callers.add(new Caller(ticket, now));
          assertEquals(
              ticket.role() == Role.COMPUTE,
              !startedAt.containsKey(job),
              "at most one computation in progress");
          switch (ticket.role()) {
            case COMPUTE -> startedAt.put(job, now);
            case QUEUED -> assertNull(queued.put(job, true), "at most one computation queued");
            default -> shared++;
          }
        } else if (startedAt.containsKey(job)) {
          // The result is the time at which its computation started.
          state.complete(job, random.nextInt(9) == 0 ? null : startedAt.get(job));
          startedAt.remove(job);
          assertFalse(state.isComputing(job));
          if (queued.remove(job) != null) {
            if (random.nextInt(9) == 0) {
              state.abandonQueued(job);
            } else {
              state.beginQueued(job);
              startedAt.put(job, now);
            }
          }
        }
      }
      for (String job : JOBS) {
        while (startedAt.remove(job) != null) {
          state.complete(job, 400);
          if (queued.remove(job) != null) {
            state.beginQueued(job);
            startedAt.put(job, 400);
          }
        }
      }
      for (Caller caller : callers) {
        assertTrue(
            caller.ticket().round().isCompleted(), "seed " + seed + ": a caller is still waiting");
        Integer result = caller.ticket().round().result();
        assertTrue(
            result == null || result >= caller.joinedAt(),
            "seed " + seed + ": a result started before its caller joined");
      }
    }
    assertTrue(shared > 1000, "shared results: " + shared);
  }
}
