//! Losses one after the other, each beginning as soon as the machines of the one before have been back for as long as
//! `tolerated_losses` counts them as lost: what happens to the machines, and what has to hold.
//!
//! SANDTRACK_SPACING_ONE=NUMBER plays one case alone with its log.
use rand::Rng;
use sandtrack_replication::{Member, View};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Mutex;

use super::{name, DiskMode, Simulation, Time};

/// Cases that are played at a time.
const THREADS: usize = 3;
/// An order through a machine that is not hit is acknowledged within so many milliseconds, also while another is lost.
const ACKNOWLEDGE: Time = 5000.0;
/// How long a frozen and a cut off machine is so, in milliseconds.
const FROZEN: Time = 7000.0;
const CUT: Time = 20_000.0;
/// A machine that ended comes back, or is replaced, after so many milliseconds.
const AWAY: Time = 1000.0;
/// A process that was told to stop is ended after so many milliseconds, whatever it does.
const GRACE: Time = 8000.0;

#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Loss {
    Killed,
    PowerLost,
    Frozen,
    /// It returns with an empty disk.
    Wiped,
    /// Another machine takes its place.
    Replaced,
    /// Told to stop, and started again.
    Left,
    /// Told to stop once another machine has started in its place.
    LeftForAnother,
    CutOff,
    /// What it sends is lost.
    Unheard,
    /// What is sent to it is lost.
    Deaf,
    /// Frozen, or cut off; then it returns with an empty disk, or another machine takes its place.
    FrozenThenWiped,
    FrozenThenReplaced,
    CutOffThenWiped,
    CutOffThenReplaced,
}

pub const LOSSES: [Loss; 10] = [
    Loss::Killed,
    Loss::PowerLost,
    Loss::Frozen,
    Loss::Wiped,
    Loss::Replaced,
    Loss::Left,
    Loss::LeftForAnother,
    Loss::CutOff,
    Loss::Unheard,
    Loss::Deaf,
];

/// What a loss hits.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Target {
    /// One machine, by its place in the chain at that moment; places beyond the chain are of the others.
    Place(usize),
    /// All machines of a zone with a disk. They still hear each other when the zone is cut off.
    Zone(usize),
}

pub type Hit = (Loss, Target);

#[derive(Clone, Copy, Debug)]
pub struct Layout {
    pub machines: usize,
    /// Machine `n` is in zone `n` modulo their number; its region goes by whether `n` is even.
    pub zones: usize,
    pub tolerated_machine_losses: usize,
    pub tolerated_zone_losses: usize,
    /// A machine counts as lost for so many milliseconds after its return.
    pub catch_up: Time,
    pub between_regions: Time,
    /// What a write takes, in milliseconds.
    pub disk: Time,
}

pub const SMALL: Layout = Layout {
    machines: 3,
    zones: 3,
    tolerated_machine_losses: 1,
    tolerated_zone_losses: 0,
    catch_up: 4000.0,
    between_regions: 0.0,
    disk: 0.5,
};
pub const GROWN: Layout = Layout {
    machines: 6,
    tolerated_machine_losses: 2,
    tolerated_zone_losses: 1,
    catch_up: 6000.0,
    ..SMALL
};

/// What is still to happen to a machine that was hit.
#[derive(Clone, Copy, Debug)]
enum Due {
    Start(usize),
    Thaw(usize),
    /// Its disk is lost, and the machine is, or another one comes in its place.
    Lose {
        index: usize,
        replaced: bool,
    },
    Heal(usize),
    /// Told to stop.
    Leave {
        leaver: usize,
        successor: Option<usize>,
    },
    /// It ends as soon as it may; then it, or nobody, comes back.
    End {
        leaver: usize,
        returns: bool,
        at_latest: Time,
    },
}

/// A machine that is cut off: of what it sends, or of what is sent to it, or both.
#[derive(Clone, Debug)]
struct Cut {
    index: usize,
    outward: bool,
    inward: bool,
    /// Those that it still hears, and is heard by.
    near: Vec<usize>,
}

fn zone_name(zone: usize) -> String {
    format!("zone-{zone}")
}

