//! The cases that every protocol under study is put through, and what is told of each: one figure a column, over seeds. It
//! owns the cases, and must never judge: docs/fleet-study.md does.
use super::candidates;
use super::{Change, Fault, Held, Maker, Ms, Net, World};
use crate::stats::Estimate;
use rayon::prelude::*;
use serde::Serialize;
use std::time::Instant;

/// The protocols, by the words of the command line.
pub const PROTOCOLS: [&str; 5] = ["own", "own-knowing", "swim", "heartbeats", "cuts"];

fn maker(protocol: &str, case: Case) -> Result<&'static Maker, String> {
    let twice = case == Case::NameTwice;
    Ok(match protocol {
        "own" if twice => &candidates::own_named_twice,
        "own" => &candidates::own,
        "own-knowing" => &candidates::own_knowing,
        "swim" if twice => &candidates::swim_named_twice,
        "swim" => &candidates::swim,
        "heartbeats" => &candidates::heartbeats,
        "cuts" => &candidates::cuts,
        _ => return Err(format!("{protocol:?} is none of {}", PROTOCOLS.join(", "))),
    })
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, clap::ValueEnum)]
pub enum Case {
    /// Nothing happens: what it costs.
    Calm,
    /// One is killed.
    Kill,
    /// A third is killed at once.
    KillThird,
    /// One datagram in twenty is lost.
    Loss,
    /// A tenth of them stand still for 1 s in every 10.
    Stops,
    /// One stands still for 30 s.
    LongStop,
    /// A fifth take 0.8 s longer to send and to receive.
    Slow,
    /// One hears nobody, and all hear it.
    Deaf,
    /// One hears all, and nobody hears it.
    Mute,
    /// Two of three zones can't reach each other, the third reaches both.
    Link,
    /// Half and half apart for 20 s.
    Half,
    /// All start in the same moment.
    StartAll,
    /// All are killed and started within a second.
    RestartAll,
    /// The last one goes by the name of number 1.
    NameTwice,
}

/// When the fault of a case begins, and when what can end of it ends.
const BEGIN: Ms = 30_000;

#[derive(Clone, Copy, Debug, Serialize)]
pub struct Options {
    pub size: usize,
    pub seeds: u64,
    /// How long cases without an end of their own are watched.
    pub watch_s: u64,
    pub loss: f64,
}

/// What one run showed; times in seconds, `None` where it did not happen.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Shown {
    /// Until the first, and until all, held the killed for failed.
    pub first: Option<f64>,
    pub all: Option<f64>,
    /// Until all held each other for what they were, after the start or after the fault's end.
    pub whole: Option<f64>,
    /// How often one that lived and could be reached was held for failed, by how many pairs, and how many ones.
    pub wrong_pairs: usize,
    pub wrong_members: usize,
    /// Changes of what any holds of any, from the fault on.
    pub changes: usize,
    /// A member a second, in the calm part before the fault: bytes, the most of any member, datagrams.
    pub bytes: f64,
    pub bytes_most: f64,
    pub datagrams: f64,
    /// The same while the fault lasted.
    pub bytes_fault: f64,
    /// Processor time for a member a second (us), the emulated network's included: an upper bound.
    pub cpu_us: f64,
}

