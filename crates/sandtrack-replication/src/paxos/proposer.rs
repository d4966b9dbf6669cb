//! The proposer: chooses a ballot, collects promises and acceptances, and announces the decided view.
use std::collections::{BTreeMap, BTreeSet};

use borsh::BorshSerialize;

use crate::message::{Ballot, Body};
use crate::reconfiguration::{next_view, ChangeReason, PeerState, ReconfigurationPolicy};
use crate::{Address, Effect, Member, Replica, StateMachine, View};

/// Delay of a change that only adds members, so that several joiners share one view.
const JOIN_DELAY_MS: f64 = 200.0;

/// Timeout and backoff of proposals double at most this often.
const MAX_BACKOFF_DOUBLINGS: u32 = 3;

#[derive(Clone, Default, BorshSerialize)]
pub(crate) struct Proposer {
    /// The view that this process would propose, and since when.
    wanted: Option<(View, f64)>,
    /// No proposal before this time.
    backoff_until: f64,
    /// The highest round of any ballot seen in this epoch.
    round: u64,
    /// The proposal in progress.
    proposal: Option<Proposal>,
    /// Random part of the delay before the next proposal, as a factor of `Timings::proposer_stagger`.
    jitter: Option<f64>,
    /// Proposals in a row that were abandoned.
    consecutive_failures: u32,
}

#[derive(Clone, BorshSerialize)]
struct Proposal {
    ballot: Ballot,
    started_at: f64,
    /// When prepares or accepts were last sent.
    sent_at: f64,
    promises: BTreeMap<Member, Option<(Ballot, View)>>,
    /// The view that is proposed, once a majority has promised.
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

    /// Factor of the next proposal's timeout and of the delay before it. It doubles with each failure, so that voters far
    /// from each other complete a proposal before its timeout, and don't preempt each other for ever.
    fn backoff(&self) -> f64 {
        f64::from(1u32 << self.consecutive_failures.min(MAX_BACKOFF_DOUBLINGS))
    }
}

