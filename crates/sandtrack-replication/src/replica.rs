//! The replica: its parts, its start and its queries.
use std::collections::VecDeque;

use borsh::BorshSerialize;

use crate::applied_state::AppliedState;
use crate::calls::Calls;
use crate::chain::ChainState;
use crate::disk::DiskState;
use crate::durable_state::DurableState;
use crate::fragments::Fragments;
use crate::log_sync::LogSync;
use crate::message::Message;
use crate::observer::ObserverState;
use crate::paxos::Proposer;
use crate::peers::Peers;
use crate::random::Random;
use crate::reconfiguration::is_needed;
use crate::snapshot_transfer::SnapshotTransfers;
use crate::{Address, Effect, Member, Settings, StateMachine, View};

/// One replica of the control state: a member of the chain, or an observer outside it.
#[derive(Clone, BorshSerialize)]
pub struct Replica<M> {
    /// Constant for one start of the process, so not part of `write_state`.
    #[borsh(skip)]
    pub(crate) settings: Settings,
    pub(crate) me: Member,
    /// A random number, another one at each start of the process.
    pub(crate) start: u64,
    pub(crate) random: Random,
    pub(crate) now: f64,
    /// Since when this process has run without a pause: failure detection counts from here.
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
    /// The process from which this one gets committed entries while it is outside the chain.
    pub(crate) source: Option<Address>,
    pub(crate) observer: ObserverState,
    /// When a status was last sent to the members that were never heard.
    pub(crate) last_heartbeat_to_unknown: f64,
    pub(crate) leaving: bool,
    /// Messages to this process itself.
    pub(crate) loopback: VecDeque<Message>,
}

impl<M: StateMachine> Replica<M> {
    /// Creates a replica from the records of its WAL; `now` is in milliseconds of the monotonic clock. A WAL that can't be
    /// decoded counts as lost, like an empty one: the process comes back under a new incarnation.
    pub fn new(
        settings: Settings,
        recovered: &[Vec<u8>],
        machine: M,
        now: f64,
    ) -> (Self, Vec<Effect>) {
        let mut random = Random::new(settings.random_seed);
        let start = random.next_u64();
        let mut applied = AppliedState::new(machine);
        let mut effects = Vec::new();
        let durable = DurableState::recover(recovered)
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
            last_heartbeat_to_unknown: f64::NEG_INFINITY,
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

    /// When `Input::Tick` is due, in milliseconds of the monotonic clock.
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
            all.extend(
                peer.status
                    .iter()
                    .flat_map(|status| status.heard_from.clone()),
            );
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

    /// Whether a process that is shutting down has to keep running, since the others can't continue without it. To be asked
    /// after each input; its caller may end it anyway after some time.
    pub fn is_needed(&self) -> bool {
        is_needed(&self.latest_view, &self.me, &self.peer_states())
    }
}
