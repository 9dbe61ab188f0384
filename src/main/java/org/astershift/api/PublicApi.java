package org.astershift.api;

import java.util.List;
import java.util.Map;
import org.astershift.controller.ControllerRuntime;
import org.astershift.controller.JobService;
import org.astershift.http.HttpServer.Handler;
import org.astershift.http.HttpServer.Request;
import org.astershift.http.HttpServer.Response;
import org.astershift.http.Json;
import org.astershift.http.JsonFormatException;
import org.astershift.peer.JobAnswer;
import org.astershift.scheduler.Command;
import org.astershift.scheduler.Eligibility;
import org.astershift.scheduler.Heartbeat;
import org.astershift.scheduler.JobSpec;
import org.astershift.scheduler.MachineType;
import org.astershift.scheduler.Team;
import org.astershift.worker.WorkerCodec;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** The published interface: users, workers and health checks. */
public final class PublicApi implements Handler {
  private static final Logger LOG = LoggerFactory.getLogger(PublicApi.class);

  /** Reports read and acted upon at the same time; the others wait without a turn of their own. */
  private static final int CONCURRENT_HEARTBEATS = 3;

  /**
   * Milliseconds for which a report waits for its turn: its worker waits 4 s for the answer, and
   * that has to be worked out and sent in what is left.
   */
  private static final long HEARTBEAT_WAIT_MS = 3300;

  private static final String JOBS_PATH = "/v2/runs";
  private static final String HEARTBEAT_PATH = "/agent/beat";
  private static final String CANCEL_SUFFIX = "/withdraw";
  private final ControllerRuntime controller;
  private final JobService jobService;
  private final Map<String, Team> teams;
  private final RequestStatistics requestStatistics = new RequestStatistics();
  private final ConcurrencyGate heartbeatGate =
      new ConcurrencyGate(CONCURRENT_HEARTBEATS, HEARTBEAT_WAIT_MS);

  public PublicApi(ControllerRuntime controller, JobService jobService, Map<String, Team> teams) {
    this.controller = controller;
    this.jobService = jobService;
    this.teams = teams;
  }

  /** Whether a request for this path is a worker's. */
  public static boolean isHeartbeatPath(String path) {
    return path.equals(HEARTBEAT_PATH);
  }

  @Override
  public Response handle(Request request) throws InterruptedException {
    String path = request.path();
    if (isHeartbeatPath(path)) {
      return request.method().equals("POST") ? handleHeartbeat(request) : wrongMethod();
    }
    if (path.equals("/ready")) {
      if (!request.method().equals("GET")) {
        return wrongMethod();
      }
      return controller.ready()
          ? Response.of(200, Map.of("ready", true))
          : Response.error(503, "starting");
    }
    if (path.equals(JOBS_PATH)) {
      return request.method().equals("POST")
          ? counted(RequestStatistics.Kind.SUBMISSION, submit(request))
          : wrongMethod();
    }
    if (path.startsWith(JOBS_PATH + "/")) {
      String jobPath = path.substring(JOBS_PATH.length() + 1);
      boolean cancel = jobPath.endsWith(CANCEL_SUFFIX);
      String id =
          cancel ? jobPath.substring(0, jobPath.length() - CANCEL_SUFFIX.length()) : jobPath;
      if (id.contains("/")) {
        return Response.error(404, "no such path");
      }
      if (!request.method().equals(cancel ? "POST" : "GET")) {
        return wrongMethod();
      }
      if (!JobCodec.isJobId(id)) {
        return Response.error(400, "not a job's id");
      }
      return cancel
          ? counted(
              RequestStatistics.Kind.CANCELLATION, jobResponse(id, jobService.cancel(id, true)))
          : counted(RequestStatistics.Kind.STATUS_POLL, jobResponse(id, jobService.poll(id, true)));
    }
    return Response.error(404, "no such path");
  }

  private Response counted(RequestStatistics.Kind kind, Response response) {
    requestStatistics.record(kind, response.status());
    return response;
  }

  private static Response wrongMethod() {
    return Response.error(405, "wrong method");
  }

  private static Response jobResponse(String id, JobAnswer answer) {
    return switch (answer.status()) {
      case 200 -> Response.of(200, JobCodec.encodeState(id, answer));
      case 404 -> Response.error(404, "no such job");
      default -> Response.error(503, "cannot be decided now");
    };
  }

  private Response submit(Request request) throws InterruptedException {
    JobSpec spec;
    try {
      spec = JobCodec.decodeSpec(Json.object(request.body()));
    } catch (JsonFormatException e) {
      Response malformed = Response.error(400, e.getMessage());
      String id = JobCodec.earlierAcceptedId(request.body());
      return id == null ? malformed : unlessKnown(id, malformed);
    }
    Map<String, MachineType> types = controller.types();
    if (types.isEmpty()) {
      return unlessKnown(spec.id(), Response.error(503, "machine types are not known yet"));
    }
    String rejectionReason =
        Eligibility.rejectionReason(spec, types.values(), teams.get(spec.team()));
    if (rejectionReason != null) {
      return unlessKnown(spec.id(), Response.error(422, rejectionReason));
    }
    JobService.SubmissionResult result = jobService.submit(spec);
    return switch (result.status()) {
      case 200, 201 ->
          Response.of(result.status(), JobCodec.encodeState(spec.id(), result.known()));
      default -> Response.error(503, "cannot be accepted now");
    };
  }

  /**
   * What was accepted once is not refused later, whatever the machine types or the rules for
   * submissions are now. Costs what a question costs, so a body that was refused at all times is
   * refused without it.
   */
  private Response unlessKnown(String id, Response refusal) throws InterruptedException {
    JobAnswer known = jobService.poll(id, true);
    return known.status() == 404 ? refusal : jobResponse(id, known);
  }

  /**
   * After a change of leaders hundreds of reports come at once. Each thread would get its turn, and
   * the renewal of the lease one among hundreds: so few are worked on at a time. A report that has
   * waited for too long is not worked on: its worker has given it up, or would drop the answer. An
   * overloaded leader worked on nothing but reports half a minute old, all of its answers were
   * dropped, and the whole fleet's leases ran out.
   */
  private Response handleHeartbeat(Request request) throws InterruptedException {
    if (!heartbeatGate.tryEnter()) {
      return Response.error(503, "too many reports");
    }
    try {
      return processHeartbeat(request);
    } finally {
      heartbeatGate.leave();
    }
  }

  private Response processHeartbeat(Request request) {
    Heartbeat heartbeat;
    try {
      heartbeat = WorkerCodec.readHeartbeat(request.body());
    } catch (JsonFormatException e) {
      LOG.info("a report that makes no sense: {}", e.getMessage());
      return Response.error(400, e.getMessage());
    }
    long fencingToken = controller.token();
    List<Command> commands = controller.onHeartbeat(heartbeat, fencingToken);
    if (commands == null) {
      String leader = controller.otherLeader();
      return Response.of(421, leader == null ? Map.of() : Map.of("harbormaster", leader));
    }
    return new Response(200, WorkerCodec.heartbeatResponse(fencingToken, commands), 0);
  }
}
