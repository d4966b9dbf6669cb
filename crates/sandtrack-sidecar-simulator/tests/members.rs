//! Membership over a bad network, in the emulator: each hard case, on several seeds, with the protocol that runs in service.
//! Without the guard that is named at each the case fails.
use sandtrack_membership::{Fleet, Identity};
use sandtrack_sidecar_simulator::members::candidates::{identity, own, own_named_twice, Own};
use sandtrack_sidecar_simulator::members::{Change, Fault, Held, Maker, Net, Peer, World};
use std::sync::atomic::{AtomicBool, Ordering};

const SIZE: usize = 24;
const SEEDS: std::ops::RangeInclusive<u64> = 1..=6;
/// All have found each other, and something happens.
const BEGIN: u64 = 20_000;

fn all() -> Vec<usize> {
    (0..SIZE).collect()
}

fn but(whom: &[usize]) -> Vec<usize> {
    all()
        .into_iter()
        .filter(|slot| !whom.contains(slot))
        .collect()
}

/// A fleet that has been whole for a while.
fn settled(seed: u64, net: Net, make: &Maker) -> World<'_> {
    let mut world = World::new(SIZE, 3, net, seed, make);
    world.at(0, Fault::Start(all()));
    world.run_until(BEGIN);
    assert!(
        world.is_whole(),
        "seed {seed}: {} pairs are wrong",
        world.unlike()
    );
    world.changes.clear();
    world
}

/// Members that were held for failed though they lived, but for these.
fn wronged(world: &World<'_>, excused: &[usize]) -> Vec<Change> {
    let wrong = |change: &&Change| {
        let fair = excused.contains(&change.of) || excused.contains(&change.by);
        change.held == Held::Failed && change.truly_there && !fair
    };
    world.changes.iter().filter(wrong).copied().collect()
}

/// How often these had to say that they live.
fn refutations(world: &World<'_>, of: &[usize]) -> u64 {
    of.iter()
        .filter_map(|slot| world.peer(*slot))
        .map(Peer::refutations)
        .sum()
}

fn doubts(world: &World<'_>, slot: usize) -> bool {
    world
        .peer(slot)
        .and_then(Peer::doubts_itself)
        .expect("it runs")
}

/// Guards: nobody is accused without a witness, and who hears nobody or is heard by nobody is cut off.
#[test]
fn one_that_hears_nobody_or_that_nobody_hears_doubts_itself_and_accuses_nobody() {
    for seed in SEEDS {
        for deaf in [true, false] {
            let mut world = settled(seed, Net::default(), &own);
            let (one, others) = (vec![SIZE - 1], but(&[SIZE - 1]));
            let cut = if deaf {
                Fault::Cut(others, one)
            } else {
                Fault::Cut(one, others)
            };
            world.at(BEGIN, cut);
            world.run_until(BEGIN + 8_000);
            assert!(doubts(&world, SIZE - 1), "seed {seed}, deaf {deaf}");
            assert!(
                (0..SIZE - 1).all(|slot| !doubts(&world, slot)),
                "seed {seed}, deaf {deaf}"
            );
            world.run_until(BEGIN + 30_000);
            assert!(
                wronged(&world, &[SIZE - 1]).is_empty(),
                "seed {seed}, deaf {deaf}"
            );
            let accused = refutations(&world, &but(&[SIZE - 1]));
            assert_eq!(accused, 0, "seed {seed}, deaf {deaf}: it accused others");
            world.at(BEGIN + 30_000, Fault::Mend);
            world.run_until(BEGIN + 40_000);
            assert!(
                world.is_whole() && !doubts(&world, SIZE - 1),
                "seed {seed}, deaf {deaf}"
            );
        }
    }
}

/// Guard: what should have been done long ago tells that it stood still, and what it did not hear meanwhile is no evidence.
#[test]
fn one_that_stood_still_for_half_a_minute_does_not_believe_that_all_others_died() {
    for seed in SEEDS {
        let mut world = settled(seed, Net::default(), &own);
        world.at(BEGIN, Fault::Stop(vec![7], 30_000));
        world.run_until(BEGIN + 29_900);
        assert!(
            all()
                .iter()
                .all(|by| *by == 7 || world.held(*by, 7) == Held::Failed),
            "seed {seed}"
        );
        world.run_until(BEGIN + 30_100);
        let said = world
            .peer(7)
            .map(|peer| peer.describe(7))
            .unwrap_or_default();
        assert!(
            said.contains("doubtful (it was stopped"),
            "seed {seed}: {said}"
        );
        world.run_until(BEGIN + 36_000);
        let accused = world
            .changes
            .iter()
            .filter(|change| change.by == 7 && change.held == Held::Failed);
        assert_eq!(accused.count(), 0, "seed {seed}");
        assert!(
            world.is_whole() && wronged(&world, &[7]).is_empty(),
            "seed {seed}"
        );
    }
}

