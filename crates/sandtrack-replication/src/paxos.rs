//! One view for each epoch: the view after `epoch` is decided among the voters of `epoch` by ballots. A
//! voter promises and accepts only on its disk, and a promise tells what was accepted before, so two views
//! of one epoch can't both be agreed upon.
use std::collections::{BTreeMap, BTreeSet};

use borsh::BorshSerialize;

use crate::message::{Ballot, Body};
use crate::reconfiguration::{next_view, ChangeReason, PeerState, ReconfigurationPolicy};
use crate::{Address, Effect, Member, Replica, StateMachine, View};

/// A joiner waits for this long, in milliseconds, so that several come in one view.
const JOIN_DELAY_MS: f64 = 200.0;

/// The time and the pause of a proposal double this often at most.
const MAX_BACKOFF_DOUBLINGS: u32 = 3;

#[derive(Clone, Default, BorshSerialize)]
pub(crate) struct Proposer {
    /// The change that is wanted, and since when.
    wanted: Option<(View, f64)>,
    /// No proposal before this.
    backoff_until: f64,
    round: u64,
    proposal: Option<Proposal>,
    jitter: Option<f64>,
    /// Proposals in a row that came to nothing.
    consecutive_failures: u32,
}

#[derive(Clone, BorshSerialize)]
struct Proposal {
    ballot: Ballot,
    started: f64,
    sent: f64,
    promises: BTreeMap<Member, Option<(Ballot, View)>>,
    /// Once a majority has promised.
    view: Option<View>,
    accepted: BTreeSet<Member>,
}

impl Proposer {
    pub(crate) fn reset(&mut self) {
        *self = Self {
            round: 0,
            ..Self::default()
        };
    }

    /// Factor of the next proposal's time and of the pause before it: it doubles with each failure, so that voters far from
    /// each other end a proposal before it is given up, and do not outbid each other for ever.
    fn backoff(&self) -> f64 {
        f64::from(1u32 << self.consecutive_failures.min(MAX_BACKOFF_DOUBLINGS))
    }
}

impl<M: StateMachine> Replica<M> {
    pub(crate) fn handle_prepare(
        &mut self,
        sender: &Member,
        ballot: Ballot,
        effects: &mut Vec<Effect>,
    ) {
        if !self.durable.view.voters.contains(&self.me) {
            return;
        }
        match self.durable.promised.clone() {
            Some(promised) if promised == ballot => {
                let accepted = self.durable.accepted.clone();
                self.send(&sender.address, Body::Promise { ballot, accepted }, effects);
            }
            Some(promised) if promised > ballot => {
                self.send(
                    &sender.address,
                    Body::Preempted { ballot, promised },
                    effects,
                );
            }
            _ => self.disk.request_promise(sender.address.clone(), ballot),
        }
    }

    pub(crate) fn handle_accept(
        &mut self,
        sender: &Member,
        ballot: Ballot,
        view: View,
        effects: &mut Vec<Effect>,
    ) {
        if !self.durable.view.voters.contains(&self.me) {
            return;
        }
        if self
            .durable
            .accepted
            .as_ref()
            .is_some_and(|(accepted, _)| *accepted == ballot)
        {
            self.send(&sender.address, Body::Accepted { ballot }, effects);
            return;
        }
        match self.durable.promised.clone() {
            Some(promised) if promised > ballot => {
                self.send(
                    &sender.address,
                    Body::Preempted { ballot, promised },
                    effects,
                );
            }
            _ => self
                .disk
                .request_accept(sender.address.clone(), ballot, view),
        }
    }

    pub(crate) fn handle_promise(
        &mut self,
        sender: &Member,
        ballot: Ballot,
        accepted: Option<(Ballot, View)>,
        effects: &mut Vec<Effect>,
    ) {
        let voters = self.durable.view.voters.clone();
        let majority = self.durable.view.majority();
        let Some(proposal) = &mut self.proposer.proposal else {
            return;
        };
        if proposal.ballot != ballot || proposal.view.is_some() || !voters.contains(sender) {
            return;
        }
        proposal.promises.insert(sender.clone(), accepted);
        if proposal.promises.len() < majority {
            return;
        }
        // What may have been agreed upon already has to stay.
        let highest_epoch = proposal
            .promises
            .values()
            .flatten()
            .max_by(|one, other| one.0.cmp(&other.0));
        let highest_epoch = highest_epoch.map(|(_, view)| view.clone());
        let Some(view) =
            highest_epoch.or_else(|| self.next_view(&self.known()).map(|(view, _)| view))
        else {
            self.proposer.proposal = None;
            return;
        };
        if let Some(proposal) = &mut self.proposer.proposal {
            proposal.view = Some(view.clone());
            proposal.sent = self.now;
        }
        for voter in voters {
            self.send(
                &voter.address,
                Body::Accept {
                    ballot: ballot.clone(),
                    view: view.clone(),
                },
                effects,
            );
        }
    }

