//! What a front and the decision module say to each other: settings, events, actions, ids, times.
//!
//! A front owns sockets, clocks and names. It interns names to the small ids below, feeds [`Event`]s with
//! the current time to `Balancer::handle`, and carries out the [`Action`]s that come back, in order.

/// Time and durations in milliseconds; the clock's zero is arbitrary and it never runs backwards.
pub type Millis = f64;

/// An upstream server, numbered by the front in the order in which it first heard of it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct UpstreamId(pub u32);

/// A client's request, unique for the life of a balancer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RequestId(pub u64);

/// Index into [`Settings::classes`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ClassId(pub usize);

/// Index into [`Settings::tenants`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TenantId(pub usize);

/// A zone; equal numbers are the same zone.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ZoneId(pub u32);

/// Where the upstreams that discard repeats of one keyed request are found.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DedupScope {
    All,
    Zone,
    Cell,
}

/// What a repeat of a request does.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Idempotency {
    Idempotent,
    /// Repeats are discarded within the scope for `window` from the send of the first attempt that may have run.
    Keyed {
        scope: DedupScope,
        window: Millis,
    },
    NonIdempotent,
}

#[derive(Clone, Debug, PartialEq)]
pub struct Class {
    pub target_latency: Millis,
    /// The aim extends by this multiple of the request's own work, not beyond the deadline.
    pub target_stretch: f64,
    pub deadline: Millis,
    pub idempotency: Idempotency,
    pub value: f64,
    /// Fraction of the worth that an answer after the aim still earns.
    pub late_value: f64,
    pub stream: bool,
    /// Its requests with one key run one at a time, in the order in which they came; all such classes share keys.
    pub in_order: bool,
    /// New requests may come under it; `false`: its terms are kept for those that are open.
    pub enabled: bool,
}

#[derive(Clone, Debug)]
pub struct Tenant {
    /// Its portion of the service, 0 to 1.
    pub portion: f64,
    /// Requests a second, over all balancers, that are within its share.
    pub quota_rps: f64,
    /// New requests may come from it.
    pub enabled: bool,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Feedback {
    Off,
    OnProbe,
    Inline,
}

/// What the `scale` of a listed upstream means.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Weights {
    Off,
    Nominal,
    Rough,
    Live,
}

#[derive(Clone, Debug)]
pub struct Settings {
    pub zone: ZoneId,
    pub balancer_index: u32,
    pub balancer_count: u32,
    pub classes: Vec<Class>,
    pub tenants: Vec<Tenant>,
    /// Worth of a request past its tenant's share, as a fraction.
    pub over_share_value: f64,
    /// Discovery answers only when asked (subscribe or fetch).
    pub discovery_on_request: bool,
    pub feedback: Feedback,
    pub weights: Weights,
    /// Upstreams need less work for a key they met recently.
    pub key_affinity: bool,
    pub goal: Goal,
    pub limits: Limits,
    pub penalties: Penalties,
    pub rules: Rules,
    /// Shortest gap between two rounds of events.
    pub event_interval: Millis,
}

#[derive(Clone, Copy, Debug)]
pub struct Limits {
    pub cancel: bool,
    pub probes: bool,
    pub peers: bool,
    /// Two attempts of one request may be out together.
    pub parallel_attempts: bool,
    pub max_attempts: u32,
    pub max_open: u32,
    /// `None`: a refusal carries no advice when to come back.
    pub max_retry_after: Option<Millis>,
    pub connect_timeout: Millis,
    /// Answers that can be held while their clients read them; while all are taken, other answers wait.
    pub answer_buffers: Option<u32>,
}

/// What service is measured by, as far as decisions go by it.
#[derive(Clone, Copy, Debug)]
pub struct Goal {
    /// Weight, beside the others' sum of 1 or less, of the worth that counts only while few requests miss their aim.
    pub tail_weight: f64,
    /// The part of requests that may miss: neither answered nor refused within the aim.
    pub miss_allowed: f64,
}

/// Price of one unit a first try, as a fraction of all worth.
#[derive(Clone, Debug)]
pub struct Penalties {
    pub cross_zone: f64,
    pub probe: f64,
    pub waste: f64,
    pub late_fail: f64,
    pub peer: f64,
}

