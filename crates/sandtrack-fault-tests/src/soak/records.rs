//! What the stand-ins saw, in the order in which they saw it. Times are seconds since the run began.
use super::upstreams::Trouble;
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// Seconds since the run began.
pub type Seconds = f64;

/// What a route's requests are, and which services may run them.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Route {
    /// May run more than once.
    Read,
    /// May run once.
    Write,
    /// A stream that may run once.
    Stream,
    /// A stream that may be resumed.
    Resume,
    /// Of the other service.
    Print,
    /// Split between both services by weight.
    Split,
}

impl Route {
    pub const ALL: [Route; 6] = [
        Route::Read,
        Route::Write,
        Route::Stream,
        Route::Resume,
        Route::Print,
        Route::Split,
    ];

    /// The first part of its paths, and its name.
    pub fn prefix(self) -> &'static str {
        match self {
            Route::Read => "read",
            Route::Write => "write",
            Route::Stream => "stream",
            Route::Resume => "resume",
            Route::Print => "print",
            Route::Split => "split",
        }
    }

    pub fn is_stream(self) -> bool {
        matches!(self, Route::Stream | Route::Resume)
    }

    pub fn is_idempotent(self) -> bool {
        !matches!(self, Route::Write | Route::Stream)
    }

    /// The route of a request, by its path.
    pub fn of_target(target: &str) -> Option<Route> {
        let first = target.trim_start_matches('/').split('/').next()?;
        Route::ALL.into_iter().find(|route| route.prefix() == first)
    }
}

/// How a request ended for its client.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum End {
    /// A whole answer, with this status.
    Answered(u16),
    /// The connection ended without a whole answer; `begun`: a part of one had come.
    Broke { begun: bool },
    /// No connection came up, or the request could not be written.
    NotSent,
    /// The client left by itself.
    Left,
    /// Neither an answer nor an end within the client's patience.
    Silence,
    /// What came is not this request's answer.
    Wrong(String),
}

/// One request of a client.
#[derive(Clone, Debug)]
pub struct Request {
    pub id: String,
    /// `None` on routes that come and go.
    pub route: Option<Route>,
    pub method: &'static str,
    pub target: String,
    /// What of its body upstreams have to see.
    pub body: u64,
    /// The machine whose proxy took it, and that process's life.
    pub machine: usize,
    pub life: u32,
    /// It went over a connection that had carried another before.
    pub kept: bool,
    /// It was sent behind another that was not answered yet: its time counts from then, and it is carried after the other.
    pub behind: bool,
    /// When it was begun, and when its last byte was written.
    pub begun: Seconds,
    pub sent: Option<Seconds>,
    pub ended: Seconds,
    /// `Deadline-Remaining`, in s.
    pub patience: Seconds,
    pub end: End,
}

/// A request that reached an upstream.
#[derive(Clone, Debug)]
pub struct Arrival {
    pub at: Seconds,
    pub id: String,
    pub upstream: Rc<str>,
    pub service: &'static str,
    pub zone: String,
    /// It has run; else it was turned away or the connection was reset before.
    pub ran: bool,
    pub trouble: Option<Trouble>,
    pub method: String,
    pub target: String,
    pub body: u64,
    /// `Deadline-Remaining` as it was handed, in s.
    pub handed: Option<Seconds>,
    pub was_cold: bool,
    /// `Tenant-Name`.
    pub tenant: Option<String>,
    /// It carries a client's key.
    pub has_key: bool,
}

/// What came of an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    Acknowledged,
    /// Another version is current.
    Lost,
    /// Any other 4xx.
    Refused(u16),
    Unclear,
}

/// A change of the configuration.
#[derive(Clone, Debug)]
pub struct Change {
    pub based_on: u64,
    pub version: u64,
    /// The route that it adds, which names it.
    pub adds: String,
    pub removes: Option<String>,
    /// Whether it is valid on top of its basis.
    pub is_valid: bool,
    pub sent: Seconds,
    pub ended: Seconds,
    pub outcome: Outcome,
}

/// An order to evacuate a zone, or to end that.
#[derive(Clone, Debug)]
pub struct Evacuation {
    pub zone: String,
    pub begin: bool,
    pub sent: Seconds,
    pub ended: Seconds,
    pub outcome: Outcome,
}

