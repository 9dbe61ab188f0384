package org.astershift.config;

/**
 * Every constant of the program, with its unit and the reason for its value. What a deployment may
 * want otherwise is in {@link OperatorSettings}; what the platform decides is in {@link Settings}.
 */
public final class Constants {
  private Constants() {}

  // ---- time ----

  /** Largest drift between two steady clocks, as a share: the protocol promises 0.05%. */
  public static final double CLOCK_DRIFT_SHARE = 0.0005;

  /** Milliseconds on top of every bound computed from another clock: timers fire in steps. */
  public static final long CLOCK_MARGIN_MS = 300;

  // ---- leadership ----

  /**
   * Life of the leadership's lease. Shorter means faster takeover, longer survives slow renewals.
   */
  public static final long LEADER_LEASE_MS = 2000;

  /**
   * Milliseconds after which a renewal of the lease is given up and tried again: answers normally
   * take under 10 ms, now and then a few hundred, and a busy node reads them late.
   */
  public static final int LEADER_LEASE_RENEW_TIMEOUT_MS = 700;

  /** How often the lease is renewed: several tries fit into its life. */
  public static final long LEADER_LEASE_RENEW_INTERVAL_MS = 500;

  /** Deadline of a change of the leader's key, milliseconds. */
  public static final long LEADER_KEY_TIMEOUT_MS = 1000;

  /** Pause between tries to become leader while another holds the lease. */
  public static final long ELECTION_POLL_INTERVAL_MS = 300;

  /**
   * Bits of an attempt number left to the counter within one term; the term's token is above. Huge
   * arrays start a few hundred tasks a second, so a term has numbers for weeks; a term that has
   * used them up ends, since a number must never come twice.
   */
  public static final int ATTEMPT_COUNTER_BITS = 28;

  /** Attempt numbers with which a term ends: more than two passes use. */
  public static final long TERM_END_ATTEMPTS_LEFT = 1_000_000;

  // ---- scheduling ----

  /** Tasks of the queue looked at for a machine, as in the paper (section 4). */
  public static final int WINDOW_TASKS = 2500;

  /**
   * Tasks of each kind of place and need that are looked at beyond the window: as many as one
   * machine is given in a pass. The window may be full of what fits nowhere for now, and what could
   * start elsewhere waited behind it beside room.
   */
  public static final int WINDOW_OVERFLOW_TASKS = 64;

  /** Utilization from which a machine without a cached image stays free; paper, section 2.2. */
  public static final double UTILIZATION_THRESHOLD_SHARE = 0.9;

  /** Tasks given to one machine in one pass; ours. */
  public static final int MACHINE_BATCH_TASKS = 64;

  /** Seconds after which a task takes any machine, where no aim says so; ours. */
  public static final double WAITING_AGE_S = 5;

  /** Share of an aim's time after which a task takes any machine: the rest is for its start. */
  public static final double WAITING_AGE_OBJECTIVE_SHARE = 0.2;

  /** Deadline assumed for the queue's order where a job has none, seconds. */
  public static final double DEFAULT_DEADLINE_S = 600;

  /** Share of its run that a running task has left, on average. */
  public static final double REMAINING_RUN_SHARE = 0.5;

  /** Share of its estimate by which a job may seem to end too late: estimates are often wrong. */
  public static final double LATENESS_TOLERANCE_SHARE = 0.5;

  /**
   * Share of the aim on starting after which a job that was put off is served before others. The
   * rest is for its turn, since many may come to this at once.
   */
  public static final double OBJECTIVE_RISK_START_SHARE = 0.6;

  /**
   * The same of the aim on finishing, less its estimate: later, since long jobs are much work, and
   * served early they make many short ones late.
   */
  public static final double OBJECTIVE_RISK_END_SHARE = 0.9;

  /** Jobs put off queue behind all others of their priority: by more than any deadline. */
  public static final double POSTPONED_DELAY_MS = 1e9;

  /** Aims on starting up to this many seconds may stop work of lower priority. */
  public static final double TIGHT_START_OBJECTIVE_S = 5;

