//! The machines, their clocks and their disks.
use std::sync::Arc;

use sandtrack_replication::{Effect, Input};

use super::{Cluster, Event, Queued};
use crate::history::History;
use crate::machine::Machine;
use crate::node::{address, Membership, Node, Output, PendingWrite, TICK_MS};

impl<M: Machine> Cluster<M> {
    pub(super) fn history_mut(&mut self) -> &mut History {
        Arc::make_mut(&mut self.history)
    }

    pub(super) fn change<T>(&mut self, index: usize, change: impl FnOnce(&mut Node<M>) -> T) -> T {
        let node = Arc::make_mut(&mut self.nodes[index]);
        let result = change(node);
        node.refresh();
        result
    }

    pub(super) fn input(&mut self, index: usize, input: Input) {
        let effects = self.change(index, |node| node.handle(input));
        self.carry_out(index, effects);
    }

    pub(super) fn tick_all(&mut self) {
        self.now += 1;
        self.steady_ticks = if self.has_active_fault() {
            0
        } else {
            self.steady_ticks.saturating_add(1).min(32)
        };
        self.time_out_call();
        let now = f64::from(self.now) * TICK_MS;
        for index in 0..self.nodes.len() {
            if self.nodes[index].frozen {
                continue;
            }
            self.change(index, |node| node.clock = node.clock.max(now));
            self.input(index, Input::Tick);
        }
    }

    pub(super) fn tick_one(&mut self, index: usize) {
        self.change(index, |node| node.clock += TICK_MS);
        self.input(index, Input::Tick);
    }

    pub(super) fn start(&mut self, index: usize, first_start: bool) {
        let present = self
            .nodes
            .iter()
            .filter(|node| node.membership == Membership::Present);
        let seeds: Vec<String> = present.take(3).map(|node| address(node.index)).collect();
        let now = f64::from(self.now) * TICK_MS;
        let effects = self.change(index, |node| {
            node.clock = node.clock.max(now);
            node.start(&seeds, first_start)
        });
        self.carry_out(index, effects);
    }

    /// Crashes a process: its pending events are lost, the messages that it sent are not.
    pub(super) fn crash(&mut self, index: usize, write_completed: bool) {
        self.change(index, |node| node.crash(write_completed));
        let gone = |event: &Arc<Queued>| match event.event {
            Event::Message { .. } => false,
            Event::Written { node, .. } | Event::Call { node, .. } => node == index,
        };
        self.queue.retain(|event| !gone(event));
        self.delayed.retain(|event| !gone(event));
    }

    pub(super) fn wipe(&mut self, index: usize) {
        self.crash(index, false);
        let member = self.change(index, Node::wipe);
        self.history_mut().lost_members.extend(member);
    }

    pub(super) fn replace(&mut self, index: usize) {
        self.wipe(index);
        self.change(index, |node| node.membership = Membership::Removed);
        let spare = self
            .nodes
            .iter()
            .position(|node| node.membership == Membership::Spare);
        if let Some(spare) = spare {
            self.change(spare, |node| node.membership = Membership::Present);
            self.start(spare, false);
        }
    }

    pub(super) fn carry_out(&mut self, index: usize, outputs: Vec<Output>) {
        // A view may be agreed upon in the same step that made this process accept it.
        if self.history.has_new_acceptance(&self.nodes[index]) {
            Arc::make_mut(&mut self.history).record_accepted(&self.nodes[index]);
        }
        for output in outputs {
            let effect = match output {
                Output::Effect(effect) => effect,
                Output::Response { call, outcome } => {
                    self.respond(index, call, outcome);
                    continue;
                }
            };
            match effect {
                Effect::Send { to, message } => self.transmit(index, &to, message),
                Effect::Write { ticket, records } => self.write(index, ticket, records, false),
                Effect::Rewrite { ticket, records } => self.write(index, ticket, records, true),
                Effect::Applied {
                    number,
                    command,
                    outcome,
                } => {
                    self.applied(index, number, &command, &outcome);
                }
                Effect::Restored { .. } => {}
                Effect::ViewChanged(view) => self.history_mut().view_agreed(&view),
                // The process has looked at it.
                Effect::Answer { .. } => {}
            }
        }
        let issued = self.issued();
        let (node, script) = (&self.nodes[index], &self.setup.script);
        if self.history.has_changed(node, script, issued) {
            Arc::make_mut(&mut self.history).observe(node, script, issued);
        }
    }

    pub(super) fn write(
        &mut self,
        index: usize,
        ticket: u64,
        records: Vec<Vec<u8>>,
        replaces: bool,
    ) {
        self.change(index, |node| {
            node.write = Some(PendingWrite {
                ticket,
                records,
                replaces,
            });
        });
        self.queue.push(Queued::new(Event::Written {
            node: index,
            ticket,
        }));
    }

    fn applied(&mut self, index: usize, number: u64, command: &[u8], outcome: &[u8]) {
        let replica = self.nodes[index].replica.as_ref();
        let last = replica.filter(|replica| replica.applied_number() == number);
        let epoch = last.map(|replica| replica.applied_epoch());
        let script = &self.setup.script;
        let membership = M::script_index(script, command);
        let won = M::is_accepted(outcome);
        self.history_mut()
            .applied(number, epoch, command, membership, won);
    }
}