struct Play {
    layout: Layout,
    simulation: Simulation,
    due: Vec<(Time, Due)>,
    /// Machines that are lost at this moment, or told to stop.
    hit: Vec<usize>,
    /// Machines that are cut off at this moment.
    cut: Vec<Cut>,
    /// Orders through machines that are not hit: all must be acknowledged.
    expected: Vec<u64>,
    /// Calls through machines that are cut off: none may be answered by its cut side.
    isolated: Vec<(u64, usize)>,
}

impl Play {
    fn new(seed: u64, layout: Layout, log: bool) -> Self {
        let mut simulation =
            Simulation::new(seed, layout.machines, 1, layout.tolerated_machine_losses);
        simulation.log = log.then(Vec::new);
        simulation.tolerated_zone_losses = layout.tolerated_zone_losses;
        for (index, node) in simulation.nodes.iter_mut().enumerate() {
            node.zone = zone_name(index % layout.zones);
        }
        simulation.network.between_regions = layout.between_regions;
        simulation.start_all(true);
        let mut play = Self {
            layout,
            simulation,
            due: Vec::new(),
            hit: Vec::new(),
            cut: Vec::new(),
            expected: Vec::new(),
            isolated: Vec::new(),
        };
        play.set_disks();
        play.simulation.run(4000.0);
        play
    }

    fn set_disks(&mut self) {
        for index in 0..self.simulation.nodes.len() {
            if self.layout.disk > 0.5 {
                self.simulation.nodes[index].mode = DiskMode::Slow(self.layout.disk);
            }
        }
    }

    fn view(&self) -> View {
        self.simulation
            .checks
            .newest_view()
            .cloned()
            .expect("a view")
    }

    /// The machine at a place of the chain, or of those outside it.
    fn machine_at(&self, place: usize) -> usize {
        let view = self.view();
        let chain = view.chain.iter().filter_map(|member| self.index_of(member));
        let mut all: Vec<usize> = chain.collect();
        let others = (0..self.simulation.nodes.len()).filter(|index| {
            self.simulation.nodes[*index].has_disk && !self.simulation.nodes[*index].removed
        });
        all.extend(
            others
                .filter(|index| !all.contains(index))
                .collect::<Vec<_>>(),
        );
        all[place % all.len()]
    }

    fn index_of(&self, member: &Member) -> Option<usize> {
        self.simulation
            .nodes
            .iter()
            .position(|node| !node.removed && node.address == member.address)
    }

    fn later(&mut self, after: Time, due: Due) {
        self.due.push((self.simulation.now + after, due));
    }

    /// The machines that a loss hits.
    fn targets(&self, target: Target) -> Vec<usize> {
        match target {
            Target::Place(place) => vec![self.machine_at(place)],
            Target::Zone(zone) => {
                let is_in = |index: &usize| {
                    let node = &self.simulation.nodes[*index];
                    node.has_disk && !node.removed && node.zone == zone_name(zone)
                };
                (0..self.simulation.nodes.len()).filter(is_in).collect()
            }
        }
    }

