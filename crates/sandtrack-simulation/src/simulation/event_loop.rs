//! The event queue on the simulated clock, and the dispatch of events. Events for frozen machines are deferred.
use super::timing::{CONFIGURATION_APPLY_LIMIT_MS, CONNECTED_AFTER_MS};
use super::Simulation;
use crate::event_log;
use crate::network::{Arrival, Item, Process};
use crate::plan::Millis;
use sandtrack_control::node::Input;
use sandtrack_control::reader::Call;
use sandtrack_sidecar_core::message::Message;
use std::collections::VecDeque;

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
    DialLate {
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
        call: Call,
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

    /// Defers the event if the machine is frozen or busy; gives it back if it can be handled now.
    pub(super) fn defer(&mut self, machine: usize, event: Event) -> Option<Event> {
        if self.machines[machine].frozen {
            self.deferred_events
                .entry(machine)
                .or_default()
                .push_back(event);
            return None;
        }
        if self.machines[machine].step_delay.step_ms == 0.0 {
            return Some(event);
        }
        self.defer_while_busy(machine, event)
    }

    fn defer_while_busy(&mut self, machine: usize, event: Event) -> Option<Event> {
        let inbox = self.deferred_events.entry(machine).or_default();
        let step_delay = &mut self.machines[machine].step_delay;
        let is_next = std::mem::take(&mut step_delay.is_current)
            || inbox.is_empty() && step_delay.busy_until <= self.now;
        if is_next {
            step_delay.busy_until = self.now + step_delay.step_ms;
            return Some(event);
        }
        // One pending tick is enough.
        let is_tick = |event: &Event| matches!(event, Event::Tick { .. });
        if !is_tick(&event) || !inbox.iter().any(is_tick) {
            inbox.push_back(event);
        }
        self.schedule_step(machine);
        None
    }

    fn schedule_step(&mut self, machine: usize) {
        let step_delay = &mut self.machines[machine].step_delay;
        if !std::mem::replace(&mut step_delay.is_scheduled, true) {
            let after = step_delay.busy_until - self.now;
            self.schedule(after, Event::Step { machine });
        }
    }

    /// Handles the next deferred event of a slow machine.
    fn step(&mut self, machine: usize) {
        let mine = &mut self.machines[machine];
        mine.step_delay.is_scheduled = false;
        if mine.frozen || mine.step_delay.step_ms == 0.0 {
            return;
        }
        let Some(event) = self
            .deferred_events
            .get_mut(&machine)
            .and_then(VecDeque::pop_front)
        else {
            return;
        };
        mine.step_delay.is_current = true;
        self.handle_event(event);
        let mine = &mut self.machines[machine];
        mine.step_delay.is_current = false;
        if self
            .deferred_events
            .get(&machine)
            .is_some_and(|inbox| !inbox.is_empty())
        {
            self.schedule_step(machine);
        }
    }

    /// Handles all deferred events of a machine in their order.
    pub(super) fn handle_deferred_events(&mut self, machine: usize) {
        for event in self.deferred_events.remove(&machine).unwrap_or_default() {
            self.handle_event(event);
        }
    }

    pub(super) fn thaw(&mut self, machine: usize) {
        self.machines[machine].frozen = false;
        self.machines[machine].running_since = self.now;
        self.handle_deferred_events(machine);
        let (control, proxy) = (
            self.machines[machine].control_generation,
            self.machines[machine].proxy_generation,
        );
        for (generation, input) in self
            .deferred_disk_inputs
            .remove(&machine)
            .unwrap_or_default()
        {
            if generation == control {
                self.input(machine, input);
            }
        }
        self.schedule(
            0.0,
            Event::Tick {
                machine,
                generation: control,
            },
        );
        self.schedule(
            0.0,
            Event::ProxyTick {
                machine,
                generation: proxy,
            },
        );
    }

    pub(super) fn handle_event(&mut self, event: Event) {
        match event {
            Event::Tick {
                machine,
                generation,
            } => {
                let mine = &self.machines[machine];
                if mine.control_generation == generation
                    && mine.is_running()
                    && self.defer(machine, event).is_some()
                {
                    self.input(machine, Input::Tick);
                }
            }
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
            Event::DialLate { connection } => {
                let waits = self
                    .network
                    .connections
                    .get(&connection)
                    .is_some_and(|one| one.ends[1].generation == 0);
                if waits {
                    self.opened(connection, false);
                }
            }
            Event::Accept {
                connection,
                machine,
                generation,
            } => {
                if let Some(Event::Accept { .. }) = self.defer(
                    machine,
                    Event::Accept {
                        connection,
                        machine,
                        generation,
                    },
                ) {
                    self.accept(connection, machine, generation);
                }
            }
            Event::Arrive(arrival) => self.arrive(arrival),
            Event::Deliver {
                machine,
                process,
                generation,
                connection,
                side,
                item,
            } => {
                let event = Event::Deliver {
                    machine,
                    process,
                    generation,
                    connection,
                    side,
                    item,
                };
                if let Some(Event::Deliver { item, .. }) = self.defer(machine, event) {
                    self.deliver(machine, process, generation, connection, side, item);
                }
            }
            Event::DiskDone {
                machine,
                generation,
            } => self.disk_done(machine, generation),
            Event::Called {
                machine,
                generation,
                call,
            } => {
                if let Some(Event::Called { call, .. }) = self.defer(
                    machine,
                    Event::Called {
                        machine,
                        generation,
                        call,
                    },
                ) {
                    if self.machines[machine].control_generation == generation {
                        self.input(machine, Input::Called(call));
                    }
                }
            }
            Event::OperatorCall {
                machine,
                call,
                message,
                queued_at,
            } => {
                let queued_at = queued_at.unwrap_or(self.now);
                let event = Event::OperatorCall {
                    machine,
                    call,
                    message,
                    queued_at: Some(queued_at),
                };
                if let Some(Event::OperatorCall { message, .. }) = self.defer(machine, event) {
                    self.operator_call(machine, call, message, queued_at);
                }
            }
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
            Event::Applied { version, since } => {
                if self.last_fault_at < since - CONNECTED_AFTER_MS {
                    self.check_proxy_versions(version, CONFIGURATION_APPLY_LIMIT_MS);
                }
            }
            Event::Evacuated {
                zone,
                begun,
                number,
                since,
            } => {
                let settled = self
                    .oracle
                    .settled_evacuations()
                    .any(|one| one == (zone.as_str(), begun, number));
                if settled && self.last_fault_at < since - CONNECTED_AFTER_MS {
                    self.check_proxy_evacuations(&zone, begun);
                }
            }
        }
    }
}