  /**
   * Aims on starting from this many seconds on are a time by which, where machines are short, as
   * many jobs as possible start and the others are put off; shorter ones are served as they come.
   */
  public static final double LONG_START_OBJECTIVE_S = 60;

  /**
   * Milliseconds for which room is kept from jobs that would find some, for aimed, large or gang
   * work that waits: the operators' page lets no job wait for 90 s beside room.
   */
  public static final long DEFERRAL_LIMIT_MS = 60_000;

  /** Processor seconds of stopped work that a second of image fetch is worth to a tight aim. */
  public static final double IMAGE_FETCH_LOSS_CPU_S_PER_S = 10;

  /** Share of a machine's processors that replicas take while other machines have room. */
  public static final double REPLICA_CPU_SHARE = 0.5;

  /**
   * Processor seconds of stopped work that it is worth to put a replica elsewhere than beyond that.
   */
  public static final double REPLICA_CROWDING_LOSS_CPU_S = 20;

  /** Seconds in which a gang should start where no aim says so; ours. */
  public static final double GANG_START_OBJECTIVE_S = 150;

  /** Times its aim after which free room is kept for a gang that finds too little. */
  public static final double GANG_RESERVATION_OBJECTIVE_FACTOR = 2;

  /**
   * Seconds after which the jobs of a class that is hardly served count for its floor, or its aim
   * on starting if that is longer: an operator who looks after some minutes finds it served.
   */
  public static final double MINIMUM_SHARE_AGE_S = 120;

  /**
   * Seconds after which a job's tasks that wait go first, up to a share: the largest too have to
   * begin within 240 s (the operators' letter), of which a boot of 50 s and a fetch are left.
   */
  public static final double MINIMUM_SHARE_OVERDUE_AGE_S = 150;

  /**
   * Jobs that wait beyond that age, for each one done, from which their class is neglected: two of
   * three are to be served.
   */
  public static final double MINIMUM_SHARE_WAITING_RATIO = 0.5;

  /** Share of the machines it can use that such a class is to hold. */
  public static final double MINIMUM_SHARE_PER_CLASS = 0.1;

  /** Share that all such classes together are to hold. */
  public static final double MINIMUM_SHARE_ALL_CLASSES = 0.3;

  /** Times its floor up to which nothing of such a class is stopped: gangs go beyond it at once. */
  public static final double MINIMUM_SHARE_PROTECTION_FACTOR = 1.5;

  /** Milliseconds between passes when nothing happens. */
  public static final long PASS_INTERVAL_MS = 250;

  /** Least milliseconds between two passes: what happens in a burst is served by one. */
  public static final long PASS_MIN_GAP_MS = 30;

  /** After a pass its own length is rested so many times: reports and answers come first. */
  public static final long PASS_REST_FACTOR = 2;

  /**
   * But no longer than this, milliseconds, while machines of earlier leaders are still to be heard:
   * when all report at once a pass takes seconds, and what it would find proved or lost waited for
   * many more. At other times an overloaded node would come to nothing but passes.
   */
  public static final long PASS_REST_MAX_MS = 750;

  /** Milliseconds by which a pass comes too late that show that the node stood still. */
  public static final long PROCESS_PAUSE_MS = 1500;

  /** Milliseconds between looks for leases that ran out and machines that are silent. */
  public static final long SWEEP_INTERVAL_MS = 250;

  /** Milliseconds without new starts on a machine that refused one: its report is on the way. */
  public static final long START_REJECTED_BACKOFF_MS = 1000;

  /** Milliseconds without new starts on a machine where a task failed. */
  public static final long TASK_FAILED_BACKOFF_MS = 1500;

  /**
   * Jobs that failed on a machine, or failures there of jobs that are sound elsewhere, that convict
   * it, without a completed task between.
   */
  public static final int FAILURES_TO_QUARANTINE = 2;

  /** Machines on which a job failed, without ever completing a task, that make it a suspect. */
  public static final int FAILED_MACHINES_TO_SUSPECT = 2;

