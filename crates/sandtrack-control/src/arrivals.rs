//! How long a call may have waited before it was read, and whether this process ran meanwhile. A call that its caller has
//! given up, and has sent elsewhere since, must not be carried out as if it had just been made. Pure.
use crate::Millis;

/// A process that did not look at the clock for longer than this, in ms, was held up: what its sockets held meanwhile is not
/// carried out. With [`ARRIVAL_MS`] it is less than the second after which callers go elsewhere.
pub const HELD_UP_MS: Millis = 500.0;
/// From the accepting of a connection to its call being read whole, in ms, where the call can't tell by itself that it is
/// late. Such calls have no body.
pub const ARRIVAL_MS: Millis = 400.0;

/// When a call came, on the clock of this process. A connection carries one call, so these bound the call's age.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Arrival {
    /// Before its connection was accepted, the queue of new connections was last seen empty at this time: the connection
    /// has not waited for longer.
    pub queued_since: Millis,
    /// When its connection was accepted.
    pub accepted: Millis,
}

impl Arrival {
    /// A connection that was accepted as it came.
    pub fn at(accepted: Millis) -> Arrival {
        Arrival {
            queued_since: accepted,
            accepted,
        }
    }
}

/// Since when this process has run without being held up.
#[derive(Clone, Copy, Debug)]
pub struct Awake {
    looked: Millis,
    since: Millis,
}

impl Awake {
    /// A process that starts: what waited before is not known.
    pub fn new(now: Millis) -> Awake {
        Awake {
            looked: now,
            since: now,
        }
    }

    /// The process runs at this moment; yes when it was held up before.
    pub fn look(&mut self, now: Millis) -> bool {
        let held_up = now - self.looked > HELD_UP_MS;
        if held_up {
            self.since = now;
        }
        self.looked = self.looked.max(now);
        held_up
    }

    /// Since when it has run without being held up.
    pub fn since(&self) -> Millis {
        self.since
    }

    /// Whether the process has run since before a call's connection could have begun to wait.
    pub fn has_run_since(&self, arrival: &Arrival) -> bool {
        arrival.queued_since >= self.since
    }

    /// The same, and the call can't be older than its caller's patience.
    pub fn is_recent(&self, now: Millis, arrival: &Arrival) -> bool {
        self.has_run_since(arrival) && now - arrival.accepted <= ARRIVAL_MS
    }
}
