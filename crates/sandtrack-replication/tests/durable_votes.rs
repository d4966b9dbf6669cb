//! A voter's promise and its acceptance count only once they are on its disk: the answer waits for the write. And what a
//! majority may have accepted binds every later proposer.
mod world;

use world::{DiskMode, World};

/// How long a write is held up, in milliseconds: several attempts of the proposer fall into it.
const HELD_UP: f64 = 700.0;

/// Three machines in line, of which the third has just been killed; the second proposes the next view to the first.
fn about_to_change_the_view() -> World {
    let mut world = World::new(3, 3, 0, 1);
    world.network.spread = 0.0;
    world.start_all(true);
    world.run(4000.0);
    world.log = Some(Vec::new());
    world.kill(2);
    world
}

fn said(world: &World, words: &str) -> bool {
    world.log.iter().flatten().any(|line| line.contains(words))
}

/// The answer that the first machine gives while its disk takes nothing, and whether it comes once the disk does.
fn answer_waits_for_the_disk(asked: &str, answer: &str) {
    let mut world = about_to_change_the_view();
    assert!(
        world.run_until(3000.0, |world| said(world, asked)),
        "`{asked}` was never sent"
    );
    world.set_disk(0, DiskMode::Stalled);
    world.run(HELD_UP);
    assert!(!said(&world, answer), "`{answer}` before it is on the disk");
    world.set_disk(0, DiskMode::Well);
    assert!(
        world.run_until(3000.0, |world| said(world, answer)),
        "`{answer}` was never given"
    );
}

#[test]
fn a_promise_waits_for_the_disk() {
    answer_waits_for_the_disk("m2 -> m1: e1 prepare", "m1 -> m2: e1 promise");
}

#[test]
fn an_acceptance_waits_for_the_disk() {
    answer_waits_for_the_disk("m2 -> m1: e1 accept ", "m1 -> m2: e1 accepted");
}

/// The second machine decides on a view with the first, and is cut off before anyone hears of it. The first goes on with
/// the third: it would leave the second one out, but has to bring the view that it accepted to its end before.
#[test]
fn what_was_accepted_binds_the_next_proposer() {
    let mut world = World::new(3, 3, 0, 1);
    world.network.spread = 0.0;
    world.start_all(true);
    world.run(4000.0);
    world.log = Some(Vec::new());
    world.cut(&[2], &[0, 1]);
    world.hold = vec!["m2 -> m1: e1 new view".to_string()];
    assert!(
        world.run_until(3000.0, |world| said(world, "m2 knows view 2")),
        "the second one decides"
    );
    assert!(!said(&world, "m1 knows view 2"));
    // By the time that the first one hears the third again, it takes the second for lost.
    world.cut(&[1], &[0]);
    world.run(1500.0);
    world.heal();
    world.cut(&[1], &[0, 2]);
    assert!(
        world.run_until(8000.0, |world| said(world, "m1 knows view 2")),
        "the others go on"
    );
    let views: Vec<String> = world
        .log
        .iter()
        .flatten()
        .filter_map(|line| {
            line.split_once("knows ")
                .filter(|(_, view)| view.starts_with("view 2"))
        })
        .map(|(_, view)| view.to_string())
        .collect();
    assert!(
        views.iter().all(|view| *view == views[0]),
        "one view for an epoch: {views:#?}"
    );
}
