//! Troubles at random, from the simulation's seed, within what is to be borne.
use rand::Rng;

use super::{DiskMode, Simulation, Time};

/// A machine counts as lost for so many milliseconds after it returned: no disk is lost before.
const CATCH_UP: Time = 4000.0;

/// How a trouble ends.
#[derive(Clone, Debug)]
enum Undo {
    Start(usize),
    Thaw(usize),
    Disk(usize),
    Heal(Vec<(usize, usize)>),
    Network,
    /// A process that was told to stop ends as soon as it may. Another one may be there in its place.
    End {
        index: usize,
        replaced: bool,
        at_latest: Time,
    },
}

/// A process that was told to stop is ended after so many milliseconds, whatever it does.
const GRACE: Time = 7000.0;

#[derive(Default)]
pub struct FaultInjector {
    undo: Vec<(Time, Undo)>,
    /// The share of calls that are changes.
    pub writes: f64,
    /// Also machines that are told to stop and replaced as planned, cuts of twenty seconds, messages that come many
    /// seconds late, and disks that are slower.
    pub harsh: bool,
}

impl FaultInjector {
    /// A span of troubles and calls.
    pub fn play(&mut self, simulation: &mut Simulation, span: Time) {
        let end = simulation.now + span;
        while simulation.now < end {
            // Now and then a calm, long enough for disks to be lost after it.
            let settled = simulation.random.gen_bool(0.15);
            let pause = if settled {
                8000.0
            } else {
                simulation.random.gen_range(50.0..1500.0)
            };
            self.calls(simulation, pause);
            if settled && simulation.now - simulation.last_fault_at >= CATCH_UP {
                self.lose_disks(simulation);
            } else if simulation.random.gen_bool(0.6) {
                self.begin(simulation);
            }
        }
    }

    /// Runs for a while with a call now and then.
    fn calls(&mut self, simulation: &mut Simulation, span: Time) {
        let end = simulation.now + span;
        while simulation.now < end {
            let running = simulation.running();
            if !running.is_empty() {
                let node = running[simulation.random.gen_range(0..running.len())];
                if simulation.random.gen_bool(self.writes) {
                    let base = simulation.newest().version;
                    simulation.submit(node, base);
                } else {
                    simulation.read(node);
                }
            }
            let pause = simulation.random.gen_range(1.0..120.0);
            simulation.run(pause);
            self.end_due(simulation);
            simulation.watch();
        }
    }

    fn end_due(&mut self, simulation: &mut Simulation) {
        let now = simulation.now;
        let (due, rest) = std::mem::take(&mut self.undo)
            .into_iter()
            .partition(|(at, _)| *at <= now);
        self.undo = rest;
        let due: Vec<(Time, Undo)> = due;
        for (_, undo) in due {
            match undo {
                Undo::End {
                    index, at_latest, ..
                } if simulation.is_needed(index) && now < at_latest => {
                    self.undo.push((now, undo));
                }
                Undo::End {
                    index, replaced, ..
                } => self.end_leaver(simulation, index, replaced),
                undo => end(simulation, undo),
            }
        }
    }

    /// A machine that was replaced goes for good, if the others don't need it; else it comes back.
    fn end_leaver(&mut self, simulation: &mut Simulation, index: usize, replaced: bool) {
        if simulation.nodes[index].replica.is_none() || !simulation.nodes[index].leaving {
            return; // it was killed meanwhile
        }
        if replaced && !simulation.is_needed(index) {
            simulation.wipe(index);
            simulation.nodes[index].removed = true;
        } else {
            simulation.kill(index);
            self.later(simulation, 50.0, 2000.0, Undo::Start(index));
        }
    }

    /// Ends all troubles.
    pub fn end_all(&mut self, simulation: &mut Simulation) {
        for (_, undo) in std::mem::take(&mut self.undo) {
            end(simulation, undo);
        }
        simulation.network.cut.clear();
    }

    fn later(&mut self, simulation: &mut Simulation, from: Time, to: Time, undo: Undo) {
        let at = simulation.now + simulation.random.gen_range(from..to);
        self.undo.push((at, undo));
    }