    pub(crate) fn handle_accepted(
        &mut self,
        sender: &Member,
        ballot: Ballot,
        effects: &mut Vec<Effect>,
    ) {
        let majority = self.durable.view.majority();
        let is_voter = self.durable.view.voters.contains(sender);
        let Some(proposal) = self
            .proposer
            .proposal
            .as_mut()
            .filter(|proposal| proposal.ballot == ballot)
        else {
            return;
        };
        if is_voter {
            proposal.accepted.insert(sender.clone());
        }
        if proposal.accepted.len() < majority {
            return;
        }
        let Some(view) = proposal.view.clone() else {
            return;
        };
        let mut notified = self.peers();
        notified.extend(view.addresses());
        notified.sort();
        notified.dedup();
        notified.retain(|address| *address != self.me.address);
        for address in &notified {
            self.send(address, Body::NewView(view.clone()), effects);
        }
        self.learn_view(view, effects);
    }

    pub(crate) fn handle_preempted(&mut self, ballot: Ballot, promised: Ballot) {
        self.proposer.round = self.proposer.round.max(promised.round);
        if self
            .proposer
            .proposal
            .as_ref()
            .is_some_and(|proposal| proposal.ballot == ballot)
        {
            self.abandon_proposal();
        }
    }

    fn abandon_proposal(&mut self) {
        self.proposer.proposal = None;
        let wait =
            self.settings.timings.proposer_stagger * (0.5 + 2.0 * self.random.next_unit_f64());
        self.proposer.backoff_until = self.now + wait * self.proposer.backoff();
        self.proposer.consecutive_failures = self.proposer.consecutive_failures.saturating_add(1);
    }

    /// Proposes what is wanted once it has been wanted for long enough.
    pub(crate) fn proposer_tick(&mut self, effects: &mut Vec<Effect>) {
        if self.latest_view.epoch != self.durable.view.epoch
            || !self.durable.view.voters.contains(&self.me)
        {
            return;
        }
        if let Some(proposal) = &self.proposer.proposal {
            if self.now - proposal.started
                > self.settings.timings.proposal_timeout * self.proposer.backoff()
            {
                self.abandon_proposal();
            } else if self.now - proposal.sent > self.settings.timings.retry_interval {
                self.repeat_proposal(effects);
            }
            return;
        }
        // A view that some voter accepted has to be brought to its end while all are there: left alone, it could
        // come back when the members that it builds on are gone.
        let unfinished = self
            .durable
            .accepted
            .clone()
            .map(|(_, view)| (view, ChangeReason::UnfinishedProposal));
        let known = self.known();
        let Some((view, reason)) = self.next_view(&known).or(unfinished) else {
            self.proposer.wanted = None;
            self.proposer.consecutive_failures = 0;
            return;
        };
        let since = match &self.proposer.wanted {
            Some((wanted, since)) if wanted.chain == view.chain && wanted.voters == view.voters => {
                *since
            }
            _ => self.now,
        };
        self.proposer.wanted = Some((view, since));
        let jitter = match self.proposer.jitter {
            Some(jitter) => jitter,
            None => self.random.next_unit_f64() * 0.5,
        };
        self.proposer.jitter = Some(jitter);
        let wait = match reason {
            ChangeReason::MemberLost => 0.0,
            ChangeReason::MemberJoined => JOIN_DELAY_MS,
            ChangeReason::NeighboursDisconnected => self.settings.timings.failure_timeout,
            ChangeReason::UnfinishedProposal => self.settings.timings.proposal_timeout / 2.0,
        };
        let stagger = (self.rank(&known) as f64 + jitter) * self.settings.timings.proposer_stagger;
        if self.now >= self.proposer.backoff_until
            && self.now - since >= wait + stagger
            && self.is_majority_connected(&known)
        {
            self.propose(effects);
        }
    }

