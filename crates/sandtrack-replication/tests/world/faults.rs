//! Troubles at random, from the world's seed, within what is to be borne.
use rand::Rng;

use super::{DiskMode, Time, World};

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
pub struct Troubles {
    undo: Vec<(Time, Undo)>,
    /// The share of calls that are changes.
    pub writes: f64,
    /// Also machines that are told to stop and replaced as planned, cuts of twenty seconds, messages that come many
    /// seconds late, and disks that are slower.
    pub harsh: bool,
}

impl Troubles {
    /// A span of troubles and calls.
    pub fn play(&mut self, world: &mut World, span: Time) {
        let end = world.now + span;
        while world.now < end {
            // Now and then a calm, long enough for disks to be lost after it.
            let calm = world.random.gen_bool(0.15);
            let pause = if calm {
                8000.0
            } else {
                world.random.gen_range(50.0..1500.0)
            };
            self.calls(world, pause);
            if calm && world.now - world.troubled >= CATCH_UP {
                self.lose_disks(world);
            } else if world.random.gen_bool(0.6) {
                self.begin(world);
            }
        }
    }

    /// Runs for a while with a call now and then.
    fn calls(&mut self, world: &mut World, span: Time) {
        let end = world.now + span;
        while world.now < end {
            let running = world.running();
            if !running.is_empty() {
                let node = running[world.random.gen_range(0..running.len())];
                if world.random.gen_bool(self.writes) {
                    let base = world.newest().version;
                    world.submit(node, base);
                } else {
                    world.read(node);
                }
            }
            let pause = world.random.gen_range(1.0..120.0);
            world.run(pause);
            self.end_due(world);
            world.watch();
        }
    }

    fn end_due(&mut self, world: &mut World) {
        let now = world.now;
        let (due, rest) = std::mem::take(&mut self.undo)
            .into_iter()
            .partition(|(at, _)| *at <= now);
        self.undo = rest;
        let due: Vec<(Time, Undo)> = due;
        for (_, undo) in due {
            match undo {
                Undo::End {
                    index, at_latest, ..
                } if world.is_needed(index) && now < at_latest => {
                    self.undo.push((now, undo));
                }
                Undo::End {
                    index, replaced, ..
                } => self.end_leaver(world, index, replaced),
                undo => end(world, undo),
            }
        }
    }

    /// A machine that was replaced goes for good, if the others don't need it; else it comes back.
    fn end_leaver(&mut self, world: &mut World, index: usize, replaced: bool) {
        if world.nodes[index].replica.is_none() || !world.nodes[index].leaving {
            return; // it was killed meanwhile
        }
        if replaced && !world.is_needed(index) {
            world.wipe(index);
            world.nodes[index].removed = true;
        } else {
            world.kill(index);
            self.later(world, 50.0, 2000.0, Undo::Start(index));
        }
    }

    /// Ends all troubles.
    pub fn end_all(&mut self, world: &mut World) {
        for (_, undo) in std::mem::take(&mut self.undo) {
            end(world, undo);
        }
        world.network.cut.clear();
    }

    fn later(&mut self, world: &mut World, from: Time, to: Time, undo: Undo) {
        let at = world.now + world.random.gen_range(from..to);
        self.undo.push((at, undo));
    }

    fn begin(&mut self, world: &mut World) {
        let count = world.nodes.len();
        let index = world.random.gen_range(0..count);
        let runs = world.nodes[index].replica.is_some();
        let kinds = if self.harsh { 15 } else { 11 };
        match world.random.gen_range(0..kinds) {
            0 | 1 if runs => {
                world.kill(index);
                self.later(world, 50.0, 4000.0, Undo::Start(index));
            }
            2 if runs && !world.nodes[index].frozen => {
                world.freeze(index);
                self.later(world, 200.0, 6000.0, Undo::Thaw(index));
            }
            3 => {
                let mode = [DiskMode::Stalled, DiskMode::Full, DiskMode::Slow(13.0)]
                    [world.random.gen_range(0..3)];
                world.set_disk(index, mode);
                self.later(world, 300.0, 6000.0, Undo::Disk(index));
            }
            4 => {
                // The core in two.
                let side: Vec<bool> = (0..count).map(|_| world.random.gen()).collect();
                let pairs = pairs(count).filter(|(a, b)| side[*a] != side[*b]).collect();
                self.cut(world, pairs);
            }
            5 => {
                // One machine off, or one way, or one link.
                let other = world.random.gen_range(0..count);
                let pairs: Vec<(usize, usize)> = match world.random.gen_range(0..4) {
                    0 => pairs(count)
                        .filter(|(a, b)| *a == index || *b == index)
                        .collect(),
                    1 => pairs(count).filter(|(a, _)| *a == index).collect(),
                    2 => pairs(count).filter(|(_, b)| *b == index).collect(),
                    _ => vec![(index, other), (other, index)],
                };
                self.cut(world, pairs);
            }
            6 if world.random.gen_bool(0.3) => {
                for index in 0..count {
                    if world.nodes[index].replica.is_some() {
                        world.kill(index);
                        self.later(world, 50.0, 1000.0, Undo::Start(index));
                    }
                }
            }
            7 if world.now - world.troubled >= CATCH_UP => self.lose_disks(world),
            8 => {
                world.network.loss = world.random.gen_range(0.0..0.3);
                world.network.doubled = world.random.gen_range(0.0..0.3);
                world.network.late = world.random.gen_range(0.0..0.1);
                world.network.spread = world.random.gen_range(0.0..100.0);
                self.later(world, 500.0, 5000.0, Undo::Network);
            }
            9 => {
                // The head, or the tail, right now.
                let chain = world
                    .checks
                    .newest_view()
                    .map(|view| view.chain.clone())
                    .unwrap_or_default();
                let end = if world.random.gen() {
                    chain.first()
                } else {
                    chain.last()
                };
                let found = world
                    .nodes
                    .iter()
                    .position(|node| end.is_some_and(|end| end.address == node.address));
                if let Some(index) = found.filter(|index| world.nodes[*index].replica.is_some()) {
                    world.kill(index);
                    self.later(world, 50.0, 4000.0, Undo::Start(index));
                }
            }
            11 if runs && !world.nodes[index].frozen && !world.nodes[index].leaving => {
                self.tell_to_stop(world, index);
            }
            12 => {
                let way = world.random.gen_range(0..3);
                let pairs: Vec<(usize, usize)> = pairs(count)
                    .filter(|(from, to)| way != 1 && *from == index || way != 0 && *to == index)
                    .collect();
                world.network.cut.extend(pairs.iter().copied());
                self.undo.push((world.now + 20_000.0, Undo::Heal(pairs)));
            }
            13 => {
                world.network.doubled = 0.5;
                world.network.late = world.random.gen_range(0.0..0.2);
                world.network.latest = 20_000.0;
                self.later(world, 500.0, 8000.0, Undo::Network);
            }
            14 => {
                let span = world.random.gen_range(13.0..40.0);
                world.set_disk(index, DiskMode::Slow(span));
                self.later(world, 300.0, 8000.0, Undo::Disk(index));
            }
            _ => {}
        }
    }

