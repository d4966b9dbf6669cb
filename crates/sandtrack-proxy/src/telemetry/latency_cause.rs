//! Why a response started late: the stage of the request that took longest. No I/O.
use sandtrack_tiers::Millis;

/// The stage that took longest for a request whose response started after its route's latency target.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum LatencyCause {
    /// Waiting in this proxy for an upstream with capacity.
    AwaitingCapacity,
    /// Earlier attempts that failed.
    FailedAttempts,
    /// Establishing the connection.
    Connecting,
    /// Queueing and execution at an upstream in this region.
    Upstream,
    /// Queueing and execution at an upstream in another region, including the round trip.
    RemoteUpstream,
}

impl LatencyCause {
    /// The name in logs and metrics; the operators' documentation depends on it.
    #[must_use]
    pub fn name(self) -> &'static str {
        match self {
            LatencyCause::AwaitingCapacity => "held",
            LatencyCause::FailedAttempts => "resent",
            LatencyCause::Connecting => "connecting",
            LatencyCause::Upstream => "upstream",
            LatencyCause::RemoteUpstream => "far_upstream",
        }
    }
}

/// When a request reached each stage, in ms of the process's clock.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RequestTimeline {
    /// The request's first byte arrived.
    pub arrived_at: Millis,
    /// The first attempt started.
    pub first_attempt_at: Millis,
    /// The attempt that was answered started.
    pub attempt_at: Millis,
    /// The write of the request in that attempt started.
    pub write_started_at: Millis,
    /// The first part of the response arrived.
    pub responded_at: Millis,
    /// Whether the upstream is in another region.
    pub in_other_region: bool,
}

impl RequestTimeline {
    /// The stage that took longest.
    #[must_use]
    pub fn cause(&self) -> LatencyCause {
        let at_upstream = if self.in_other_region {
            LatencyCause::RemoteUpstream
        } else {
            LatencyCause::Upstream
        };
        let stages = [
            (
                self.first_attempt_at - self.arrived_at,
                LatencyCause::AwaitingCapacity,
            ),
            (
                self.attempt_at - self.first_attempt_at,
                LatencyCause::FailedAttempts,
            ),
            (
                self.write_started_at - self.attempt_at,
                LatencyCause::Connecting,
            ),
            (self.responded_at - self.write_started_at, at_upstream),
        ];
        let longest = stages
            .into_iter()
            .max_by(|one, other| one.0.total_cmp(&other.0));
        longest.map_or(at_upstream, |(_, cause)| cause)
    }
}