  /** Milliseconds that a task has run after which its job is no job that fails on every machine. */
  public static final long PROVEN_RUN_MS = 10_000;

  /** Milliseconds in which a job that failed on a machine goes to others. */
  public static final long FAILED_MACHINE_AVOID_MS = 30_000;

  /** Milliseconds between the first probes of a job that is probably broken; doubled each time. */
  public static final long JOB_PROBE_INTERVAL_MS = 4000;

  /**
   * So often at the most, up to 64 s: a sound job whose faulty machines are replaced may wait for
   * less than 90 s beside room, its probe's first seconds included.
   */
  public static final int JOB_PROBE_MAX_DOUBLINGS = 4;

  /** Milliseconds without starts of a job that a machine does not know: its upload may be late. */
  public static final long UNKNOWN_JOB_BACKOFF_MS = 1000;

  /**
   * Milliseconds of a term after which an inherited machine that has not reported is asked: workers
   * that lose their controller try the next one after a second.
   */
  public static final long FENCE_UNSEEN_MS = 1500;

  /**
   * Milliseconds after a report in which an inherited machine should have reported with the new
   * token: half a second by the protocol, and more on a busy node.
   */
  public static final long FENCE_SEEN_MS = 2500;

  /** Milliseconds between tries to make an inherited machine show this leader's token. */
  public static final long FENCE_RETRY_INTERVAL_MS = 1000;

  // ---- machines ----

  /** Seconds without work after which a machine is returned; paper, section 4.1. */
  public static final double IDLE_RELEASE_S = 30;

  /** A machine costs at least so many milliseconds, so it is not given back sooner; protocol's. */
  public static final long MIN_CHARGE_MS = 60_000;

  /** Seconds over which it is counted how often idle machines are taken. */
  public static final double REUSE_WINDOW_S = 60;

  /** Milliseconds that a machine is kept idle even if nothing speaks for its use. */
  public static final long IDLE_MIN_MS = 10_000;

  /** Share of the fleet's price that idle machines may cost beyond what is likely to be taken. */
  public static final double IDLE_COST_SHARE = 0.015;

  /** An idle machine is kept for at least this many times its type's boot time. */
  public static final double IDLE_BOOT_FACTOR = 1.7;

  /** Idle spot machines are kept this many times longer: what replaces them may be ordinary. */
  public static final double IDLE_SPOT_FACTOR = 2;

  /** Reports come this much later than their interval at the most: a quarter. */
  public static final double HEARTBEAT_DELAY_FACTOR = 1.25;

  /** Milliseconds after a report was due before the machine is asked directly. */
  public static final long SUSPECT_AFTER_MS = 400;

  /** Milliseconds after that until a machine that does not answer is given back. */
  public static final long SILENT_AFTER_MS = 1200;

  /**
   * Milliseconds within which a machine that restarts is there again. Until it was silent for so
   * long after its latest report can have been due, that nobody reaches it does not show that it is
   * gone.
   */
  public static final long MACHINE_RESTART_MS = 1000;

  /**
   * Messages that a machine sends in a second at the most: reports half a second apart, and answers
   * to orders and questions of all controllers. An incarnation that has sent more since some moment
   * began before it.
   */
  public static final double MACHINE_MESSAGES_PER_S = 10;

  /** Messages that may come on top of these, see {@link #MACHINE_MESSAGES_PER_S}. */
  public static final double MACHINE_MESSAGE_BURST = 10;

  /**
   * Direct orders in a row without an answer after which nothing new goes to a machine, though its
   * reports arrive: what is said to it may not.
   */
  public static final int INBOUND_PARTITION_TRIES = 2;

  /**
   * Leases without an answered report after which nothing new goes to a machine, though it answers
   * orders. Less would take the seconds in which workers look for a new leader for such a spell.
   */
  public static final double OUTBOUND_PARTITION_LEASES = 0.5;

  /** Milliseconds between questions to such a machine: the first answer makes it whole again. */
  public static final long PARTITION_PROBE_INTERVAL_MS = 3000;

