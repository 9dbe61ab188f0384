package org.astershift.api;

import java.util.List;
import java.util.Map;
import org.astershift.config.Constants;
import org.astershift.controller.ControllerRuntime;
import org.astershift.controller.JobService;
import org.astershift.http.HttpServer.Handler;
import org.astershift.http.HttpServer.Request;
import org.astershift.http.HttpServer.Response;
import org.astershift.http.Json;
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
  private static final String JOBS = "/v2/runs";
  private static final String REPORT = "/agent/beat";
  private static final String CANCEL = "/withdraw";
  private final ControllerRuntime director;
  private final JobService desk;
  private final Map<String, Team> teams;
  private final RequestStatistics traffic = new RequestStatistics();
  private final ConcurrencyGate reports =
      new ConcurrencyGate(Constants.REPORTS_AT_ONCE, Constants.REPORT_PATIENCE_MS);

  public PublicApi(ControllerRuntime director, JobService desk, Map<String, Team> teams) {
    this.director = director;
    this.desk = desk;
    this.teams = teams;
  }

  /** Whether a request for this path is a worker's. */
  public static boolean isReport(String path) {
    return path.equals(REPORT);
  }

  @Override
  public Response handle(Request r) throws InterruptedException {
    String path = r.path();
    if (isReport(path)) {
      return r.method().equals("POST") ? report(r) : wrongMethod();
    }
    if (path.equals("/ready")) {
      if (!r.method().equals("GET")) {
        return wrongMethod();
      }
      return director.ready()
          ? Response.of(200, Map.of("ready", true))
          : Response.error(503, "starting");
    }
    if (path.equals(JOBS)) {
      return r.method().equals("POST")
          ? noted(RequestStatistics.Kind.SUBMISSION, submit(r))
          : wrongMethod();
    }
    if (path.startsWith(JOBS + "/")) {
      String rest = path.substring(JOBS.length() + 1);
      boolean cancel = rest.endsWith(CANCEL);
      String id = cancel ? rest.substring(0, rest.length() - CANCEL.length()) : rest;
      if (id.contains("/")) {
        return Response.error(404, "no such path");
      }
      if (!r.method().equals(cancel ? "POST" : "GET")) {
        return wrongMethod();
      }
      if (!JobCodec.isId(id)) {
        return Response.error(400, "not a job's id");
      }
      return cancel
          ? noted(RequestStatistics.Kind.CANCELLATION, answer(id, desk.cancel(id, true)))
          : noted(RequestStatistics.Kind.QUESTION, answer(id, desk.poll(id, true)));
    }
    return Response.error(404, "no such path");
  }

  private Response noted(RequestStatistics.Kind kind, Response r) {
    traffic.note(kind, r.status());
    return r;
  }

  private static Response wrongMethod() {
    return Response.error(405, "wrong method");
  }

  private static Response answer(String id, JobAnswer a) {
    return switch (a.status()) {
      case 200 -> Response.of(200, JobCodec.state(id, a));
      case 404 -> Response.error(404, "no such job");
      default -> Response.error(503, "cannot be decided now");
    };
  }

  private Response submit(Request r) throws InterruptedException {
    JobSpec spec;
    try {
      spec = JobCodec.spec(Json.object(r.body()));
    } catch (Json.JsonFormatException e) {
      Response malformed = Response.error(400, e.getMessage());
      String id = JobCodec.acceptedBefore(r.body());
      return id == null ? malformed : unlessKnown(id, malformed);
    }
    Map<String, MachineType> types = director.types();
    if (types.isEmpty()) {
      return unlessKnown(spec.id(), Response.error(503, "machine types are not known yet"));
    }
    String never = Eligibility.neverRuns(spec, types.values(), teams.get(spec.team()));
    if (never != null) {
      return unlessKnown(spec.id(), Response.error(422, never));
    }
    JobService.SubmissionResult s = desk.submit(spec);
    return switch (s.status()) {
      case 200, 201 -> Response.of(s.status(), JobCodec.state(spec.id(), s.known()));
      default -> Response.error(503, "cannot be accepted now");
    };
  }

  /**
   * What was accepted once is not refused later, whatever the machine types or the rules for
   * submissions are now. Costs what a question costs, so a body that was refused at all times is
   * refused without it.
   */
  private Response unlessKnown(String id, Response refusal) throws InterruptedException {
    JobAnswer known = desk.poll(id, true);
    return known.status() == 404 ? refusal : answer(id, known);
  }

  /**
   * After a change of leaders hundreds of reports come at once. Each thread would get its turn, and
   * the renewal of the lease one among hundreds: so few are worked on at a time. A report that has
   * waited for too long is not worked on: its worker has given it up, or would drop the answer. An
   * overloaded leader worked on nothing but reports half a minute old, all of its answers were
   * dropped, and the whole fleet's leases ran out.
   */
  private Response report(Request r) throws InterruptedException {
    if (!reports.take()) {
      return Response.error(503, "too many reports");
    }
    try {
      return answered(r);
    } finally {
      reports.done();
    }
  }

  private Response answered(Request r) {
    Heartbeat report;
    try {
      report = WorkerCodec.report(r.body());
    } catch (Json.JsonFormatException e) {
      LOG.info("a report that makes no sense: {}", e.getMessage());
      return Response.error(400, e.getMessage());
    }
    long token = director.token();
    List<Command> orders = director.report(report, token);
    if (orders == null) {
      String leader = director.otherLeader();
      return Response.of(421, leader == null ? Map.of() : Map.of("harbormaster", leader));
    }
    return new Response(200, WorkerCodec.answer(token, orders), 0);
  }
}