    /// `near`: those that are hit with it.
    fn begin(&mut self, loss: Loss, index: usize, near: &[usize]) {
        self.hit.push(index);
        // What it was asked right before may find no answer.
        let calls = &self.simulation.calls;
        self.expected
            .retain(|call| calls[call].node != index || calls[call].ended.is_some());
        match loss {
            Loss::Killed => self.simulation.kill(index),
            Loss::PowerLost => self.simulation.lose_power(index),
            Loss::Frozen | Loss::FrozenThenWiped | Loss::FrozenThenReplaced => {
                self.simulation.freeze(index);
            }
            Loss::Wiped | Loss::Replaced => self.simulation.wipe(index),
            Loss::Left => self.leave(index, true),
            Loss::LeftForAnother => {
                let successor = self.add_in_place_of(index);
                self.simulation.start(successor, false);
                self.later(
                    AWAY,
                    Due::Leave {
                        leaver: index,
                        successor: Some(successor),
                    },
                );
            }
            Loss::CutOff | Loss::CutOffThenWiped | Loss::CutOffThenReplaced => {
                self.cut(index, true, true, near);
            }
            Loss::Unheard => self.cut(index, true, false, near),
            Loss::Deaf => self.cut(index, false, true, near),
        }
        match loss {
            Loss::Killed | Loss::PowerLost | Loss::Wiped => self.later(AWAY, Due::Start(index)),
            Loss::Replaced => self.replace(index),
            Loss::Frozen => self.later(FROZEN, Due::Thaw(index)),
            Loss::CutOff | Loss::Unheard | Loss::Deaf => self.later(CUT, Due::Heal(index)),
            Loss::FrozenThenWiped => self.later(
                FROZEN,
                Due::Lose {
                    index,
                    replaced: false,
                },
            ),
            Loss::FrozenThenReplaced => self.later(
                FROZEN,
                Due::Lose {
                    index,
                    replaced: true,
                },
            ),
            Loss::CutOffThenWiped => self.later(
                CUT,
                Due::Lose {
                    index,
                    replaced: false,
                },
            ),
            Loss::CutOffThenReplaced => self.later(
                CUT,
                Due::Lose {
                    index,
                    replaced: true,
                },
            ),
            Loss::Left | Loss::LeftForAnother => {}
        }
    }

    fn replace(&mut self, index: usize) {
        self.simulation.nodes[index].removed = true;
        let successor = self.add_in_place_of(index);
        self.later(AWAY, Due::Start(successor));
    }

    fn add_in_place_of(&mut self, index: usize) -> usize {
        let zone = self.simulation.nodes[index].zone.clone();
        let successor = self.simulation.add(true);
        self.simulation.nodes[successor].zone = zone;
        self.set_disks();
        self.apply_cuts();
        successor
    }

    fn cut(&mut self, index: usize, outward: bool, inward: bool, near: &[usize]) {
        self.simulation
            .log_line(|_| format!("{} is cut off: out {outward}, in {inward}", name(index)));
        self.cut.push(Cut {
            index,
            outward,
            inward,
            near: near.to_vec(),
        });
        self.apply_cuts();
    }

    /// Also towards machines that were added after the cut began.
    fn apply_cuts(&mut self) {
        for Cut {
            index,
            outward,
            inward,
            near,
        } in self.cut.clone()
        {
            for other in (0..self.simulation.nodes.len())
                .filter(|other| *other != index && !near.contains(other))
            {
                if outward {
                    self.simulation.network.cut.insert((index, other));
                }
                if inward {
                    self.simulation.network.cut.insert((other, index));
                }
            }
        }
    }

    fn is_cut(&self, node: usize) -> bool {
        self.cut.iter().any(|cut| cut.index == node)
    }

    fn heal(&mut self, index: usize) {
        self.cut.retain(|cut| cut.index != index);
        self.simulation.network.cut.clear();
        self.apply_cuts();
        self.simulation
            .log_line(|_| format!("{} is joined again", name(index)));
    }

    fn leave(&mut self, leaver: usize, returns: bool) {
        self.simulation.request_shutdown(leaver);
        let at_latest = self.simulation.now + GRACE;
        self.later(
            0.0,
            Due::End {
                leaver,
                returns,
                at_latest,
            },
        );
    }

    fn process_event(&mut self, due: Due) {
        match due {
            Due::Start(index) => self.simulation.start(index, false),
            Due::Thaw(index) => self.simulation.thaw(index),
            Due::Heal(index) => self.heal(index),
            Due::Lose { index, replaced } => {
                self.simulation.wipe(index);
                self.heal(index);
                if replaced {
                    self.replace(index);
                } else {
                    self.later(AWAY, Due::Start(index));
                }
            }
            Due::Leave { leaver, successor } => self.leave(leaver, successor.is_none()),
            Due::End {
                leaver,
                returns,
                at_latest,
            } => {
                if self.simulation.is_needed(leaver) && self.simulation.now < at_latest {
                    return self.later(10.0, due);
                }
                self.simulation.kill(leaver);
                if returns {
                    self.later(AWAY, Due::Start(leaver));
                } else {
                    self.simulation.nodes[leaver].removed = true;
                }
            }
        }
    }