/// Guard: members say how long they wait for answers themselves, and are given that time.
#[test]
fn a_fifth_that_is_slow_at_once_is_slow_and_not_gone() {
    for seed in SEEDS {
        let mut world = settled(seed, Net::default(), &own);
        let slow = all().into_iter().filter(|slot| slot % 5 == 4).collect();
        world.at(BEGIN, Fault::Slow(slow, 600.0));
        world.run_until(BEGIN + 15_000);
        world.changes.clear();
        world.run_until(BEGIN + 75_000);
        assert!(
            wronged(&world, &[]).is_empty(),
            "seed {seed}: {:?}",
            wronged(&world, &[])
        );
        let changes = world.changes.len();
        assert!(
            changes < 4 * SIZE,
            "seed {seed}: they are suspected again and again, {changes} changes"
        );
    }
}

/// Guards: what failed is tried again, and with one that is back others are.
#[test]
fn halves_that_were_apart_are_whole_again_with_deaths_joins_and_restarts_on_both_sides() {
    for seed in SEEDS {
        let mut world = World::new(SIZE, 3, Net::default(), seed, &own);
        world.at(0, Fault::Start((0..SIZE - 3).collect()));
        world.run_until(BEGIN);
        let (a, b): (Vec<usize>, Vec<usize>) = all().iter().partition(|slot| **slot % 2 == 0);
        world.cut_both(BEGIN, &a, &b);
        world.at(BEGIN + 5_000, Fault::Kill(vec![4, 5, 6, 7]));
        world.at(BEGIN + 8_000, Fault::Start(vec![6, 7, SIZE - 3, SIZE - 2]));
        world.at(BEGIN + 12_000, Fault::Leave(vec![8, 9]));
        world.run_until(BEGIN + 19_900);
        assert!(
            (0..SIZE)
                .filter(|slot| world.runs(*slot))
                .all(|slot| doubts(&world, slot)),
            "seed {seed}"
        );
        world.at(BEGIN + 20_000, Fault::Mend);
        world.run_until(BEGIN + 30_000);
        assert!(
            world.is_whole(),
            "seed {seed}: {} pairs are wrong",
            world.unlike()
        );
        // What each held of the dead for itself alone all say by now.
        world.at(BEGIN + 35_000, Fault::Start(vec![SIZE - 1]));
        world.run_until(BEGIN + 37_000);
        assert!(
            world.is_whole(),
            "seed {seed}: {} pairs are wrong",
            world.unlike()
        );
    }
}

/// Guard: what failed is tried again, for as long as it is remembered.
#[test]
fn halves_find_each_other_without_any_seed() {
    for seed in SEEDS {
        let mut world = settled(seed, Net::default(), &own);
        world.at(BEGIN, Fault::Kill(vec![0, 1, 2]));
        let (a, b): (Vec<usize>, Vec<usize>) = all().iter().partition(|slot| **slot % 2 == 0);
        world.cut_both(BEGIN + 10_000, &a, &b);
        world.at(BEGIN + 70_000, Fault::Mend);
        world.run_until(BEGIN + 80_000);
        assert!(
            world.is_whole(),
            "seed {seed}: {} pairs are wrong",
            world.unlike()
        );
    }
}

/// Guard: where one that failed is back, others that did are tried at once.
#[test]
fn halves_are_whole_again_within_seconds_of_the_first_answer() {
    for seed in SEEDS {
        let mut world = settled(seed, Net::default(), &own);
        let (a, b): (Vec<usize>, Vec<usize>) = all().iter().partition(|slot| **slot < SIZE / 2);
        world.cut_both(BEGIN, &a, &b);
        world.at(BEGIN + 20_000, Fault::Mend);
        world.run_until(BEGIN + 21_500);
        assert!(
            world.is_whole(),
            "seed {seed}: {} pairs are wrong",
            world.unlike()
        );
    }
}

/// Guard: who is cut off takes three times as long to judge: of a short cut nothing remains.
#[test]
fn a_short_cut_leaves_no_failures_with_those_that_were_cut_off() {
    for seed in SEEDS {
        let mut world = settled(seed, Net::default(), &own);
        let zone: Vec<usize> = all().into_iter().filter(|slot| slot % 3 == 2).collect();
        let others = but(&zone);
        world.cut_both(BEGIN, &zone, &others);
        world.at(BEGIN + 6_000, Fault::Mend);
        world.run_until(BEGIN + 16_000);
        let failed = |change: &&Change| change.held == Held::Failed && zone.contains(&change.by);
        assert_eq!(
            world.changes.iter().filter(failed).count(),
            0,
            "seed {seed}"
        );
        assert!(world.is_whole(), "seed {seed}");
    }
}