impl<M: StateMachine> Replica<M> {
    /// Phase 1b: once a majority has promised, proposes the view of the highest ballot accepted before, or the wanted one.
    pub(crate) fn handle_promise(
        &mut self,
        sender: &Member,
        ballot: &Ballot,
        accepted: Option<(Ballot, View)>,
        effects: &mut Vec<Effect>,
    ) {
        let voters = self.durable.view.voters.clone();
        let majority = self.durable.view.majority();
        let Some(proposal) = &mut self.proposer.proposal else {
            return;
        };
        if proposal.ballot != *ballot || proposal.view.is_some() || !voters.contains(sender) {
            return;
        }
        proposal.promises.insert(sender.clone(), accepted);
        if proposal.promises.len() < majority {
            return;
        }
        // A view that may have been decided already has to be proposed again.
        let accepted = proposal
            .promises
            .values()
            .flatten()
            .max_by(|one, other| one.0.cmp(&other.0));
        let accepted = accepted.map(|(_, view)| view.clone());
        let Some(view) =
            accepted.or_else(|| self.next_view(&self.peer_states()).map(|(view, _)| view))
        else {
            self.proposer.proposal = None;
            return;
        };
        if let Some(proposal) = &mut self.proposer.proposal {
            proposal.view = Some(view.clone());
            proposal.sent_at = self.now;
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

    /// Phase 2b: a view that a majority has accepted is decided, and announced to all.
    pub(crate) fn handle_accepted(
        &mut self,
        sender: &Member,
        ballot: &Ballot,
        effects: &mut Vec<Effect>,
    ) {
        let majority = self.durable.view.majority();
        let is_voter = self.durable.view.voters.contains(sender);
        let Some(proposal) = self
            .proposer
            .proposal
            .as_mut()
            .filter(|proposal| proposal.ballot == *ballot)
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
        let mut recipients = self.peers();
        recipients.extend(view.addresses());
        recipients.sort();
        recipients.dedup();
        recipients.retain(|address| *address != self.me.address);
        for address in &recipients {
            self.send(address, Body::NewView(view.clone()), effects);
        }
        self.learn_view(view, effects);
    }

    /// A voter has promised a higher ballot: retries later with a still higher one.
    pub(crate) fn handle_preempted(&mut self, ballot: &Ballot, promised: &Ballot) {
        self.proposer.round = self.proposer.round.max(promised.round);
        if self
            .proposer
            .proposal
            .as_ref()
            .is_some_and(|proposal| proposal.ballot == *ballot)
        {
            self.abandon_proposal();
        }
    }

    /// Drops the proposal and delays the next one.
    fn abandon_proposal(&mut self) {
        self.proposer.proposal = None;
        let wait =
            self.settings.timings.proposer_stagger * (0.5 + 2.0 * self.random.next_unit_f64());
        self.proposer.backoff_until = self.now + wait * self.proposer.backoff();
        self.proposer.consecutive_failures = self.proposer.consecutive_failures.saturating_add(1);
    }

    /// Proposes the wanted view once it has been wanted for long enough, and retries or abandons a proposal in progress.
    pub(crate) fn proposer_tick(&mut self, effects: &mut Vec<Effect>) {
        if self.latest_view.epoch != self.durable.view.epoch
            || !self.durable.view.voters.contains(&self.me)
        {
            return;
        }
        if let Some(proposal) = &self.proposer.proposal {
            if self.now - proposal.started_at
                > self.settings.timings.proposal_timeout * self.proposer.backoff()
            {
                self.abandon_proposal();
            } else if self.now - proposal.sent_at > self.settings.timings.retry_interval {
                self.resend_proposal(effects);
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
        let peers = self.peer_states();
        let Some((view, reason)) = self.next_view(&peers).or(unfinished) else {
            self.proposer.wanted = None;
            self.proposer.consecutive_failures = 0;
            return;
        };
        let wanted_since = match &self.proposer.wanted {
            Some((wanted, wanted_since))
                if wanted.chain == view.chain && wanted.voters == view.voters =>
            {
                *wanted_since
            }
            _ => self.now,
        };
        self.proposer.wanted = Some((view, wanted_since));
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
        let stagger = (self.rank(&peers) as f64 + jitter) * self.settings.timings.proposer_stagger;
        if self.now >= self.proposer.backoff_until
            && self.now - wanted_since >= wait + stagger
            && self.is_majority_connected(&peers)
        {
            self.propose(effects);
        }
    }

    /// Phase 1a: starts a proposal under a new ballot.
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
            started_at: self.now,
            sent_at: self.now,
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

    /// Sends the messages of the current phase again to the voters that have not answered.
    fn resend_proposal(&mut self, effects: &mut Vec<Effect>) {
        let voters = self.durable.view.voters.clone();
        let Some(proposal) = &mut self.proposer.proposal else {
            return;
        };
        proposal.sent_at = self.now;
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

    /// The rank of this process among the voters that may propose: the chain first, then the rest.
    fn rank(&self, peers: &BTreeMap<Address, PeerState>) -> usize {
        let alive = |member: &&Member| {
            peers
                .get(&member.address)
                .is_some_and(|peer| peer.is_alive(member))
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
    fn is_majority_connected(&self, peers: &BTreeMap<Address, PeerState>) -> bool {
        let connected = self.durable.view.voters.iter().filter(|voter| {
            peers
                .get(&voter.address)
                .is_some_and(|peer| peer.is_alive(voter) && peer.can_write())
        });
        connected.count() >= self.durable.view.majority()
    }

    /// The view that should follow, as far as this process can see.
    fn next_view(&self, peers: &BTreeMap<Address, PeerState>) -> Option<(View, ChangeReason)> {
        let policy = ReconfigurationPolicy {
            tolerated_machine_losses: self.settings.tolerated_machine_losses,
            tolerated_zone_losses: self.settings.tolerated_zone_losses,
            voter_replacement_timeout: self.settings.timings.voter_replacement_timeout,
        };
        next_view(&self.durable.view, &self.me, peers, &policy)
    }
}
