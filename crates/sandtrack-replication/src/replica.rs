//! The replica: its parts, its start, and who is handed what happened.
use std::collections::VecDeque;

use borsh::BorshSerialize;

use crate::applied_state::AppliedState;
use crate::calls::Calls;
use crate::chain::ChainState;
use crate::disk::DiskState;
use crate::durable_state::DurableState;
use crate::fragments::Fragments;
use crate::log_sync::LogSync;
use crate::message::{Body, DiskHealth, Message, Status};
use crate::observer::ObserverState;
use crate::paxos::Proposer;
use crate::peers::Peers;
use crate::random::Random;
use crate::reconfiguration::is_needed;
use crate::snapshot_transfer::SnapshotTransfers;
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
    pub(crate) running_since: f64,
    pub(crate) last_tick: f64,
    /// The latest view known, which may not be on the disk yet.
    pub(crate) latest_view: View,
    pub(crate) durable: DurableState,
    pub(crate) disk: DiskState,
    #[borsh(bound(serialize = "M: StateMachine"))]
    pub(crate) applied: AppliedState<M>,
    pub(crate) peers: Peers,
    pub(crate) proposer: Proposer,
    pub(crate) chain: ChainState,
    pub(crate) log_sync: LogSync,
    pub(crate) snapshot_transfers: SnapshotTransfers,
    pub(crate) fragments: Fragments,
    pub(crate) calls: Calls,
    /// Whom this process learns from while it is outside the chain.
    pub(crate) source: Option<Address>,
    pub(crate) observer: ObserverState,
    /// When those were last sent a status that were never heard.
    last_unheard_heartbeat: f64,
    leaving: bool,
    /// Messages to this process itself.
    loopback: VecDeque<Message>,
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
        let mut random = Random::new(settings.random_seed);
        let start = random.next_u64();
        let mut applied = AppliedState::new(machine);
        let mut effects = Vec::new();
        let durable = DurableState::recover(&recovered)
            .filter(|durable| {
                durable
                    .member
                    .as_ref()
                    .is_some_and(|member| member.address == settings.address)
            })
            .filter(|durable| {
                durable
                    .snapshot
                    .as_ref()
                    .is_none_or(|snapshot| applied.restore(snapshot))
            });
        let known = durable.is_some();
        let mut durable = durable.unwrap_or_else(DurableState::empty);
        durable.snapshot = None;
        let is_seed = settings.first_start && settings.seeds.contains(&settings.address);
        let incarnation = if is_seed && !known {
            0
        } else {
            settings.new_incarnation
        };
        let new = Member {
            address: settings.address.clone(),
            incarnation,
        };
        let me = durable.member.clone().unwrap_or(new);
        let mut replica = Self {
            start,
            random,
            now,
            running_since: now,
            last_tick: now,
            latest_view: durable.view.clone(),
            durable,
            disk: DiskState::new(settings.has_disk, recovered.iter().map(Vec::len).sum()),
            applied,
            peers: Peers::default(),
            proposer: Proposer::default(),
            chain: ChainState::default(),
            log_sync: LogSync::default(),
            snapshot_transfers: SnapshotTransfers::default(),
            fragments: Fragments::default(),
            calls: Calls::default(),
            source: None,
            observer: ObserverState::default(),
            last_unheard_heartbeat: f64::NEG_INFINITY,
            leaving: false,
            loopback: VecDeque::new(),
            me,
            settings,
        };
        replica.apply_up_to(replica.durable.committed, &mut Vec::new());
        if replica.applied.position.number > 0 {
            effects.push(Effect::Restored {
                number: replica.applied.position.number,
            });
        }
        if !known && is_seed {
            replica.latest_view = View::first(&replica.settings.seeds);
        }
        if replica.latest_view.epoch > 0 {
            effects.push(Effect::ViewChanged(replica.latest_view.clone()));
        }
        if known {
            replica.enter_view(&mut effects);
        }
        replica.tick(&mut effects);
        replica.process_loopback(&mut effects);
        (replica, effects)
    }

    /// Takes in what happened and appends what is to be done.
    pub fn handle(&mut self, now: f64, input: Input, effects: &mut Vec<Effect>) {
        self.now = self.now.max(now);
        match input {
            Input::Received { from, message } => self.on_message(&from, message, effects),
            Input::Written { ticket } => self.on_written(ticket, effects),
            Input::WriteFailed { ticket } => self.on_write_failed(ticket, effects),
            Input::Submit { call, command } => self.submit(call, command, effects),
            Input::Read { call, query } => self.read(call, query, effects),
            Input::Leave => self.start_leaving(effects),
            Input::Tick => self.tick(effects),
        }
        self.process_loopback(effects);
    }

    /// When `Input::Tick` is wanted, in milliseconds of the steady clock.
    pub fn next_tick(&self) -> f64 {
        self.last_tick + self.settings.timings.tick_interval
    }

    /// The committed state as known here.
    pub fn machine(&self) -> &M {
        &self.applied.machine
    }

    /// The number of the last command in `machine()`.
    pub fn applied_number(&self) -> u64 {
        self.applied.position.number
    }

    /// The epoch in which the last command in `machine()` was entered.
    pub fn applied_epoch(&self) -> u64 {
        self.applied.position.epoch
    }

    /// This process as the views name it.
    pub fn member(&self) -> &Member {
        &self.me
    }

    /// The latest view known here; epoch 0 while none is.
    pub fn view(&self) -> &View {
        &self.latest_view
    }

    /// Links of the known control processes without this one: chain, voters, observers.
    pub fn peers(&self) -> Vec<Address> {
        let mut all = self.latest_view.addresses();
        if self.latest_view.epoch == 0 {
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
    pub(crate) fn is_in_chain(&self) -> bool {
        self.durable.view.epoch == self.latest_view.epoch
            && self.durable.view.position(&self.me).is_some()
    }

    /// In the chain, and in sync with it.
    pub(crate) fn is_in_sync(&self) -> bool {
        self.is_in_chain() && self.durable.in_sync_epoch == self.durable.view.epoch
    }

    pub(crate) fn is_head(&self) -> bool {
        self.is_in_sync() && self.durable.view.is_head(&self.me)
    }

    pub(crate) fn send(&mut self, to: &Address, body: Body, effects: &mut Vec<Effect>) {
        let message = Message {
            incarnation: self.me.incarnation,
            start: self.start,
            epoch: self.durable.view.epoch,
            highest_epoch: self.highest_epoch(),
            sent: (self.now * 1000.0) as u64,
            body: Box::new(body),
        };
        if *to == self.me.address {
            self.loopback.push_back(message);
        } else {
            self.send_message(to, message, effects);
        }
    }

    /// Works off what the process told itself, and starts a write when one is due.
    fn process_loopback(&mut self, effects: &mut Vec<Effect>) {
        loop {
            self.start_next_write(effects);
            let Some(message) = self.loopback.pop_front() else {
                return;
            };
            let me = self.me.clone();
            self.step(&me, message, effects);
        }
    }

    fn on_message(&mut self, from: &Address, message: Message, effects: &mut Vec<Effect>) {
        if *from == self.me.address {
            return;
        }
        let anew = self.peers.on_message(self.now, from, &message);
        if anew {
            self.fragments.remove(from);
            self.send_status(from, effects);
        }
        self.exchange_views(from, &message, effects);
        let sender = Member {
            address: from.clone(),
            incarnation: message.incarnation,
        };
        self.step(&sender, message, effects);
    }

    pub(crate) fn step(&mut self, sender: &Member, message: Message, effects: &mut Vec<Effect>) {
        let is_current_epoch =
            message.epoch == self.durable.view.epoch && message.epoch == self.latest_view.epoch;
        match *message.body {
            Body::Status(status) => self.handle_status(sender, message.epoch, status, effects),
            Body::NewView(view) => self.learn_view(view, effects),
            Body::Submit {
                call,
                command,
                hops,
            } => {
                self.handle_submit(sender, call, command, hops, effects);
            }
            Body::Read { call, query, hops } => {
                self.handle_read(sender, call, query, hops, effects)
            }
            Body::Outcome { call, outcome } => self.handle_outcome(call, outcome, effects),
            Body::DiskFull { call, head } => self.handle_disk_full(call, head, effects),
            Body::ReadOutcome { call, answer } => self.handle_read_outcome(call, answer, effects),
            Body::CommittedEntries { entries, more } => {
                self.handle_committed_entries(sender, entries, more, effects)
            }
            Body::SnapshotOffer(id) => self.handle_snapshot_offer(sender, id, effects),
            Body::SnapshotFetch { id, offset } => {
                self.handle_snapshot_fetch(sender, id, offset, effects)
            }
            Body::SnapshotChunk { id, offset, bytes } => {
                self.handle_snapshot_chunk(sender, id, offset, bytes, effects)
            }
            Body::Fragment {
                id,
                length,
                offset,
                bytes,
            } => {
                self.handle_fragment(sender, id, length, offset, bytes, effects);
            }
            Body::FragmentAck { id, received } => {
                self.handle_fragment_ack(sender, id, received, effects)
            }
            // What follows belongs to one epoch, and is refused in any other.
            _ if !is_current_epoch => {}
            Body::Prepare { ballot } => self.handle_prepare(sender, ballot, effects),
            Body::Promise { ballot, accepted } => {
                self.handle_promise(sender, ballot, accepted, effects)
            }
            Body::Accept { ballot, view } => self.handle_accept(sender, ballot, view, effects),
            Body::Accepted { ballot } => self.handle_accepted(sender, ballot, effects),
            Body::Preempted { ballot, promised } => self.handle_preempted(ballot, promised),
            Body::SyncRequest {
                epoch_ends,
                applied,
            } => self.handle_sync_request(sender, &epoch_ends, applied, effects),
            Body::SyncBatch(batch) => self.handle_sync_batch(sender, batch),
            Body::Forward { entries } => self.handle_forward(sender, entries),
            Body::Ack {
                durable_end,
                committed,
            } => self.handle_ack(sender, durable_end, committed, effects),
            Body::ForwardRead {
                call,
                query,
                reply_to,
            } => {
                self.handle_forward_read(sender, call, query, reply_to, effects);
            }
        }
    }

    /// Who is behind gets the view; who is ahead is asked for it by a status.
    fn exchange_views(&mut self, from: &Address, message: &Message, effects: &mut Vec<Effect>) {
        let now = self.now;
        let Some(peer) = self.peers.all.get_mut(from) else {
            return;
        };
        if now - peer.view_sent_at < self.settings.timings.tick_interval * 2.0 {
            return;
        }
        if message.epoch < self.latest_view.epoch {
            peer.view_sent_at = now;
            let view = self.latest_view.clone();
            self.send(from, Body::NewView(view), effects);
        } else if message.epoch > self.latest_view.epoch
            && !matches!(*message.body, Body::NewView(_))
        {
            peer.view_sent_at = now;
            self.send_status(from, effects);
        }
    }

    /// Takes note of an agreed view; it is taken up once it is on the disk.
    pub(crate) fn learn_view(&mut self, view: View, effects: &mut Vec<Effect>) {
        if view.epoch > self.latest_view.epoch {
            self.latest_view = view;
            self.proposer.reset();
            self.choose_replication_source();
            effects.push(Effect::ViewChanged(self.latest_view.clone()));
            self.reroute_pending_calls(effects);
        }
    }

    /// The start of this process's part in the view on its disk.
    pub(crate) fn enter_view(&mut self, effects: &mut Vec<Effect>) {
        self.chain = ChainState::new(self.durable.last_position().number);
        self.log_sync.reset();
        self.fragments.drop_earlier_epochs(self.durable.view.epoch);
        self.disk.drop_requested();
        self.choose_replication_source();
        for address in self.durable.view.addresses() {
            self.send_status(&address, effects);
        }
        self.request_log_sync(effects);
        self.advance_chain(effects);
        self.reroute_pending_calls(effects);
    }

    pub(crate) fn status(&self) -> Status {
        let mut hears = self
            .peers
            .heard_within(self.now, self.settings.timings.failure_timeout);
        let members = self.latest_view.addresses();
        if !members.is_empty() && !members.contains(&self.me.address) {
            // What observers hear of each other matters to nobody.
            hears.retain(|address| members.contains(address));
        }
        Status {
            zone: self.settings.zone.clone(),
            disk: self.disk_health(),
            in_sync_epoch: self.durable.in_sync_epoch,
            durable_end: self.durable.last_position().number,
            log_start: self.durable.log_start.number,
            applied: self.applied.position.number,
            confirmed: if self.is_in_sync() {
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
            peer.status_sent_at = self.now;
        }
        self.send(to, Body::Status(status), effects);
    }

    fn handle_status(
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
        if epoch == self.durable.view.epoch && self.is_in_sync() {
            self.on_successor_status(sender, &status, effects);
        }
        if epoch == self.durable.view.epoch && status.in_sync_epoch == epoch {
            self.on_predecessor_in_sync(sender, effects);
        }
        self.send_committed_entries(&sender.address, &status, effects);
    }

    fn tick(&mut self, effects: &mut Vec<Effect>) {
        if self.now - self.last_tick > self.settings.timings.failure_timeout / 2.0 {
            self.running_since = self.now;
        }
        self.last_tick = self.now;
        self.peers.remove(self.now);
        self.send_heartbeats(effects);
        self.choose_replication_source();
        self.request_log_sync(effects);
        self.retry_snapshot_transfers(effects);
        self.retransmit_fragments(effects);
        self.retransmit_unacknowledged(effects);
        self.proposer_tick(effects);
        self.retry_pending_calls(effects);
    }

    /// A status to all that want to know: the view's members, and whoever of the others was heard of late.
    fn send_heartbeats(&mut self, effects: &mut Vec<Effect>) {
        let timings = &self.settings.timings;
        let members = self.latest_view.addresses();
        let inside = members.contains(&self.me.address);
        let mut to = if self.latest_view.epoch == 0 {
            self.settings.seeds.clone()
        } else {
            members.clone()
        };
        if inside || self.latest_view.epoch == 0 {
            let others = self
                .peers
                .heard_within(self.now, timings.failure_timeout * 3.0);
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
                Some(peer) if members.contains(&address) && inside => (peer.status_sent_at, 1.0),
                Some(peer) => (peer.status_sent_at, slower),
                None => (self.last_unheard_heartbeat, 1.0),
            };
            if self.now - sent >= self.settings.timings.heartbeat_interval * span - 1.0 {
                self.send_status(&address, effects);
            }
        }
        if self.now - self.last_unheard_heartbeat >= self.settings.timings.heartbeat_interval - 1.0
        {
            self.last_unheard_heartbeat = self.now;
        }
    }

    fn start_leaving(&mut self, effects: &mut Vec<Effect>) {
        self.leaving = true;
        for address in self.latest_view.addresses() {
            self.send_status(&address, effects);
        }
    }

    /// Whether a process that was told to stop has to run on, since the others can't go on without what it holds.
    /// Asked again after each input; its caller ends it after some time whatever the answer.
    pub fn is_needed(&self) -> bool {
        is_needed(&self.latest_view, &self.me, &self.known())
    }

    /// Health of the disk as others are told.
    pub(crate) fn disk_health(&self) -> DiskHealth {
        match self
            .disk
            .health(self.now, self.settings.timings.disk_stall_timeout)
        {
            DiskHealth::Healthy | DiskHealth::Absent if self.leaving => DiskHealth::Leaving,
            DiskHealth::Healthy if self.needs_snapshot_from_source() || self.is_sync_stalled() => {
                DiskHealth::CatchingUp
            }
            health => health,
        }
    }
}