  /**
   * Milliseconds after which one of a few machines that this leader cannot make listen is given
   * back though another controller reaches it: until then no job opened before starts anything.
   */
  public static final long UNFENCED_RELEASE_MS = 15_000;

  /** Direct questions that an inherited machine leaves unanswered before it is given up early. */
  public static final int FENCE_TRIES = 2;

  /**
   * Milliseconds after which an inherited machine that left these unanswered is given back, if all
   * but a few have been heard: until it is gone, no job opened before may go on. In a large fleet
   * some machine dies during nearly every change of leaders.
   */
  public static final long FENCE_TIMEOUT_MS = 2200;

  /**
   * Share of the fleet up to which unheard machines are a few: when all controllers were down for
   * long, one in twenty had died meanwhile, and all opened jobs waited 10 s for their returns.
   */
  public static final double UNRECONCILED_SHARE = 0.1;

  /** So many silent machines are always put down to the machines. */
  public static final int SILENT_FEW_MACHINES = 4;

  /**
   * Share of the fleet that a leader may give up as silent by its own ears alone. Before it notices
   * that it is cut off, its machines are overdue one after the other, so the share must be small.
   */
  public static final double LOCAL_EVIDENCE_SHARE = 0.05;

  /**
   * Share of the fleet that a leader has to hear to give up any beyond that where no other
   * controller can tell: one that hears next to nobody is more likely deaf than left alone.
   */
  public static final double LONE_OBSERVER_SHARE = 0.25;

  /** Share of the fleet that may be given up as silent in a time, however good the reasons. */
  public static final double RELEASED_SILENT_SHARE = 0.6;

  /** Milliseconds in which that share may go: longer than cuts last. */
  public static final long RELEASED_SILENT_WINDOW_MS = 120_000;

  /**
   * Silent machines that other controllers ask in one go. At 128 one on a fifth of a core was too
   * late for a tenth of healthy ones.
   */
  public static final int PEER_PROBE_BATCH_MACHINES = 56;

  /** Machines heard a moment ago that are asked with them. */
  public static final int PEER_PROBE_CONTROL_MACHINES = 8;

  /** Silent machines of one zone that they ask before they are taken for the whole of it. */
  public static final int PEER_PROBE_ZONE_SAMPLE_MACHINES = 24;

  /** Milliseconds for which it counts that another controller reached a machine. */
  public static final long PEER_PROBE_REACHED_VALID_MS = 10_000;

  /** Milliseconds for which it counts that none did: the cut may be over by then. */
  public static final long PEER_PROBE_UNREACHED_VALID_MS = 3000;

  /**
   * Milliseconds beyond patience that one of a few silent machines waits for what others say:
   * longer than the deadline of their answer.
   */
  public static final long PEER_PROBE_WAIT_MS = 3000;

  /**
   * Milliseconds beyond patience that the machines of a zone which fell silent as a whole are kept
   * where no other controller can tell: one that crashed has begun anew by then, and has answered a
   * question that was sent when the one before had its deadline.
   */
  public static final long PEER_RECOVERY_WAIT_MS = 12_000;

  /** Threads that ask the other controllers: one a controller. */
  public static final int PEER_PROBE_THREADS = 4;

  /** Deadline of such a question to a machine, milliseconds: within that of the controller's. */
  public static final int PEER_PROBE_TIMEOUT_MS = 800;

  /** Milliseconds between samples of machines that each controller asks whether it reaches them. */
  public static final long REACHABILITY_SAMPLE_INTERVAL_MS = 2000;

  /** Machines in one sample: at 1,000 machines and five controllers 15 questions a second. */
  public static final int REACHABILITY_SAMPLE_MACHINES = 6;

  /** Samples that count; the last alone if nobody answered it, so that a cut shows in 3 s. */
  public static final int REACHABILITY_SAMPLES = 2;

  /** A sample older than this says nothing any more, milliseconds. */
  public static final long REACHABILITY_SAMPLE_VALID_MS = 8000;

