//! Processes outside the chain learn what is committed from a member of it; each picks one, so that not all
//! ask the same. What is committed stays so, whichever the epoch.
use crate::alignment::LOT;
use crate::message::{Body, Entry, Status};
use crate::{Address, Effect, Member, Replica, StateMachine};

impl<M: StateMachine> Replica<M> {
    /// Picks whom to learn from: a member of the chain that was heard of late, or else whoever knows more.
    pub(crate) fn choose_source(&mut self) {
        let near = self.peers.heard_within(self.now, self.settings.timings.silence * 2.0);
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
            let status = self.peers.all.get(*address).and_then(|peer| peer.status.as_ref());
            status.is_some_and(|status| status.applied > self.applied.at.number)
        };
        let source =
            turned.into_iter().find(|address| fits(address)).or_else(|| near.iter().find(knows_more));
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
        let (taught, when) = peer.taught;
        let lately = self.now - when < self.settings.timings.repeat && taught > status.applied;
        let after = if lately { taught } else { status.applied };
        if after >= last {
            return;
        }
        let follows = after >= self.image.base.number && self.image.at(last) == Some(self.applied.at);
        if !follows {
            return self.offer_snapshot(to, effects);
        }
        // The next lot is sent when the observer tells of the one before.
        if self.image.bytes_between(status.applied, after) > LOT {
            return;
        }
        let entries = self.image.lot(after, last, LOT);
        let taught = entries.last().map_or(after, |entry| entry.at.number);
        peer.taught = (taught, self.now);
        self.send(to, Body::Learn { entries, more: taught < last }, effects);
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
        &mut self, sender: &Member, entries: Vec<Entry>, more: bool, effects: &mut Vec<Effect>,
    ) {
        let before = self.applied.at.number;
        for entry in entries {
            if entry.at.number == self.applied.at.number + 1 {
                self.apply(&entry, effects);
            }
        }
        if more && self.applied.at.number > before {
            self.send_status(&sender.address, effects);
        }
    }

    /// Outside the chain, and lacking more than the log of the source holds: the chain would have to wait for a
    /// snapshot to be fetched if it took this process in now.
    pub(crate) fn is_far_behind(&self) -> bool {
        let Some(source) = self.source.as_ref().filter(|_| !self.latest.chain.contains(&self.me)) else {
            return false;
        };
        let status = self.peers.all.get(source).and_then(|peer| peer.status.as_ref());
        status.is_none_or(|status| status.base > self.applied.at.number) || self.transfers.is_fetching()
    }
}
