//! Decisions of the session with the control plane: which control node is tried next, whose session is accepted, and when
//! another one is searched for. Pure: time comes in, no socket is touched here.
use crate::policy::exponential_backoff;
use sandtrack_protocol::frames::FORMAT;
use sandtrack_protocol::settings::{Settings, SESSION_PORT_OFFSET};
use sandtrack_tiers::Millis;
use std::time::Duration;

/// While the control node is detached, an attached one is searched for this often, in ms.
pub const DETACHED_SEARCH_INTERVAL_MS: Millis = 1000.0;

/// A control node that does not answer within this time, in ms, is skipped in the first round through all candidates ...
const INITIAL_CONNECT_TIMEOUT_MS: Millis = 350.0;
/// ... and within this time in later ones, up to which it doubles.
const MAX_CONNECT_TIMEOUT_MS: Millis = 2800.0;

/// Addresses to try, nearest first, each once: this machine's own, those that control named, those of the seeds.
#[must_use]
pub fn candidates(settings: &Settings, named: &[String]) -> Vec<String> {
    let seeds = settings.seed_nodes.iter().map(|seed| Settings::ip_of(seed));
    let seeds = seeds.map(|ip| settings.internal_address(ip, SESSION_PORT_OFFSET));
    let own = settings.internal_address(&settings.ip_address, SESSION_PORT_OFFSET);
    let own = settings.loss_counted.then_some(own);
    let mut addresses: Vec<String> = Vec::new();
    for address in own.into_iter().chain(named.iter().cloned()).chain(seeds) {
        if !addresses.contains(&address) {
            addresses.push(address);
        }
    }
    addresses
}

/// How long a connection to a control node is waited for after so many failed rounds. It grows, so that a remote node is
/// reached in the end, and a dead one does not delay the near ones.
#[must_use]
pub fn connect_timeout(failed_rounds: u32) -> Duration {
    let timeout =
        exponential_backoff(INITIAL_CONNECT_TIMEOUT_MS, failed_rounds).min(MAX_CONNECT_TIMEOUT_MS);
    Duration::from_secs_f64(timeout / 1000.0)
}

/// Whose sessions are accepted. A control node is attached while it hears a majority of the control nodes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AcceptedNodes {
    /// Only those of attached control nodes.
    Attached,
    /// Also those of detached ones: they give the endpoint list, and keep this proxy in the directory.
    Any,
}

impl AcceptedNodes {
    /// What a round through all candidates accepts. A proxy that is ready accepts a detached node only after a failed
    /// round; one that is not loses nothing by it: such a node gives it no configuration before it is attached.
    #[must_use]
    pub fn for_round(is_ready: bool, failed_rounds: u32) -> AcceptedNodes {
        match is_ready && failed_rounds.is_multiple_of(2) {
            true => AcceptedNodes::Attached,
            false => AcceptedNodes::Any,
        }
    }
}

/// Why a session is not accepted.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum WelcomeError {
    /// The node speaks another format of frames.
    #[error("its frames are of format {0}")]
    Format(u16),
    /// The node is detached.
    #[error("it hears no majority")]
    Detached,
}

/// Checks the first frame of a session.
///
/// # Errors
/// Why the session is not accepted.
pub fn check_welcome(
    format: u16,
    attached: bool,
    accepted: AcceptedNodes,
) -> Result<(), WelcomeError> {
    if format != FORMAT {
        return Err(WelcomeError::Format(format));
    }
    if !attached && accepted == AcceptedNodes::Attached {
        return Err(WelcomeError::Detached);
    }
    Ok(())
}

/// Whether the control node of an established session is attached. A session with a detached node is never given up but for
/// one with an attached node.
#[derive(Clone, Debug)]
pub struct Attachment {
    /// Since when the control node is detached.
    detached_since: Option<Millis>,
    searched_at: Millis,
}

impl Attachment {
    /// Of a session that was established at `now`.
    #[must_use]
    pub fn new(now: Millis, attached: bool) -> Attachment {
        Attachment {
            detached_since: (!attached).then_some(now),
            searched_at: now,
        }
    }

    /// Takes a heartbeat of the control node.
    pub fn on_heartbeat(&mut self, now: Millis, attached: bool) {
        self.detached_since = match attached {
            true => None,
            false => self.detached_since.or(Some(now)),
        };
    }

    /// Whether to search for an attached control node now; if so, it counts as done.
    pub fn take_search_due(&mut self, now: Millis) -> bool {
        let due = self.detached_since.is_some_and(|since| {
            now - since > DETACHED_SEARCH_INTERVAL_MS
                && now - self.searched_at > DETACHED_SEARCH_INTERVAL_MS
        });
        if due {
            self.searched_at = now;
        }
        due
    }
}
