//! The replica: its parts, its start, and who is handed what happened.
use std::collections::VecDeque;

use borsh::BorshSerialize;

use crate::agreement::Proposing;
use crate::alignment::{Aligning, Lot};
use crate::applied::Applied;
use crate::calls::Calls;
use crate::chain::ChainState;
use crate::disk::DiskState;
use crate::fragments::Fragments;
use crate::image::Image;
use crate::learning::Learning;
use crate::message::{Body, DiskHealth, Message, Status};
use crate::peers::Peers;
use crate::random::Random;
use crate::reconfiguration::is_needed;
use crate::transfer::Transfers;
use crate::{Address, Effect, Input, Member, Settings, StateMachine, View};

/// One control node's part in the control state.
#[derive(Clone, BorshSerialize)]
pub struct Replica<M> {
    /// Constant for one start of the process, so not part of its fingerprint.
    #[borsh(skip)]
    pub(crate) settings: Settings,
    pub(crate) me: Member,
    /// Another number at each start of the process.
    pub(crate) start: u64,
    pub(crate) random: Random,
    pub(crate) now: f64,
    /// Since when this process has run without a pause: silence counts from here.
    pub(crate) awake_since: f64,
    pub(crate) last_tick: f64,
    /// The latest view known, which may not be on the disk yet.
    pub(crate) latest: View,
    pub(crate) image: Image,
    pub(crate) disk: DiskState,
    #[borsh(bound(serialize = "M: StateMachine"))]
    pub(crate) applied: Applied<M>,
    pub(crate) peers: Peers,
    pub(crate) proposing: Proposing,
    pub(crate) chain: ChainState,
    pub(crate) aligning: Aligning,
    pub(crate) transfers: Transfers,
    pub(crate) fragments: Fragments,
    pub(crate) calls: Calls,
    /// Whom this process learns from while it is outside the chain.
    pub(crate) source: Option<Address>,
    pub(crate) learning: Learning,
    /// When those were last sent a status that were never heard.
    unheard_pulse: f64,
    leaving: bool,
    /// Messages to this process itself.
    inward: VecDeque<Message>,
}

impl<M: StateMachine> Replica<M> {
    /// A replica with what its WAL held; `now` in milliseconds of the steady clock. A WAL that can't be
    /// read counts as lost, like an empty one: the process comes back under a new incarnation.
    pub fn new(
        settings: Settings,
        recovered: Vec<Vec<u8>>,
        machine: M,
        now: f64,
    ) -> (Self, Vec<Effect>) {
        let mut random = Random::new(settings.seed);
        let start = random.number();
        let mut applied = Applied::new(machine);
        let mut effects = Vec::new();
        let image = Image::recover(&recovered)
            .filter(|image| {
                image
                    .member
                    .as_ref()
                    .is_some_and(|member| member.address == settings.me)
            })
            .filter(|image| {
                image
                    .snapshot
                    .as_ref()
                    .is_none_or(|snapshot| applied.restore(snapshot))
            });
        let known = image.is_some();
        let mut image = image.unwrap_or_else(Image::empty);
        image.snapshot = None;
        let is_seed = settings.first_start && settings.seeds.contains(&settings.me);
        let incarnation = if is_seed && !known {
            0
        } else {
            settings.incarnation_if_new
        };
        let new = Member {
            address: settings.me.clone(),
            incarnation,
        };
        let me = image.member.clone().unwrap_or(new);
        let mut replica = Self {
            start,
            random,
            now,
            awake_since: now,
            last_tick: now,
            latest: image.view.clone(),
            image,
            disk: DiskState::new(settings.disk, recovered.iter().map(Vec::len).sum()),
            applied,
            peers: Peers::default(),
            proposing: Proposing::default(),
            chain: ChainState::default(),
            aligning: Aligning::default(),
            transfers: Transfers::default(),
            fragments: Fragments::default(),
            calls: Calls::default(),
            source: None,
            learning: Learning::default(),
            unheard_pulse: f64::NEG_INFINITY,
            leaving: false,
            inward: VecDeque::new(),
            me,
            settings,
        };
        replica.apply_up_to(replica.image.committed, &mut Vec::new());
        if replica.applied.at.number > 0 {
            effects.push(Effect::Restored {
                number: replica.applied.at.number,
            });
        }
        if !known && is_seed {
            replica.latest = View::first(&replica.settings.seeds);
        }
        if replica.latest.epoch > 0 {
            effects.push(Effect::ViewIs(replica.latest.clone()));
        }
        if known {
            replica.enter(&mut effects);
        }
        replica.tick(&mut effects);
        replica.settle(&mut effects);
        (replica, effects)
    }

