//! Messages in flight, and the handling of events.
use std::sync::Arc;

use sandtrack_replication::{Input, Message};

use super::{Cluster, Event, Queued};
use crate::machine::Machine;
use crate::node::{address, Node};
use crate::setup::Scheduling;

impl<M: Machine> Cluster<M> {
    pub(super) fn handle_event(&mut self, queued: &Queued) {
        match &queued.event {
            Event::Message { from, to, message } => {
                if self.partitions.separates(*from, *to) || !self.nodes[*to].is_awake() {
                    return;
                }
                if self.history.awaits(*to) {
                    self.history_mut().message_received(*to);
                }
                self.input(
                    *to,
                    Input::Received {
                        from: address(*from),
                        message: message.clone(),
                    },
                );
            }
            Event::Written { node, ticket } => {
                let is_it = self.nodes[*node]
                    .write
                    .as_ref()
                    .is_some_and(|write| write.ticket == *ticket);
                if is_it && self.nodes[*node].is_awake() {
                    self.change(*node, Node::complete_write);
                    self.input(*node, Input::Written { ticket: *ticket });
                }
            }
            Event::Call {
                node,
                call,
                arrival,
            } => self.read_call(*node, *call, *arrival),
        }
    }

    pub(super) fn transmit(&mut self, from: usize, to: &str, message: Message) {
        let Some(to) = (0..self.nodes.len()).find(|index| address(*index) == to) else {
            return;
        };
        let event = Queued::new(Event::Message { from, to, message });
        if self.setup.scheduling == Scheduling::Free && event.is_status() {
            let same_way = |other: &Arc<Queued>| {
                let way = |event: &Event| match event {
                    Event::Message { from, to, .. } => Some((*from, *to)),
                    _ => None,
                };
                other.is_status() && way(&other.event) == way(&event.event)
            };
            self.queue.retain(|other| !same_way(other));
        }
        self.queue.push(event);
    }
}
