//! Elects the control node that polls the platform's list, so that only one of them uses up the platform's rate limit. The lease
//! has a term that only rises; the holder renews it by its heartbeats.
use crate::peer_frames::PollerLease;
use crate::Millis;
use sandtrack_invariants::{check, Invariant};
use sandtrack_replication::Address;
use std::collections::BTreeMap;

/// A holder that is silent for this long, in ms, may be replaced.
pub const HOLDER_TIMEOUT_MS: Millis = 800.0;
/// A control node that hears no holder for this long, in ms, and can't get a majority polls as a fallback.
const FALLBACK_POLLING_MS: Millis = 1600.0;

/// What a heartbeat of another control node says of the lease.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct PeerReport {
    /// The highest lease that it knows of.
    pub lease: PollerLease,
    /// It has not heard the holder for too long either.
    pub holder_timed_out: bool,
}

/// The election as one control node sees it. The holder of the highest lease polls. When it shuts down it names its successor;
/// when it fails, the next control node in order takes over once a majority of the voters reports that it timed out.
#[derive(Clone, Debug)]
pub struct PollerElection {
    own_address: Address,
    lease: PollerLease,
    /// When the holder was heard last.
    last_heartbeat: Millis,
}

impl PollerElection {
    /// Without a known holder.
    pub fn new(own_address: &str, now: Millis) -> PollerElection {
        PollerElection {
            own_address: own_address.to_owned(),
            lease: PollerLease::default(),
            last_heartbeat: now,
        }
    }

    /// The highest lease that is known here.
    pub fn lease(&self) -> &PollerLease {
        &self.lease
    }

    /// Whether this control node holds the role.
    pub fn is_holder(&self) -> bool {
        self.lease.holder == self.own_address
    }

    /// Whether the list is taken that another control node has read: from the holder, or from anyone while no holder is known.
    /// One that fell silent may have been replaced, and what it sent before comes too late; the digest in the next heartbeat
    /// of the holder tells what lacks.
    pub fn accepts_endpoints_from(&self, peer: &str) -> bool {
        self.lease.term == 0 || self.lease.holder == peer
    }

    /// Whether the holder was not heard for long.
    pub fn is_holder_timed_out(&self, now: Millis) -> bool {
        !self.is_holder() && now - self.last_heartbeat > HOLDER_TIMEOUT_MS
    }

    /// Whether this one is to read: as the holder, or for itself, as it hears nobody who does.
    pub fn should_poll(&self, now: Millis) -> bool {
        self.is_holder() || now - self.last_heartbeat > FALLBACK_POLLING_MS
    }

    /// Another control node says who holds.
    pub fn observe_lease(&mut self, now: Millis, from: &str, lease: &PollerLease) {
        if *lease > self.lease {
            self.adopt(lease.clone());
            // One that was named by another is given its time to begin.
            self.last_heartbeat = now;
        }
        if *lease == self.lease && self.lease.holder == from {
            self.last_heartbeat = now;
        }
    }

    fn adopt(&mut self, lease: PollerLease) {
        check(
            Invariant::PollerTermRises,
            lease.term >= self.lease.term,
            || format!("term {} behind {}", lease.term, self.lease.term),
        );
        self.lease = lease;
    }

    /// This process did not run for a while: what it holds may be another's by now, who has to be heard first.
    pub fn reset_after_pause(&mut self, now: Millis) {
        if self.is_holder() {
            self.lease.holder = Address::new();
        }
        self.last_heartbeat = now;
    }

    /// Claims the role where it is this one's turn: `order` is who may, in turn; `live` what those heard of said last;
    /// `voters` whose majority it needs.
    pub fn take_over(
        &mut self,
        now: Millis,
        candidates: &[Address],
        live_peers: &BTreeMap<Address, PeerReport>,
        voters: &[Address],
    ) -> bool {
        let may_claim_first_term =
            self.lease.term == 0 && candidates.first() == Some(&self.own_address);
        if !self.is_holder_timed_out(now) && !may_claim_first_term {
            return false;
        }
        if self.is_holder()
            || self.successor(candidates, |address| live_peers.contains_key(address))
                != Some(&self.own_address)
        {
            return false;
        }
        // Where there never was a holder, nobody can miss it: a majority that knows of none is enough. A process that starts
        // while it is cut off knows of none either, and has no majority.
        let is_first = self.lease.term == 0;
        let consents = |address: &&Address| {
            **address == self.own_address
                || live_peers.get(*address).is_some_and(|report| {
                    (is_first || report.holder_timed_out) && report.lease <= self.lease
                })
        };
        let consenting = voters.iter().filter(consents).count();
        if 2 * consenting <= voters.len() {
            return false;
        }
        self.adopt(PollerLease {
            term: self.lease.term + 1,
            holder: self.own_address.clone(),
        });
        true
    }

    /// The next after the holder that is there; it may be this one.
    fn successor<'a>(
        &self,
        candidates: &'a [Address],
        is_live: impl Fn(&str) -> bool,
    ) -> Option<&'a Address> {
        let after = candidates
            .iter()
            .position(|address| *address == self.lease.holder)
            .map_or(0, |at| at + 1);
        let turn = candidates.iter().cycle().skip(after).take(candidates.len());
        turn.into_iter().find(|address| {
            **address != self.lease.holder && (**address == self.own_address || is_live(address))
        })
    }

    /// Names the successor of one that leaves; yes where there is one.
    pub fn hand_over(
        &mut self,
        candidates: &[Address],
        live_peers: &BTreeMap<Address, PeerReport>,
    ) -> bool {
        let next = self
            .successor(candidates, |address| live_peers.contains_key(address))
            .filter(|next| **next != self.own_address)
            .cloned();
        match next {
            Some(holder) if self.is_holder() => {
                self.adopt(PollerLease {
                    term: self.lease.term + 1,
                    holder,
                });
                true
            }
            _ => false,
        }
    }
}
