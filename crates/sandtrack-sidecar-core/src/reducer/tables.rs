//! The reducer's tables: what it knows of each client, connection, upstream and request, and its timers. Plain data that
//! the reducer alone changes; it must never decide anything.
use super::{ConnId, IDS_KEPT};
use crate::message::{Flow, Message};
use sandtrack_balancer::interface::*;
use std::collections::{BTreeMap, BTreeSet, HashMap, HashSet};
use std::hash::{DefaultHasher, Hash, Hasher};
use std::net::SocketAddr;

/// At one time they fire in this order: an attempt's time-out is told before the module's own timer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(super) enum Timer {
    Connect(ConnId),
    /// A probe's answer is due, or the rest of any answer that has begun to come.
    Answer(ConnId),
    /// An answer whose length is not told was held back for long enough.
    Hold(ConnId),
    Deadline(RequestId),
    Wake,
    WatchSilent,
    /// A watch that ended is opened anew.
    Reopen,
    Ready,
    /// A call at the second address is due whole.
    Call(ConnId),
    Sweep,
    Drain,
    /// The fleet's protocol is to go on.
    Fleet,
}

/// Timers by their time; one of each name, set anew or cleared.
#[derive(Default)]
pub(super) struct Timers {
    pub(super) order: BTreeSet<(i64, Timer)>,
    pub(super) set: HashMap<Timer, i64>,
}

impl Timers {
    pub(super) fn set(&mut self, timer: Timer, at: Millis) {
        self.clear(timer);
        let at = (at * 1000.0).ceil() as i64;
        self.order.insert((at, timer));
        self.set.insert(timer, at);
    }

    /// Sets it, unless it is due earlier already.
    pub(super) fn bring_forward(&mut self, timer: Timer, at: Millis) {
        if self
            .set
            .get(&timer)
            .is_none_or(|set| *set as f64 > at * 1000.0)
        {
            self.set(timer, at);
        }
    }

    pub(super) fn clear(&mut self, timer: Timer) {
        if let Some(at) = self.set.remove(&timer) {
            self.order.remove(&(at, timer));
        }
    }

    pub(super) fn due(&mut self, now: Millis) -> Option<Timer> {
        let &(at, timer) = self.order.first()?;
        if at as f64 / 1000.0 > now {
            return None;
        }
        self.clear(timer);
        Some(timer)
    }

    pub(super) fn next(&self) -> Option<Millis> {
        self.order.first().map(|(at, _)| *at as f64 / 1000.0)
    }
}

pub(super) struct Client {
    /// Its request that is not answered.
    pub(super) request: Option<RequestId>,
    /// Its last answer is on the way.
    pub(super) closing: bool,
    /// Ordered closed if it is between requests; a request that crossed that is served, as its last.
    pub(super) retired: bool,
    /// It has had an answer.
    pub(super) served: bool,
    /// A part of its next request has come ...
    pub(super) begun: bool,
    /// ... and all of the head.
    pub(super) head: bool,
    pub(super) since: Millis,
    /// Taken beyond the budget: refused, so that it gets an answer all the same.
    pub(super) surplus: bool,
}

impl Client {
    pub(super) fn answered(&mut self, close: bool, now: Millis) {
        self.request = None;
        self.closing = close;
        self.served = true;
        (self.begun, self.head) = (false, false);
        self.since = now;
    }

    pub(super) fn between(&self) -> bool {
        self.request.is_none() && !self.closing
    }

    pub(super) fn wait(&self) -> Option<Wait> {
        match (self.between(), self.begun) {
            (true, true) => Some(if self.head { Wait::Body } else { Wait::Rest }),
            (true, false) if !self.retired => {
                Some(if self.served { Wait::Idle } else { Wait::First })
            }
            _ => None,
        }
    }
}

/// What is awaited of a client that has no request open.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Wait {
    /// Its first byte.
    First,
    /// The rest of a request's head.
    Rest,
    /// The rest of its body.
    Body,
    /// Nothing: it has been served.
    Idle,
}

/// Connections by what they wait for and since when: the eldest is found without a look at the others.
pub(super) struct Ages<K> {
    pub(super) order: BTreeSet<(K, i64, ConnId)>,
    pub(super) counts: BTreeMap<K, usize>,
}

impl<K: Copy + Ord> Ages<K> {
    pub(super) fn new() -> Self {
        Ages {
            order: BTreeSet::new(),
            counts: BTreeMap::new(),
        }
    }

    pub(super) fn count(&self, kind: K) -> usize {
        self.counts.get(&kind).copied().unwrap_or_default()
    }

    pub(super) fn key(kind: K, since: Millis, conn: ConnId) -> (K, i64, ConnId) {
        (kind, (since * 1000.0) as i64, conn)
    }

    pub(super) fn insert(&mut self, kind: K, since: Millis, conn: ConnId) {
        if self.order.insert(Self::key(kind, since, conn)) {
            *self.counts.entry(kind).or_default() += 1;
        }
    }