  /** Fewer answers and failures than this say nothing. */
  public static final int REACHABILITY_MIN_RESULTS = 3;

  /** A controller that reaches less than this share of the machines it asks reaches few. */
  public static final double REACHABILITY_POOR_SHARE = 0.25;

  /** Share by which another has to reach more machines for a leader to hand over. */
  public static final double REACHABILITY_HANDOVER_SHARE = 0.3;

  /**
   * Milliseconds by which a controller that reaches few workers stands later than the others: they
   * see the free leadership at the same moment and look for it every 300 ms.
   */
  public static final long CANDIDACY_DELAY_MS = 3000;

  /** Milliseconds that a term lasts at least before its leader hands over for want of reach. */
  public static final long HANDOVER_MIN_TERM_MS = 8000;

  /** More than this share of the fleet silent at once is put down to the network here. */
  public static final double SILENT_FLEET_SHARE = 0.25;

  /** From this share of a zone's machines silent at once the zone is taken to be cut off. */
  public static final double ZONE_PARTITION_SHARE = 0.6;

  /** Milliseconds after which a zone that was cut off is tried again, though nothing was heard. */
  public static final long ZONE_PARTITION_RETRY_MS = 60_000;

  /** Machines given back as silent count as silent for so many milliseconds. */
  public static final long RELEASED_SILENT_COUNTED_MS = 10_000;

  /**
   * A leader that gave up because it reached too few machines lets the others try for so long: they
   * stand within 300 ms, or 3 s where they reach few themselves.
   */
  public static final long RESIGN_BACKOFF_MS = 5000;

  /** It does not give up again for so long: then the trouble is not with its own network. */
  public static final long RESIGN_MIN_INTERVAL_MS = 60_000;

  /** Deadline of the question whether a machine is there, milliseconds. */
  public static final int MACHINE_PROBE_TIMEOUT_MS = 1000;

  /** A boot this many times longer than the type's usual one is given up. */
  public static final double BOOT_TIMEOUT_FACTOR = 2.2;

  /** Milliseconds on top of that: worker start and first report. */
  public static final long BOOT_TIMEOUT_MARGIN_MS = 8000;

  /** Milliseconds after which a boot is given up where nothing is known of its type. */
  public static final double BOOT_TIMEOUT_UNKNOWN_TYPE_MS = 60_000;

  /** A machine given back may still be spoken of so many milliseconds later: packets are held. */
  public static final long LATE_HEARTBEAT_MS = 180_000;

  /** Machines asked for in one rental; the cloud's limit. */
  public static final int PROVISION_BATCH_MACHINES = 50;

  /**
   * Seconds for which a machine is rented, as far as its boot is weighed in its price: most live
   * for some minutes of a queue.
   */
  public static final double EXPECTED_MACHINE_LIFETIME_S = 300;

  /** Types, zones and kinds that one plan may rent for one job. */
  public static final int POOLS_PER_JOB = 20;

  /** Pause of a type, zone and kind that had no capacity. */
  public static final long NO_CAPACITY_BACKOFF_MS = 15_000;

  /** Milliseconds of a term in which nothing is rented while machines are still to be heard. */
  public static final long PROVISION_AFTER_FAILOVER_MS = 5000;

  /** Milliseconds between rent plans. */
  public static final long PROVISION_PLAN_INTERVAL_MS = 1000;

  // ---- outside ----

  /** The leader's share of the state service's limits; the others have parts of the rest. */
  public static final double LEADER_STORE_SHARE = 0.6;

  /** Times their equal part of the rest that each of the others may spend: rarely all do. */
  public static final double FOLLOWER_OVERCOMMIT_FACTOR = 4;

  /**
   * Seconds of its share that a follower may spend at once: it only accepts jobs, which come in
   * bursts on one node while the others rest.
   */
  public static final double FOLLOWER_BURST_S = 3;

  /** Share of what may be spent at once that has to be left by what can wait. */
  public static final double DEFERRABLE_RESERVE_SHARE = 0.5;

  /** Seconds without spending once the state service says that the limit is reached. */
  public static final double STORE_EXHAUSTED_PAUSE_S = 0.1;