    fn run_due(&mut self) {
        while let Some(position) = self
            .due
            .iter()
            .position(|(at, _)| *at <= self.simulation.now)
        {
            let (_, due) = self.due.swap_remove(position);
            self.process_event(due);
        }
    }

    /// Runs with a call each 130 ms or so.
    fn run(&mut self, span: Time) {
        let end = self.simulation.now + span;
        while self.simulation.now < end {
            self.run_due();
            self.call();
            let pause: Time = self.simulation.random.gen_range(60.0..200.0);
            self.simulation.run(pause.min(end - self.simulation.now));
        }
        self.run_due();
    }

    fn call(&mut self) {
        let running = self.simulation.running();
        let Some(node) = running
            .get(self.simulation.random.gen_range(0..running.len().max(1)))
            .copied()
        else {
            return;
        };
        let base = self.simulation.newest().version;
        let call = if self.simulation.random.gen_bool(0.7) {
            self.simulation.submit(node, base)
        } else {
            self.simulation.read(node)
        };
        if !self.hit.contains(&node) {
            self.expected.push(call);
        } else if self.is_cut(node) {
            self.isolated.push((call, node));
        }
    }

    /// The losses at one moment, until all have been back for long enough.
    fn lose(&mut self, hits: &[Hit]) {
        let mut victims: Vec<(Loss, Vec<usize>)> = Vec::new();
        for (loss, target) in hits {
            let taken = |index: &usize| victims.iter().any(|(_, taken)| taken.contains(index));
            let mut hit = self.targets(*target);
            if let Target::Place(place) = *target {
                // The next one that is not hit at this moment.
                let free = (place..)
                    .map(|place| self.machine_at(place))
                    .find(|index| !taken(index));
                hit = free.into_iter().collect();
            }
            hit.retain(|index| !taken(index));
            victims.push((*loss, hit));
        }
        for (loss, indexes) in victims {
            for index in &indexes {
                self.begin(loss, *index, &indexes);
            }
        }
        while !self.due.is_empty() {
            self.run(50.0);
            self.check_isolated();
        }
        self.isolated.clear();
        self.run(self.layout.catch_up);
        self.hit.clear();
        self.check_whole();
        self.check_answers();
    }

    /// The side of one machine confirms nothing while it is cut off.
    fn check_isolated(&self) {
        for (call, node) in &self.isolated {
            if let (true, Some(Ok(outcome))) = (self.is_cut(*node), self.simulation.outcome(*call))
            {
                panic!("machine {node} was cut off and answered {outcome}");
            }
        }
    }

    fn check_answers(&mut self) {
        let now = self.simulation.now;
        let (old, rest): (Vec<u64>, Vec<u64>) = self
            .expected
            .iter()
            .partition(|call| now - self.simulation.calls[call].began > ACKNOWLEDGE);
        self.expected = rest;
        for call in old {
            let outcome = self.simulation.outcome(call);
            let asked = &self.simulation.calls[&call];
            assert!(
                matches!(outcome, Some(Ok(_))),
                "{outcome:?} was answered to {asked:?}"
            );
        }
        self.simulation
            .checks
            .check_nothing_lost(&self.simulation.newest());
    }

    /// From here on the next loss may come: all voters live, so that a majority is left after any loss that is to be
    /// borne, and the chain is in sync.
    fn check_whole(&self) {
        let view = self.view();
        let lives = |member: &&Member| {
            self.simulation
                .nodes
                .iter()
                .filter(|node| !node.frozen && !node.removed)
                .any(|node| {
                    node.replica.as_ref().is_some_and(|replica| {
                        replica.member() == *member && replica.view().epoch == view.epoch
                    })
                })
        };
        let living = view.voters.iter().filter(lives).count();
        let majority = view.voters.len() / 2 + 1;
        let tolerated_machine_losses = self.layout.tolerated_machine_losses;
        assert!(
            living >= majority + tolerated_machine_losses,
            "{living} voters live of {view}"
        );
        for zone in (0..self.layout.zones).filter(|_| self.layout.tolerated_zone_losses > 0) {
            let outside = |member: &&Member| {
                self.index_of(member)
                    .is_none_or(|index| self.simulation.nodes[index].zone != zone_name(zone))
            };
            let left = view.voters.iter().filter(outside).filter(lives).count();
            assert!(
                left >= majority,
                "{left} voters would live without zone {zone}: {view}"
            );
            assert!(
                view.chain.iter().any(|member| outside(&member)),
                "all of the chain in one zone: {view}"
            );
        }
        assert!(
            view.chain.iter().all(|member| lives(&member)),
            "all of the chain live: {view}"
        );
        assert!(self.simulation.is_fully_replicated(), "in line: {view}");
    }

