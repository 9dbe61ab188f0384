package org.astershift.api;

import java.util.Map;
import org.astershift.controller.ControllerRuntime;
import org.astershift.controller.HeartbeatResult;
import org.astershift.controller.JobService;
import org.astershift.http.HttpServer.Handler;
import org.astershift.http.HttpServer.Request;
import org.astershift.http.HttpServer.Response;
import org.astershift.http.JsonFormatException;
import org.astershift.peer.PeerResponse;
import org.astershift.scheduler.Eligibility;
import org.astershift.scheduler.Heartbeat;
import org.astershift.scheduler.HeartbeatResponse;
import org.astershift.scheduler.JobSpec;
import org.astershift.scheduler.MachineType;
import org.astershift.scheduler.Team;
import org.astershift.worker.WorkerCodec;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The published HTTP interface for users, workers and health checks: routes requests and maps
 * results to status codes. Thread-safe.
 */
public final class PublicApi implements Handler {
  private static final Logger LOG = LoggerFactory.getLogger(PublicApi.class);

  /** Maximum number of heartbeats that are handled at the same time; the others wait. */
  private static final int CONCURRENT_HEARTBEATS = 3;

  /** Maximum wait of a heartbeat, in milliseconds: its worker gives up after 4 s. */
  private static final long HEARTBEAT_WAIT_MS = 3300;

  private static final String JOBS_PATH = "/v2/runs";
  private static final String HEARTBEAT_PATH = "/agent/beat";
  private static final String READY_PATH = "/ready";
  private static final String CANCEL_SUFFIX = "/withdraw";

  private final ControllerRuntime controller;
  private final JobService jobService;
  private final Map<String, Team> teams;
  private final RequestStatistics requestStatistics = new RequestStatistics();
  private final ConcurrencyGate heartbeatGate =
      new ConcurrencyGate(CONCURRENT_HEARTBEATS, HEARTBEAT_WAIT_MS);
  private final HeartbeatStatistics heartbeatStatistics =
      new HeartbeatStatistics(heartbeatGate::oldestWaitMs);

  /**
   * Creates the handler of the interface; {@code teams} holds the teams with their quotas, by name.
   */
  public PublicApi(ControllerRuntime controller, JobService jobService, Map<String, Team> teams) {
    this.controller = controller;
    this.jobService = jobService;
    this.teams = teams;
  }

  /** Returns whether requests for this path are heartbeats of workers. */
  public static boolean isHeartbeatPath(String path) {
    return path.equals(HEARTBEAT_PATH);
  }

  @Override
  public Response handle(Request request) throws InterruptedException {
    String path = request.path();
    if (isHeartbeatPath(path)) {
      return request.method().equals("POST") ? handleHeartbeat(request) : wrongMethod();
    }
    if (path.equals(READY_PATH)) {
      return request.method().equals("GET") ? readiness() : wrongMethod();
    }
    if (path.equals(JOBS_PATH)) {
      return request.method().equals("POST")
          ? recordRequest(RequestStatistics.Kind.SUBMISSION, submit(request))
          : wrongMethod();
    }
    if (path.startsWith(JOBS_PATH + "/")) {
      return handleJobRequest(request.method(), path.substring(JOBS_PATH.length() + 1));
    }
    return noSuchPath();
  }

  private Response handleJobRequest(String method, String jobPath) throws InterruptedException {
    boolean cancel = jobPath.endsWith(CANCEL_SUFFIX);
    String id = cancel ? jobPath.substring(0, jobPath.length() - CANCEL_SUFFIX.length()) : jobPath;
    if (id.contains("/")) {
      return noSuchPath();
    }
    if (!method.equals(cancel ? "POST" : "GET")) {
      return wrongMethod();
    }
    if (!JobCodec.isJobId(id)) {
      return Response.error(400, "not a job's id");
    }
    return cancel
        ? recordRequest(
            RequestStatistics.Kind.CANCELLATION, jobResponse(id, jobService.cancel(id, true)))
        : recordRequest(
            RequestStatistics.Kind.STATUS_POLL, jobResponse(id, jobService.poll(id, true)));
  }