/// A configuration as it was read at one machine.
#[derive(Clone, Debug)]
pub struct Read {
    pub machine: usize,
    pub sent: Seconds,
    pub version: u64,
}

/// What the list showed of an upstream.
#[derive(Clone, Debug, Default)]
pub struct Shown {
    /// Since when it shows it as draining.
    pub draining: Option<Seconds>,
}

/// Something that was done to processes or links.
#[derive(Clone, Debug)]
pub struct Span {
    pub what: String,
    /// The machines whose proxies it touches.
    pub proxies: Vec<usize>,
    /// It touches the control nodes, or links among them.
    pub core: bool,
    /// It is a SIGTERM or a SIGHUP alone: planned work.
    pub planned: bool,
    pub from: Seconds,
    pub until: Seconds,
}

/// An answer of the directory.
#[derive(Clone, Debug)]
pub struct Resolution {
    pub at: Seconds,
    pub asked: usize,
    pub named: Vec<usize>,
}

/// A time in which a proxy's process was not there.
#[derive(Clone, Copy, Debug)]
pub struct Absence {
    pub machine: usize,
    pub from: Seconds,
    pub until: Seconds,
}

/// All of it, shared by the tasks of the run.
pub struct Records {
    began: Instant,
    /// The load is over: clients end.
    pub is_over: Cell<bool>,
    /// When a timer of the rig itself went off, and how late it was: the stand-ins are as slow as that.
    pub late_timers: RefCell<Vec<(Seconds, Seconds)>>,
    /// Stand-ins that still have something under way.
    pub busy: Cell<usize>,
    pub requests: RefCell<Vec<Request>>,
    pub arrivals: RefCell<Vec<Arrival>>,
    pub changes: RefCell<Vec<Change>>,
    pub evacuations: RefCell<Vec<Evacuation>>,
    pub reads: RefCell<Vec<Read>>,
    pub shown: RefCell<BTreeMap<String, Shown>>,
    pub spans: RefCell<Vec<Span>>,
    pub resolutions: RefCell<Vec<Resolution>>,
    /// Life of each proxy's process: how often it was started.
    pub lives: RefCell<Vec<u32>>,
    /// Times in which a proxy's process was not there.
    pub absences: RefCell<Vec<Absence>>,
}

impl Records {
    pub fn new(machines: usize) -> Rc<Records> {
        Rc::new(Records {
            began: Instant::now(),
            is_over: Cell::new(false),
            late_timers: RefCell::default(),
            busy: Cell::new(0),
            requests: RefCell::default(),
            arrivals: RefCell::default(),
            changes: RefCell::default(),
            evacuations: RefCell::default(),
            reads: RefCell::default(),
            shown: RefCell::default(),
            spans: RefCell::default(),
            resolutions: RefCell::default(),
            lives: RefCell::new(vec![0; machines]),
            absences: RefCell::default(),
        })
    }

    /// The proxy's process of a machine has ended.
    pub fn proxy_ended(&self, machine: usize) {
        let absence = Absence {
            machine,
            from: self.now(),
            until: f64::INFINITY,
        };
        self.absences.borrow_mut().push(absence);
    }

    /// It is started.
    pub fn proxy_starts(&self, machine: usize) {
        self.lives.borrow_mut()[machine] += 1;
        let now = self.now();
        // One that was told to stop and killed as well has ended twice.
        let mut absences = self.absences.borrow_mut();
        let open = absences
            .iter_mut()
            .filter(|absence| absence.machine == machine && absence.until.is_infinite());
        open.for_each(|absence| absence.until = now);
    }

    /// By how much a timer of the rig was late at most.
    pub fn latest_timer(&self) -> Seconds {
        self.late_timers
            .borrow()
            .iter()
            .map(|(_, late)| *late)
            .fold(0.0, Seconds::max)
    }

    pub fn now(&self) -> Seconds {
        self.began.elapsed().as_secs_f64()
    }

    pub fn at(&self, time: Seconds) -> Instant {
        self.began + Duration::from_secs_f64(time.max(0.0))
    }
}