/// Guard: what a member holds of others while it is cut off is its own matter.
#[test]
fn a_zone_that_was_cut_off_does_not_accuse_all_others_when_it_is_back() {
    for seed in SEEDS {
        let mut world = settled(seed, Net::default(), &own);
        let zone: Vec<usize> = all().into_iter().filter(|slot| slot % 3 == 2).collect();
        let others = but(&zone);
        world.cut_both(BEGIN, &zone, &others);
        world.at(BEGIN + 40_000, Fault::Mend);
        world.run_until(BEGIN + 39_900);
        assert!(zone.iter().all(|slot| doubts(&world, *slot)), "seed {seed}");
        assert!(
            others.iter().all(|slot| !doubts(&world, *slot)),
            "seed {seed}: two thirds are the fleet"
        );
        world.run_until(BEGIN + 50_000);
        assert!(
            world.is_whole(),
            "seed {seed}: {} pairs are wrong",
            world.unlike()
        );
        assert_eq!(refutations(&world, &others), 0, "seed {seed}");
    }
}

/// Guard: those that are asked for help are of other zones each.
#[test]
fn two_zones_that_cannot_reach_each_other_are_one_fleet_by_the_third() {
    for seed in SEEDS {
        let mut world = settled(seed, Net::default(), &own);
        let zone =
            |z: usize| -> Vec<usize> { all().into_iter().filter(|slot| slot % 3 == z).collect() };
        world.cut_both(BEGIN, &zone(0), &zone(1));
        world.run_until(BEGIN + 60_000);
        assert!(
            world.changes.is_empty(),
            "seed {seed}: {:?}",
            world.changes.first()
        );
        assert!(
            all().iter().all(|slot| !doubts(&world, *slot)),
            "seed {seed}"
        );
    }
}

/// Guards: a seed that is nobody's address is asked again and again, and one that is new answers one that is new.
#[test]
fn seeds_may_be_down_when_one_comes_or_all_of_them_and_come_later() {
    for seed in SEEDS {
        let mut world = World::new(SIZE, 3, Net::default(), seed, &own);
        world.at(0, Fault::Start((1..SIZE - 1).collect()));
        world.run_until(10_000);
        assert!(world.is_whole(), "seed {seed}: one seed is down");
        // All seeds are gone, and forgotten by nobody; one that comes now can ask nobody.
        world.at(10_000, Fault::Kill(vec![1, 2]));
        world.at(20_000, Fault::Start(vec![SIZE - 1]));
        world.run_until(35_000);
        assert!(
            doubts(&world, SIZE - 1) && !doubts(&world, 5),
            "seed {seed}"
        );
        // The seeds come back knowing nobody but each other.
        world.at(35_000, Fault::Start(vec![0, 1, 2]));
        world.run_until(75_000);
        assert!(
            world.is_whole(),
            "seed {seed}: {} pairs are wrong",
            world.unlike()
        );
    }
}

/// Guard: seeds are asked again by who has long been in, where nobody who is there has their addresses.
#[test]
fn seeds_that_were_forgotten_are_found_again() {
    let make =
        |number: usize, _size: usize, seeds: &[usize], seed: u64, now: u64| -> Box<dyn Peer> {
            let who = Identity {
                forget: 60_000,
                ..identity(number, seeds)
            };
            Box::new(Own::new(Fleet::new(who, seed, now), now))
        };
    for seed in SEEDS {
        let mut world = settled(seed, Net::default(), &make);
        world.at(BEGIN, Fault::Kill(vec![0, 1, 2]));
        // Two fleets, and neither knows of the other.
        world.at(BEGIN + 100_000, Fault::Start(vec![0, 1, 2]));
        world.run_until(BEGIN + 130_000);
        assert!(
            world.is_whole(),
            "seed {seed}: {} pairs are wrong",
            world.unlike()
        );
    }
}