    fn begin(&mut self, simulation: &mut Simulation) {
        let count = simulation.nodes.len();
        let index = simulation.random.gen_range(0..count);
        let runs = simulation.nodes[index].replica.is_some();
        let kinds = if self.harsh { 15 } else { 11 };
        match simulation.random.gen_range(0..kinds) {
            0 | 1 if runs => {
                simulation.kill(index);
                self.later(simulation, 50.0, 4000.0, Undo::Start(index));
            }
            2 if runs && !simulation.nodes[index].frozen => {
                simulation.freeze(index);
                self.later(simulation, 200.0, 6000.0, Undo::Thaw(index));
            }
            3 => {
                let mode = [DiskMode::Stalled, DiskMode::Full, DiskMode::Slow(13.0)]
                    [simulation.random.gen_range(0..3)];
                simulation.set_disk(index, mode);
                self.later(simulation, 300.0, 6000.0, Undo::Disk(index));
            }
            4 => {
                // The core in two.
                let side: Vec<bool> = (0..count).map(|_| simulation.random.gen()).collect();
                let pairs = pairs(count).filter(|(a, b)| side[*a] != side[*b]).collect();
                self.cut(simulation, pairs);
            }
            5 => self.cut_around(simulation, index),
            6 if simulation.random.gen_bool(0.3) => {
                for index in 0..count {
                    if simulation.nodes[index].replica.is_some() {
                        simulation.kill(index);
                        self.later(simulation, 50.0, 1000.0, Undo::Start(index));
                    }
                }
            }
            7 if simulation.now - simulation.last_fault_at >= CATCH_UP => {
                self.lose_disks(simulation);
            }
            8 => {
                simulation.network.loss = simulation.random.gen_range(0.0..0.3);
                simulation.network.doubled = simulation.random.gen_range(0.0..0.3);
                simulation.network.late = simulation.random.gen_range(0.0..0.1);
                simulation.network.spread = simulation.random.gen_range(0.0..100.0);
                self.later(simulation, 500.0, 5000.0, Undo::Network);
            }
            9 => self.kill_head_or_tail(simulation),
            11 if runs && !simulation.nodes[index].frozen && !simulation.nodes[index].leaving => {
                self.request_shutdown(simulation, index);
            }
            12 => {
                let way = simulation.random.gen_range(0..3);
                let pairs: Vec<(usize, usize)> = pairs(count)
                    .filter(|(from, to)| way != 1 && *from == index || way != 0 && *to == index)
                    .collect();
                simulation.network.cut.extend(pairs.iter().copied());
                self.undo
                    .push((simulation.now + 20_000.0, Undo::Heal(pairs)));
            }
            13 => {
                simulation.network.doubled = 0.5;
                simulation.network.late = simulation.random.gen_range(0.0..0.2);
                simulation.network.latest = 20_000.0;
                self.later(simulation, 500.0, 8000.0, Undo::Network);
            }
            14 => {
                let span = simulation.random.gen_range(13.0..40.0);
                simulation.set_disk(index, DiskMode::Slow(span));
                self.later(simulation, 300.0, 8000.0, Undo::Disk(index));
            }
            _ => {}
        }
    }

    /// Kills the member that is the head, or the tail, at this moment.
    fn kill_head_or_tail(&mut self, simulation: &mut Simulation) {
        let chain = simulation
            .checks
            .newest_view()
            .map(|view| view.chain.clone())
            .unwrap_or_default();
        let end = if simulation.random.gen() {
            chain.first()
        } else {
            chain.last()
        };
        let found = simulation
            .nodes
            .iter()
            .position(|node| end.is_some_and(|end| end.address == node.address));
        if let Some(index) = found.filter(|index| simulation.nodes[*index].replica.is_some()) {
            simulation.kill(index);
            self.later(simulation, 50.0, 4000.0, Undo::Start(index));
        }
    }

    /// Cuts one machine off, both ways or one way, or one link of it.
    fn cut_around(&mut self, simulation: &mut Simulation, index: usize) {
        let count = simulation.nodes.len();
        let other = simulation.random.gen_range(0..count);
        let pairs: Vec<(usize, usize)> = match simulation.random.gen_range(0..4) {
            0 => pairs(count)
                .filter(|(a, b)| *a == index || *b == index)
                .collect(),
            1 => pairs(count).filter(|(a, _)| *a == index).collect(),
            2 => pairs(count).filter(|(_, b)| *b == index).collect(),
            _ => vec![(index, other), (other, index)],
        };
        self.cut(simulation, pairs);
    }

