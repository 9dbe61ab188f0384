package org.astershift;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;
import java.util.List;
import org.astershift.scheduler.Command;
import org.astershift.scheduler.Decision;
import org.astershift.scheduler.Heartbeat;

/**
 * A hash of what happens in one simulated seed, in order: virtual times, codes, numbers, and names
 * that the models made (jobs, machines, zones). Each kind of event, decision, command and state has
 * a code in the tables here, so the digest stays the same when classes, constants or log lines are
 * renamed, and changes when a decision does. A code is never given a new meaning.
 *
 * <p>Recording draws no random numbers and has no effect on the models, so it does not change the
 * run.
 */
public final class EventDigest {
  private static final int PASS = 1;
  private static final int DECISION = 2;
  private static final int COMMAND = 3;
  private static final int TASK_ACCEPTED = 4;
  private static final int IMAGE_FETCHED = 5;
  private static final int TASK_REMOVED = 6;
  private static final int COMPLETE = 7;
  private static final int PHASE = 8;
  private static final int JOB_ENDED = 9;
  private static final int TERM = 10;
  private static final int JOB_STATE_REPORTED = 11;
  private static final int END_OF_RUN = 12;

  private static final int BUFFER_BYTES = 4096;

  /** Length of the digest in bytes: 16 hexadecimal digits. */
  private static final int DIGEST_BYTES = 8;

  private final MessageDigest hash;
  private final ByteBuffer buffer = ByteBuffer.allocate(BUFFER_BYTES);

  /** Creates a digest of no events. */
  public EventDigest() {
    try {
      hash = MessageDigest.getInstance("SHA-256");
    } catch (NoSuchAlgorithmException e) {
      throw new IllegalStateException(e);
    }
  }

  // ---- controllers ----

  /** Records that a controller begins to lead. */
  public void termStarted(long atMs, String controller, long token) {
    event(TERM, atMs).text(controller).number(token);
  }

  /** Records the decisions of one pass of a controller's scheduler, in order; there may be none. */
  public void pass(long atMs, String controller, List<Decision> decisions) {
    event(PASS, atMs).text(controller).number(decisions.size());
    for (Decision decision : decisions) {
      event(DECISION, atMs).addDecision(decision);
    }
  }

  /** Records that the end of a job is durable. */
  public void jobEnded(long atMs, String job, boolean cancelled, int done) {
    event(JOB_ENDED, atMs).text(job).flag(cancelled).number(done);
  }

  /**
   * Records that a user was told whether the job has ended; {@code first}: whether this is the
   * first report of the end.
   */
  public void jobStateReported(
      long atMs, String job, String controller, boolean ended, boolean first) {
    event(JOB_STATE_REPORTED, atMs).text(job).text(controller).flag(ended).flag(first);
  }

  private void addDecision(Decision decision) {
    if (decision instanceof Decision.OpenJob d) {
      number(1).text(d.jobId()).texts(d.replicaMachineNames());
    } else if (decision instanceof Decision.PersistPlacement d) {
      number(2).text(d.jobId()).texts(d.replicaMachineNames());
    } else if (decision instanceof Decision.SendCommands d) {
      number(3).text(d.machineName()).text(d.address()).number(d.epoch()).number(d.timeoutMs());
      number(d.commands().size());
      d.commands().forEach(this::addCommand);
    } else if (decision instanceof Decision.FinishJob d) {
      number(4).text(d.jobId());
    } else if (decision instanceof Decision.ProvisionMachines d) {
      number(5).text(d.typeName()).text(d.zone()).flag(d.spot()).number(d.count());
    } else if (decision instanceof Decision.ReleaseMachines d) {
      number(6).texts(d.machineNames()).flag(d.silent());
    } else if (decision instanceof Decision.RegisterMachine d) {
      number(7).text(d.machineName()).text(d.address()).text(d.typeName()).text(d.zone());
      flag(d.spot()).flag(d.newlyProvisioned());
    } else if (decision instanceof Decision.DeregisterMachine d) {
      number(8).text(d.machineName()).text(d.address());
    } else if (decision instanceof Decision.ProbeThroughPeers d) {
      number(9).number(d.probedMs()).addMachines(d.suspects()).addMachines(d.controls());
    } else if (decision instanceof Decision.SendDeferredResponse d) {
      number(10).text(d.machineName());
    } else {
      throw new IllegalArgumentException("no code for the decision: " + decision);
    }
  }

