//! Why a response began late: the stage of the request that took longest. Pure.
use sandtrack_tiers::Millis;

/// What took longest of a request whose response began after its route's latency target.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum LatencyCause {
    /// It waited here for an upstream with capacity.
    AwaitingCapacity,
    /// Earlier attempts failed.
    FailedAttempts,
    /// The connection was established late.
    Connecting,
    /// It was queued and executed at an upstream of this region.
    Upstream,
    /// The same at an upstream of another region, with the round trip.
    RemoteUpstream,
}

impl LatencyCause {
    /// The name in logs and metrics, which operators' pages fix.
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
    /// Its first byte came.
    pub arrived_at: Millis,
    /// Its first attempt began.
    pub first_attempt_at: Millis,
    /// The attempt that was answered began.
    pub attempt_at: Millis,
    /// The write of that attempt's request began.
    pub write_started_at: Millis,
    /// The first part of the response came.
    pub responded_at: Millis,
    /// The upstream is in another region.
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
