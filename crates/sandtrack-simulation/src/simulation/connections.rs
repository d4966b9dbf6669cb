//! Connections: dialing, accepting, and delivery of frames to the processes at their ends.
use super::event_loop::Event;
use super::timing::DIAL_TIMEOUT_MS;
use super::Simulation;
use crate::network::{Arrival, Item, Port, Process};
use sandtrack_control::node::Input;
use sandtrack_control::peers::PeerFrame;
use sandtrack_protocol::frames::{self, ToControl, ToProxy};

impl Simulation {
    pub(super) fn schedule_arrivals(&mut self) {
        for arrival in self.network.drain_arrivals() {
            let after = arrival.at - self.now;
            self.schedule(after, Event::Arrive(arrival));
        }
    }

    pub(super) fn dial(&mut self, connection: u64, from: usize, to: usize) {
        let is_there = to < self.machines.len();
        if is_there && self.network.is_reachable(from, to) {
            let delay = self.network.delay(from, to);
            self.schedule(delay, Event::Dialed { connection });
        }
        self.schedule(DIAL_TIMEOUT_MS, Event::DialTimeout { connection });
    }

    pub(super) fn dialed(&mut self, connection: u64) {
        let Some(known) = self.network.connections.get(&connection) else {
            return;
        };
        let (from, to) = (known.ends[0].machine, known.ends[1].machine);
        if !self.network.is_reachable(from, to) || !self.network.is_reachable(to, from) {
            return;
        }
        let delay = self.network.delay(to, from);
        let accepted = self.machines[to].control.is_some();
        if accepted {
            let generation = self.machines[to].control_generation;
            self.network.accept_pending(connection, generation);
            self.schedule(
                0.0,
                Event::Accept {
                    connection,
                    machine: to,
                    generation,
                },
            );
        }
        self.schedule(
            delay,
            Event::Opened {
                connection,
                accepted,
            },
        );
    }

    /// A connection that nobody accepted in time has failed.
    pub(super) fn dial_timed_out(&mut self, connection: u64) {
        let is_pending = self
            .network
            .connections
            .get(&connection)
            .is_some_and(|one| one.ends[1].generation == 0);
        if is_pending {
            self.opened(connection, false);
        }
    }

    /// The dialing process is notified that its connection is established (`accepted`) or failed.
    pub(super) fn opened(&mut self, connection: u64, accepted: bool) {
        let Some(known) = self.network.connections.get(&connection) else {
            return;
        };
        let end = known.ends[0].clone();
        let Some(number) = end.local_id else { return };
        let machine = end.machine;
        // The kernel completes the handshake; a frozen process is notified when it runs again.
        if self
            .defer(
                machine,
                Event::Opened {
                    connection,
                    accepted,
                },
            )
            .is_none()
        {
            return;
        }
        match end.process {
            Process::Control => {
                if self.machines[machine].control_generation != end.generation {
                    return;
                }
                let control = self.machines[machine].control.as_mut();
                let Some(control) = control.filter(|control| control.links.contains_key(&number))
                else {
                    return;
                };
                if accepted {
                    self.input(machine, Input::LinkOpened { link: number });
                } else {
                    control.links.remove(&number);
                    self.network.close(self.now, connection, 0, true);
                    self.input(machine, Input::LinkClosed { link: number });
                }
            }
            Process::Proxy => {
                let mut effects = Vec::new();
                let now = self.clock(machine);
                let mine = &mut self.machines[machine];
                if mine.proxy_generation != end.generation
                    || !mine.proxy_connections.contains_key(&number)
                {
                    return;
                }
                let Some(proxy) = mine.proxy.as_mut() else {
                    return;
                };
                if accepted {
                    proxy.opened(now, number, &mut effects);
                } else {
                    mine.proxy_connections.remove(&number);
                    proxy.closed(now, number, &mut effects);
                }
                self.perform_proxy_effects(machine, effects);
            }
        }
    }

    pub(super) fn accept(&mut self, connection: u64, machine: usize, generation: u64) {
        let now = self.clock(machine);
        let Some(port) = self
            .network
            .connections
            .get(&connection)
            .map(|known| known.port)
        else {
            return;
        };
        if self.machines[machine].control_generation != generation {
            return;
        }
        let Some(control) = self.machines[machine].control.as_mut() else {
            return;
        };
        match port {
            Port::Peer => {
                let link = control.node.link_accepted(now);
                control.links.insert(link, (connection, 1));
                self.network.set_acceptor_id(connection, link);
                self.input(machine, Input::LinkOpened { link });
            }
            Port::Session => {
                let session = control.node.session_accepted(now);
                control.sessions.insert(session, (connection, 1));
                self.network.set_acceptor_id(connection, session);
            }
        }
    }

    pub(super) fn arrive(&mut self, arrival: Arrival) {
        let Some(end) = self.network.receive(self.now, &arrival) else {
            return self.schedule_arrivals();
        };
        let side = 1 - arrival.from;
        let event = Event::Deliver {
            machine: end.machine,
            process: end.process,
            generation: end.generation,
            connection: arrival.connection,
            side,
            item: arrival.item,
        };
        self.handle_event(event);
    }

    pub(super) fn deliver(
        &mut self,
        machine: usize,
        process: Process,
        generation: u64,
        connection: u64,
        side: usize,
        item: Item,
    ) {
        self.frames += 1;
        let Some(known) = self.network.connections.get(&connection) else {
            return;
        };
        let (port, number) = (known.port, known.ends[side].local_id);
        let Some(number) = number else { return };
        if matches!(item, Item::Fin) {
            self.network.close(self.now, connection, side, true);
        }
        match process {
            Process::Control if self.machines[machine].control_generation == generation => {
                self.deliver_to_control(machine, port, number, item);
            }
            Process::Proxy if self.machines[machine].proxy_generation == generation => {
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
            (Port::Peer, Item::Fin) => match control.links.remove(&number) {
                Some(_) => Input::LinkClosed { link: number },
                None => return,
            },
            (Port::Session, Item::Fin) => {
                control.sessions.remove(&number);
                Input::SessionClosed { session: number }
            }
        };
        self.input(machine, input);
    }

    pub(super) fn deliver_to_proxy(&mut self, machine: usize, number: u64, item: Item) {
        let now = self.clock(machine);
        let mut effects = Vec::new();
        let Some(proxy) = self.machines[machine].proxy.as_mut() else {
            return;
        };
        let before = proxy.version();
        match item {
            Item::Frame(bytes) => {
                let mut at = 0;
                while let Ok(Some((frame, length))) = frames::decode::<ToProxy>(&bytes[at..]) {
                    at += length;
                    proxy.frame(now, number, frame, &mut effects);
                }
            }
            Item::Fin => {
                proxy.closed(now, number, &mut effects);
                self.machines[machine].proxy_connections.remove(&number);
            }
        }
        self.perform_proxy_effects(machine, effects);
        self.proxy_changed(machine, before);
    }
}