    /// Takes in what happened and appends what is to be done.
    pub fn handle(&mut self, now: f64, input: Input, effects: &mut Vec<Effect>) {
        self.now = self.now.max(now);
        match input {
            Input::Received { from, message } => self.received(&from, message, effects),
            Input::Written { ticket } => self.written(ticket, effects),
            Input::WriteFailed { ticket } => self.write_failed(ticket, effects),
            Input::Submit { call, command } => self.submit(call, command, effects),
            Input::Read { call, question } => self.read(call, question, effects),
            Input::Leave => self.leave(effects),
            Input::Tick => self.tick(effects),
        }
        self.settle(effects);
    }

    /// When `Input::Tick` is wanted, in milliseconds of the steady clock.
    pub fn next_tick(&self) -> f64 {
        self.last_tick + self.settings.timings.tick
    }

    /// The committed state as known here.
    pub fn machine(&self) -> &M {
        &self.applied.machine
    }

    /// The number of the last command in `machine()`.
    pub fn applied_number(&self) -> u64 {
        self.applied.at.number
    }

    /// The epoch in which the last command in `machine()` was entered.
    pub fn applied_epoch(&self) -> u64 {
        self.applied.at.epoch
    }

    /// This process as the views name it.
    pub fn member(&self) -> &Member {
        &self.me
    }

    /// The latest view known here; epoch 0 while none is.
    pub fn view(&self) -> &View {
        &self.latest
    }

    /// Links of the known control processes without this one: chain, voters, observers.
    pub fn peers(&self) -> Vec<Address> {
        let mut all = self.latest.addresses();
        if self.latest.epoch == 0 {
            all.extend(self.settings.seeds.clone());
        }
        for (address, peer) in &self.peers.all {
            all.push(address.clone());
            all.extend(peer.status.iter().flat_map(|status| status.hears.clone()));
        }
        all.sort();
        all.dedup();
        all.retain(|address| *address != self.me.address);
        all
    }

    /// Whether this process is in the chain of the view on its disk, and knows of no later one.
    pub(crate) fn in_chain(&self) -> bool {
        self.image.view.epoch == self.latest.epoch && self.image.view.position(&self.me).is_some()
    }

    /// In the chain, and in line with it.
    pub(crate) fn in_line(&self) -> bool {
        self.in_chain() && self.image.aligned == self.image.view.epoch
    }

    pub(crate) fn is_head(&self) -> bool {
        self.in_line() && self.image.view.is_head(&self.me)
    }

    pub(crate) fn send(&mut self, to: &Address, body: Body, effects: &mut Vec<Effect>) {
        let message = Message {
            incarnation: self.me.incarnation,
            start: self.start,
            epoch: self.image.view.epoch,
            bound: self.bound(),
            sent: (self.now * 1000.0) as u64,
            body: Box::new(body),
        };
        if *to == self.me.address {
            self.inward.push_back(message);
        } else {
            self.transmit(to, message, effects);
        }
    }

    /// Works off what the process told itself, and starts a write when one is due.
    fn settle(&mut self, effects: &mut Vec<Effect>) {
        loop {
            self.write_next(effects);
            let Some(message) = self.inward.pop_front() else {
                return;
            };
            let me = self.me.clone();
            self.take(&me, message, effects);
        }
    }

    fn received(&mut self, from: &Address, message: Message, effects: &mut Vec<Effect>) {
        if *from == self.me.address {
            return;
        }
        let anew = self.peers.heard(self.now, from, &message);
        if anew {
            self.fragments.forget(from);
            self.send_status(from, effects);
        }
        self.tell_views(from, &message, effects);
        let sender = Member {
            address: from.clone(),
            incarnation: message.incarnation,
        };
        self.take(&sender, message, effects);
    }

