//! The relay: one postmaster's part in the control state.
use crate::{Address, Effect, Input, Machine, Settings, View};

/// One postmaster's part in the control state.
pub struct Relay<M> {
    machine: M,
    settings: Settings,
    view: View,
    now: f64,
}

impl<M: Machine> Relay<M> {
    /// A relay with what its ledger held; `now` in milliseconds of the steady clock.
    pub fn new(settings: Settings, recovered: Vec<Vec<u8>>, machine: M, now: f64) -> (Self, Vec<Effect>) {
        let _ = recovered;
        let view = View { epoch: 0, chain: vec![], voters: vec![], since: vec![], zones: vec![] };
        (Self { machine, settings, view, now }, vec![])
    }

    /// Takes in what happened and appends what is to be done.
    pub fn handle(&mut self, now: f64, input: Input, effects: &mut Vec<Effect>) {
        let _ = (input, effects);
        self.now = now;
    }

    /// When `Input::Tick` is wanted, in milliseconds of the steady clock.
    pub fn next_tick(&self) -> f64 {
        self.now + self.settings.timings.tick
    }

    /// The committed state as known here.
    pub fn machine(&self) -> &M {
        &self.machine
    }

    /// The latest view known here; epoch 0 while none is.
    pub fn view(&self) -> &View {
        &self.view
    }

    /// Whether all that was committed is, as far as can be known, in `machine()`.
    pub fn is_caught_up(&self) -> bool {
        false
    }

    /// Links of the known control processes without this one: chain, voters, observers.
    pub fn peers(&self) -> Vec<Address> {
        self.settings.seeds.clone()
    }
}
