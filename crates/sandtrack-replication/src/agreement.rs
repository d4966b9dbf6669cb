//! One view for each epoch: the view after `epoch` is decided among the voters of `epoch` by ballots. A
//! voter promises and accepts only on its disk, and a promise tells what was accepted before, so two views
//! of one epoch can't both be agreed upon.
use std::collections::{BTreeMap, BTreeSet};

use borsh::BorshSerialize;

use crate::message::{Ballot, Body};
use crate::reconfiguration::{desired, Known, Limits, Reason};
use crate::{Address, Effect, Member, Replica, StateMachine, View};

/// A joiner waits for this long, in milliseconds, so that several come in one view.
const JOIN_WAIT: f64 = 200.0;

/// The time and the pause of a proposal double this often at most.
const DOUBLINGS_MOST: u32 = 3;

#[derive(Clone, Default, BorshSerialize)]
pub(crate) struct Proposing {
    /// The change that is wanted, and since when.
    wanted: Option<(View, f64)>,
    /// No proposal before this.
    quiet_until: f64,
    round: u64,
    proposal: Option<Proposal>,
    jitter: Option<f64>,
    /// Proposals in a row that came to nothing.
    failures: u32,
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

impl Proposing {
    pub(crate) fn drop_all(&mut self) {
        *self = Self {
            round: 0,
            ..Self::default()
        };
    }

    /// Factor of the next proposal's time and of the pause before it: it doubles with each failure, so that voters far from
    /// each other end a proposal before it is given up, and do not outbid each other for ever.
    fn backoff(&self) -> f64 {
        f64::from(1u32 << self.failures.min(DOUBLINGS_MOST))
    }
}

impl<M: StateMachine> Replica<M> {
    pub(crate) fn take_prepare(
        &mut self,
        sender: &Member,
        ballot: Ballot,
        effects: &mut Vec<Effect>,
    ) {
        if !self.image.view.voters.contains(&self.me) {
            return;
        }
        match self.image.promised.clone() {
            Some(promised) if promised == ballot => {
                let accepted = self.image.accepted.clone();
                self.send(&sender.address, Body::Promise { ballot, accepted }, effects);
            }
            Some(promised) if promised > ballot => {
                self.send(&sender.address, Body::Outbid { ballot, promised }, effects);
            }
            _ => self.disk.want_promise(sender.address.clone(), ballot),
        }
    }

    pub(crate) fn take_accept(
        &mut self,
        sender: &Member,
        ballot: Ballot,
        view: View,
        effects: &mut Vec<Effect>,
    ) {
        if !self.image.view.voters.contains(&self.me) {
            return;
        }
        if self
            .image
            .accepted
            .as_ref()
            .is_some_and(|(accepted, _)| *accepted == ballot)
        {
            self.send(&sender.address, Body::Accepted { ballot }, effects);
            return;
        }
        match self.image.promised.clone() {
            Some(promised) if promised > ballot => {
                self.send(&sender.address, Body::Outbid { ballot, promised }, effects);
            }
            _ => self.disk.want_accept(sender.address.clone(), ballot, view),
        }
    }