    pub(crate) fn take(&mut self, sender: &Member, message: Message, effects: &mut Vec<Effect>) {
        let now_in = message.epoch == self.image.view.epoch && message.epoch == self.latest.epoch;
        match *message.body {
            Body::Status(status) => self.take_status(sender, message.epoch, status, effects),
            Body::NewView(view) => self.learn_view(view, effects),
            Body::Submit {
                call,
                command,
                hops,
            } => {
                self.take_submit(sender, call, command, hops, effects);
            }
            Body::Read {
                call,
                question,
                hops,
            } => self.take_read(sender, call, question, hops, effects),
            Body::Outcome { call, outcome } => self.take_outcome(call, outcome, effects),
            Body::DiskFull { call, head } => self.take_disk_full(call, head, effects),
            Body::ReadOutcome { call, answer } => self.take_read_outcome(call, answer, effects),
            Body::Learn { entries, more } => self.take_learn(sender, entries, more, effects),
            Body::Offer(id) => self.take_offer(sender, id, effects),
            Body::Fetch { id, offset } => self.take_fetch(sender, id, offset, effects),
            Body::Piece { id, offset, bytes } => {
                self.take_piece(sender, id, offset, bytes, effects)
            }
            Body::Fragment {
                id,
                length,
                offset,
                bytes,
            } => {
                self.take_fragment(sender, id, length, offset, bytes, effects);
            }
            Body::FragmentTaken { id, received } => {
                self.take_fragment_taken(sender, id, received, effects)
            }
            // What follows belongs to one epoch, and is refused in any other.
            _ if !now_in => {}
            Body::Prepare { ballot } => self.take_prepare(sender, ballot, effects),
            Body::Promise { ballot, accepted } => {
                self.take_promise(sender, ballot, accepted, effects)
            }
            Body::Accept { ballot, view } => self.take_accept(sender, ballot, view, effects),
            Body::Accepted { ballot } => self.take_accepted(sender, ballot, effects),
            Body::Outbid { ballot, promised } => self.take_outbid(ballot, promised),
            Body::Align { ends, applied } => self.take_align(sender, &ends, applied, effects),
            Body::InLine {
                after,
                on_applied,
                entries,
                more,
            } => {
                self.take_in_line(
                    sender,
                    Lot {
                        after,
                        on_applied,
                        entries,
                        more,
                    },
                );
            }
            Body::Pass { entries } => self.take_pass(sender, entries),
            Body::Ack { synced, committed } => self.take_ack(sender, synced, committed, effects),
            Body::ReadPass {
                call,
                question,
                reply_to,
            } => {
                self.take_read_pass(sender, call, question, reply_to, effects);
            }
        }
    }

    /// Who is behind gets the view; who is ahead is asked for it by a status.
    fn tell_views(&mut self, from: &Address, message: &Message, effects: &mut Vec<Effect>) {
        let now = self.now;
        let Some(peer) = self.peers.all.get_mut(from) else {
            return;
        };
        if now - peer.view_sent < self.settings.timings.tick * 2.0 {
            return;
        }
        if message.epoch < self.latest.epoch {
            peer.view_sent = now;
            let view = self.latest.clone();
            self.send(from, Body::NewView(view), effects);
        } else if message.epoch > self.latest.epoch && !matches!(*message.body, Body::NewView(_)) {
            peer.view_sent = now;
            self.send_status(from, effects);
        }
    }

    /// Takes note of an agreed view; it is taken up once it is on the disk.
    pub(crate) fn learn_view(&mut self, view: View, effects: &mut Vec<Effect>) {
        if view.epoch > self.latest.epoch {
            self.latest = view;
            self.proposing.drop_all();
            self.choose_source();
            effects.push(Effect::ViewIs(self.latest.clone()));
            self.route_all(effects);
        }
    }

    /// The start of this process's part in the view on its disk.
    pub(crate) fn enter(&mut self, effects: &mut Vec<Effect>) {
        self.chain = ChainState::new(self.image.end().number);
        self.aligning.begin_anew();
        self.fragments.drop_earlier_epochs(self.image.view.epoch);
        self.disk.drop_wanted();
        self.choose_source();
        for address in self.image.view.addresses() {
            self.send_status(&address, effects);
        }
        self.ask_to_be_aligned(effects);
        self.chain_moved(effects);
        self.route_all(effects);
    }