pub fn play(protocol: &str, case: Case, options: &Options, seed: u64) -> Result<Shown, String> {
    let make = maker(protocol, case)?;
    let n = options.size;
    let loss = if case == Case::Loss {
        options.loss.max(0.05)
    } else {
        options.loss
    };
    let net = Net {
        loss,
        ..Net::default()
    };
    let mut world = World::new(n, 3, net, seed, make);
    let all: Vec<usize> = (0..n).collect();
    let mut shown = Shown::default();
    let last = n - 1;
    // Who may be held for failed without that being wrong.
    let mut excused: Vec<usize> = Vec::new();
    let watch = options.watch_s * 1000;
    let (mut end, mut mended) = (BEGIN + watch, None);
    let knowing = protocol == "own-knowing";
    match case {
        _ if knowing => world.at(0, Fault::Start(all.clone())),
        Case::StartAll => world.at(0, Fault::Start(all.clone())),
        // One after the other, as a release does it: this is no part of the case.
        _ => all
            .iter()
            .for_each(|slot| world.at(*slot as u64 * 5_000 / n as u64, Fault::Start(vec![*slot]))),
    }
    let (a, b): (Vec<usize>, Vec<usize>) = all.iter().partition(|slot| **slot < n / 2);
    let zone =
        |z: usize| -> Vec<usize> { all.iter().copied().filter(|slot| slot % 3 == z).collect() };
    match case {
        Case::Calm | Case::Loss | Case::StartAll | Case::NameTwice => {}
        Case::Kill => {
            world.at(BEGIN, Fault::Kill(vec![last]));
            excused.push(last);
        }
        Case::KillThird => {
            excused = all.iter().copied().filter(|slot| slot % 3 == 2).collect();
            world.at(BEGIN, Fault::Kill(excused.clone()));
        }
        Case::Stops => {
            let tenth: Vec<usize> = (0..n).filter(|slot| slot % 10 == 3).collect();
            for (k, at) in (BEGIN..BEGIN + watch).step_by(10_000).enumerate() {
                // Not all in the same moment.
                for (m, slot) in tenth.iter().enumerate() {
                    let offset = ((k * 37 + m * 613) % 9_000) as Ms;
                    world.at(at + offset, Fault::Stop(vec![*slot], 1_000));
                }
            }
        }
        Case::LongStop => {
            world.at(BEGIN, Fault::Stop(vec![last], 30_000));
            excused.push(last);
            mended = Some(BEGIN + 30_000);
        }
        Case::Slow => {
            let fifth: Vec<usize> = (0..n).filter(|slot| slot % 5 == 4).collect();
            world.at(BEGIN, Fault::Slow(fifth, 800.0));
        }
        Case::Deaf | Case::Mute => {
            let (from, to) = if case == Case::Deaf {
                (all.clone(), vec![last])
            } else {
                (vec![last], all.clone())
            };
            world.at(BEGIN, Fault::Cut(from, to));
            world.at(BEGIN + 30_000, Fault::Mend);
            excused.push(last);
            mended = Some(BEGIN + 30_000);
        }
        Case::Link => {
            world.cut_both(BEGIN, &zone(0), &zone(1));
        }
        Case::Half => {
            world.cut_both(BEGIN, &a, &b);
            world.at(BEGIN + 20_000, Fault::Mend);
            mended = Some(BEGIN + 20_000);
        }
        Case::RestartAll => {
            all.iter().for_each(|slot| {
                world.at(BEGIN + (*slot as Ms * 37) % 1000, Fault::Start(vec![*slot]));
            });
            mended = Some(BEGIN + 1_000);
        }
    }
    if let Some(mended) = mended {
        end = mended + 60_000;
    }
    if case == Case::StartAll {
        return Ok(Shown {
            whole: until_whole(&mut world, 0, 120_000),
            ..shown
        });
    }
    world.run_until(1);
    if knowing {
        world.assume_known();
    }
    world.run_until(BEGIN - 10_000);
    let before = world.sent.clone();
    world.run_until(BEGIN);
    let bytes = per_second(&before, &world.sent, 10.0);
    shown.bytes = bytes.iter().map(|b| b.0).sum::<f64>() / n as f64;
    shown.bytes_most = bytes.iter().map(|b| b.0).fold(0.0, f64::max);
    shown.datagrams = bytes.iter().map(|b| b.1).sum::<f64>() / n as f64;
    let before = world.sent.clone();
    let from = world.changes.len();
    let begun = Instant::now();
    if let Some(mended) = mended {
        world.run_until(mended);
        shown.whole = until_whole(&mut world, mended, end);
    }
    world.run_until(end);
    let bytes = per_second(&before, &world.sent, (end - BEGIN) as f64 / 1000.0);
    shown.bytes_fault = bytes.iter().map(|b| b.0).sum::<f64>() / n as f64;
    shown.cpu_us = begun.elapsed().as_secs_f64() * 1e6 / n as f64 / ((end - BEGIN) as f64 / 1000.0);
    let seen = &world.changes[from..];
    shown.changes = seen.len();
    let killed = matches!(case, Case::Kill | Case::KillThird);
    if killed {
        (shown.first, shown.all) = known(&world, seen, &excused);
    }
    let apart = |by: usize, of: usize| case == Case::Half && (by < n / 2) != (of < n / 2);
    // What one that can't be reached, or that stood still, held of others is told by `whole`; here counts what the others did.
    let wrong = |c: &&Change| {
        c.held == Held::Failed
            && c.truly_there
            && !excused.contains(&c.of)
            && !excused.contains(&c.by)
            && !apart(c.by, c.of)
    };
    let restarted = case == Case::RestartAll;
    let wrong: Vec<&Change> = seen
        .iter()
        .filter(wrong)
        .filter(|c| !restarted || c.at > BEGIN + 10_000)
        .collect();
    shown.wrong_pairs = wrong.len();
    let mut ones: Vec<usize> = wrong.iter().map(|c| c.of).collect();
    ones.sort_unstable();
    ones.dedup();
    shown.wrong_members = ones.len();
    Ok(shown)
}