    pub(super) fn remove(&mut self, kind: K, since: Millis, conn: ConnId) {
        if self.order.remove(&Self::key(kind, since, conn)) {
            self.counts.entry(kind).and_modify(|count| *count -= 1);
        }
    }

    /// The one of the kind that has waited longest, if it has since that time or before.
    pub(super) fn eldest(&self, kind: K, since: Millis) -> Option<ConnId> {
        let range = Self::key(kind, f64::NEG_INFINITY, 0)..=Self::key(kind, since, ConnId::MAX);
        self.order.range(range).next().map(|(.., conn)| *conn)
    }
}

#[derive(Clone, Copy, Debug)]
pub(super) enum Job {
    Attempt(RequestId, u32),
    Probe { sent: Millis },
}

#[derive(Clone, Copy)]
pub(super) enum Stage {
    Connecting(Job),
    Idle,
    Busy(Job),
    /// Ordered closed: its end is all that is awaited.
    Closing,
}

/// A connection to an upstream.
pub(super) struct Link {
    pub(super) server: u32,
    /// What it leads to: another address, or another start there, is another process.
    pub(super) process: (SocketAddr, Option<Millis>),
    pub(super) stage: Stage,
    /// Messages ordered written so far.
    pub(super) ordered: u32,
    /// When the first part of the answer came that is awaited, where it did not come whole.
    pub(super) first: Option<Millis>,
    /// An attempt was ordered written, and its last byte is not told yet.
    pub(super) counts: bool,
    pub(super) since: Millis,
    /// It carries nothing before this time.
    pub(super) settled: Millis,
}

/// An upstream as the list has it.
pub(super) struct Server {
    pub(super) name: String,
    pub(super) address: Option<SocketAddr>,
    /// What discovery says of it ...
    pub(super) told: Entry,
    /// ... and what goes, as staff's orders go before that.
    pub(super) standing: Readiness,
    pub(super) since: Option<Millis>,
    /// When staff last took it back.
    pub(super) back: Option<Millis>,
    /// Idle connections, the one used last at the end.
    pub(super) idle: Vec<ConnId>,
}

pub(super) struct Attempt {
    pub(super) sent: Millis,
    /// The connection that carries it, until its outcome.
    pub(super) conn: Option<ConnId>,
    pub(super) ended: bool,
}

pub(super) struct Request {
    /// `None` once it is answered or its client is gone.
    pub(super) client: Option<ConnId>,
    pub(super) keep_alive: bool,
    pub(super) message: Message,
    /// Its answer flows: it has no deadline any more.
    pub(super) stream: Option<Stream>,
    /// Its body flows, and is not in the message.
    pub(super) upload: Option<Upload>,
    pub(super) class: usize,
    pub(super) not_after: Millis,
    pub(super) attempts: Vec<Attempt>,
}

impl Request {
    /// Its last byte has come.
    pub(super) fn is_whole(&self) -> bool {
        self.upload.as_ref().is_none_or(|upload| upload.over)
    }

    /// Its answer flows, on this attempt.
    pub(super) fn streams(&self, attempt: u32) -> bool {
        self.stream
            .as_ref()
            .is_some_and(|stream| stream.attempt == attempt)
    }
}

/// An answer that is passed on as it comes.
pub(super) struct Stream {
    pub(super) attempt: u32,
    pub(super) link: ConnId,
    pub(super) flow: Flow,
    /// Bytes of the body that were passed on.
    pub(super) passed: usize,
}

/// A request's body that is passed on as it comes.
pub(super) struct Upload {
    pub(super) flow: Flow,
    /// How long its client waits from its last byte on.
    pub(super) budget: Millis,
    /// The attempt that has it, from the first part on.
    pub(super) link: Option<(u32, ConnId)>,
    /// Its last byte has come.
    pub(super) over: bool,
    /// Since when the client's next piece is wanted.
    pub(super) asked: Option<Millis>,
    /// How long pieces were waited for, and what came, since that was looked at last.
    pub(super) waited: Millis,
    pub(super) bytes: usize,
}

/// The ids that clients asked with of late, by their hash: each is new with every request. One of another's request
/// could mix up answers, and upstreams turn it away.
#[derive(Default)]
pub(super) struct Ids {
    pub(super) recent: HashSet<u64>,
    pub(super) before: HashSet<u64>,
    pub(super) turned: Millis,
}

impl Ids {
    /// Notes the id; no when it is known already, and it is known from now on then.
    pub(super) fn is_new(&mut self, id: &str, now: Millis) -> bool {
        if now - self.turned >= IDS_KEPT {
            self.before = std::mem::take(&mut self.recent);
            self.turned = now;
        }
        let mut hasher = DefaultHasher::new();
        id.hash(&mut hasher);
        let hash = hasher.finish();
        self.recent.insert(hash) && !self.before.contains(&hash)
    }
}