  /** Share of the limit of cloud calls that is used: the others are followers and call nothing. */
  public static final double CLOUD_RATE_SHARE = 0.85;

  /**
   * Deadline of one request to the state service, milliseconds: slow answers take a few hundred.
   */
  public static final int STORE_TIMEOUT_MS = 1500;

  /** Milliseconds without service after which this node asks the others whether it is an outage. */
  public static final long STORE_OUTAGE_CHECK_AFTER_MS = 1500;

  /**
   * Milliseconds without an answer after which a node that needs nothing asks for a sign of life.
   */
  public static final long STORE_KEEPALIVE_MS = 700;

  /** Milliseconds between questions to the others while the state service does not answer. */
  public static final long REACHABILITY_QUERY_INTERVAL_MS = 500;

  /** Deadline of such a question, milliseconds: it is answered from memory. */
  public static final int REACHABILITY_QUERY_TIMEOUT_MS = 400;

  /**
   * Milliseconds in which neither the state service nor any other controller answers after which a
   * node takes itself for cut off: longer than all others take to crash and be back in an outage.
   */
  public static final long ISOLATED_AFTER_MS = 6000;

  /** Milliseconds in which a controller that did not answer is not asked again. */
  public static final long PEER_BACKOFF_MS = 1000;

  /** Deadline of one cloud call, milliseconds: replies take about a hundred. */
  public static final int CLOUD_TIMEOUT_MS = 5000;

  /** Direct orders that may be under way at once when a term begins. */
  public static final int CONCURRENT_COMMANDS_INITIAL = 64;

  /** The least and the most that this may become: threads for a few, and a whole large fleet. */
  public static final int CONCURRENT_COMMANDS_MIN = 16;

  public static final int CONCURRENT_COMMANDS_MAX = 1024;

  /** Direct orders more for each that is answered in time. */
  public static final double CONCURRENT_COMMANDS_INCREASE = 1;

  /**
   * Milliseconds beyond which an answer to a direct order is late: usual are a few, and a machine's
   * next report comes after some seconds anyway.
   */
  public static final long COMMAND_SLOW_MS = 400;

  /** A direct order of which nothing was heard for so many milliseconds is under way no more. */
  public static final long COMMAND_LOST_MS = 15_000;

  /** Deadline of one direct order, milliseconds. */
  public static final int COMMAND_TIMEOUT_MS = 2500;

  /** Connections from other controllers: they keep a few each. */
  public static final int PEER_CONNECTIONS = 32;

  /** Deadline of a request forwarded to the leader, within the user's two seconds for a poll. */
  public static final int PEER_TIMEOUT_MS = 1500;

  /** How long an acceptance may wait for its share of the limits, milliseconds; then it is 503. */
  public static final long ACCEPT_RATE_WAIT_MS = 1000;

  /** How long a watch of the state service blocks. */
  public static final int WATCH_BLOCK_MS = 10_000;

  /** Milliseconds after an answer to a watch until the next: each answer costs a request. */
  public static final long WATCH_GAP_MS = 25;

  /** Pause after a failed request to the state service or the cloud, milliseconds. */
  public static final long RETRY_BACKOFF_MS = 300;

  /** Seconds that a 503 asks its caller to wait. */
  public static final int RETRY_AFTER_S = 1;

  /**
   * Milliseconds after which progress that is not on record yet is written as what somebody waits
   * for: up to then machines keep done tasks in their reports, which name only so many.
   */
  public static final long PROGRESS_WRITE_MAX_DELAY_MS = 10_000;

  /** How long a write may wait for its share of the limits. */
  public static final long STORE_RATE_WAIT_MS = 3000;

  /** Pause before a cloud call is repeated, milliseconds. */
  public static final long CLOUD_RETRY_BACKOFF_MS = 1000;

  /** How long a cancellation waits until it can be kept, within the peer's deadline. */
  public static final long CANCEL_WAIT_MS = 1200;

