//! What the end of a fault undoes.
use super::event_loop::Event;
use super::timing::RESTART_DELAY_MS;
use super::Simulation;
use crate::disk::DiskMode;
use crate::machine::StepDelay;
use crate::plan::{FaultKind, Impact};
use sandtrack_control::node::Input;

/// A machine that is removed by plan loses power after this long (`grace_s`), in ms.
const SHUTDOWN_GRACE_MS: f64 = 8000.0;

impl Simulation {
    pub(super) fn undo(&mut self, kind: FaultKind, impacts: Impact) {
        match (kind, impacts) {
            (_, Impact::Paths(paths)) => {
                self.network.heal(self.now, &paths);
                self.schedule_arrivals();
            }
            (_, Impact::Joining(machine)) => self.restart(machine, 0.0),
            (_, Impact::AllJoining(machines)) => {
                machines
                    .into_iter()
                    .for_each(|machine| self.restart(machine, 0.0));
            }
            (FaultKind::Replace { planned: true, .. }, Impact::Machines(machines)) => {
                for machine in machines {
                    self.leave(machine);
                }
            }
            (FaultKind::PlatformOutage, _) => self.platform_outages -= 1,
            (FaultKind::ResponsesLost, _) => self.response_loss_faults -= 1,
            (FaultKind::Triggered { .. }, _) => {}
            (kind, Impact::Machines(machines)) => {
                machines
                    .into_iter()
                    .for_each(|machine| self.recover(kind, machine));
            }
            (_, Impact::None) => {}
        }
    }

    pub(super) fn recover(&mut self, kind: FaultKind, machine: usize) {
        match kind {
            FaultKind::PowerLoss(_)
            | FaultKind::Wipe { .. }
            | FaultKind::ZonePowerLoss(_)
            | FaultKind::ZoneLoss { .. }
            | FaultKind::PowerLossAll => self.power_on(machine),
            FaultKind::Kill(_) | FaultKind::KillAll | FaultKind::ProxyKill(_) => {
                self.restart(machine, 0.0);
            }
            FaultKind::Freeze(_) => self.thaw(machine),
            FaultKind::Disk { .. } => self.set_mode(machine, DiskMode::Healthy),
            FaultKind::SlowLinks(_) => {
                let mbps = self.plan.link_mbps;
                self.network.set_link(machine, mbps);
            }
            FaultKind::SlowNode(_) => self.speed_up(machine),
            FaultKind::Terminate(_) => self.restart(machine, RESTART_DELAY_MS),
            _ => {}
        }
    }

    /// SIGTERM; the machine is removed once the process has exited or its grace period is over.
    pub(super) fn leave(&mut self, machine: usize) {
        if !self.machines[machine].is_running() {
            return self.remove(machine);
        }
        self.input(machine, Input::Terminate);
        self.schedule(SHUTDOWN_GRACE_MS, Event::Remove { machine });
    }

    pub(super) fn remove_after_grace(&mut self, machine: usize) {
        if !self.machines[machine].removed {
            self.remove(machine);
        }
    }

    pub(super) fn speed_up(&mut self, machine: usize) {
        self.machines[machine].step_delay = StepDelay::default();
        self.set_mode(machine, DiskMode::Healthy);
        let mbps = self.plan.link_mbps;
        self.network.set_link(machine, mbps);
        if !self.machines[machine].frozen {
            self.handle_deferred_events(machine);
        }
    }
}
