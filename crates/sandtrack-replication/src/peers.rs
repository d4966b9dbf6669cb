//! Who was heard, when, and what they told of themselves.
use std::collections::BTreeMap;

use borsh::BorshSerialize;

use crate::message::Status;
use crate::{Address, Message};

/// Spans in milliseconds; a peer is forgotten after this silence, unless it is in the view.
const FORGET: f64 = 10_000.0;

#[derive(Clone, Debug, BorshSerialize)]
pub(crate) struct Peer {
    /// When a message of it came that was sent no earlier than all before: a late one is no sign of life.
    pub(crate) heard: f64,
    /// When a status of it came that says that it hears this process, and was sent no earlier than all statuses before.
    pub(crate) listed: f64,
    /// Of the message that came last, the latest message, and the latest status: when it was sent.
    sent: u64,
    latest_sent: u64,
    latest_status: u64,
    pub(crate) incarnation: u64,
    pub(crate) start: u64,
    pub(crate) epoch: u64,
    /// The latest view that it knows or accepted.
    pub(crate) bound: u64,
    pub(crate) status: Option<Status>,
    /// When it was last sent the view.
    pub(crate) view_sent: f64,
    /// When it was last sent a status.
    pub(crate) status_sent: f64,
    /// Where it is with what it learns from here.
    pub(crate) learned: Learned,
}

/// How far an observer is with what it learns from here.
#[derive(Clone, Copy, Debug, Default, BorshSerialize)]
pub(crate) struct Learned {
    /// Up to where it was sent entries.
    pub(crate) sent: u64,
    /// Up to where it said that it has them, and since when it has not come further.
    pub(crate) applied: u64,
    pub(crate) since: f64,
}

#[derive(Clone, Default, BorshSerialize)]
pub(crate) struct Peers {
    pub(crate) all: BTreeMap<Address, Peer>,
}

impl Peers {
    /// Takes note of a message; true when the sender is new or started anew.
    pub(crate) fn heard(&mut self, now: f64, from: &Address, message: &Message) -> bool {
        let Message {
            incarnation,
            start,
            epoch,
            bound,
            sent,
            ..
        } = *message;
        let peer = self.all.entry(from.clone()).or_insert_with(|| Peer {
            heard: now,
            listed: f64::NEG_INFINITY,
            sent,
            latest_sent: sent,
            latest_status: 0,
            incarnation,
            start: start.wrapping_add(1),
            epoch,
            bound,
            status: None,
            view_sent: f64::NEG_INFINITY,
            status_sent: f64::NEG_INFINITY,
            learned: Learned::default(),
        });
        let anew = (peer.start, peer.incarnation) != (start, incarnation);
        if anew {
            peer.start = start;
            peer.incarnation = incarnation;
            peer.epoch = epoch;
            peer.bound = bound;
            peer.status = None;
            peer.listed = f64::NEG_INFINITY;
            peer.latest_sent = sent;
            peer.latest_status = 0;
            peer.learned = Learned::default();
        }
        peer.sent = sent;
        if sent >= peer.latest_sent {
            peer.latest_sent = sent;
            peer.heard = now;
        }
        peer.epoch = peer.epoch.max(epoch);
        peer.bound = peer.bound.max(bound);
        anew
    }

    pub(crate) fn status(&mut self, now: f64, from: &Address, me: &Address, status: Status) {
        if let Some(peer) = self
            .all
            .get_mut(from)
            .filter(|peer| peer.sent >= peer.latest_status)
        {
            peer.latest_status = peer.sent;
            if status.hears.contains(me) {
                peer.listed = now;
            }
            peer.status = Some(status);
        }
    }

    pub(crate) fn heard_within(&self, now: f64, span: f64) -> Vec<Address> {
        let heard = self.all.iter().filter(|(_, peer)| now - peer.heard <= span);
        heard.map(|(address, _)| address.clone()).collect()
    }

    pub(crate) fn forget(&mut self, now: f64) {
        self.all.retain(|_, peer| now - peer.heard <= FORGET);
    }
}
