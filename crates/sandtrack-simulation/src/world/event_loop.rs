//! Events on the counted clock, and where each goes. What comes to a frozen machine waits.
use super::{World, CONFIGURATION_APPLY_MS, IN_TOUCH_MS};
use crate::log_lines;
use crate::network::{Arrival, Item, Process};
use crate::plan::Millis;
use sandtrack_control::endpoint_poller::PageResult;
use sandtrack_control::node::Input;
use sandtrack_sidecar_core::message::Message;
use std::collections::VecDeque;

#[derive(Debug)]
pub(super) enum Event {
    Tick {
        machine: usize,
        life: u64,
    },
    ProxyTick {
        machine: usize,
        life: u64,
    },
    Look,
    /// A connection is asked for.
    Dialed {
        connection: u64,
    },
    /// The dialing end hears that it stands, or that there is nobody.
    Opened {
        connection: u64,
        stands: bool,
    },
    DialLate {
        connection: u64,
    },
    /// The process at the other end accepts.
    Accept {
        connection: u64,
        machine: usize,
        life: u64,
    },
    Arrive(Arrival),
    Deliver {
        machine: usize,
        process: Process,
        life: u64,
        connection: u64,
        side: usize,
        item: Item,
    },
    DiskDone {
        machine: usize,
        life: u64,
    },
    Called {
        machine: usize,
        life: u64,
        call: PageResult,
    },
    OperatorCall {
        machine: usize,
        call: u64,
        message: Message,
        /// When the machine's kernel had it; the process reads it when it runs.
        came: Option<Millis>,
    },
    Answer {
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
    /// A machine that left by plan is gone.
    Remove {
        machine: usize,
    },
    /// A closing fault's moment has come.
    Strike {
        fault: usize,
    },
    PowerOn {
        machine: usize,
    },
    /// A slow machine takes its next step.
    Step {
        machine: usize,
    },
    FaultBegins(usize),
    FaultEnds(usize),
    /// Whether proxies have a version, or evacuations, that were acknowledged at a time.
    Applied {
        version: u64,
        since: Millis,
    },
    Evacuated {
        zone: String,
        begun: bool,
        /// Tells this acknowledgement from a later one of the same.
        number: u64,
        since: Millis,
    },
}

impl World {
    pub fn run(&mut self, span: Millis) {
        let end = self.now + span;
        while let Some(entry) = self.events.first_entry() {
            let at = entry.key().0 as f64 / 1000.0;
            if at > end {
                break;
            }
            self.now = self.now.max(at);
            let event = entry.remove();
            log_lines::set_time(self.now);
            self.happen(event);
        }
        self.now = self.now.max(end);
    }

    pub(super) fn later(&mut self, after: Millis, event: Event) {
        self.order += 1;
        self.events.insert(
            (((self.now + after.max(0.0)) * 1000.0) as u64, self.order),
            event,
        );
    }

    /// Whether it waits for a frozen machine, or for the steps of a slow one, instead.
    pub(super) fn waits(&mut self, machine: usize, event: Event) -> Option<Event> {
        if self.machines[machine].frozen {
            self.inboxes.entry(machine).or_default().push_back(event);
            return None;
        }
        if self.machines[machine].steps.each_ms == 0.0 {
            return Some(event);
        }
        self.waits_for_steps(machine, event)
    }

    fn waits_for_steps(&mut self, machine: usize, event: Event) -> Option<Event> {
        let inbox = self.inboxes.entry(machine).or_default();
        let steps = &mut self.machines[machine].steps;
        let is_next =
            std::mem::take(&mut steps.taken) || inbox.is_empty() && steps.busy_until <= self.now;
        if is_next {
            steps.busy_until = self.now + steps.each_ms;
            return Some(event);
        }
        // One look at what is due is enough.
        let is_tick = |event: &Event| matches!(event, Event::Tick { .. });
        if !is_tick(&event) || !inbox.iter().any(is_tick) {
            inbox.push_back(event);
        }
        self.plan_step(machine);
        None
    }

    fn plan_step(&mut self, machine: usize) {
        let steps = &mut self.machines[machine].steps;
        if !std::mem::replace(&mut steps.planned, true) {
            let after = steps.busy_until - self.now;
            self.later(after, Event::Step { machine });
        }
    }

    /// A slow machine takes the next of what waits.
    fn step(&mut self, machine: usize) {
        let mine = &mut self.machines[machine];
        mine.steps.planned = false;
        if mine.frozen || mine.steps.each_ms == 0.0 {
            return;
        }
        let Some(event) = self.inboxes.get_mut(&machine).and_then(VecDeque::pop_front) else {
            return;
        };
        mine.steps.taken = true;
        self.happen(event);
        let mine = &mut self.machines[machine];
        mine.steps.taken = false;
        if self
            .inboxes
            .get(&machine)
            .is_some_and(|inbox| !inbox.is_empty())
        {
            self.plan_step(machine);
        }
    }

