//! How long a call may have waited before it was read, and whether this process ran meanwhile. A call that its caller has
//! given up, and has sent elsewhere since, must not be carried out as if it had just been made. Pure.
use crate::Millis;

/// A process that did not look at the clock for longer than this, in ms, was held up: what its sockets held meanwhile is not
/// carried out. With [`MAX_CALL_AGE_MS`] it is less than the second after which callers go elsewhere.
pub const MAX_PAUSE_MS: Millis = 500.0;
/// From the accepting of a connection to its call being read whole, in ms, where the call can't tell by itself that it is
/// late. Such calls have no body.
pub const MAX_CALL_AGE_MS: Millis = 400.0;

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
pub struct PauseDetector {
    looked: Millis,
    since: Millis,
}

impl PauseDetector {
    /// A process that starts: what waited before is not known.
    pub fn new(now: Millis) -> PauseDetector {
        PauseDetector {
            looked: now,
            since: now,
        }
    }

    /// The process runs at this moment; yes when it was held up before.
    pub fn observe(&mut self, now: Millis) -> bool {
        let paused = now - self.looked > MAX_PAUSE_MS;
        if paused {
            self.since = now;
        }
        self.looked = self.looked.max(now);
        paused
    }

    /// Since when it has run without being held up.
    pub fn running_since(&self) -> Millis {
        self.since
    }

    /// Whether the process has run since before a call's connection could have begun to wait.
    pub fn ran_since_before(&self, arrival: &Arrival) -> bool {
        arrival.queued_since >= self.since
    }

    /// The same, and the call can't be older than its caller's patience.
    pub fn is_recent(&self, now: Millis, arrival: &Arrival) -> bool {
        self.ran_since_before(arrival) && now - arrival.accepted <= MAX_CALL_AGE_MS
    }
}