/// Guard: a process whose name is known already takes the next incarnation.
#[test]
fn all_killed_and_started_within_a_second_are_whole_and_beat_their_own_corpses() {
    for seed in SEEDS {
        let mut world = settled(seed, Net::default(), &own);
        for slot in all() {
            world.at(BEGIN + (slot as u64 * 37) % 1000, Fault::Start(vec![slot]));
        }
        world.run_until(BEGIN + 11_000);
        assert!(
            world.is_whole(),
            "seed {seed}: {} pairs are wrong",
            world.unlike()
        );
        // One alone, at once: nobody had missed it yet.
        world.at(BEGIN + 11_000, Fault::Start(vec![9]));
        world.run_until(BEGIN + 16_000);
        assert!(
            world.is_whole(),
            "seed {seed}: {} pairs are wrong",
            world.unlike()
        );
    }
}

/// Guard: a name is taken over only where nobody answers at its address.
#[test]
fn a_name_that_is_started_twice_goes_to_one_process_and_the_other_stays_out_until_that_is_gone() {
    for seed in SEEDS {
        let mut world = settled_twice(seed);
        // The last one has the name of number 1, and has come later or at the same time: one of both is out, for good.
        let out: Vec<usize> = [1, SIZE - 1]
            .into_iter()
            .filter(|slot| doubts(&world, *slot))
            .collect();
        assert_eq!(out.len(), 1, "seed {seed}");
        world.changes.clear();
        world.run_until(BEGIN + 60_000);
        assert!(
            world.changes.is_empty(),
            "seed {seed}: it goes to and fro: {:?}",
            world.changes
        );
        let other = if out[0] == 1 { SIZE - 1 } else { 1 };
        world.at(BEGIN + 60_000, Fault::Kill(vec![other]));
        world.run_until(BEGIN + 100_000);
        assert!(!doubts(&world, out[0]), "seed {seed}: the name is free");
        assert!(
            (2..SIZE - 1).all(|by| world.held(by, 1) == Held::There),
            "seed {seed}"
        );
    }
}

fn settled_twice(seed: u64) -> World<'static> {
    let mut world = World::new(SIZE, 3, Net::default(), seed, &own_named_twice);
    world.at(0, Fault::Start((0..SIZE - 1).collect()));
    world.at(
        if seed.is_multiple_of(2) { 0 } else { 5_000 },
        Fault::Start(vec![SIZE - 1]),
    );
    world.run_until(BEGIN);
    world
}

/// Guard: that it left goes before whatever is suspected of it.
#[test]
fn one_that_leaves_while_it_is_suspected_has_left_and_not_failed() {
    for seed in SEEDS {
        let mut world = settled(seed, Net::default(), &own);
        let (one, others) = (vec![11], but(&[11]));
        world.cut_both(BEGIN, &others, &one);
        // It is suspected by then, and nobody has judged it yet.
        world.run_until(BEGIN + 1_500);
        assert!(
            world.changes.iter().any(|change| change.of == 11),
            "seed {seed}: nobody suspects it"
        );
        world.at(BEGIN + 1_600, Fault::Mend);
        world.at(BEGIN + 1_600, Fault::Leave(vec![11]));
        world.run_until(BEGIN + 20_000);
        let held: Vec<Held> = but(&[11]).iter().map(|by| world.held(*by, 11)).collect();
        assert!(
            held.iter().all(|held| *held == Held::Left),
            "seed {seed}: {held:?}"
        );
        assert!(
            world
                .changes
                .iter()
                .all(|change| change.held != Held::Failed),
            "seed {seed}"
        );
    }
}

/// Guard: an answer of another process at one's address is no answer of that one.
#[test]
fn an_address_that_another_name_takes_over_is_that_ones() {
    // Number 5 starts anew under the name of the last, which is not running.
    static RENAMED: AtomicBool = AtomicBool::new(false);
    for seed in SEEDS {
        RENAMED.store(false, Ordering::Relaxed);
        let make =
            |number: usize, _size: usize, seeds: &[usize], seed: u64, now: u64| -> Box<dyn Peer> {
                let mut who = identity(number, seeds);
                if number == 5 && RENAMED.load(Ordering::Relaxed) {
                    who.name = identity(SIZE - 1, seeds).name;
                }
                Box::new(Own::new(Fleet::new(who, seed, now), now))
            };
        let mut world = World::new(SIZE, 3, Net::default(), seed, &make);
        world.at(0, Fault::Start((0..SIZE - 1).collect()));
        world.run_until(BEGIN);
        RENAMED.store(true, Ordering::Relaxed);
        world.at(BEGIN, Fault::Start(vec![5]));
        world.run_until(BEGIN + 10_000);
        for by in but(&[5, SIZE - 1]) {
            assert_eq!(
                world.held(by, 5),
                Held::Failed,
                "seed {seed}: nobody goes by the old name"
            );
            assert_eq!(world.held(by, SIZE - 1), Held::There, "seed {seed}");
        }
    }
}

