//! Inputs of control nodes, and their effects, carried out as the real program does it.
use super::event_loop::Event;
use super::timing::{PLATFORM_LATENCY_MS, RESTART_DELAY_MS};
use super::Simulation;
use crate::disk::DiskMode;
use crate::event_log;
use crate::machine::{machine_of, DiskRequest};
use crate::network::{Item, Port, Process};
use crate::plan::ZONES;
use sandtrack_control::endpoint_poller::{Page, PageResult};
use sandtrack_control::node::{Effect, Input};
use sandtrack_control::peers::LinkAction;
use sandtrack_control::sessions::SessionAction;
use sandtrack_protocol::frames::{self, ToProxy, UpstreamEntry};
use sandtrack_wal::WalError;
use std::rc::Rc;

impl Simulation {
    pub(super) fn input(&mut self, machine: usize, input: Input) {
        let now = self.clock(machine);
        event_log::set_machine(machine);
        let Some(control) = self.machines[machine].control.as_mut() else {
            return;
        };
        let mut effects = Vec::new();
        control.node.handle(now, input, &mut effects);
        self.perform(machine, effects);
        self.after_input(machine);
    }

    /// Checks what the control node shows after an input, and schedules its next tick.
    pub(super) fn after_input(&mut self, machine: usize) {
        let now = self.clock(machine);
        let Some(control) = self.machines[machine].control.as_mut() else {
            return;
        };
        let due = control.node.next_due();
        let plan = due < control.next_tick_at || control.next_tick_at <= now;
        if plan {
            control.next_tick_at = due.max(now + 0.1);
        }
        let state = control.node.control_state();
        let seen = (state.configuration_number(), state.evacuation_number());
        let before = std::mem::replace(&mut control.last_numbers, seen);
        let configuration = (seen.0 != before.0)
            .then(|| state.configuration_frame())
            .flatten();
        let evacuated =
            (seen.1 != before.1).then(|| state.evacuated_zones().map(str::to_owned).collect());
        if let Some(ToProxy::Configuration {
            number,
            version,
            document,
        }) = configuration
        {
            self.oracle
                .configuration_applied(machine, number, version, &document);
        }
        if let Some(zones) = evacuated {
            self.record(|| format!("machine {machine}: evacuations {} are {zones:?}", seen.1));
            self.oracle.evacuations_applied(machine, seen.1, &zones);
        }
        if plan {
            let generation = self.machines[machine].control_generation;
            let next_tick_at = self.machines[machine]
                .control
                .as_ref()
                .map_or(now, |control| control.next_tick_at);
            self.schedule(
                next_tick_at - now,
                Event::Tick {
                    machine,
                    generation,
                },
            );
        }
    }

    pub(super) fn perform(&mut self, machine: usize, effects: Vec<Effect>) {
        let generation = self.machines[machine].control_generation;
        for effect in effects {
            match effect {
                Effect::Reply { call, reply } => self.reply(machine, call, reply),
                Effect::Link(order) => self.link_order(machine, order),
                Effect::Session(order) => self.session_order(machine, order),
                Effect::Write { ticket, records } => {
                    self.request_disk(
                        machine,
                        DiskRequest {
                            ticket,
                            records,
                            replaces_log: false,
                        },
                    );
                }
                Effect::Rewrite { ticket, records } => {
                    self.request_disk(
                        machine,
                        DiskRequest {
                            ticket,
                            records,
                            replaces_log: true,
                        },
                    );
                }
                Effect::Fetch { .. } => self.fetch(machine, generation),
                Effect::Exit => {
                    self.record(|| format!("machine {machine}: control has ended"));
                    self.kill_control(machine, false);
                    self.schedule(RESTART_DELAY_MS, Event::StartControl { machine });
                    return;
                }
            }
        }
        self.schedule_arrivals();
    }

    fn session_order(&mut self, machine: usize, order: SessionAction) {
        let generation = self.machines[machine].control_generation;
        let Some(control) = self.machines[machine].control.as_mut() else {
            return;
        };
        match order {
            SessionAction::Send { session, bytes } => {
                if let Some((connection, side)) = control.sessions.get(&session).copied() {
                    self.network
                        .send(self.now, connection, side, Item::Frame(bytes));
                }
            }
            SessionAction::Close { session } => {
                let Some((connection, side)) = control.sessions.remove(&session) else {
                    return;
                };
                self.network.close(self.now, connection, side, false);
                let (process, item) = (Process::Control, Item::Fin);
                self.schedule(
                    0.0,
                    Event::Deliver {
                        machine,
                        process,
                        generation,
                        connection,
                        side,
                        item,
                    },
                );
            }
        }
    }

