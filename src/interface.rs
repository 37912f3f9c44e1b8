//! What goes in and out of the decision module: settings, events, actions and ids. Nothing here decides.
//!
//! Times are microseconds of whatever steady clock the embedder has. Ids are small numbers that the embedder
//! hands out **per dispatcher**, in the order in which that dispatcher first hears of a thing.

/// Microseconds, as a point in time or a span.
pub type Micros = u64;

/// A worker, numbered from 0 in the order this dispatcher's lists first named it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct WorkerId(pub u32);

/// A request, as its client's side numbered it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct JobId(pub u64);

/// A class: position in [`Settings::classes`].
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ClassId(pub u32);

/// A tenant: position in [`Settings::tenants`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TenantId(pub u32);

/// A zone.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct ZoneId(pub u32);

/// A machine kind.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct KindId(pub u32);

/// Which workers drop each other's repeats of a keyed request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DeduplicationScope {
    /// All workers do.
    All,
    /// Those of one zone do.
    Zone,
    /// Those of one cell (pod) do.
    Cell,
}

/// How often a request of a class may take effect, and so how it may be repeated.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Repeatability {
    /// Safe to repeat anywhere.
    Idempotent,
    /// Repeats are dropped inside the group, for the window after the first attempt that may have run.
    IdempotentByKey {
        /// The group.
        scope: DeduplicationScope,
        /// The window.
        window_us: Micros,
    },
    /// Must never run twice.
    AtMostOnce,
}

/// A request class.
#[derive(Clone, Debug, PartialEq)]
pub struct Class {
    /// How it may be repeated.
    pub repeatability: Repeatability,
    /// An answer within this much (plus the stretch) earns the whole worth.
    pub latency_target_us: Micros,
    /// The aim grows by this multiple of the job's own running time.
    pub latency_target_stretch: f64,
    /// The client's whole patience.
    pub deadline_us: Micros,
    /// Worth of an answer in time.
    pub value: f64,
    /// Part of the worth that a late answer still earns.
    pub late_value_share: f64,
    /// The only machine kind that runs it, if there is one.
    pub required_kind: Option<KindId>,
    /// Placement: the only machine kinds that it may be sent to, on any attempt; none given, any.
    pub permitted_kinds: Option<Vec<KindId>>,
    /// Placement: the only zones that it may be sent to, on any attempt; none given, any.
    pub permitted_zones: Option<Vec<ZoneId>>,
    /// Priority in a worker's queue, where the queue knows priorities.
    pub priority: i64,
}

/// A tenant.
#[derive(Clone, Debug)]
pub struct Tenant {
    /// Requests a second within its share, over all dispatchers together; 0 where not told.
    pub quota_rps: f64,
    /// Its part of the service.
    pub share: f64,
}

/// What a worker's listed weight stands for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WeightMeaning {
    /// Nothing.
    Off,
    /// Its size, exactly or roughly.
    Size,
    /// Its size, lowered by what it holds; changes from list to list.
    Live,
}

/// All that a dispatcher is told at its start.
#[derive(Clone, Debug)]
pub struct Settings {
    /// How many dispatchers there are.
    pub dispatchers: u32,
    /// The zone of this one.
    pub local_zone: ZoneId,
    /// Shortest time between two batches of events.
    pub batch_interval_us: Micros,
    /// The classes.
    pub classes: Vec<Class>,
    /// The tenants; may be empty.
    pub tenants: Vec<Tenant>,
    /// Worth of a request beyond its tenant's share, as a part of the usual.
    pub over_share_value: f64,
    /// Worth is counted for each unit of work, not for each request.
    pub value_by_work: bool,
    /// The list answers only when asked.
    pub discovery_must_be_polled: bool,
    /// Load reports come only with the answers to probes, and probes may be sent.
    pub reports_only_on_probe: bool,
    /// Load reports count the jobs at the worker, those waiting or all.
    pub reports_count_jobs: bool,
    /// Workers tell when a job starts.
    pub notifies_start: bool,
    /// Time between progress notes; 0 for none.
    pub progress_interval_us: Micros,
    /// A cancel may be sent.
    pub may_cancel: bool,
    /// Two attempts of one request may be out together.
    pub may_duplicate: bool,
    /// Attempts allowed to a request.
    pub max_attempts: u32,
    /// Attempts that share a connection at once.
    pub streams_per_connection: u32,
    /// An idle connection closes after this long.
    pub connection_idle_timeout_us: Micros,
    /// What a new connection costs, as a part of the worth of a request.
    pub connection_cost: f64,
    /// The longest advice to stay away that clients honour; 0 where they get none.
    pub max_retry_after_us: Micros,
    /// How long after the client's deadline a final answer still counts.
    pub answer_slack_us: Micros,
    /// Longest time without asking the list, where it must be asked.
    pub max_discovery_interval_us: Micros,
    /// Workers also shed work that they had begun: 'full' is no proof that an attempt never ran.
    pub shed_may_have_run: bool,
    /// Grace after being told of a drain.
    pub drain_grace_us: Micros,
    /// A worker starts at this part of its capacity or more.
    pub start_capacity: f64,
    /// A worker is warm at this age.
    pub warm_up_us: Micros,
    /// A cold worker sent this multiple of its present capacity falls over,
    pub overload_multiple: f64,
    /// when that lasts this long.
    pub overload_tolerance_us: Micros,
    /// The meaning of the listed weights.
    pub weight_meaning: WeightMeaning,
}