  private Response readiness() {
    return controller.isReady()
        ? Response.of(200, Map.of("ready", true))
        : Response.error(503, "starting");
  }

  private Response recordRequest(RequestStatistics.Kind kind, Response response) {
    requestStatistics.record(kind, response.status());
    return response;
  }

  private static Response wrongMethod() {
    return Response.error(405, "wrong method");
  }

  private static Response noSuchPath() {
    return Response.error(404, "no such path");
  }

  private static Response jobResponse(String id, PeerResponse state) {
    return switch (state.status()) {
      case 200 -> new Response(200, JobCodec.encodeState(id, state), 0);
      case 404 -> Response.error(404, "no such job");
      default -> Response.error(503, "cannot be decided now");
    };
  }

  private Response submit(Request request) throws InterruptedException {
    JobSpec spec;
    try {
      spec = JobCodec.decodeSpec(request.body());
    } catch (JsonFormatException e) {
      Response malformed = Response.error(400, e.getMessage());
      String id = JobCodec.idAcceptedByEarlierVersions(request.body());
      return id == null ? malformed : rejectUnlessAccepted(id, malformed);
    }
    Map<String, MachineType> types = controller.machineTypes();
    if (types.isEmpty()) {
      return rejectUnlessAccepted(
          spec.id(), Response.error(503, "machine types are not known yet"));
    }
    String rejectionReason =
        Eligibility.rejectionReason(spec, types.values(), teams.get(spec.team()));
    if (rejectionReason != null) {
      return rejectUnlessAccepted(spec.id(), Response.error(422, rejectionReason));
    }
    JobService.SubmissionResult result = jobService.submit(spec);
    return switch (result.status()) {
      case 200, 201 ->
          new Response(result.status(), JobCodec.encodeState(spec.id(), result.state()), 0);
      default -> Response.error(503, "cannot be accepted now");
    };
  }

  /**
   * Returns the state of the job if it was accepted before, otherwise {@code rejection}: a repeated
   * submission is idempotent, even if the machine types or the validation rules have changed since.
   * The check costs a status poll.
   */
  private Response rejectUnlessAccepted(String id, Response rejection) throws InterruptedException {
    PeerResponse known = jobService.poll(id, true);
    return known.status() == 404 ? rejection : jobResponse(id, known);
  }

  /**
   * Handles a heartbeat when its turn comes. After a failover, hundreds of heartbeats arrive at
   * once; only a few are handled at the same time, so that their threads do not starve the renewal
   * of the leader's lease. A heartbeat that has waited too long is rejected: its worker has given
   * up, and processing a stale backlog would let all leases expire. A response that waits for
   * commands does not count.
   */
  private Response handleHeartbeat(Request request) throws InterruptedException {
    long receivedMs = ControllerRuntime.nowMs();
    if (!heartbeatGate.tryEnter()) {
      heartbeatStatistics.onRejected();
      return Response.error(503, "too many reports");
    }
    HeartbeatResult result;
    try {
      heartbeatStatistics.onHandled(ControllerRuntime.nowMs() - receivedMs);
      Heartbeat heartbeat = WorkerCodec.readHeartbeat(request.body());
      result = controller.onHeartbeat(heartbeat, controller.token(), receivedMs);
    } catch (JsonFormatException e) {
      LOG.info("invalid heartbeat rejected: {}", e.getMessage());
      return Response.error(400, e.getMessage());
    } finally {
      heartbeatGate.leave();
    }
    return heartbeatResponse(result.awaitResponse());
  }

  private Response heartbeatResponse(HeartbeatResponse response) {
    if (response == null) {
      String leader = controller.remoteLeader();
      return Response.of(421, leader == null ? Map.of() : Map.of("harbormaster", leader));
    }
    byte[] body = WorkerCodec.encodeHeartbeatResponse(response.fencingToken(), response.commands());
    return new Response(200, body, 0);
  }
}