  /** Milliseconds between looks whether it can. */
  public static final long CANCEL_POLL_INTERVAL_MS = 40;

  /** Milliseconds between summaries in the log. */
  public static final long SUMMARY_INTERVAL_MS = 10_000;

  /** Milliseconds after which a job that has not begun is warned of: half of what it may take. */
  public static final long UNSTARTED_WARN_MS = 120_000;

  /** Jobs of a class of which it is remembered what the largest got. */
  public static final int JOB_OUTCOMES_KEPT = 5000;

  /** Milliseconds without a start after which a class or team that waits is warned of. */
  public static final long STARVED_WARN_MS = 60_000;

  /** Milliseconds between machine lists. */
  public static final long MACHINE_LIST_INTERVAL_MS = 2500;

  /** Milliseconds between looks at the machine types once they are known: prices move. */
  public static final long MACHINE_TYPES_INTERVAL_MS = 60_000;

  /** Milliseconds between saves of progress. */
  public static final long PROGRESS_SAVE_INTERVAL_MS = 2000;

  /**
   * Tasks that a machine gets at most, however little they take. Its reports name them all, ended
   * ones too, with up to some 140 bytes each, and a body may have 64 KiB: a machine whose reports
   * are refused loses its lease, and with it all of its tasks, again and again.
   */
  public static final int MAX_TASKS_PER_MACHINE = 400;

  // ---- http ----

  /** Largest request body, bytes; the protocol's. */
  public static final int MAX_REQUEST_BODY_BYTES = 64 * 1024;

  /**
   * Largest response taken from the state service or the cloud, bytes. A watch has no size limit.
   */
  public static final int MAX_RESPONSE_BYTES = 16 * 1024 * 1024;

  /** Largest request line and headers together, bytes. */
  public static final int MAX_HEAD_BYTES = 16 * 1024;

  /** An idle connection of a user or worker is closed after this many milliseconds. */
  public static final int CONNECTION_IDLE_TIMEOUT_MS = 60_000;

  /** Milliseconds between looks for connections that are idle or slow for too long. */
  public static final long CONNECTION_REAP_INTERVAL_MS = 1000;

  /**
   * Milliseconds for which a start waits for its addresses: its predecessor's process may be about
   * to end, and a process that ends by itself is only started again.
   */
  public static final long LISTEN_TIMEOUT_MS = 20_000;

  /** A started request has to arrive whole within this many milliseconds. */
  public static final int REQUEST_TIMEOUT_MS = 5000;

  /** Threads that a process may have: what the platform allows (the operators' letter: 2,000). */
  public static final int MAX_THREADS = 2000;

  /** Share of them that is used: the runtime's own and those about to end come on top. */
  public static final double USED_THREADS_SHARE = 0.85;

  /** Threads of the loops of a node and of two terms, of which one is ending. */
  public static final int LOOP_THREADS = 24;

  /** Threads that the Java runtime starts for itself: compiler, collector, references, signals. */
  public static final int RUNTIME_THREADS = 16;

  /**
   * Share of the sockets allowed that incoming connections may take: those to the workers are at
   * most {@link #KEPT_WORKER_CONNECTIONS} and {@link #COMMAND_THREADS}.
   */
  public static final double INCOMING_SOCKETS_SHARE = 0.75;

  /**
   * Share of the incoming connections that users may take; the rest is for workers, which share it
   * where they are more.
   */
  public static final double USER_CONNECTIONS_SHARE = 0.3;

  /**
   * Share of the places that are left free for connections that come: beyond that each is closed
   * with its answer. At 1,676 machines that report every 5 s to 1,533 places some 60 come a second.
   */
  public static final double RESERVED_FREE_CONNECTIONS_SHARE = 0.1;

  /**
   * Connections that may wait to be taken. After a restart of a node all its workers and users come
   * at once, and those refused try another node only a second later.
   */
  public static final int LISTEN_BACKLOG_CONNECTIONS = 1024;

  /** Connections to workers that are kept for the next order. */
  public static final int KEPT_WORKER_CONNECTIONS = 100;

