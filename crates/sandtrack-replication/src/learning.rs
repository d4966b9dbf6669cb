//! Processes outside the chain learn what is committed from a member of it; each picks one, so that not all
//! ask the same. What is committed stays so, whichever the epoch.
use std::cmp::Ordering;
use std::collections::BTreeMap;

use borsh::BorshSerialize;

use crate::alignment::LOT;
use crate::chain::SLOWEST_LINK;
use crate::message::{Body, DiskHealth, Entry, Status};
use crate::peers::Learned;
use crate::{Address, Effect, Member, Replica, StateMachine};

/// Bytes that may be on their way to an observer when more is sent.
const WINDOW: usize = LOT;
/// An observer tells what it has learned after so many bytes, also before its next pulse.
const TOLD_AFTER: usize = LOT / 4;
/// Entries that an observer keeps while one in front of them lacks.
const EARLY: usize = 256;

/// What an observer keeps of what it is taught.
#[derive(Clone, Debug, Default, BorshSerialize)]
pub(crate) struct Learning {
    /// Bytes that it learned since it last told its source of them.
    untold: usize,
    /// Committed entries that came before one in front of them, by their numbers.
    early: BTreeMap<u64, Entry>,
}

impl Learning {
    /// Keeps an entry that is not the next one, as long as there are few.
    fn keep(&mut self, entry: Entry) {
        if self.early.len() < EARLY && entry.size() <= LOT {
            self.early.insert(entry.at.number, entry);
        }
    }
}

impl<M: StateMachine> Replica<M> {
    /// Picks whom to learn from: a member of the chain that was heard of late, or else whoever knows more.
    pub(crate) fn choose_source(&mut self) {
        let near = self
            .peers
            .heard_within(self.now, self.settings.timings.silence * 2.0);
        if self.in_chain() {
            self.source = None;
            return;
        }
        let chain = &self.latest.chain;
        let fits = |address: &Address| {
            near.contains(address) && chain.iter().any(|member| member.address == *address)
        };
        if self.source.as_ref().is_some_and(fits) {
            return;
        }
        let sum: usize = self.me.address.bytes().map(usize::from).sum();
        let turned = (0..chain.len()).map(|step| &chain[(sum + step) % chain.len()].address);
        let knows_more = |address: &&Address| {
            let status = self
                .peers
                .all
                .get(*address)
                .and_then(|peer| peer.status.as_ref());
            status.is_some_and(|status| status.applied > self.applied.at.number)
        };
        let source = turned
            .into_iter()
            .find(|address| fits(address))
            .or_else(|| near.iter().find(knows_more));
        self.source = source.cloned();
    }

    /// Sends one observer what it lacks, if it wants to learn from this process.
    pub(crate) fn teach(&mut self, to: &Address, status: &Status, effects: &mut Vec<Effect>) {
        let last = self.applied.at.number;
        if status.source.as_ref() != Some(&self.me.address) || status.applied >= last {
            return;
        }
        let Some(peer) = self.peers.all.get_mut(to) else {
            return;
        };
        let moved = status.applied > peer.learned.applied;
        if moved || peer.learned.sent <= status.applied {
            peer.learned = Learned {
                applied: status.applied,
                since: self.now,
                ..peer.learned
            };
        }
        let learned = peer.learned;
        // What is sent meanwhile does not count: while changes keep coming, a gap before them would never be filled.
        let under_way = self.image.bytes_between(status.applied, learned.sent);
        let patience = self.settings.timings.repeat * 2.0 + under_way as f64 / SLOWEST_LINK;
        let is_lost = self.now - learned.since > patience;
        let after = if is_lost {
            status.applied
        } else {
            learned.sent.max(status.applied)
        };
        if after >= last {
            return;
        }
        let follows =
            after >= self.image.base.number && self.image.at(last) == Some(self.applied.at);
        if !follows {
            return self.offer_snapshot(to, effects);
        }
        // More is sent when the observer tells that it has some of what is under way.
        if after > status.applied && under_way > WINDOW {
            return;
        }
        let entries = self.image.lot(after, last, LOT);
        let sent = entries.last().map_or(after, |entry| entry.at.number);
        peer.learned.sent = sent;
        if is_lost {
            peer.learned.since = self.now;
        }
        self.send(
            to,
            Body::Learn {
                entries,
                more: sent < last,
            },
            effects,
        );
    }

    /// Sends all observers that learn from here what was just committed.
    pub(crate) fn teach_all(&mut self, effects: &mut Vec<Effect>) {
        let silence = self.settings.timings.silence * 3.0;
        let learners: Vec<(Address, Status)> = self
            .peers
            .all
            .iter()
            .filter(|(_, peer)| self.now - peer.heard <= silence)
            .filter_map(|(address, peer)| Some((address.clone(), peer.status.clone()?)))
            .filter(|(_, status)| status.source.as_ref() == Some(&self.me.address))
            .collect();
        for (address, status) in learners {
            self.teach(&address, &status, effects);
        }
    }

    /// Takes committed entries in.
    pub(crate) fn take_learn(
        &mut self,
        sender: &Member,
        entries: Vec<Entry>,
        more: bool,
        effects: &mut Vec<Effect>,
    ) {
        for entry in entries {
            match entry.at.number.cmp(&(self.applied.at.number + 1)) {
                Ordering::Less => {}
                Ordering::Equal => self.learn(&entry, effects),
                Ordering::Greater => self.learning.keep(entry),
            }
        }
        self.learning
            .early
            .retain(|number, _| *number > self.applied.at.number);
        if self.learning.untold > TOLD_AFTER || more && self.learning.untold > 0 {
            self.learning.untold = 0;
            self.send_status(&sender.address, effects);
        }
    }

    /// Applies the next committed entry, and those that came before it.
    fn learn(&mut self, entry: &Entry, effects: &mut Vec<Effect>) {
        self.learning.untold += entry.size();
        self.apply(entry, effects);
        while let Some(next) = self.learning.early.remove(&(self.applied.at.number + 1)) {
            self.learning.untold += next.size();
            self.apply(&next, effects);
        }
    }

    /// Whether a process with a disk that is not in line lacks only what the log holds: without it, it would have to fetch
    /// the whole state once more.
    pub(crate) fn is_log_followed(&self) -> bool {
        let lacking = self.image.base.number..self.applied.at.number;
        let near = self
            .peers
            .all
            .values()
            .filter(|peer| self.now - peer.heard <= self.settings.timings.silence);
        let mut statuses = near.filter_map(|peer| peer.status.as_ref());
        statuses.any(|status| {
            let may_join =
                status.disk != DiskHealth::Absent && status.aligned != self.image.view.epoch;
            may_join && lacking.contains(&status.applied)
        })
    }

    /// Outside the chain, and lacking more than the log of the source holds: the chain would have to wait for a
    /// snapshot to be fetched if it took this process in now.
    pub(crate) fn is_far_behind(&self) -> bool {
        let Some(source) = self
            .source
            .as_ref()
            .filter(|_| !self.latest.chain.contains(&self.me))
        else {
            return false;
        };
        let status = self
            .peers
            .all
            .get(source)
            .and_then(|peer| peer.status.as_ref());
        status.is_none_or(|status| status.base > self.applied.at.number)
            || self.transfers.is_fetching()
    }
}
