//! Contact with a majority, as the lease under which proxies are given configurations and evacuations. A process that
//! was frozen, cut off or away believes an old view; what it hands out on that belief would be an old configuration.
//! Pure: time is the process's own steady clock.
use crate::Millis;
use sandtrack_replication::{Address, View, ViewAttestation};
use std::collections::BTreeMap;

/// How long a word of a voter counts, in ms. Shorter than a freeze that nobody notices may be (`FROZEN_MS` of `node`),
/// so that what was heard before a freeze never counts after it.
pub const LEASE_MS: Millis = 600.0;
/// After a freeze, in ms, words are not counted: they may have lain in the sockets since before it. The other ends close
/// such links within their silence, or have said something new by then.
const DRAIN_MS: Millis = 300.0;

#[derive(Clone, Copy, Debug, PartialEq)]
struct Word {
    heard: Millis,
    /// What its replica said last; none before the first message of it.
    attestation: Option<ViewAttestation>,
}

/// What the voters said last, as far as it counts.
#[derive(Clone, Debug, Default)]
pub struct Contact {
    words: BTreeMap<Address, Word>,
    counts_from: Millis,
}

impl Contact {
    /// A frame of a peer came; `attestation` is that of its replica where the frame is of the replica.
    pub fn heard(&mut self, now: Millis, peer: &str, attestation: Option<ViewAttestation>) {
        if now < self.counts_from {
            return;
        }
        let word = self.words.entry(peer.to_owned()).or_insert(Word {
            heard: now,
            attestation,
        });
        word.heard = now;
        word.attestation = attestation.or(word.attestation);
    }

    /// The link with a peer is gone, or is a new one: what it knows is to be heard anew.
    pub fn lost(&mut self, peer: &str) {
        self.words.remove(peer);
    }

    /// This process was frozen: the lease is void until a majority is heard anew.
    pub fn woke(&mut self, now: Millis) {
        self.words.clear();
        self.counts_from = now + DRAIN_MS;
    }

    /// Whether a majority of the view's voters was heard within the lease, and neither knows nor accepted a later view.
    /// This process, at `me`, counts itself by the same rule.
    pub fn is_confirmed(&self, now: Millis, me: &str, own: ViewAttestation, view: &View) -> bool {
        let confirms = |address: &str| {
            if address == me {
                return own.confirms(address, view);
            }
            let word = self
                .words
                .get(address)
                .filter(|word| now - word.heard <= LEASE_MS);
            word.and_then(|word| word.attestation)
                .is_some_and(|attestation| attestation.confirms(address, view))
        };
        let confirming = view
            .voters
            .iter()
            .filter(|voter| confirms(&voter.address))
            .count();
        now >= self.counts_from && confirming >= view.majority()
    }
}