    /// To be started again; or, in a calm, for good, with another machine in its place.
    fn tell_to_stop(&mut self, world: &mut World, index: usize) {
        let calm = world.now - world.troubled >= CATCH_UP;
        let replaced =
            calm && world.nodes[index].has_disk && world.nodes.len() < 12 && world.random.gen();
        if replaced {
            let successor = world.add(true);
            world.start(successor, false);
        }
        world.tell_to_stop(index);
        let at_latest = world.now + GRACE;
        self.undo.push((
            world.now,
            Undo::End {
                index,
                replaced,
                at_latest,
            },
        ));
    }

    fn cut(&mut self, world: &mut World, pairs: Vec<(usize, usize)>) {
        world.network.cut.extend(pairs.iter().copied());
        world.say(|_| format!("cut {pairs:?}"));
        self.later(world, 200.0, 6000.0, Undo::Heal(pairs));
    }

    /// As many disks as are borne, or those of a zone where one is, are lost at one moment, sometimes as all others lose power; the machines come
    /// back empty, or others in their place.
    fn lose_disks(&mut self, world: &mut World) {
        let with_disk = |world: &World, index: usize| {
            let node = &world.nodes[index];
            node.has_disk && !node.removed
        };
        let mut left: Vec<usize> = (0..world.nodes.len())
            .filter(|index| with_disk(world, *index))
            .collect();
        let mut victims = Vec::new();
        for _ in 0..world.random.gen_range(1..=world.borne) {
            victims.push(left.swap_remove(world.random.gen_range(0..left.len())));
        }
        if world.zones_borne > 0 && world.random.gen_bool(0.5) {
            let zone = world.nodes[victims[0]].zone.clone();
            let (lost, rest) = left
                .into_iter()
                .partition(|index| world.nodes[*index].zone == zone);
            left = rest;
            victims.extend::<Vec<usize>>(lost);
        }
        for index in victims {
            world.wipe(index);
            let mut new = index;
            if world.random.gen_bool(0.4) && world.nodes.len() < 12 {
                world.nodes[index].removed = true;
                new = world.add(true);
            }
            self.later(world, 50.0, 3000.0, Undo::Start(new));
        }
        if world.random.gen_bool(0.3) {
            for index in left {
                if world.nodes[index].replica.is_some() {
                    world.kill(index);
                    self.later(world, 50.0, 1000.0, Undo::Start(index));
                }
            }
        }
    }
}

fn end(world: &mut World, undo: Undo) {
    match undo {
        Undo::Start(index)
            if world.nodes[index].replica.is_none() && !world.nodes[index].removed =>
        {
            world.start(index, false);
        }
        Undo::Start(_) => {}
        Undo::Thaw(index) => world.thaw(index),
        Undo::Disk(index) => world.set_disk(index, DiskMode::Well),
        Undo::Heal(pairs) => {
            for pair in pairs {
                world.network.cut.remove(&pair);
            }
        }
        Undo::End { index, .. } if world.nodes[index].leaving && !world.nodes[index].removed => {
            world.kill(index);
            world.start(index, false);
        }
        Undo::End { .. } => {}
        Undo::Network => {
            world.network.latest = 2000.0;
            world.network.loss = 0.0;
            world.network.doubled = 0.0;
            world.network.late = 0.0;
            world.network.spread = 0.3;
        }
    }
}

fn pairs(count: usize) -> impl Iterator<Item = (usize, usize)> {
    (0..count)
        .flat_map(move |a| (0..count).map(move |b| (a, b)))
        .filter(|(a, b)| a != b)
}