/// Guard: a record counts only if it goes before what is known, by incarnation and state.
#[test]
fn datagrams_that_are_late_by_a_minute_bring_nobody_back_and_fail_nobody() {
    for seed in SEEDS {
        let net = Net {
            old: 0.2,
            twice: 0.1,
            ..Net::default()
        };
        let mut world = settled(seed, net, &own);
        world.at(BEGIN, Fault::Stop(vec![3], 8_000));
        world.at(BEGIN + 1_000, Fault::Start(vec![12]));
        world.at(BEGIN + 5_000, Fault::Kill(vec![13]));
        world.at(BEGIN + 6_000, Fault::Leave(vec![14]));
        world.run_until(BEGIN + 30_000);
        assert!(
            world.is_whole(),
            "seed {seed}: {} pairs are wrong",
            world.unlike()
        );
        // From now on all that was said then comes again.
        world.changes.clear();
        world.run_until(BEGIN + 100_000);
        let odd = |change: &&Change| change.held != Held::There || matches!(change.of, 13 | 14);
        let odd: Vec<&Change> = world.changes.iter().filter(odd).collect();
        assert!(world.is_whole() && odd.is_empty(), "seed {seed}: {odd:?}");
    }
}

/// Guards: a jump ahead counts as a pause, and after a jump back time goes on from where it was.
#[test]
fn clocks_that_jump_fail_nobody() {
    for seed in SEEDS {
        let mut world = settled(seed, Net::default(), &own);
        world.at(BEGIN, Fault::Jump(vec![2], 3_600_000));
        world.at(BEGIN + 1_000, Fault::Jump(vec![3], -3_600_000));
        world.at(
            BEGIN + 2_000,
            Fault::Jump(
                all().into_iter().filter(|slot| slot % 4 == 0).collect(),
                20_000,
            ),
        );
        world.run_until(BEGIN + 30_000);
        let failed = world
            .changes
            .iter()
            .filter(|change| change.held == Held::Failed)
            .count();
        assert!(failed == 0 && world.is_whole(), "seed {seed}: {failed}");
        // They do their part still.
        let before = world.sent.clone();
        world.run_until(BEGIN + 40_000);
        let sent: Vec<u64> = (0..SIZE)
            .map(|slot| world.sent[slot].1 - before[slot].1)
            .collect();
        let mean = sent.iter().sum::<u64>() / SIZE as u64;
        assert!(
            [2, 3, 4].iter().all(|slot| sent[*slot] * 2 > mean),
            "seed {seed}: {sent:?}"
        );
    }
}

/// Guard: a datagram of another cluster is none of ours.
#[test]
fn two_clusters_on_one_network_do_not_mix() {
    let make =
        |number: usize, _size: usize, seeds: &[usize], seed: u64, now: u64| -> Box<dyn Peer> {
            let cluster = if number.is_multiple_of(2) {
                "even"
            } else {
                "odd"
            };
            let who = Identity {
                cluster: cluster.into(),
                ..identity(number, seeds)
            };
            Box::new(Own::new(Fleet::new(who, seed, now), now))
        };
    let mut world = World::new(SIZE, 4, Net::default(), 1, &make);
    world.at(0, Fault::Start(all()));
    world.run_until(BEGIN);
    for by in all() {
        for of in but(&[by]) {
            let held = if by % 2 == of % 2 {
                Held::There
            } else {
                Held::Unknown
            };
            assert_eq!(world.held(by, of), held, "{by} of {of}");
        }
    }
}

/// Loss, doubles and short stops together: nobody who lives is held for failed, and who is killed is, in time.
#[test]
fn under_loss_and_short_stops_the_living_live_and_the_dead_are_found() {
    for seed in SEEDS {
        let net = Net {
            loss: 0.05,
            twice: 0.02,
            ..Net::default()
        };
        let mut world = settled(seed, net, &own);
        for round in 0..12 {
            let whom: Vec<usize> = (0..2)
                .map(|n| ((round * 7 + n * 11) % (SIZE as u64 - 1)) as usize)
                .collect();
            world.at(BEGIN + round * 5_000, Fault::Stop(whom, 1_000));
        }
        world.at(BEGIN + 60_000, Fault::Kill(vec![SIZE - 1]));
        world.run_until(BEGIN + 60_000);
        assert!(wronged(&world, &[]).is_empty(), "seed {seed}");
        world.run_until(BEGIN + 68_000);
        let know = (0..SIZE - 1)
            .filter(|by| world.held(*by, SIZE - 1) == Held::Failed)
            .count();
        assert_eq!(know, SIZE - 1, "seed {seed}");
    }
}
