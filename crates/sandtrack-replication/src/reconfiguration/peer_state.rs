//! What a voter knows of the processes that matter for the next view.
use std::collections::BTreeMap;

use crate::message::DiskHealth;
use crate::view::{Address, Member};
use crate::{Replica, StateMachine};

/// What is known of one process.
#[derive(Clone, Debug)]
pub(crate) struct PeerState {
    /// None when it was never heard.
    pub(crate) incarnation: Option<u64>,
    pub(crate) zone: String,
    pub(crate) disk: DiskHealth,
    pub(crate) epoch: u64,
    pub(crate) in_sync_epoch: u64,
    pub(crate) applied: u64,
    pub(crate) hears: Vec<Address>,
    /// Heard recently: what it reports is no older than that.
    pub(crate) is_heard: bool,
    /// Heard recently, and hears this process.
    pub(crate) is_connected: bool,
    /// Neither for so long, while this process was awake.
    pub(crate) is_silent: bool,
    /// Milliseconds since it was heard, while this process was awake.
    pub(crate) silent_for: f64,
}

impl PeerState {
    pub(crate) fn never_heard(awake: f64, silence: f64) -> Self {
        Self {
            incarnation: None,
            zone: String::new(),
            disk: DiskHealth::Healthy,
            epoch: 0,
            in_sync_epoch: 0,
            applied: 0,
            hears: Vec::new(),
            is_heard: false,
            is_connected: false,
            is_silent: awake > silence,
            silent_for: awake,
        }
    }

    pub(crate) fn is_alive(&self, member: &Member) -> bool {
        self.is_connected && self.incarnation == Some(member.incarnation)
    }

    /// It can write, and stays.
    pub(crate) fn disk_works(&self) -> bool {
        matches!(
            self.disk,
            DiskHealth::Healthy | DiskHealth::Absent | DiskHealth::CatchingUp
        )
    }

    pub(crate) fn is_leaving(&self) -> bool {
        self.disk == DiskHealth::Leaving
    }

    /// It can write; it may be about to leave.
    pub(crate) fn can_write(&self) -> bool {
        self.disk_works() || self.is_leaving()
    }
}

/// What is known of each process, by its address.
pub(crate) type PeerStates = BTreeMap<Address, PeerState>;

impl<M: StateMachine> Replica<M> {
    /// What is known of each process that matters for the next view, including this one.
    pub(crate) fn peer_states(&self) -> BTreeMap<Address, PeerState> {
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
