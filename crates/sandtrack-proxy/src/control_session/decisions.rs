//! Decisions of the session with the control plane: which control node is asked next, whose session is accepted, and when
//! another one is looked for. Pure: time comes in, no socket is touched here.
use crate::policy::doubled;
use sandtrack_protocol::frames::FORMAT;
use sandtrack_protocol::settings::{Settings, SESSION_PORT};
use sandtrack_tiers::Millis;
use std::time::Duration;

/// With a control node that hears no majority, a better one is looked for this often, in ms.
pub const DETACHED_LOOK_MS: Millis = 1000.0;

/// Addresses to try, nearest first, each once: this machine's own, those that control named, those of the seeds.
pub fn candidates(settings: &Settings, named: &[String]) -> Vec<String> {
    let seeds = settings.seed_nodes.iter().map(|seed| Settings::ip_of(seed));
    let seeds = seeds.map(|ip| settings.internal_address(ip, SESSION_PORT));
    let mut all: Vec<String> = Vec::new();
    let own = settings.internal_address(&settings.ip_address, SESSION_PORT);
    let own = settings.loss_counted.then_some(own);
    for address in own.into_iter().chain(named.iter().cloned()).chain(seeds) {
        if !all.contains(&address) {
            all.push(address);
        }
    }
    all
}

/// A control node that does not answer within this time, in ms, is passed over in the first round through all candidates ...
const CONNECT_FIRST_MS: Millis = 350.0;
/// ... and within this time in later ones, to which it doubles.
const CONNECT_MOST_MS: Millis = 2800.0;

/// How long a connection to a control node is waited for after so many rounds in vain: one far away is reached in the end,
/// and a dead one does not hold up those that are near.
pub fn connect_timeout(vain_rounds: u32) -> Duration {
    let patience = doubled(CONNECT_FIRST_MS, vain_rounds).min(CONNECT_MOST_MS);
    Duration::from_secs_f64(patience / 1000.0)
}

/// Whose sessions are accepted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Accepted {
    /// Only of control nodes that hear a majority of their kind.
    Attached,
    /// Also of detached ones: they give the list of upstreams, and hold the place in the directory.
    Any,
}

impl Accepted {
    /// What a round through all candidates accepts. A proxy that is ready accepts a detached one only after a round in
    /// vain; one that is not has nothing to lose by it: such a node gives it no configuration before it is attached.
    pub fn in_round(is_ready: bool, vain_rounds: u32) -> Accepted {
        match is_ready && vain_rounds.is_multiple_of(2) {
            true => Accepted::Attached,
            false => Accepted::Any,
        }
    }
}

/// Why a session was not accepted.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Refused {
    #[error("its frames are of format {0}")]
    Format(u16),
    #[error("it hears no majority")]
    Detached,
}

/// Judges the first frame of a session.
///
/// # Errors
/// Why the session is not to be used.
pub fn judge_welcome(format: u16, attached: bool, accepted: Accepted) -> Result<(), Refused> {
    if format != FORMAT {
        return Err(Refused::Format(format));
    }
    if !attached && accepted == Accepted::Attached {
        return Err(Refused::Detached);
    }
    Ok(())
}

/// A session that stands. It is never given up because its control node is detached, only for one that is not.
#[derive(Clone, Debug)]
pub struct Standing {
    /// Since when its control node hears no majority.
    detached_since: Option<Millis>,
    looked: Millis,
}

impl Standing {
    pub fn new(now: Millis, attached: bool) -> Standing {
        Standing {
            detached_since: (!attached).then_some(now),
            looked: now,
        }
    }

    /// A beat of the control node.
    pub fn beat(&mut self, now: Millis, attached: bool) {
        self.detached_since = match attached {
            true => None,
            false => self.detached_since.or(Some(now)),
        };
    }

    /// Whether to ask the other control nodes now; it is counted as done if so.
    pub fn take_look(&mut self, now: Millis) -> bool {
        let due = self.detached_since.is_some_and(|since| {
            now - since > DETACHED_LOOK_MS && now - self.looked > DETACHED_LOOK_MS
        });
        if due {
            self.looked = now;
        }
        due
    }
}