fn per_second(before: &[(u64, u64)], after: &[(u64, u64)], seconds: f64) -> Vec<(f64, f64)> {
    let rate = |a: u64, b: u64| (b - a) as f64 / seconds;
    before
        .iter()
        .zip(after)
        .map(|(a, b)| (rate(a.0, b.0), rate(a.1, b.1)))
        .collect()
}

/// Seconds from `since` until all hold each other for what they are, and still do a second later.
fn until_whole(world: &mut World<'_>, since: Ms, end: Ms) -> Option<f64> {
    let mut whole_at = None;
    for at in (since..end).step_by(100) {
        world.run_until(at);
        match (world.is_whole(), whole_at) {
            (false, _) => whole_at = None,
            (true, None) => whole_at = Some(at),
            (true, Some(first)) if at >= first + 1_000 => {
                return Some((first - since) as f64 / 1000.0)
            }
            _ => {}
        }
    }
    None
}

/// When the first, and when the last of all that live, held each of these for failed; the latest over them.
fn known(world: &World<'_>, seen: &[Change], killed: &[usize]) -> (Option<f64>, Option<f64>) {
    let living: Vec<usize> = (0..world.size()).filter(|slot| world.runs(*slot)).collect();
    let seconds = |at: Ms| (at - BEGIN) as f64 / 1000.0;
    let failed = |by: usize, of: usize| {
        let at = seen
            .iter()
            .find(|c| c.by == by && c.of == of && c.held == Held::Failed)
            .map(|c| c.at);
        at.filter(|_| world.held(by, of) == Held::Failed)
    };
    let (mut first, mut last) = (None::<Ms>, Some(0));
    for of in killed {
        let at: Vec<Option<Ms>> = living.iter().map(|by| failed(*by, *of)).collect();
        first = first.max(at.iter().flatten().min().copied());
        last = at
            .into_iter()
            .chain([last])
            .collect::<Option<Vec<Ms>>>()
            .and_then(|all| all.into_iter().max());
    }
    (first.map(seconds), last.map(seconds))
}

/// One line of a study.
#[derive(Clone, Debug, Serialize)]
pub struct Row {
    pub protocol: String,
    pub case: Case,
    pub size: usize,
    pub runs: usize,
    pub shown: Vec<Shown>,
}

pub fn row(protocol: &str, case: Case, options: &Options) -> Result<Row, String> {
    let shown: Result<Vec<Shown>, String> = (1..=options.seeds)
        .into_par_iter()
        .map(|seed| play(protocol, case, options, seed))
        .collect();
    Ok(Row {
        protocol: protocol.to_owned(),
        case,
        size: options.size,
        runs: options.seeds as usize,
        shown: shown?,
    })
}

impl Row {
    /// Median and largest of a time, and in how many runs it never came.
    fn time(&self, of: impl Fn(&Shown) -> Option<f64>) -> String {
        let mut times: Vec<f64> = self.shown.iter().filter_map(&of).collect();
        times.sort_by(f64::total_cmp);
        let never = self.runs - times.len();
        match (times.get(times.len().saturating_sub(1) / 2), times.last()) {
            (Some(median), Some(most)) if never == 0 => format!("{median:.1} ({most:.1})"),
            (Some(median), _) => format!("{median:.1}, never in {never}"),
            _ => "never".to_owned(),
        }
    }

    fn mean(&self, of: impl Fn(&Shown) -> f64) -> String {
        let estimate = Estimate::of(&self.shown.iter().map(of).collect::<Vec<f64>>());
        match estimate.half.filter(|half| *half >= 0.05) {
            Some(half) => format!("{:.1} ±{half:.1}", estimate.mean),
            None => format!("{:.1}", estimate.mean),
        }
    }

    pub const HEAD: &'static str = "| protocol | case | members | first knows s | all know s | whole s | wrong pairs | wrong members | \
         bytes/s | most | datagrams/s | bytes/s in fault | changes | us/s |\n| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |";

    pub fn line(&self) -> String {
        let case = format!("{:?}", self.case);
        format!(
            "| {} | {case} | {} | {} | {} | {} | {} | {} | {} | {} | {} | {} | {} | {} |",
            self.protocol,
            self.size,
            self.time(|s| s.first),
            self.time(|s| s.all),
            self.time(|s| s.whole),
            self.mean(|s| s.wrong_pairs as f64),
            self.mean(|s| s.wrong_members as f64),
            self.mean(|s| s.bytes),
            self.mean(|s| s.bytes_most),
            self.mean(|s| s.datagrams),
            self.mean(|s| s.bytes_fault),
            self.mean(|s| s.changes as f64),
            self.mean(|s| s.cpu_us),
        )
    }
}