  /**
   * How deep a body may be nested. All that the protocols name is a few levels deep; a thousand,
   * the parser's own limit, overflow a stack of {@link #STACK_BYTES}: a body of brackets ended its
   * connection without an answer.
   */
  public static final int MAX_JSON_DEPTH = 100;

  /** Stack of a connection's thread, bytes. */
  public static final long STACK_BYTES = 192 * 1024;

  /** Threads that send direct orders. */
  public static final int COMMAND_THREADS = 24;

  /** Reports read and acted upon at the same time; the others wait without a turn of their own. */
  public static final int CONCURRENT_HEARTBEATS = 3;

  /**
   * Milliseconds for which a report waits for its turn: its worker waits 4 s for the answer, and
   * that has to be worked out and sent in what is left.
   */
  public static final long HEARTBEAT_WAIT_MS = 3300;

  /**
   * Threads that ask silent machines whether they are there: each is held for the deadline, and all
   * machines of a zone may fall silent at once.
   */
  public static final int MACHINE_PROBE_THREADS = 64;

  /** A kept connection of ours is not used again after this many nanoseconds without use. */
  public static final long CLIENT_CONNECTION_IDLE_NS = 20_000_000_000L;

  /** Threads that give machines back: one call takes a hundred names. */
  public static final int RELEASE_THREADS = 1;

  /** Threads that rent: the cloud's limit allows a few calls a second. */
  public static final int PROVISION_THREADS = 2;

  /** Seconds after which a pool's thread without work ends. */
  public static final long THREAD_IDLE_S = 10;

  // ---- records ----

  /** Most bytes of one page of notes: each change writes its page anew. */
  public static final int MAX_PAGE_BYTES = 4096;

  /** Bytes of a page's key, revision and JSON around it in a transaction, at most. */
  public static final int PAGE_FRAME_BYTES = 250;

  /** Most bytes of pages in one transaction: three quarters of what the protocol allows. */
  public static final int MAX_TRANSACTION_BYTES = 48 * 1024;

  /** Milliseconds for which a page that the state service refuses by itself waits aside. */
  public static final long PAGE_REJECTED_BACKOFF_MS = 10_000;

  /** Jobs whose ends are written at once: each takes some 300 bytes. */
  public static final int COMPLETION_BATCH_JOBS = 100;

  /**
   * Share of the state service's limit for a value that a page may take; its frame comes on top.
   */
  public static final double PAGE_VALUE_SHARE = 0.75;

  /** Milliseconds that the note of where replicas are may wait for other changes of its page. */
  public static final long PLACEMENT_RECORD_DELAY_MS = 3000;

  /** Milliseconds that the striking of a note may wait for other changes of its page. */
  public static final long DEREGISTER_DELAY_MS = 1000;

  /** Tasks in one note of done tasks: as base64 it stays below the size of a page. */
  public static final int SEGMENT_TASKS = 16_384;

  /** Jobs ended in this term that are remembered against late news of their acceptance. */
  public static final int ENDED_IN_TERM_JOBS = 10_000;

  /** Ended jobs kept in memory; others are read from the state service. */
  public static final int ENDED_JOBS_KEPT = 50_000;

  /** Rows asked for in one list of the state service. */
  public static final int MAX_LIST_ROWS = 1000;

  // ---- shared out ----

  /** Threads left for incoming connections by what the node itself starts. */
  public static int connectionThreads() {
    int ownThreads =
        COMMAND_THREADS
            + MACHINE_PROBE_THREADS
            + PROVISION_THREADS
            + RELEASE_THREADS
            + PEER_PROBE_THREADS
            + PEER_CONNECTIONS
            + LOOP_THREADS
            + RUNTIME_THREADS;
    return (int) (MAX_THREADS * USED_THREADS_SHARE) - ownThreads;
  }

  /** Incoming connections that a node may keep, each with a thread and one of {@code sockets}. */
  public static int maxConnections(int sockets) {
    return Math.min(connectionThreads(), (int) (sockets * INCOMING_SOCKETS_SHARE));
  }
}