    /// To be started again; or, in a calm, for good, with another machine in its place.
    fn request_shutdown(&mut self, simulation: &mut Simulation, index: usize) {
        let settled = simulation.now - simulation.last_fault_at >= CATCH_UP;
        let replaced = settled
            && simulation.nodes[index].has_disk
            && simulation.nodes.len() < 12
            && simulation.random.gen();
        if replaced {
            let successor = simulation.add(true);
            simulation.start(successor, false);
        }
        simulation.request_shutdown(index);
        let at_latest = simulation.now + GRACE;
        self.undo.push((
            simulation.now,
            Undo::End {
                index,
                replaced,
                at_latest,
            },
        ));
    }

    fn cut(&mut self, simulation: &mut Simulation, pairs: Vec<(usize, usize)>) {
        simulation.network.cut.extend(pairs.iter().copied());
        simulation.log_line(|_| format!("cut {pairs:?}"));
        self.later(simulation, 200.0, 6000.0, Undo::Heal(pairs));
    }

    /// As many disks as are borne, or those of a zone where one is, are lost at one moment, sometimes as all others lose power; the machines come
    /// back empty, or others in their place.
    fn lose_disks(&mut self, simulation: &mut Simulation) {
        let with_disk = |simulation: &Simulation, index: usize| {
            let node = &simulation.nodes[index];
            node.has_disk && !node.removed
        };
        let mut left: Vec<usize> = (0..simulation.nodes.len())
            .filter(|index| with_disk(simulation, *index))
            .collect();
        let mut victims = Vec::new();
        for _ in 0..simulation
            .random
            .gen_range(1..=simulation.tolerated_machine_losses)
        {
            victims.push(left.swap_remove(simulation.random.gen_range(0..left.len())));
        }
        if simulation.tolerated_zone_losses > 0 && simulation.random.gen_bool(0.5) {
            let zone = simulation.nodes[victims[0]].zone.clone();
            let (lost, rest) = left
                .into_iter()
                .partition(|index| simulation.nodes[*index].zone == zone);
            left = rest;
            victims.extend::<Vec<usize>>(lost);
        }
        for index in victims {
            simulation.wipe(index);
            let mut new = index;
            if simulation.random.gen_bool(0.4) && simulation.nodes.len() < 12 {
                simulation.nodes[index].removed = true;
                new = simulation.add(true);
            }
            self.later(simulation, 50.0, 3000.0, Undo::Start(new));
        }
        if simulation.random.gen_bool(0.3) {
            for index in left {
                if simulation.nodes[index].replica.is_some() {
                    simulation.kill(index);
                    self.later(simulation, 50.0, 1000.0, Undo::Start(index));
                }
            }
        }
    }
}

fn end(simulation: &mut Simulation, undo: Undo) {
    match undo {
        Undo::Start(index)
            if simulation.nodes[index].replica.is_none() && !simulation.nodes[index].removed =>
        {
            simulation.start(index, false);
        }
        Undo::Start(_) => {}
        Undo::Thaw(index) => simulation.thaw(index),
        Undo::Disk(index) => simulation.set_disk(index, DiskMode::Well),
        Undo::Heal(pairs) => {
            for pair in pairs {
                simulation.network.cut.remove(&pair);
            }
        }
        Undo::End { index, .. }
            if simulation.nodes[index].leaving && !simulation.nodes[index].removed =>
        {
            simulation.kill(index);
            simulation.start(index, false);
        }
        Undo::End { .. } => {}
        Undo::Network => {
            simulation.network.latest = 2000.0;
            simulation.network.loss = 0.0;
            simulation.network.doubled = 0.0;
            simulation.network.late = 0.0;
            simulation.network.spread = 0.3;
        }
    }
}

fn pairs(count: usize) -> impl Iterator<Item = (usize, usize)> {
    (0..count)
        .flat_map(move |a| (0..count).map(move |b| (a, b)))
        .filter(|(a, b)| a != b)
}
