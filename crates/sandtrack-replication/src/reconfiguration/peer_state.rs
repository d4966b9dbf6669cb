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
    pub(crate) heard_from: Vec<Address>,
    /// Heard recently: what it reports is no older than that.
    pub(crate) is_reporting: bool,
    /// Heard recently, and hears this process.
    pub(crate) is_connected: bool,
    /// Neither for so long, while this process was awake.
    pub(crate) is_silent: bool,
    /// Milliseconds since it was heard, while this process was awake.
    pub(crate) silent_for: f64,
}

impl PeerState {
    pub(crate) fn unknown(running_for: f64, failure_timeout: f64) -> Self {
        Self {
            incarnation: None,
            zone: String::new(),
            disk: DiskHealth::Healthy,
            epoch: 0,
            in_sync_epoch: 0,
            applied: 0,
            heard_from: Vec::new(),
            is_reporting: false,
            is_connected: false,
            is_silent: running_for > failure_timeout,
            silent_for: running_for,
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
        let failure_timeout = self.settings.timings.failure_timeout;
        let mut peers = BTreeMap::new();
        for address in self.durable.view.addresses() {
            peers.insert(
                address,
                PeerState::unknown(self.now - self.running_since, failure_timeout),
            );
        }
        for (address, peer) in &self.peers.all {
            let since_received = self.now - peer.last_heard;
            let since_two_way = since_received.max(self.now - peer.listed_at);
            let connection_timeout = failure_timeout + self.settings.timings.heartbeat_interval;
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
                heard_from: status.heard_from.clone(),
                is_reporting: since_received <= failure_timeout,
                is_connected: since_received <= failure_timeout
                    && since_two_way <= connection_timeout,
                is_silent: since_two_way.min(self.now - self.running_since) > failure_timeout,
                silent_for: since_received.min(self.now - self.running_since),
            };
            peers.insert(address.clone(), entry);
        }
        let me = self.status();
        let own = PeerState {
            incarnation: Some(self.me.incarnation),
            zone: me.zone,
            disk: me.disk,
            epoch: self.durable.view.epoch,
            in_sync_epoch: me.in_sync_epoch,
            applied: me.applied,
            heard_from: me.heard_from,
            is_reporting: true,
            is_connected: true,
            is_silent: false,
            silent_for: 0.0,
        };
        peers.insert(self.me.address.clone(), own);
        peers
    }
}