    pub(super) fn fetch(&mut self, machine: usize, generation: u64) {
        let call = if self.platform_outages > 0 {
            PageResult::Failed("down".to_owned())
        } else {
            let entry = |number: usize| UpstreamEntry {
                identifier: format!("i-{number}"),
                service: "print".to_owned(),
                address: format!("10.128.0.{number}:8080"),
                zone: crate::operators::zone_name(number % ZONES),
                slots: 6,
                ..UpstreamEntry::default()
            };
            PageResult::Page(Page {
                entries: (1..=4).map(entry).collect(),
                next_token: None,
            })
        };
        self.schedule(
            PLATFORM_LATENCY_MS,
            Event::Called {
                machine,
                generation,
                call,
            },
        );
    }

    pub(super) fn request_disk(&mut self, machine: usize, order: DiskRequest) {
        let Some(control) = self.machines[machine].control.as_mut() else {
            return;
        };
        control.disk_queue.push_back(order);
        if control.disk_queue.len() == 1 {
            self.schedule_disk(machine);
        }
    }

    /// Schedules the completion of the disk's current request; a stalled disk completes nothing.
    pub(super) fn schedule_disk(&mut self, machine: usize) {
        let mine = &self.machines[machine];
        let Some(order) = mine
            .control
            .as_ref()
            .and_then(|control| control.disk_queue.front())
        else {
            return;
        };
        let slower = match mine.disk_mode {
            DiskMode::Stalled => return,
            DiskMode::Slow(slower) => slower,
            DiskMode::Healthy | DiskMode::Full => 1.0,
        };
        let (takes, generation) = (order.duration() * slower, mine.control_generation);
        self.schedule(
            takes,
            Event::DiskDone {
                machine,
                generation,
            },
        );
    }

    pub(super) fn disk_done(&mut self, machine: usize, generation: u64) {
        let mine = &mut self.machines[machine];
        if mine.control_generation != generation || mine.disk_mode == DiskMode::Stalled {
            return;
        }
        let Some(control) = mine.control.as_mut() else {
            return;
        };
        let Some(order) = control.disk_queue.pop_front() else {
            return;
        };
        let done = if order.replaces_log {
            control.wal.rewrite(&order.records)
        } else {
            control.wal.append(&order.records)
        };
        self.schedule_disk(machine);
        let ticket = order.ticket;
        match done {
            Ok(()) => self.disk_input(machine, generation, Input::Written { ticket }),
            Err(WalError::Unknown(_)) => {
                self.record(|| format!("machine {machine}: the WAL is unknown, it starts anew"));
                self.kill_control(machine, false);
                self.schedule(RESTART_DELAY_MS, Event::StartControl { machine });
            }
            Err(_) => self.disk_input(machine, generation, Input::WriteFailed { ticket }),
        }
    }

    /// The disk goes on while its process is frozen; the process is notified once it runs again.
    pub(super) fn disk_input(&mut self, machine: usize, generation: u64, input: Input) {
        if self.machines[machine].frozen {
            self.deferred_disk_inputs
                .entry(machine)
                .or_default()
                .push((generation, input));
            return;
        }
        self.input(machine, input);
    }

    pub(super) fn link_order(&mut self, machine: usize, order: LinkAction) {
        let generation = self.machines[machine].control_generation;
        match order {
            LinkAction::Dial { link, address } => {
                let Some(to) = machine_of(&address) else {
                    return;
                };
                let connection = self.network.dial(
                    (machine, Process::Control, generation, link),
                    to,
                    Port::Peer,
                );
                if let Some(control) = self.machines[machine].control.as_mut() {
                    control.links.insert(link, (connection, 0));
                }
                self.dial(connection, machine, to);
            }
            LinkAction::Send { link, frame } => {
                let Some(control) = self.machines[machine].control.as_ref() else {
                    return;
                };
                if let Some((connection, side)) = control.links.get(&link).copied() {
                    let bytes: Rc<[u8]> = frames::encode(&frame).into();
                    self.network
                        .send(self.now, connection, side, Item::Frame(bytes));
                }
            }
            LinkAction::Close { link } => {
                let Some(control) = self.machines[machine].control.as_mut() else {
                    return;
                };
                if let Some((connection, side)) = control.links.remove(&link) {
                    self.network.close(self.now, connection, side, false);
                }
            }
        }
    }
}
