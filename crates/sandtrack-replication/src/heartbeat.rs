//! Heartbeats: the status that a replica reports to the others, and what it makes of theirs.

use crate::message::{Body, DiskHealth, Status};
use crate::view::{Address, Member};
use crate::{Effect, Replica, StateMachine};

impl<M: StateMachine> Replica<M> {
    pub(crate) fn status(&self) -> Status {
        let mut heard_from = self
            .peers
            .heard_within(self.now, self.settings.timings.failure_timeout);
        let members = self.latest_view.addresses();
        if !members.is_empty() && !members.contains(&self.me.address) {
            // Nobody uses what observers hear of each other.
            heard_from.retain(|address| members.contains(address));
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
            heard_from,
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

    pub(crate) fn handle_status(
        &mut self,
        sender: &Member,
        epoch: u64,
        status: &Status,
        effects: &mut Vec<Effect>,
    ) {
        self.peers.status(
            self.now,
            &sender.address,
            &self.me.address.clone(),
            status.clone(),
        );
        if epoch == self.durable.view.epoch && self.is_in_sync() {
            self.on_successor_status(sender, status, effects);
        }
        if epoch == self.durable.view.epoch && status.in_sync_epoch == epoch {
            self.on_predecessor_in_sync(sender, effects);
        }
        self.send_committed_entries(&sender.address, status, effects);
    }

    /// Sends a status to the view's members, and to other processes that were heard recently.
    pub(crate) fn send_heartbeats(&mut self, effects: &mut Vec<Effect>) {
        let timings = &self.settings.timings;
        let members = self.latest_view.addresses();
        let is_member = members.contains(&self.me.address);
        let mut to = if self.latest_view.epoch == 0 {
            self.settings.seeds.clone()
        } else {
            members.clone()
        };
        if is_member || self.latest_view.epoch == 0 {
            let others = self
                .peers
                .heard_within(self.now, timings.failure_timeout * 3.0);
            to.extend(
                others
                    .into_iter()
                    .filter(|address| !members.contains(address)),
            );
        }
        // Many observers get it less often.
        let observer_factor = 1.0 + to.len().saturating_sub(members.len()) as f64 / 16.0;
        for address in to {
            let (sent, factor) = match self.peers.all.get(&address) {
                Some(peer) if members.contains(&address) && is_member => (peer.status_sent_at, 1.0),
                Some(peer) => (peer.status_sent_at, observer_factor),
                None => (self.last_heartbeat_to_unknown, 1.0),
            };
            if self.now - sent >= self.settings.timings.heartbeat_interval * factor - 1.0 {
                self.send_status(&address, effects);
            }
        }
        if self.now - self.last_heartbeat_to_unknown
            >= self.settings.timings.heartbeat_interval - 1.0
        {
            self.last_heartbeat_to_unknown = self.now;
        }
    }

    /// The health of the disk, as reported to others.
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