    fn propose(&mut self, effects: &mut Vec<Effect>) {
        let promised = self
            .durable
            .promised
            .as_ref()
            .map_or(0, |ballot| ballot.round);
        self.proposer.round = self.proposer.round.max(promised) + 1;
        let ballot = Ballot {
            round: self.proposer.round,
            proposer: self.me.clone(),
            start: self.start,
        };
        self.proposer.jitter = None;
        self.proposer.proposal = Some(Proposal {
            ballot: ballot.clone(),
            started: self.now,
            sent: self.now,
            promises: BTreeMap::new(),
            view: None,
            accepted: BTreeSet::new(),
        });
        for voter in self.durable.view.voters.clone() {
            self.send(
                &voter.address,
                Body::Prepare {
                    ballot: ballot.clone(),
                },
                effects,
            );
        }
    }

    fn repeat_proposal(&mut self, effects: &mut Vec<Effect>) {
        let voters = self.durable.view.voters.clone();
        let Some(proposal) = &mut self.proposer.proposal else {
            return;
        };
        proposal.sent = self.now;
        let ballot = proposal.ballot.clone();
        let mut bodies = Vec::new();
        for voter in voters {
            match &proposal.view {
                None if !proposal.promises.contains_key(&voter) => {
                    bodies.push((
                        voter.address,
                        Body::Prepare {
                            ballot: ballot.clone(),
                        },
                    ));
                }
                Some(view) if !proposal.accepted.contains(&voter) => {
                    let body = Body::Accept {
                        ballot: ballot.clone(),
                        view: view.clone(),
                    };
                    bodies.push((voter.address, body));
                }
                _ => {}
            }
        }
        for (address, body) in bodies {
            self.send(&address, body, effects);
        }
    }

    /// The place of this process among the voters that may propose: the chain first, then the rest.
    fn rank(&self, known: &BTreeMap<Address, PeerState>) -> usize {
        let alive = |member: &&Member| {
            known
                .get(&member.address)
                .is_some_and(|known| known.is_alive(member))
        };
        let view = &self.durable.view;
        let rest = view
            .voters
            .iter()
            .filter(|voter| !view.chain.contains(voter));
        let mut order = view
            .chain
            .iter()
            .filter(|member| view.voters.contains(member))
            .chain(rest)
            .filter(alive);
        order
            .position(|member| *member == self.me)
            .unwrap_or(view.voters.len())
    }

    /// Whether a majority of the voters is heard, hears this process, and can write.
    fn is_majority_connected(&self, known: &BTreeMap<Address, PeerState>) -> bool {
        let near = self.durable.view.voters.iter().filter(|voter| {
            known
                .get(&voter.address)
                .is_some_and(|known| known.is_alive(voter) && known.can_write())
        });
        near.count() >= self.durable.view.majority()
    }

    fn next_view(&self, known: &BTreeMap<Address, PeerState>) -> Option<(View, ChangeReason)> {
        let limits = ReconfigurationPolicy {
            tolerated_machine_losses: self.settings.tolerated_machine_losses,
            tolerated_zone_losses: self.settings.tolerated_zone_losses,
            voter_replacement_timeout: self.settings.timings.voter_replacement_timeout,
        };
        next_view(&self.durable.view, &self.me, known, &limits)
    }

    /// What is known of each process that matters for the next view, this one too.
    pub(crate) fn known(&self) -> BTreeMap<Address, PeerState> {
        let silence = self.settings.timings.failure_timeout;
        let mut known = BTreeMap::new();
        for address in self.durable.view.addresses() {
            known.insert(
                address,
                PeerState::never_heard(self.now - self.running_since, silence),
            );
        }
        for (address, peer) in &self.peers.all {
            let heard = self.now - peer.last_heard;
            let two_way = heard.max(self.now - peer.listed_at);
            let patience = silence + self.settings.timings.heartbeat_interval;
            let Some(status) = &peer.status else {
                continue;
            };
            let entry = PeerState {
                incarnation: Some(peer.incarnation),
                zone: status.zone.clone(),
                disk: status.disk,
                epoch: peer.epoch,
                in_sync_epoch: status.in_sync_epoch,
                applied: status.applied,
                hears: status.hears.clone(),
                is_heard: heard <= silence,
                is_connected: heard <= silence && two_way <= patience,
                is_silent: two_way.min(self.now - self.running_since) > silence,
                silent_for: heard.min(self.now - self.running_since),
            };
            known.insert(address.clone(), entry);
        }
        let me = self.status();
        let own = PeerState {
            incarnation: Some(self.me.incarnation),
            zone: me.zone,
            disk: me.disk,
            epoch: self.durable.view.epoch,
            in_sync_epoch: me.in_sync_epoch,
            applied: me.applied,
            hears: me.hears,
            is_heard: true,
            is_connected: true,
            is_silent: false,
            silent_for: 0.0,
        };
        known.insert(self.me.address.clone(), own);
        known
    }
}