/// State of a worker in a list.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum EndpointState {
    /// It takes work.
    #[default]
    Ready,
    /// It finishes what it has.
    Draining,
    /// It is no more.
    Gone,
}

/// One line of a list.
#[derive(Clone, Debug, Default)]
pub struct Endpoint {
    /// The worker.
    pub worker: WorkerId,
    /// Its state.
    pub state: EndpointState,
    /// When its process last started; 0 for long ago.
    pub started_at_us: Micros,
    /// Its zone.
    pub zone: ZoneId,
    /// Its cell.
    pub cell: u32,
    /// Its machine kind.
    pub kind: KindId,
    /// Its weight, see [`Weights`].
    pub weight: f64,
    /// A number made from its address, the same at every dispatcher.
    pub hash: u64,
}

/// A load report; what is absent was not reported.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LoadReport {
    /// Requests held.
    pub active: Option<f64>,
    /// Requests waiting.
    pub waiting: Option<f64>,
    /// Busy share of the cores.
    pub busy: Option<f64>,
    /// Recent service time.
    pub service_us: Option<f64>,
    /// Free slots.
    pub free_slots: Option<f64>,
}

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptOutcome {
    /// Served.
    Succeeded,
    /// The worker returned an error; it may have run.
    WorkerError,
    /// Rejected as full: it never ran, unless [`Settings::full_may_have_run`].
    Shed,
    /// No answer in time; it may have run.
    TimedOut,
    /// No connection: it never ran.
    ConnectFailed,
    /// The connection broke; it may have run.
    ConnectionLost,
    /// Cancelled; it may have run.
    Cancelled,
    /// Never sent.
    NotSent,
}

/// A request.
#[derive(Clone, Debug, Default)]
pub struct Request {
    /// Its number.
    pub job: JobId,
    /// Its class.
    pub class: ClassId,
    /// Its tenant, where there are any.
    pub tenant: Option<TenantId>,
    /// The part of its tenant's rights over the whole fleet that is free at this dispatcher, 0 to 1; none where the
    /// tenant has no quota. At 0 it is beyond it.
    pub free_quota_share: Option<f64>,
    /// The client waits this much longer.
    pub expires_in_us: Micros,
    /// Expected work on a standard core, where the client gave a hint.
    pub expected_work_us: Option<Micros>,
    /// Slots it takes.
    pub slots: f64,
    /// A number made from the name of its subject (a data set, say), the same at every dispatcher.
    pub affinity_key: Option<u64>,
}

/// The end of an attempt.
#[derive(Clone, Debug)]
pub struct AttemptEnd {
    /// The request.
    pub job: JobId,
    /// The attempt.
    pub attempt: u32,
    /// How it ended.
    pub outcome: AttemptOutcome,
    /// The request has its final answer.
    pub is_final: bool,
    /// What the worker said of its load.
    pub report: Option<LoadReport>,
}