  private EventDigest addMachines(List<Decision.MachineAddress> machines) {
    number(machines.size());
    machines.forEach(machine -> text(machine.machineName()).text(machine.address()));
    return this;
  }

  // ---- machines ----

  /** Records that a worker executes a command. */
  public void command(long atMs, String machine, Command command) {
    event(COMMAND, atMs).text(machine).addCommand(command);
  }

  /** Records that a machine accepts a task. */
  public void taskAccepted(long atMs, String task, String machine, long attempt) {
    event(TASK_ACCEPTED, atMs).text(task).text(machine).number(attempt);
  }

  /** Records that a machine has fetched the image of a task. */
  public void imageFetched(long atMs, String task, String machine) {
    event(IMAGE_FETCHED, atMs).text(task).text(machine);
  }

  /** Records that a task is no longer on the machine, for whatever reason. */
  public void taskRemoved(long atMs, String task, String machine) {
    event(TASK_REMOVED, atMs).text(task).text(machine);
  }

  /** Records that a task has completed. */
  public void taskCompleted(long atMs, String task) {
    event(COMPLETE, atMs).text(task);
  }

  /**
   * Records the new phase of a task on a machine; {@code cause} is that of its exit, null in other
   * phases.
   */
  public void taskPhase(
      long atMs, String task, String machine, Heartbeat.TaskPhase phase, String cause) {
    event(PHASE, atMs).text(task).text(machine).number(code(phase)).number(causeCode(cause));
  }

  private void addCommand(Command command) {
    number(code(command.kind()))
        .text(command.jobId())
        .number(command.index())
        .number(command.attemptNumber());
    number(Double.doubleToLongBits(command.gracePeriodS()));
  }

  private static int code(Command.Kind kind) {
    return switch (kind) {
      case START -> 1;
      case STOP -> 2;
      case FORGET -> 3;
    };
  }

  private static int code(Heartbeat.TaskPhase phase) {
    return switch (phase) {
      case FETCHING -> 1;
      case WAITING -> 2;
      case RUNNING -> 3;
      case SAVING -> 4;
      case EXITED -> 5;
    };
  }

  private static int causeCode(String cause) {
    return cause == null
        ? 0
        : switch (cause) {
          case "done" -> 1;
          case "error" -> 2;
          case "halted" -> 3;
          case "peers" -> 4;
          case "incomplete" -> 5;
          case "in_use" -> 6;
          case "no_room" -> 7;
          default -> throw new IllegalArgumentException("no code for the exit cause: " + cause);
        };
  }

  // ---- the hash ----

  /** Records the end of the run: the number of its events, and whether it succeeded. */
  public void endOfRun(long atMs, long events, boolean succeeded) {
    event(END_OF_RUN, atMs).number(events).flag(succeeded);
  }

  /** Returns the first 16 hexadecimal digits of the hash; nothing can be recorded afterwards. */
  public String hex() {
    flush();
    return HexFormat.of().formatHex(hash.digest(), 0, DIGEST_BYTES);
  }

  private EventDigest event(int code, long atMs) {
    return number(code).number(atMs);
  }

  private EventDigest number(long number) {
    if (buffer.remaining() < Long.BYTES) {
      flush();
    }
    buffer.putLong(number);
    return this;
  }

  private EventDigest flag(boolean flag) {
    return number(flag ? 1 : 0);
  }

  /** Adds a text with its length first, so that no two sequences of names yield the same bytes. */
  private EventDigest text(String text) {
    if (text == null) {
      return number(-1);
    }
    byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
    number(bytes.length);
    flush();
    hash.update(bytes);
    return this;
  }

  private EventDigest texts(List<String> texts) {
    if (texts == null) {
      return number(-1);
    }
    number(texts.size());
    texts.forEach(this::text);
    return this;
  }

  private void flush() {
    buffer.flip();
    hash.update(buffer);
    buffer.clear();
  }
}
