//! What goes into a control node, and what it asks for, carried out as the program does it.
use super::event_loop::Event;
use super::{World, RESTART_MS};
use crate::disk::Mode;
use crate::log_lines;
use crate::machine::{machine_of, DiskOrder};
use crate::network::{Item, Port, Process};
use crate::plan::{Millis, ZONES};
use sandtrack_control::endpoint_poller::{Page, PageResult};
use sandtrack_control::node::{Effect, Input};
use sandtrack_control::peers::LinkAction;
use sandtrack_control::sessions::SessionAction;
use sandtrack_protocol::frames::{self, ToProxy, UpstreamEntry};
use sandtrack_wal::WalError;
use std::rc::Rc;

/// A call of the platform, in ms.
const PLATFORM_MS: Millis = 8.0;

impl World {
    pub(super) fn input(&mut self, machine: usize, input: Input) {
        let now = self.clock(machine);
        log_lines::set_machine(machine);
        let Some(control) = self.machines[machine].control.as_mut() else {
            return;
        };
        let mut effects = Vec::new();
        control.node.handle(now, input, &mut effects);
        self.perform(machine, effects);
        self.after_input(machine);
    }

    /// Looks at what it shows now, and plans its next look.
    pub(super) fn after_input(&mut self, machine: usize) {
        let now = self.clock(machine);
        let Some(control) = self.machines[machine].control.as_mut() else {
            return;
        };
        let due = control.node.next_due();
        let plan = due < control.tick_at || control.tick_at <= now;
        if plan {
            control.tick_at = due.max(now + 0.1);
        }
        let state = control.node.control_state();
        let seen = (state.configuration_number(), state.evacuation_number());
        let before = std::mem::replace(&mut control.seen, seen);
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
            self.checks
                .configuration_in_force(machine, number, version, document);
        }
        if let Some(zones) = evacuated {
            self.say(|| format!("machine {machine}: evacuations {} are {zones:?}", seen.1));
            self.checks.evacuations_in_force(machine, seen.1, zones);
        }
        if plan {
            let life = self.machines[machine].control_life;
            let tick_at = self.machines[machine]
                .control
                .as_ref()
                .map_or(now, |control| control.tick_at);
            self.later(tick_at - now, Event::Tick { machine, life });
        }
    }

    pub(super) fn perform(&mut self, machine: usize, effects: Vec<Effect>) {
        let life = self.machines[machine].control_life;
        for effect in effects {
            match effect {
                Effect::Reply { call, reply } => self.reply(machine, call, reply),
                Effect::Link(order) => self.link_order(machine, order),
                Effect::Session(order) => self.session_order(machine, order),
                Effect::Write { ticket, records } => {
                    self.disk_order(
                        machine,
                        DiskOrder {
                            ticket,
                            records,
                            rewrites: false,
                        },
                    );
                }
                Effect::Rewrite { ticket, records } => {
                    self.disk_order(
                        machine,
                        DiskOrder {
                            ticket,
                            records,
                            rewrites: true,
                        },
                    );
                }
                Effect::Fetch { .. } => self.fetch(machine, life),
                Effect::Exit => {
                    self.say(|| format!("machine {machine}: control has ended"));
                    self.kill_control(machine, false);
                    self.later(RESTART_MS, Event::StartControl { machine });
                    return;
                }
            }
        }
        self.plan_arrivals();
    }

    fn session_order(&mut self, machine: usize, order: SessionAction) {
        let life = self.machines[machine].control_life;
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
                let (process, item) = (Process::Control, Item::End);
                self.later(
                    0.0,
                    Event::Deliver {
                        machine,
                        process,
                        life,
                        connection,
                        side,
                        item,
                    },
                );
            }
        }
    }

    pub(super) fn fetch(&mut self, machine: usize, life: u64) {
        let call = if self.platform_down > 0 {
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
        self.later(
            PLATFORM_MS,
            Event::Called {
                machine,
                life,
                call,
            },
        );
    }

    pub(super) fn disk_order(&mut self, machine: usize, order: DiskOrder) {
        let Some(control) = self.machines[machine].control.as_mut() else {
            return;
        };
        control.orders.push_back(order);
        if control.orders.len() == 1 {
            self.plan_disk(machine);
        }
    }

    /// Plans the end of what the disk is doing; a stalled one does nothing.
    pub(super) fn plan_disk(&mut self, machine: usize) {
        let mine = &self.machines[machine];
        let Some(order) = mine
            .control
            .as_ref()
            .and_then(|control| control.orders.front())
        else {
            return;
        };
        let slower = match mine.mode {
            Mode::Stalled => return,
            Mode::Slow(slower) => slower,
            Mode::Well | Mode::Full => 1.0,
        };
        let (takes, life) = (order.takes() * slower, mine.control_life);
        self.later(takes, Event::DiskDone { machine, life });
    }

    pub(super) fn disk_done(&mut self, machine: usize, life: u64) {
        let mine = &mut self.machines[machine];
        if mine.control_life != life || mine.mode == Mode::Stalled {
            return;
        }
        let Some(control) = mine.control.as_mut() else {
            return;
        };
        let Some(order) = control.orders.pop_front() else {
            return;
        };
        let done = if order.rewrites {
            control.wal.rewrite(&order.records)
        } else {
            control.wal.append(&order.records)
        };
        self.plan_disk(machine);
        let ticket = order.ticket;
        match done {
            Ok(()) => self.disk_input(machine, life, Input::Written { ticket }),
            Err(WalError::Unknown(_)) => {
                self.say(|| format!("machine {machine}: the WAL is unknown, it starts anew"));
                self.kill_control(machine, false);
                self.later(RESTART_MS, Event::StartControl { machine });
            }
            Err(_) => self.disk_input(machine, life, Input::WriteFailed { ticket }),
        }
    }

    /// The disk works on while its process is frozen; what it tells waits.
    pub(super) fn disk_input(&mut self, machine: usize, life: u64, input: Input) {
        if self.machines[machine].frozen {
            self.disk_waits
                .entry(machine)
                .or_default()
                .push((life, input));
            return;
        }
        self.input(machine, input);
    }

    pub(super) fn link_order(&mut self, machine: usize, order: LinkAction) {
        let life = self.machines[machine].control_life;
        match order {
            LinkAction::Dial { link, address } => {
                let Some(to) = machine_of(&address) else {
                    return;
                };
                let connection =
                    self.network
                        .dial((machine, Process::Control, life, link), to, Port::Peer);
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