    fn finish(&mut self) {
        self.simulation.run(ACKNOWLEDGE);
        self.check_answers();
        for index in self.simulation.running() {
            let calls = [
                self.simulation
                    .submit(index, self.simulation.newest().version),
                self.simulation.read(index),
            ];
            self.simulation.run(1500.0);
            for call in calls {
                let outcome = self.simulation.outcome(call);
                assert!(
                    matches!(outcome, Some(Ok(_))),
                    "machine {index} answers {outcome:?}"
                );
            }
        }
        self.simulation
            .checks
            .check_nothing_lost(&self.simulation.newest());
    }
}

pub fn play(seed: u64, layout: Layout, losses: &[Vec<Hit>], log: bool) -> Simulation {
    let mut play = Play::new(seed, layout, log);
    for hits in losses {
        let offset = play.simulation.random.gen_range(0.0..300.0);
        play.run(500.0 + offset);
        play.lose(hits);
    }
    play.finish();
    play.simulation
}

/// Plays all cases on several threads, and names those that failed.
pub fn play_all(name: &str, layout: Layout, cases: &[Vec<Vec<Hit>>]) {
    let one: Option<usize> = std::env::var("SANDTRACK_SPACING_ONE")
        .ok()
        .map(|one| one.parse().unwrap());
    if let Some(one) = one {
        if let Some(case) = cases.get(one) {
            println!("{name} {one}: {case:?}");
            drop(play(one as u64, layout, case, true));
        }
        return;
    }
    let next = AtomicUsize::new(0);
    let failed = Mutex::new(Vec::new());
    let threads = std::thread::available_parallelism()
        .map_or(2, usize::from)
        .min(THREADS);
    std::thread::scope(|scope| {
        for _ in 0..threads {
            scope.spawn(|| loop {
                let number = next.fetch_add(1, Ordering::Relaxed);
                let Some(case) = cases.get(number) else {
                    return;
                };
                if std::panic::catch_unwind(|| drop(play(number as u64, layout, case, false)))
                    .is_err()
                {
                    failed.lock().unwrap().push(number);
                }
            });
        }
    });
    let mut failed = failed.into_inner().unwrap();
    failed.sort_unstable();
    println!(
        "{name}: {} orders of losses played, {} failed",
        cases.len(),
        failed.len()
    );
    for number in failed.iter().take(40) {
        println!("SANDTRACK_SPACING_ONE={number}: {:?}", cases[*number]);
    }
    if let Some(number) = failed.first() {
        let least = shrunk(*number as u64, layout, cases[*number].clone());
        println!("SANDTRACK_SPACING_ONE={number}, shrunk: {least:?}");
    }
    assert!(
        failed.is_empty(),
        "{name}: {} of {} failed: {failed:?}",
        failed.len(),
        cases.len()
    );
}

/// A failing case without the losses that it fails without.
fn shrunk(seed: u64, layout: Layout, case: Vec<Vec<Hit>>) -> Vec<Vec<Hit>> {
    let fails = |case: &[Vec<Hit>]| {
        std::panic::catch_unwind(|| drop(play(seed, layout, case, false))).is_err()
    };
    let mut least = case;
    let mut moment = 0;
    while moment < least.len() {
        let mut smaller = least.clone();
        smaller.remove(moment);
        if fails(&smaller) {
            least = smaller;
        } else {
            moment += 1;
        }
    }
    least
}
