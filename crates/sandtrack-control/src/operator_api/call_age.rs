//! An upper bound of the age of an operator's call when it is read. A call that its caller has given up and repeated elsewhere
//! must not be executed as if it were new: the accept queue and the socket buffers may have held it while this process was
//! paused.
use crate::Millis;

/// A process that did not observe the clock for longer than this, in ms, was paused: calls that came meanwhile are rejected.
/// Together with [`MAX_CALL_AGE_MS`] it stays below the second after which callers repeat a call elsewhere.
pub const MAX_PAUSE_MS: Millis = 500.0;
/// Longest time from the accept of a connection until its call was read, in ms, for calls that carry no expected version by
/// which a repeated one is recognised. They have no body.
pub const MAX_CALL_AGE_MS: Millis = 400.0;

/// When a call's connection came. A connection carries one call, so these times bound its age.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Arrival {
    /// When the accept queue was last seen empty before the connection was accepted: it came after that.
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

/// Detects pauses of this process (a stopped process, a suspended machine) by gaps between its looks at the clock.
#[derive(Clone, Copy, Debug)]
pub struct PauseDetector {
    last_observed: Millis,
    running_since: Millis,
}

impl PauseDetector {
    /// The process starts now.
    pub fn new(now: Millis) -> PauseDetector {
        PauseDetector {
            last_observed: now,
            running_since: now,
        }
    }

    /// The process runs at this moment. Whether it was paused just before.
    pub fn observe(&mut self, now: Millis) -> bool {
        let paused = now - self.last_observed > MAX_PAUSE_MS;
        if paused {
            self.running_since = now;
        }
        self.last_observed = self.last_observed.max(now);
        paused
    }

    /// Since when it has run without a pause.
    pub fn running_since(&self) -> Millis {
        self.running_since
    }

    /// Whether the process has run without a pause since before the call's connection can have come.
    pub fn ran_since_arrival(&self, arrival: &Arrival) -> bool {
        arrival.queued_since >= self.running_since
    }

    /// The same, and the call is younger than [`MAX_CALL_AGE_MS`].
    pub fn is_recent(&self, now: Millis, arrival: &Arrival) -> bool {
        self.ran_since_arrival(arrival) && now - arrival.accepted <= MAX_CALL_AGE_MS
    }
}
