//! Connections that are dialed, accepted and carry frames to the processes at their ends.
use super::event_loop::Event;
use super::World;
use crate::network::{Arrival, Item, Port, Process};
use crate::plan::Millis;
use sandtrack_control::node::Input;
use sandtrack_control::peers::PeerFrame;
use sandtrack_protocol::frames::{self, ToControl, ToProxy};

/// A machine dials for so long; as in `program` of control.
const DIAL_MS: Millis = 900.0;

impl World {
    pub(super) fn plan_arrivals(&mut self) {
        for arrival in self.network.take_arrivals() {
            let after = arrival.at - self.now;
            self.later(after, Event::Arrive(arrival));
        }
    }

    pub(super) fn dial(&mut self, connection: u64, from: usize, to: usize) {
        let is_there = to < self.machines.len();
        if is_there && self.network.is_open(from, to) {
            let delay = self.network.delay(from, to);
            self.later(delay, Event::Dialed { connection });
        }
        self.later(DIAL_MS, Event::DialLate { connection });
    }

    pub(super) fn dialed(&mut self, connection: u64) {
        let Some(known) = self.network.connections.get(&connection) else {
            return;
        };
        let (from, to) = (known.ends[0].machine, known.ends[1].machine);
        if !self.network.is_open(from, to) || !self.network.is_open(to, from) {
            return;
        }
        let delay = self.network.delay(to, from);
        let stands = self.machines[to].control.is_some();
        if stands {
            let life = self.machines[to].control_life;
            self.network.listen(connection, life);
            self.later(
                0.0,
                Event::Accept {
                    connection,
                    machine: to,
                    life,
                },
            );
        }
        self.later(delay, Event::Opened { connection, stands });
    }

    /// At the end that dialed.
    pub(super) fn opened(&mut self, connection: u64, stands: bool) {
        let Some(known) = self.network.connections.get(&connection) else {
            return;
        };
        let end = known.ends[0].clone();
        let Some(number) = end.number else { return };
        let machine = end.machine;
        // The kernel has it; the process hears of it when it runs again.
        if self
            .waits(machine, Event::Opened { connection, stands })
            .is_none()
        {
            return;
        }
        match end.process {
            Process::Control => {
                if self.machines[machine].control_life != end.life {
                    return;
                }
                let control = self.machines[machine].control.as_mut();
                let Some(control) = control.filter(|control| control.links.contains_key(&number))
                else {
                    return;
                };
                if stands {
                    self.input(machine, Input::LinkOpened { link: number });
                } else {
                    control.links.remove(&number);
                    self.network.close(self.now, connection, 0, true);
                    self.input(machine, Input::LinkClosed { link: number });
                }
            }
            Process::Proxy => {
                let mut wishes = Vec::new();
                let now = self.clock(machine);
                let mine = &mut self.machines[machine];
                if mine.proxy_life != end.life || !mine.proxy_connections.contains_key(&number) {
                    return;
                }
                let Some(proxy) = mine.proxy.as_mut() else {
                    return;
                };
                if stands {
                    proxy.opened(now, number, &mut wishes);
                } else {
                    mine.proxy_connections.remove(&number);
                    proxy.closed(now, number, &mut wishes);
                }
                self.wishes(machine, wishes);
            }
        }
    }

    pub(super) fn accept(&mut self, connection: u64, machine: usize, life: u64) {
        let now = self.clock(machine);
        let Some(port) = self
            .network
            .connections
            .get(&connection)
            .map(|known| known.port)
        else {
            return;
        };
        if self.machines[machine].control_life != life {
            return;
        }
        let Some(control) = self.machines[machine].control.as_mut() else {
            return;
        };
        match port {
            Port::Peer => {
                let link = control.node.link_accepted(now);
                control.links.insert(link, (connection, 1));
                self.network.accepted(connection, link);
                self.input(machine, Input::LinkOpened { link });
            }
            Port::Session => {
                let session = control.node.session_accepted(now);
                control.sessions.insert(session, (connection, 1));
                self.network.accepted(connection, session);
            }
        }
    }

    pub(super) fn arrive(&mut self, arrival: Arrival) {
        let Some(end) = self.network.arrive(self.now, &arrival) else {
            return self.plan_arrivals();
        };
        let side = 1 - arrival.from;
        let event = Event::Deliver {
            machine: end.machine,
            process: end.process,
            life: end.life,
            connection: arrival.connection,
            side,
            item: arrival.item,
        };
        self.happen(event);
    }

    pub(super) fn deliver(
        &mut self,
        machine: usize,
        process: Process,
        life: u64,
        connection: u64,
        side: usize,
        item: Item,
    ) {
        self.frames += 1;
        let Some(known) = self.network.connections.get(&connection) else {
            return;
        };
        let (port, number) = (known.port, known.ends[side].number);
        let Some(number) = number else { return };
        if matches!(item, Item::End) {
            self.network.close(self.now, connection, side, true);
        }
        match process {
            Process::Control if self.machines[machine].control_life == life => {
                self.deliver_to_control(machine, port, number, item);
            }
            Process::Proxy if self.machines[machine].proxy_life == life => {
                self.deliver_to_proxy(machine, number, item);
            }
            _ => {}
        }
    }

    pub(super) fn deliver_to_control(
        &mut self,
        machine: usize,
        port: Port,
        number: u64,
        item: Item,
    ) {
        let Some(control) = self.machines[machine].control.as_mut() else {
            return;
        };
        let input = match (port, item) {
            (Port::Peer, Item::Frame(bytes)) => match frames::decode::<PeerFrame>(&bytes) {
                Ok(Some((frame, _))) if control.links.contains_key(&number) => Input::LinkFrame {
                    link: number,
                    frame,
                },
                _ => return,
            },
            (Port::Session, Item::Frame(bytes)) => match frames::decode::<ToControl>(&bytes) {
                Ok(Some((frame, _))) if control.sessions.contains_key(&number) => {
                    Input::SessionFrame {
                        session: number,
                        frame,
                    }
                }
                _ => return,
            },
            (Port::Peer, Item::End) => match control.links.remove(&number) {
                Some(_) => Input::LinkClosed { link: number },
                None => return,
            },
            (Port::Session, Item::End) => {
                control.sessions.remove(&number);
                Input::SessionClosed { session: number }
            }
        };
        self.input(machine, input);
    }

    pub(super) fn deliver_to_proxy(&mut self, machine: usize, number: u64, item: Item) {
        let now = self.clock(machine);
        let mut wishes = Vec::new();
        let Some(proxy) = self.machines[machine].proxy.as_mut() else {
            return;
        };
        let before = proxy.version();
        match item {
            Item::Frame(bytes) => {
                let mut at = 0;
                while let Ok(Some((frame, length))) = frames::decode::<ToProxy>(&bytes[at..]) {
                    at += length;
                    proxy.frame(now, number, frame, &mut wishes);
                }
            }
            Item::End => {
                proxy.closed(now, number, &mut wishes);
                self.machines[machine].proxy_connections.remove(&number);
            }
        }
        self.wishes(machine, wishes);
        self.proxy_changed(machine, before);
    }
}