/// What a dispatcher is told.
#[derive(Clone, Debug)]
pub enum Event {
    /// A list of workers: the whole of it, or only what changed.
    EndpointUpdate {
        /// Workers not named are gone.
        complete: bool,
        /// The lines.
        endpoints: Vec<Endpoint>,
    },
    /// Asking for the list failed, or the subscription broke.
    DiscoveryFailed,
    /// A request has arrived; it is owed exactly one final answer.
    Arrived(Request),
    /// An attempt has begun to run.
    Started {
        /// The request.
        job: JobId,
        /// The attempt.
        attempt: u32,
    },
    /// An attempt runs and has done part of its work.
    Progress {
        /// The request.
        job: JobId,
        /// The attempt.
        attempt: u32,
        /// The part done.
        done: f64,
    },
    /// A streamed answer has begun; the attempt is the client's from now on.
    StreamBegan {
        /// The request.
        job: JobId,
        /// The attempt.
        attempt: u32,
    },
    /// An attempt has ended.
    AttemptEnded(AttemptEnd),
    /// The client is gone; nothing is owed any more.
    ClientGone {
        /// The request.
        job: JobId,
    },
    /// A timer has come due.
    Timer {
        /// As given to [`Action::Schedule`].
        token: u64,
    },
    /// A probe was answered, or not.
    ProbeEnded {
        /// The worker.
        worker: WorkerId,
        /// It answered.
        answered: bool,
        /// What it said of its load.
        report: Option<LoadReport>,
    },
    /// What the other dispatchers together say against a worker; own evidence goes first. 0 when nothing is said any
    /// more. The decisions do not use it yet.
    PeerObservation {
        /// The worker.
        worker: WorkerId,
        /// The sum of what their authors are sure of, each 1 to 100.
        confidence: u32,
    },
    /// Another dispatcher wrote.
    PeerMessage,
    /// All that arrived at this moment has been handed over.
    BatchEnd,
}

/// What a dispatcher does.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send an attempt, numbered from 0 in this order; it may last until the client gives up.
    Send {
        /// The request.
        job: JobId,
        /// Where to.
        worker: WorkerId,
    },
    /// Stop waiting for an attempt.
    Cancel {
        /// The request.
        job: JobId,
        /// The attempt.
        attempt: u32,
    },
    /// Final answer: refused; trying again is harmless.
    Reject {
        /// The request.
        job: JobId,
        /// Advice to stay away this long; 0 for none.
        retry_after_us: Micros,
    },
    /// Final answer: failed.
    Fail {
        /// The request.
        job: JobId,
    },
    /// Ask for an [`Event::Timer`].
    Schedule {
        /// After this long.
        delay_us: Micros,
        /// To be given back.
        token: u64,
    },
    /// Ask a worker for its load.
    Probe {
        /// The worker.
        worker: WorkerId,
    },
    /// Subscribe to the list, changes missed first.
    Subscribe,
}

impl Default for Class {
    fn default() -> Self {
        Class {
            repeatability: Repeatability::Idempotent,
            latency_target_us: 100_000,
            latency_target_stretch: 0.0,
            deadline_us: 1_000_000,
            value: 1.0,
            late_value_share: 0.0,
            required_kind: None,
            permitted_kinds: None,
            permitted_zones: None,
            priority: 0,
        }
    }
}

impl Class {
    /// Whether not every worker may be sent to.
    pub fn is_bound(&self) -> bool {
        self.required_kind.is_some()
            || self.permitted_kinds.is_some()
            || self.permitted_zones.is_some()
    }
}

impl Settings {
    /// The shortest aim of any class: the time scale of the site's requests.
    pub fn shortest_aim(&self) -> Micros {
        self.classes
            .iter()
            .map(|c| c.latency_target_us)
            .min()
            .unwrap_or(100_000)
            .max(1)
    }
}

impl Default for Settings {
    /// One dispatcher with no classes, that may do nothing beyond one attempt a request.
    fn default() -> Self {
        Settings {
            dispatchers: 1,
            local_zone: ZoneId(0),
            batch_interval_us: 1_000,
            classes: Vec::new(),
            tenants: Vec::new(),
            over_share_value: 1.0,
            value_by_work: false,
            discovery_must_be_polled: false,
            reports_only_on_probe: false,
            reports_count_jobs: false,
            notifies_start: false,
            progress_interval_us: 0,
            may_cancel: false,
            may_duplicate: false,
            max_attempts: 1,
            streams_per_connection: 1,
            connection_idle_timeout_us: 15_000_000,
            connection_cost: 0.0,
            max_retry_after_us: 0,
            answer_slack_us: 0,
            max_discovery_interval_us: 10_000_000,
            shed_may_have_run: false,
            drain_grace_us: 0,
            start_capacity: 0.1,
            warm_up_us: 10_000_000,
            overload_multiple: 2.0,
            overload_tolerance_us: 1_000_000,
            weight_meaning: WeightMeaning::Off,
        }
    }
}
