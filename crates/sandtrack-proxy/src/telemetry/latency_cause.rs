//! Why an answer began late: the part of the way on which most of its time went. Pure.
use sandtrack_tiers::Millis;

/// What took longest of a request whose answer began behind its aim.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum LateCause {
    /// It waited here for an upstream with room.
    Held,
    /// Earlier sends came to nothing.
    Resent,
    /// The connection came up late.
    Connecting,
    /// It waited and was worked on at an upstream of this region.
    Upstream,
    /// The same at an upstream of another region, the way there included.
    FarUpstream,
}

impl LateCause {
    /// Its name in logs and figures.
    #[must_use]
    pub fn name(self) -> &'static str {
        match self {
            LateCause::Held => "held",
            LateCause::Resent => "resent",
            LateCause::Connecting => "connecting",
            LateCause::Upstream => "upstream",
            LateCause::FarUpstream => "far_upstream",
        }
    }
}

/// When a request came to each point of its way, in ms.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Timeline {
    /// Its first byte was there.
    pub arrived: Millis,
    /// Its first send began.
    pub first_send: Millis,
    /// The send that was answered began.
    pub send: Millis,
    /// That send's request was begun to be written.
    pub asked: Millis,
    /// The first part of the answer was there.
    pub answered: Millis,
    /// The upstream is in another region.
    pub far: bool,
}

impl Timeline {
    /// The part that took longest.
    #[must_use]
    pub fn cause(&self) -> LateCause {
        let at_upstream = if self.far {
            LateCause::FarUpstream
        } else {
            LateCause::Upstream
        };
        let parts = [
            (self.first_send - self.arrived, LateCause::Held),
            (self.send - self.first_send, LateCause::Resent),
            (self.asked - self.send, LateCause::Connecting),
            (self.answered - self.asked, at_upstream),
        ];
        let longest = parts
            .into_iter()
            .max_by(|one, other| one.0.total_cmp(&other.0));
        longest.map_or(at_upstream, |(_, cause)| cause)
    }
}
