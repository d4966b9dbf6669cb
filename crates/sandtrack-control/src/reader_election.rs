//! Which control node reads the platform's list, so that one alone calls it. Pure: what the others say comes in, no socket
//! and no clock is touched here.
use crate::peer_frames::Claim;
use crate::Millis;
use sandtrack_invariants::{check, Invariant};
use sandtrack_replication::Address;
use std::collections::BTreeMap;

/// A holder that says nothing for so long, in ms, has lost its role.
pub const HOLDER_SILENT_MS: Millis = 800.0;
/// One that hears no holder for so long, in ms, and can't get a majority reads for itself.
const ALONE_MS: Millis = 1600.0;

/// What another control node said last of who reads.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct PeerReport {
    /// The highest claim that it knows of.
    pub claim: Claim,
    /// It does not hear the holder either.
    pub silent: bool,
}

/// Which control node reads the list: the holder of the highest claim. The holder names its successor when it can; when it
/// can't, a majority of those who agree on the view does, by saying that they do not hear it.
#[derive(Clone, Debug)]
pub struct ReaderElection {
    me: Address,
    claim: Claim,
    /// When the holder was heard last.
    heard: Millis,
}

impl ReaderElection {
    /// Nobody reads yet, as far as is known.
    pub fn new(me: &str, now: Millis) -> ReaderElection {
        ReaderElection {
            me: me.to_owned(),
            claim: Claim::default(),
            heard: now,
        }
    }

    /// The highest claim that is known here.
    pub fn claim(&self) -> &Claim {
        &self.claim
    }

    /// Whether this control node holds the role.
    pub fn is_holder(&self) -> bool {
        self.claim.holder == self.me
    }

    /// Whether the list is taken that another control node has read: from the holder, or from anyone while no holder is known.
    /// One that fell silent may have been replaced, and what it sent before comes too late; the digest in the next heartbeat
    /// of the holder tells what lacks.
    pub fn takes_list_of(&self, peer: &str) -> bool {
        self.claim.term == 0 || self.claim.holder == peer
    }

    /// Whether the holder was not heard for long.
    pub fn is_silent(&self, now: Millis) -> bool {
        !self.is_holder() && now - self.heard > HOLDER_SILENT_MS
    }

    /// Whether this one is to read: as the holder, or for itself, as it hears nobody who does.
    pub fn is_reading(&self, now: Millis) -> bool {
        self.is_holder() || now - self.heard > ALONE_MS
    }

    /// Another control node says who holds.
    pub fn heard_claim(&mut self, now: Millis, from: &str, claim: &Claim) {
        if *claim > self.claim {
            self.hold(claim.clone());
            // One that was named by another is given its time to begin.
            self.heard = now;
        }
        if *claim == self.claim && self.claim.holder == from {
            self.heard = now;
        }
    }

    fn hold(&mut self, claim: Claim) {
        check(
            Invariant::ReaderTermRises,
            claim.term >= self.claim.term,
            || format!("term {} behind {}", claim.term, self.claim.term),
        );
        self.claim = claim;
    }

    /// This process did not run for a while: what it holds may be another's by now, who has to be heard first.
    pub fn woke(&mut self, now: Millis) {
        if self.is_holder() {
            self.claim.holder = Address::new();
        }
        self.heard = now;
    }

    /// Claims the role where it is this one's turn: `order` is who may, in turn; `live` what those heard of said last;
    /// `voters` whose majority it needs.
    pub fn take_over(
        &mut self,
        now: Millis,
        order: &[Address],
        live: &BTreeMap<Address, PeerReport>,
        voters: &[Address],
    ) -> bool {
        let begins = self.claim.term == 0 && order.first() == Some(&self.me);
        if !self.is_silent(now) && !begins {
            return false;
        }
        if self.is_holder() || self.successor(order, |one| live.contains_key(one)) != Some(&self.me)
        {
            return false;
        }
        // Where there never was a holder, nobody can miss it: a majority that knows of none is enough. A process that starts
        // while it is cut off knows of none either, and has no majority.
        let is_first = self.claim.term == 0;
        let agrees = |one: &&Address| {
            **one == self.me
                || live
                    .get(*one)
                    .is_some_and(|report| (is_first || report.silent) && report.claim <= self.claim)
        };
        let agreed = voters.iter().filter(agrees).count();
        if 2 * agreed <= voters.len() {
            return false;
        }
        self.hold(Claim {
            term: self.claim.term + 1,
            holder: self.me.clone(),
        });
        true
    }

    /// The next after the holder that is there; it may be this one.
    fn successor<'a>(
        &self,
        order: &'a [Address],
        is_live: impl Fn(&str) -> bool,
    ) -> Option<&'a Address> {
        let after = order
            .iter()
            .position(|one| *one == self.claim.holder)
            .map_or(0, |at| at + 1);
        let turn = order.iter().cycle().skip(after).take(order.len());
        turn.into_iter()
            .find(|one| **one != self.claim.holder && (**one == self.me || is_live(one)))
    }

    /// Names the successor of one that leaves; yes where there is one.
    pub fn hand_over(&mut self, order: &[Address], live: &BTreeMap<Address, PeerReport>) -> bool {
        let next = self
            .successor(order, |one| live.contains_key(one))
            .filter(|next| **next != self.me)
            .cloned();
        match next {
            Some(holder) if self.is_holder() => {
                self.hold(Claim {
                    term: self.claim.term + 1,
                    holder,
                });
                true
            }
            _ => false,
        }
    }
}