    pub(crate) fn take_promise(
        &mut self,
        sender: &Member,
        ballot: Ballot,
        accepted: Option<(Ballot, View)>,
        effects: &mut Vec<Effect>,
    ) {
        let voters = self.image.view.voters.clone();
        let majority = self.image.view.majority();
        let Some(proposal) = &mut self.proposing.proposal else {
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
        let bound = proposal
            .promises
            .values()
            .flatten()
            .max_by(|one, other| one.0.cmp(&other.0));
        let bound = bound.map(|(_, view)| view.clone());
        let Some(view) = bound.or_else(|| self.desired_view(&self.known()).map(|(view, _)| view))
        else {
            self.proposing.proposal = None;
            return;
        };
        if let Some(proposal) = &mut self.proposing.proposal {
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

    pub(crate) fn take_accepted(
        &mut self,
        sender: &Member,
        ballot: Ballot,
        effects: &mut Vec<Effect>,
    ) {
        let majority = self.image.view.majority();
        let is_voter = self.image.view.voters.contains(sender);
        let Some(proposal) = self
            .proposing
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
        let mut told = self.peers();
        told.extend(view.addresses());
        told.sort();
        told.dedup();
        told.retain(|address| *address != self.me.address);
        for address in &told {
            self.send(address, Body::NewView(view.clone()), effects);
        }
        self.learn_view(view, effects);
    }

    pub(crate) fn take_outbid(&mut self, ballot: Ballot, promised: Ballot) {
        self.proposing.round = self.proposing.round.max(promised.round);
        if self
            .proposing
            .proposal
            .as_ref()
            .is_some_and(|proposal| proposal.ballot == ballot)
        {
            self.give_up_proposal();
        }
    }

    fn give_up_proposal(&mut self) {
        self.proposing.proposal = None;
        let wait = self.settings.timings.stagger * (0.5 + 2.0 * self.random.share());
        self.proposing.quiet_until = self.now + wait * self.proposing.backoff();
        self.proposing.failures = self.proposing.failures.saturating_add(1);
    }

    /// Proposes what is wanted once it has been wanted for long enough.
    pub(crate) fn agreement_tick(&mut self, effects: &mut Vec<Effect>) {
        if self.latest.epoch != self.image.view.epoch || !self.image.view.voters.contains(&self.me)
        {
            return;
        }
        if let Some(proposal) = &self.proposing.proposal {
            if self.now - proposal.started
                > self.settings.timings.proposal * self.proposing.backoff()
            {
                self.give_up_proposal();
            } else if self.now - proposal.sent > self.settings.timings.repeat {
                self.repeat_proposal(effects);
            }
            return;
        }
        // A view that some voter accepted has to be brought to its end while all are there: left alone, it could
        // come back when the members that it builds on are gone.
        let unfinished = self
            .image
            .accepted
            .clone()
            .map(|(_, view)| (view, Reason::Unfinished));
        let known = self.known();
        let Some((view, reason)) = self.desired_view(&known).or(unfinished) else {
            self.proposing.wanted = None;
            self.proposing.failures = 0;
            return;
        };
        let since = match &self.proposing.wanted {
            Some((wanted, since)) if wanted.chain == view.chain && wanted.voters == view.voters => {
                *since
            }
            _ => self.now,
        };
        self.proposing.wanted = Some((view, since));
        let jitter = match self.proposing.jitter {
            Some(jitter) => jitter,
            None => self.random.share() * 0.5,
        };
        self.proposing.jitter = Some(jitter);
        let wait = match reason {
            Reason::Lost => 0.0,
            Reason::Joined => JOIN_WAIT,
            Reason::Apart => self.settings.timings.silence,
            Reason::Unfinished => self.settings.timings.proposal / 2.0,
        };
        let stagger = (self.rank(&known) as f64 + jitter) * self.settings.timings.stagger;
        if self.now >= self.proposing.quiet_until
            && self.now - since >= wait + stagger
            && self.majority_near(&known)
        {
            self.propose(effects);
        }
    }

    fn propose(&mut self, effects: &mut Vec<Effect>) {
        let promised = self
            .image
            .promised
            .as_ref()
            .map_or(0, |ballot| ballot.round);
        self.proposing.round = self.proposing.round.max(promised) + 1;
        let ballot = Ballot {
            round: self.proposing.round,
            proposer: self.me.clone(),
            start: self.start,
        };
        self.proposing.jitter = None;
        self.proposing.proposal = Some(Proposal {
            ballot: ballot.clone(),
            started: self.now,
            sent: self.now,
            promises: BTreeMap::new(),
            view: None,
            accepted: BTreeSet::new(),
        });
        for voter in self.image.view.voters.clone() {
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
        let voters = self.image.view.voters.clone();
        let Some(proposal) = &mut self.proposing.proposal else {
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
    fn rank(&self, known: &BTreeMap<Address, Known>) -> usize {
        let alive = |member: &&Member| {
            known
                .get(&member.address)
                .is_some_and(|known| known.is_alive(member))
        };
        let view = &self.image.view;
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
    fn majority_near(&self, known: &BTreeMap<Address, Known>) -> bool {
        let near = self.image.view.voters.iter().filter(|voter| {
            known
                .get(&voter.address)
                .is_some_and(|known| known.is_alive(voter) && known.can_write())
        });
        near.count() >= self.image.view.majority()
    }

    fn desired_view(&self, known: &BTreeMap<Address, Known>) -> Option<(View, Reason)> {
        let limits = Limits {
            machines_borne: self.settings.machines_borne,
            zones_borne: self.settings.zones_borne,
            replace: self.settings.timings.replace,
        };
        desired(&self.image.view, &self.me, known, &limits)
    }

    /// What is known of each process that matters for the next view, this one too.
    pub(crate) fn known(&self) -> BTreeMap<Address, Known> {
        let silence = self.settings.timings.silence;
        let mut known = BTreeMap::new();
        for address in self.image.view.addresses() {
            known.insert(
                address,
                Known::unheard(self.now - self.awake_since, silence),
            );
        }
        for (address, peer) in &self.peers.all {
            let heard = self.now - peer.heard;
            let two_way = heard.max(self.now - peer.listed);
            let patience = silence + self.settings.timings.pulse;
            let Some(status) = &peer.status else {
                continue;
            };
            let entry = Known {
                incarnation: Some(peer.incarnation),
                zone: status.zone.clone(),
                disk: status.disk,
                epoch: peer.epoch,
                aligned: status.aligned,
                applied: status.applied,
                hears: status.hears.clone(),
                heard: heard <= silence,
                alive: heard <= silence && two_way <= patience,
                silent: two_way.min(self.now - self.awake_since) > silence,
                silent_for: heard.min(self.now - self.awake_since),
            };
            known.insert(address.clone(), entry);
        }
        let me = self.status();
        let own = Known {
            incarnation: Some(self.me.incarnation),
            zone: me.zone,
            disk: me.disk,
            epoch: self.image.view.epoch,
            aligned: me.aligned,
            applied: me.applied,
            hears: me.hears,
            heard: true,
            alive: true,
            silent: false,
            silent_for: 0.0,
        };
        known.insert(self.me.address.clone(), own);
        known
    }
}
