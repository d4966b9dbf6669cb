//! The event queue on the simulated clock, and the dispatch of events. Events for frozen machines are deferred.
use super::Simulation;
use crate::event_log;
use crate::network::{Arrival, Item, Process};
use crate::plan::Millis;
use sandtrack_control::endpoint_poller::PageResult;
use sandtrack_control::node::Input;
use sandtrack_sidecar_core::message::Message;

#[derive(Debug)]
pub(super) enum Event {
    Tick {
        machine: usize,
        generation: u64,
    },
    ProxyTick {
        machine: usize,
        generation: u64,
    },
    Observe,
    /// A connection request arrives at the listening machine.
    Dialed {
        connection: u64,
    },
    /// The dialing end learns that the connection was accepted, or refused.
    Opened {
        connection: u64,
        accepted: bool,
    },
    DialTimeout {
        connection: u64,
    },
    /// The listening process accepts the connection.
    Accept {
        connection: u64,
        machine: usize,
        generation: u64,
    },
    Arrive(Arrival),
    Deliver {
        machine: usize,
        process: Process,
        generation: u64,
        connection: u64,
        side: usize,
        item: Item,
    },
    DiskDone {
        machine: usize,
        generation: u64,
    },
    Called {
        machine: usize,
        generation: u64,
        call: PageResult,
    },
    OperatorCall {
        machine: usize,
        call: u64,
        message: Message,
        /// When the machine's kernel accepted it; the process reads it when it runs.
        queued_at: Option<Millis>,
    },
    Response {
        call: u64,
        status: u16,
        body: String,
    },
    CallFailed {
        call: u64,
    },
    StartControl {
        machine: usize,
    },
    StartProxy {
        machine: usize,
    },
    /// The grace period of a machine that is removed by plan is over.
    Remove {
        machine: usize,
    },
    /// A triggered fault strikes.
    InjectTriggered {
        fault: usize,
    },
    PowerOn {
        machine: usize,
    },
    /// A slow machine handles its next deferred event.
    Step {
        machine: usize,
    },
    FaultBegins(usize),
    FaultEnds(usize),
    /// Checks that proxies have a version that was acknowledged at `since`.
    Applied {
        version: u64,
        since: Millis,
    },
    Evacuated {
        zone: String,
        begun: bool,
        /// Distinguishes this acknowledgement from a later one of the same state.
        number: u64,
        since: Millis,
    },
}

impl Simulation {
    pub(super) fn run_for(&mut self, duration: Millis) {
        let end = self.now + duration;
        while let Some(entry) = self.events.first_entry() {
            let at = entry.key().0 as f64 / 1000.0;
            if at > end {
                break;
            }
            self.now = self.now.max(at);
            let event = entry.remove();
            event_log::set_time(self.now);
            self.handle_event(event);
        }
        self.now = self.now.max(end);
    }

    pub(super) fn schedule(&mut self, after: Millis, event: Event) {
        self.event_sequence += 1;
        self.events.insert(
            (
                ((self.now + after.max(0.0)) * 1000.0) as u64,
                self.event_sequence,
            ),
            event,
        );
    }

    /// Handles an event now.
    pub(super) fn handle_event(&mut self, event: Event) {
        match event {
            Event::Tick {
                machine,
                generation,
            } => {
                let mine = &self.machines[machine];
                if mine.control_generation == generation && mine.is_running() {
                    self.handle_at_machine(machine, event);
                }
            }
            Event::Accept { machine, .. }
            | Event::Deliver { machine, .. }
            | Event::Called { machine, .. }
            | Event::OperatorCall { machine, .. } => self.handle_at_machine(machine, event),
            Event::ProxyTick {
                machine,
                generation,
            } => self.proxy_tick(machine, generation),
            Event::Observe => self.observe(),
            Event::Dialed { connection } => self.dialed(connection),
            Event::Opened {
                connection,
                accepted,
            } => self.opened(connection, accepted),
            Event::DialTimeout { connection } => self.dial_timed_out(connection),
            Event::Arrive(arrival) => self.arrive(arrival),
            Event::DiskDone {
                machine,
                generation,
            } => self.disk_done(machine, generation),
            Event::Response { call, status, body } => self.handle_response(call, status, &body),
            Event::CallFailed { call } => self.operators.connection_failed(call),
            Event::StartControl { machine } => self.start_control(machine),
            Event::StartProxy { machine } => self.start_proxy(machine),
            Event::Remove { machine } => self.remove_after_grace(machine),
            Event::InjectTriggered { fault } => self.inject_triggered(fault),
            Event::PowerOn { machine } => self.power_on(machine),
            Event::Step { machine } => self.step(machine),
            Event::FaultBegins(fault) => self.begin_fault(fault),
            Event::FaultEnds(fault) => self.end_fault(fault),
            Event::Applied { version, since } => self.check_applied(version, since),
            Event::Evacuated {
                zone,
                begun,
                number,
                since,
            } => self.check_evacuated(&zone, begun, number, since),
        }
    }

    /// Handles an event of a machine's process, unless the machine is frozen or busy.
    fn handle_at_machine(&mut self, machine: usize, mut event: Event) {
        if let Event::OperatorCall { queued_at, .. } = &mut event {
            queued_at.get_or_insert(self.now);
        }
        match self.defer(machine, event) {
            Some(Event::Tick { .. }) => self.input(machine, Input::Tick),
            Some(Event::Accept {
                connection,
                generation,
                ..
            }) => self.accept(connection, machine, generation),
            Some(Event::Deliver {
                process,
                generation,
                connection,
                side,
                item,
                ..
            }) => self.deliver(machine, process, generation, connection, side, item),
            Some(Event::Called {
                generation, call, ..
            }) if self.machines[machine].control_generation == generation => {
                self.input(machine, Input::PageFetched(call));
            }
            Some(Event::OperatorCall {
                call,
                message,
                queued_at,
                ..
            }) => {
                let queued_at = queued_at.unwrap_or(self.now);
                self.operator_call(machine, call, message, queued_at);
            }
            _ => {}
        }
    }
}