    /// All that waits happens, in its order.
    pub(super) fn take_what_waits(&mut self, machine: usize) {
        for event in self.inboxes.remove(&machine).unwrap_or_default() {
            self.happen(event);
        }
    }

    pub(super) fn thaw(&mut self, machine: usize) {
        self.machines[machine].frozen = false;
        self.machines[machine].runs_since = self.now;
        self.take_what_waits(machine);
        let (control, proxy) = (
            self.machines[machine].control_life,
            self.machines[machine].proxy_life,
        );
        for (life, input) in self.disk_waits.remove(&machine).unwrap_or_default() {
            if life == control {
                self.input(machine, input);
            }
        }
        self.later(
            0.0,
            Event::Tick {
                machine,
                life: control,
            },
        );
        self.later(
            0.0,
            Event::ProxyTick {
                machine,
                life: proxy,
            },
        );
    }

    pub(super) fn happen(&mut self, event: Event) {
        match event {
            Event::Tick { machine, life } => {
                let mine = &self.machines[machine];
                if mine.control_life == life
                    && mine.is_running()
                    && self.waits(machine, event).is_some()
                {
                    self.input(machine, Input::Tick);
                }
            }
            Event::ProxyTick { machine, life } => self.proxy_tick(machine, life),
            Event::Look => self.look(),
            Event::Dialed { connection } => self.dialed(connection),
            Event::Opened { connection, stands } => self.opened(connection, stands),
            Event::DialLate { connection } => {
                let waits = self
                    .network
                    .connections
                    .get(&connection)
                    .is_some_and(|one| one.ends[1].life == 0);
                if waits {
                    self.opened(connection, false);
                }
            }
            Event::Accept {
                connection,
                machine,
                life,
            } => {
                if let Some(Event::Accept { .. }) = self.waits(
                    machine,
                    Event::Accept {
                        connection,
                        machine,
                        life,
                    },
                ) {
                    self.accept(connection, machine, life);
                }
            }
            Event::Arrive(arrival) => self.arrive(arrival),
            Event::Deliver {
                machine,
                process,
                life,
                connection,
                side,
                item,
            } => {
                let event = Event::Deliver {
                    machine,
                    process,
                    life,
                    connection,
                    side,
                    item,
                };
                if let Some(Event::Deliver { item, .. }) = self.waits(machine, event) {
                    self.deliver(machine, process, life, connection, side, item);
                }
            }
            Event::DiskDone { machine, life } => self.disk_done(machine, life),
            Event::Called {
                machine,
                life,
                call,
            } => {
                if let Some(Event::Called { call, .. }) = self.waits(
                    machine,
                    Event::Called {
                        machine,
                        life,
                        call,
                    },
                ) {
                    if self.machines[machine].control_life == life {
                        self.input(machine, Input::PageFetched(call));
                    }
                }
            }
            Event::OperatorCall {
                machine,
                call,
                message,
                came,
            } => {
                let came = came.unwrap_or(self.now);
                let event = Event::OperatorCall {
                    machine,
                    call,
                    message,
                    came: Some(came),
                };
                if let Some(Event::OperatorCall { message, .. }) = self.waits(machine, event) {
                    self.operator_call(machine, call, message, came);
                }
            }
            Event::Answer { call, status, body } => self.answer(call, status, &body),
            Event::CallFailed { call } => self.operators.failed(call),
            Event::StartControl { machine } => self.start_control(machine),
            Event::StartProxy { machine } => self.start_proxy(machine),
            Event::Remove { machine } => self.remove_left(machine),
            Event::Strike { fault } => self.strike_all(fault),
            Event::PowerOn { machine } => self.power_on(machine),
            Event::Step { machine } => self.step(machine),
            Event::FaultBegins(fault) => self.fault_begins(fault),
            Event::FaultEnds(fault) => self.fault_ends(fault),
            Event::Applied { version, since } => {
                if self.troubled < since - IN_TOUCH_MS {
                    self.proxies_have(version, CONFIGURATION_APPLY_MS);
                }
            }
            Event::Evacuated {
                zone,
                begun,
                number,
                since,
            } => {
                let settled = self
                    .checks
                    .settled_evacuations()
                    .any(|one| one == (zone.as_str(), begun, number));
                if settled && self.troubled < since - IN_TOUCH_MS {
                    self.proxies_evacuated(&zone, begun);
                }
            }
        }
    }
}
