//! A voter's promise and its acceptance count only once they are on its disk: the answer waits for the write. And what a
//! majority may have accepted binds every later proposer.
mod simulation;

use simulation::{DiskMode, Simulation};

/// How long a write is held up, in milliseconds: several attempts of the proposer fall into it.
const HELD_UP: f64 = 700.0;

/// Three machines in sync, of which the third has just been killed; the second proposes the next view to the first.
fn about_to_change_the_view() -> Simulation {
    let mut simulation = Simulation::new(3, 3, 0, 1);
    simulation.network.spread = 0.0;
    simulation.start_all(true);
    simulation.run(4000.0);
    simulation.log = Some(Vec::new());
    simulation.kill(2);
    simulation
}

fn logged(simulation: &Simulation, words: &str) -> bool {
    simulation
        .log
        .iter()
        .flatten()
        .any(|line| line.contains(words))
}

/// The answer that the first machine gives while its disk takes nothing, and whether it comes once the disk does.
fn answer_waits_for_the_disk(asked: &str, answer: &str) {
    let mut simulation = about_to_change_the_view();
    assert!(
        simulation.run_until(3000.0, |simulation| logged(simulation, asked)),
        "`{asked}` was never sent"
    );
    simulation.set_disk(0, DiskMode::Stalled);
    simulation.run(HELD_UP);
    assert!(
        !logged(&simulation, answer),
        "`{answer}` before it is on the disk"
    );
    simulation.set_disk(0, DiskMode::Well);
    assert!(
        simulation.run_until(3000.0, |simulation| logged(simulation, answer)),
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
    let mut simulation = Simulation::new(3, 3, 0, 1);
    simulation.network.spread = 0.0;
    simulation.start_all(true);
    simulation.run(4000.0);
    simulation.log = Some(Vec::new());
    simulation.cut(&[2], &[0, 1]);
    simulation.hold = vec!["m2 -> m1: e1 new view".to_string()];
    assert!(
        simulation.run_until(3000.0, |simulation| logged(simulation, "m2 knows view 2")),
        "the second one decides"
    );
    assert!(!logged(&simulation, "m1 knows view 2"));
    // By the time that the first one hears the third again, it takes the second for lost.
    simulation.cut(&[1], &[0]);
    simulation.run(1500.0);
    simulation.heal();
    simulation.cut(&[1], &[0, 2]);
    assert!(
        simulation.run_until(8000.0, |simulation| logged(simulation, "m1 knows view 2")),
        "the others go on"
    );
    let views: Vec<String> = simulation
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