/// Figures of the rules that must never be broken.
#[derive(Clone, Debug)]
pub struct Rules {
    pub answer_slack: Millis,
    pub list_retry_limit: Millis,
    /// A cold upstream starts at this fraction of its capacity or above ...
    pub cold_capacity: f64,
    /// ... and is warm within this time.
    pub warmup: Millis,
    pub drain_grace: Millis,
    /// Sent more than `overload_factor` times its present capacity for `fall`, a cold upstream goes down.
    pub overload_window: Millis,
    pub overload_factor: f64,
    /// A key whose requests keep order rests so long after an attempt that may still run.
    pub ordered_key_gap: Millis,
    /// A request's `not_after` may be off by so much, either way: clocks differ.
    pub deadline_skew: Millis,
    /// An entry's `since` may be off by so much, either way.
    pub start_time_error: Millis,
    /// Only a listing as draining binds: one that is gone without it may still be sent to.
    pub soft_removal: bool,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Readiness {
    Ready,
    Draining,
    Removed,
}

#[derive(Clone, Debug)]
pub struct Entry {
    pub upstream: UpstreamId,
    /// A hash of its name: the same at every balancer.
    pub identity: u64,
    pub readiness: Readiness,
    pub cell: u32,
    /// Machine type; equal numbers are alike.
    pub machine_type: u32,
    pub scale: f64,
    pub zone: ZoneId,
    /// Its most recent start; `None`: long past.
    pub started_at: Option<Millis>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListKind {
    /// Complete, as last held, possibly stale.
    Stale,
    Whole,
    Patch,
}

/// A load report; what an upstream does not tell is `None`.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Report {
    /// Requests in hand.
    pub active: Option<f64>,
    /// Requests waiting.
    pub waiting: Option<f64>,
    /// Fraction of the CPU occupied.
    pub cpu: Option<f64>,
    /// Recent service time.
    pub service: Option<Millis>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    Ok,
    Error,
    Full,
    Timeout,
    ConnectFailed,
    Reset,
    Cancelled,
    Moot,
}

impl Outcome {
    /// Whether the outcome proves that the attempt never ran.
    pub fn never_ran(self) -> bool {
        matches!(self, Outcome::Full | Outcome::ConnectFailed | Outcome::Moot)
    }
}

#[derive(Clone, Debug)]
pub struct Arrival {
    pub request: RequestId,
    pub class: ClassId,
    pub tenant: Option<TenantId>,
    /// When the client abandons this try.
    pub not_after: Millis,
    /// The client marked it as a repeat.
    pub retry: bool,
    pub key: Option<u64>,
    /// Anticipated work.
    pub cost: Option<Millis>,
}

/// How an attempt ended; exactly one for each that was sent.
#[derive(Clone, Debug)]
pub struct Finished {
    pub request: RequestId,
    pub attempt: u32,
    pub outcome: Outcome,
    pub elapsed: Millis,
    /// The request is closed, by this outcome or before.
    pub closed: bool,
    pub report: Option<Report>,
}

#[derive(Clone, Debug)]
pub enum Event {
    /// The balancer starts; discovery's last list follows.
    Start,
    /// New settings. Classes and tenants keep their places: new ones come behind, none leaves.
    Settings(Box<Settings>),
    List {
        kind: ListKind,
        entries: Vec<Entry>,
    },
    /// A list call failed or the subscription broke.
    ListFailed,
    Request(Arrival),
    Probed {
        upstream: UpstreamId,
        elapsed: Millis,
        ok: bool,
        report: Option<Report>,
    },
    /// A streamed answer has begun: the attempt belongs to the client.
    ResponseStarted {
        request: RequestId,
        attempt: u32,
    },
    Finished(Finished),
    ClientGone(RequestId),
    Message {
        from: u32,
        content: Vec<u8>,
    },
    /// The time asked for with [`Action::Wake`] has come.
    Wake,
}

#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Start the request's next attempt (they count from 0); it runs until the client gives up.
    Send {
        request: RequestId,
        upstream: UpstreamId,
    },
    /// Final answer: a retry does no harm.
    Refuse {
        request: RequestId,
        retry_after: Option<Millis>,
    },
    /// Final answer: promises nothing about the effect.
    Fail {
        request: RequestId,
    },
    /// Cease waiting for one attempt.
    Cancel {
        request: RequestId,
        attempt: u32,
    },
    Probe {
        upstream: UpstreamId,
    },
    Subscribe,
    /// Deliver [`Event::Wake`] at this time or soon after.
    Wake {
        at: Millis,
    },
    Log(String),
}
