//! What each peer reported, and when it was last heard.
use std::collections::BTreeMap;

use borsh::BorshSerialize;

use crate::message::Status;
use crate::{Address, Message};

/// After this time without a message a peer is forgotten.
const FORGET_AFTER_MS: f64 = 10_000.0;

#[derive(Clone, Debug, BorshSerialize)]
pub(crate) struct Peer {
    /// When a message of it came that was sent no earlier than all before: a late one is no sign of life.
    pub(crate) last_heard: f64,
    /// When a status of it came that says that it hears this process, and was sent no earlier than all statuses before.
    pub(crate) listed_at: f64,
    /// Of the message that came last, the latest message, and the latest status: when it was sent.
    sent: u64,
    latest_sent: u64,
    latest_status: u64,
    pub(crate) incarnation: u64,
    pub(crate) start: u64,
    pub(crate) epoch: u64,
    /// The latest view that it knows or accepted.
    pub(crate) highest_epoch: u64,
    pub(crate) status: Option<Status>,
    /// When it was last sent the view.
    pub(crate) view_sent_at: f64,
    /// When it was last sent a status.
    pub(crate) status_sent_at: f64,
    /// Its progress as an observer of this process.
    pub(crate) observer_progress: ObserverProgress,
}

/// How far an observer is with the entries sent from here.
#[derive(Clone, Copy, Debug, Default, BorshSerialize)]
pub(crate) struct ObserverProgress {
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
    /// Records a message; true if the sender is new or has restarted.
    pub(crate) fn on_message(&mut self, now: f64, from: &Address, message: &Message) -> bool {
        let Message {
            incarnation,
            start,
            epoch,
            highest_epoch,
            sent,
            ..
        } = *message;
        let peer = self.all.entry(from.clone()).or_insert_with(|| Peer {
            last_heard: now,
            listed_at: f64::NEG_INFINITY,
            sent,
            latest_sent: sent,
            latest_status: 0,
            incarnation,
            start: start.wrapping_add(1),
            epoch,
            highest_epoch,
            status: None,
            view_sent_at: f64::NEG_INFINITY,
            status_sent_at: f64::NEG_INFINITY,
            observer_progress: ObserverProgress::default(),
        });
        let is_new_process = (peer.start, peer.incarnation) != (start, incarnation);
        if is_new_process {
            peer.start = start;
            peer.incarnation = incarnation;
            peer.epoch = epoch;
            peer.highest_epoch = highest_epoch;
            peer.status = None;
            peer.listed_at = f64::NEG_INFINITY;
            peer.latest_sent = sent;
            peer.latest_status = 0;
            peer.observer_progress = ObserverProgress::default();
        }
        peer.sent = sent;
        if sent >= peer.latest_sent {
            peer.latest_sent = sent;
            peer.last_heard = now;
        }
        peer.epoch = peer.epoch.max(epoch);
        peer.highest_epoch = peer.highest_epoch.max(highest_epoch);
        is_new_process
    }

    pub(crate) fn status(&mut self, now: f64, from: &Address, me: &Address, status: Status) {
        if let Some(peer) = self
            .all
            .get_mut(from)
            .filter(|peer| peer.sent >= peer.latest_status)
        {
            peer.latest_status = peer.sent;
            if status.heard_from.contains(me) {
                peer.listed_at = now;
            }
            peer.status = Some(status);
        }
    }

    pub(crate) fn heard_within(&self, now: f64, span: f64) -> Vec<Address> {
        let heard = self
            .all
            .iter()
            .filter(|(_, peer)| now - peer.last_heard <= span);
        heard.map(|(address, _)| address.clone()).collect()
    }

    pub(crate) fn remove(&mut self, now: f64) {
        self.all
            .retain(|_, peer| now - peer.last_heard <= FORGET_AFTER_MS);
    }
}