    pub(crate) fn status(&self) -> Status {
        let mut hears = self
            .peers
            .heard_within(self.now, self.settings.timings.silence);
        let members = self.latest.addresses();
        if !members.is_empty() && !members.contains(&self.me.address) {
            // What observers hear of each other matters to nobody.
            hears.retain(|address| members.contains(address));
        }
        Status {
            zone: self.settings.zone.clone(),
            disk: self.disk_health(),
            aligned: self.image.aligned,
            synced: self.image.end().number,
            base: self.image.base.number,
            applied: self.applied.at.number,
            confirmed: if self.in_line() {
                self.chain.confirmed
            } else {
                0
            },
            hears,
            source: self.source.clone(),
        }
    }

    pub(crate) fn send_status(&mut self, to: &Address, effects: &mut Vec<Effect>) {
        if *to == self.me.address {
            return;
        }
        let status = self.status();
        if let Some(peer) = self.peers.all.get_mut(to) {
            peer.status_sent = self.now;
        }
        self.send(to, Body::Status(status), effects);
    }

    fn take_status(
        &mut self,
        sender: &Member,
        epoch: u64,
        status: Status,
        effects: &mut Vec<Effect>,
    ) {
        self.peers.status(
            self.now,
            &sender.address,
            &self.me.address.clone(),
            status.clone(),
        );
        if epoch == self.image.view.epoch && self.in_line() {
            self.successor_told(sender, &status, effects);
        }
        if epoch == self.image.view.epoch && status.aligned == epoch {
            self.predecessor_in_line(sender, effects);
        }
        self.teach(&sender.address, &status, effects);
    }

    fn tick(&mut self, effects: &mut Vec<Effect>) {
        if self.now - self.last_tick > self.settings.timings.silence / 2.0 {
            self.awake_since = self.now;
        }
        self.last_tick = self.now;
        self.peers.forget(self.now);
        self.pulse(effects);
        self.choose_source();
        self.ask_to_be_aligned(effects);
        self.transfers_tick(effects);
        self.fragments_tick(effects);
        self.chain_tick(effects);
        self.agreement_tick(effects);
        self.calls_tick(effects);
    }

    /// A status to all that want to know: the view's members, and whoever of the others was heard of late.
    fn pulse(&mut self, effects: &mut Vec<Effect>) {
        let timings = &self.settings.timings;
        let members = self.latest.addresses();
        let inside = members.contains(&self.me.address);
        let mut to = if self.latest.epoch == 0 {
            self.settings.seeds.clone()
        } else {
            members.clone()
        };
        if inside || self.latest.epoch == 0 {
            let others = self.peers.heard_within(self.now, timings.silence * 3.0);
            to.extend(
                others
                    .into_iter()
                    .filter(|address| !members.contains(address)),
            );
        }
        // Many observers are told less often.
        let slower = 1.0 + to.len().saturating_sub(members.len()) as f64 / 16.0;
        for address in to {
            let (sent, span) = match self.peers.all.get(&address) {
                Some(peer) if members.contains(&address) && inside => (peer.status_sent, 1.0),
                Some(peer) => (peer.status_sent, slower),
                None => (self.unheard_pulse, 1.0),
            };
            if self.now - sent >= self.settings.timings.pulse * span - 1.0 {
                self.send_status(&address, effects);
            }
        }
        if self.now - self.unheard_pulse >= self.settings.timings.pulse - 1.0 {
            self.unheard_pulse = self.now;
        }
    }

    fn leave(&mut self, effects: &mut Vec<Effect>) {
        self.leaving = true;
        for address in self.latest.addresses() {
            self.send_status(&address, effects);
        }
    }

    /// Whether a process that was told to stop has to run on, since the others can't go on without what it holds.
    /// Asked again after each input; its caller ends it after some time whatever the answer.
    pub fn is_needed(&self) -> bool {
        is_needed(&self.latest, &self.me, &self.known())
    }

    /// Health of the disk as others are told.
    pub(crate) fn disk_health(&self) -> DiskHealth {
        match self.disk.health(self.now, self.settings.timings.stall) {
            DiskHealth::Well | DiskHealth::Absent if self.leaving => DiskHealth::Leaving,
            DiskHealth::Well if self.is_far_behind() || self.makes_no_progress() => {
                DiskHealth::CatchingUp
            }
            health => health,
        }
    }
}
