//! The acceptor: promises ballots and accepts views. Its answers are sent only once the write is durable.

use crate::disk::OnDurable;
use crate::durable_state::WalRecord;
use crate::message::{Ballot, Body};
use crate::view::{Member, View};
use crate::{Effect, Replica, StateMachine};

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

    pub(crate) fn append_paxos_state(
        &mut self,
        records: &mut Vec<WalRecord>,
        after: &mut Vec<OnDurable>,
    ) {
        let epoch = self.durable.view.epoch;
        let promised = self.durable.promised.clone();
        if let Some((to, ballot, view)) = self.disk.accept.take() {
            if promised.as_ref().is_none_or(|promised| *promised <= ballot)
                && view.epoch == epoch + 1
            {
                records.push(WalRecord::Accepted {
                    epoch,
                    ballot: ballot.clone(),
                    view,
                });
                after.push(OnDurable::Accepted { to, ballot });
            }
        }
        // After an acceptance the promise waits for the next write, so that it reports the acceptance.
        let promise = if after.is_empty() {
            self.disk.promise.take()
        } else {
            None
        };
        if let Some((to, ballot)) = promise {
            if promised.as_ref().is_none_or(|promised| *promised < ballot) {
                records.push(WalRecord::Promise {
                    epoch,
                    ballot: ballot.clone(),
                });
                after.push(OnDurable::Promised { to, ballot });
            }
        }
    }
}
