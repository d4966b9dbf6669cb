//! Routes inputs and messages to the part that handles them, and follows changes of the view.

use crate::chain::ChainState;
use crate::message::Body;
use crate::view::{Address, Member, View};
use crate::{Effect, Input, Message, Replica, StateMachine};

impl<M: StateMachine> Replica<M> {
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

    /// Handles the messages that the process sent to itself, and starts a write if one is due.
    pub(crate) fn process_loopback(&mut self, effects: &mut Vec<Effect>) {
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
        let is_new_process = self.peers.on_message(self.now, from, &message);
        if is_new_process {
            self.fragments.remove(from);
            self.forget_refusals_of(from);
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
            Body::Status(status) => self.handle_status(sender, message.epoch, &status, effects),
            Body::NewView(view) => self.learn_view(view, effects),
            Body::Submit {
                call,
                command,
                hops,
            } => {
                self.handle_submit(sender, call, command, hops, effects);
            }
            Body::Read { call, query, hops } => {
                self.handle_read(sender, call, query, hops, effects);
            }
            Body::Outcome { call, outcome } => self.handle_outcome(&call, outcome, effects),
            Body::DiskFull { call, head } => self.handle_disk_full(&call, head, effects),
            Body::ReadOutcome { call, answer } => self.handle_read_outcome(call, answer, effects),
            Body::CommittedEntries { entries, more } => {
                self.handle_committed_entries(sender, entries, more, effects);
            }
            Body::SnapshotOffer(id) => self.handle_snapshot_offer(sender, id, effects),
            Body::SnapshotFetch { id, offset } => {
                self.handle_snapshot_fetch(sender, id, offset, effects);
            }
            Body::SnapshotChunk { id, offset, bytes } => {
                self.handle_snapshot_chunk(sender, id, offset, bytes, effects);
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
                self.handle_fragment_ack(sender, id, received, effects);
            }
            // The following belong to one epoch, and are ignored in any other.
            _ if !is_current_epoch => {}
            Body::Prepare { ballot } => self.handle_prepare(sender, ballot, effects),
            Body::Promise { ballot, accepted } => {
                self.handle_promise(sender, &ballot, accepted, effects);
            }
            Body::Accept { ballot, view } => self.handle_accept(sender, ballot, view, effects),
            Body::Accepted { ballot } => self.handle_accepted(sender, &ballot, effects),
            Body::Preempted { ballot, promised } => self.handle_preempted(&ballot, &promised),
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

    /// Sends the view to a peer that is behind; asks one that is ahead for its view, by a status.
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

    /// Records a decided view. It takes effect once it is on the disk.
    pub(crate) fn learn_view(&mut self, view: View, effects: &mut Vec<Effect>) {
        if view.epoch > self.latest_view.epoch {
            self.latest_view = view;
            self.proposer.reset();
            self.choose_replication_source();
            effects.push(Effect::ViewChanged(self.latest_view.clone()));
            self.reroute_pending_calls(effects);
        }
    }

    /// The view on the disk has changed: starts this process's part in it.
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

    pub(crate) fn tick(&mut self, effects: &mut Vec<Effect>) {
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

    fn start_leaving(&mut self, effects: &mut Vec<Effect>) {
        self.leaving = true;
        for address in self.latest_view.addresses() {
            self.send_status(&address, effects);
        }
    }
}
