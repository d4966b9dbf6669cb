//! Approved transcripts of whole exchanges: all messages but the statuses, what was applied and answered. After a
//! change that is meant, SANDTRACK_APPROVE=1 writes them anew; the difference is then read and committed.
mod simulation;

use std::path::Path;

use simulation::{DiskMode, Simulation};

/// Three machines, calm, with what is said from here on kept.
fn settled(observers: usize) -> Simulation {
    let mut simulation = Simulation::new(7, 3, observers, 1);
    simulation.network.spread = 0.0;
    simulation.start_all(true);
    simulation.run(2000.0);
    simulation.log = Some(Vec::new());
    simulation
}

fn compare(name: &str, mut simulation: Simulation) {
    let lines = simulation.log.take().unwrap();
    let told: Vec<String> = lines
        .into_iter()
        .filter(|line| !line.contains(" status "))
        .collect();
    let text = told.join("\n") + "\n";
    let path = Path::new(env!("CARGO_MANIFEST_DIR"))
        .join("tests/transcripts")
        .join(format!("{name}.txt"));
    if std::env::var("SANDTRACK_APPROVE").is_ok() {
        std::fs::write(&path, &text).unwrap();
    }
    let approved = std::fs::read_to_string(&path).unwrap_or_default();
    for (number, (line, approved)) in text.lines().zip(approved.lines()).enumerate() {
        assert_eq!(line, approved, "{name}, line {}", number + 1);
    }
    assert_eq!(
        text.lines().count(),
        approved.lines().count(),
        "{name}: lines"
    );
}

fn won(simulation: &Simulation, call: u64) -> bool {
    matches!(simulation.outcome(call), Some(Ok(text)) if text.starts_with("won"))
}

#[test]
fn a_committed_write() {
    let mut simulation = settled(1);
    let call = simulation.submit(2, 0);
    simulation.run(50.0);
    assert!(won(&simulation, call));
    let call = simulation.submit(3, 1);
    simulation.run(50.0);
    assert!(won(&simulation, call));
    compare("committed-write", simulation);
}

#[test]
fn a_read() {
    let mut simulation = settled(1);
    let calls: Vec<u64> = (0..4).map(|node| simulation.read(node)).collect();
    simulation.run(50.0);
    assert!(calls
        .iter()
        .all(|call| simulation.outcome(*call) == Some(Ok("0 0".to_string()))));
    compare("read", simulation);
}

#[test]
fn a_member_lost_and_back() {
    let mut simulation = settled(0);
    simulation.kill(1);
    let call = simulation.submit(0, 0);
    simulation.run(2500.0);
    assert!(won(&simulation, call));
    simulation.start(1, false);
    simulation.run(1500.0);
    assert_eq!(simulation.checks.newest_view().unwrap().chain.len(), 3);
    compare("member-lost-and-back", simulation);
}

#[test]
fn a_wiped_member() {
    let mut simulation = settled(0);
    let call = simulation.submit(0, 0);
    simulation.run(50.0);
    assert!(won(&simulation, call));
    simulation.wipe(0);
    simulation.run(400.0);
    simulation.start(0, false);
    let call = simulation.submit(0, 1);
    simulation.run(2500.0);
    assert!(won(&simulation, call));
    let view = simulation.checks.newest_view().unwrap().clone();
    assert!(view
        .voters
        .iter()
        .all(|voter| voter.address != "m1" || voter.incarnation > 0));
    assert_eq!(view.chain.len(), 3);
    compare("wiped-member", simulation);
}

#[test]
fn a_replaced_member() {
    let mut simulation = settled(0);
    simulation.submit(0, 0);
    simulation.run(50.0);
    simulation.wipe(2);
    simulation.nodes[2].removed = true;
    let new = simulation.add(true);
    simulation.run(300.0);
    simulation.start(new, false);
    simulation.run(4500.0);
    let view = simulation.checks.newest_view().unwrap().clone();
    assert!(
        view.voters.iter().any(|voter| voter.address == "m4"),
        "{view}"
    );
    assert!(
        view.voters.iter().all(|voter| voter.address != "m3"),
        "{view}"
    );
    let call = simulation.submit(new, 1);
    simulation.run(50.0);
    assert!(won(&simulation, call));
    compare("replaced-member", simulation);
}

#[test]
fn a_frozen_head_that_wakes() {
    let mut simulation = settled(0);
    simulation.freeze(0);
    let stale = [simulation.submit(0, 0), simulation.read(0)];
    let call = simulation.submit(1, 0);
    simulation.run(2500.0);
    assert!(won(&simulation, call));
    simulation.thaw(0);
    simulation.run(500.0);
    // Both changes are on top of the same version: the one that was acknowledged stays the only one.
    assert!(!won(&simulation, stale[0]));
    assert_eq!(
        simulation
            .outcome(stale[1])
            .unwrap()
            .unwrap()
            .split(' ')
            .next(),
        Some("2")
    );
    compare("frozen-head-wakes", simulation);
}

#[test]
fn the_control_nodes_cut_in_two() {
    let mut simulation = settled(0);
    simulation.cut(&[0], &[1, 2]);
    let alone = simulation.submit(0, 0);
    let call = simulation.submit(1, 0);
    simulation.run(2500.0);
    assert!(won(&simulation, call));
    assert_eq!(simulation.outcome(alone), None);
    simulation.heal();
    simulation.run(1500.0);
    assert_eq!(simulation.checks.newest_view().unwrap().chain.len(), 3);
    assert!(!won(&simulation, alone));
    compare("core-cut-in-two", simulation);
}

#[test]
fn the_control_nodes_cut_one_way() {
    let mut simulation = settled(0);
    simulation.network.cut.insert((0, 1));
    let call = simulation.submit(2, 0);
    simulation.run(2500.0);
    assert!(won(&simulation, call));
    simulation.heal();
    simulation.run(1500.0);
    assert_eq!(simulation.checks.newest_view().unwrap().chain.len(), 3);
    compare("core-cut-one-way", simulation);
}

#[test]
fn all_killed_at_once() {
    let mut simulation = settled(0);
    let call = simulation.submit(0, 0);
    simulation.run(50.0);
    assert!(won(&simulation, call));
    for index in 0..3 {
        simulation.kill(index);
    }
    simulation.run(300.0);
    for index in 0..3 {
        simulation.start(index, false);
        simulation.run(40.0);
    }
    let call = simulation.read(2);
    simulation.run(20.0);
    assert_eq!(
        simulation.outcome(call),
        Some(Ok("1 1".to_string())),
        "the view on the disks serves at once"
    );
    compare("all-killed-at-once", simulation);
}

#[test]
fn a_stalled_disk() {
    let mut simulation = settled(0);
    simulation.set_disk(1, DiskMode::Stalled);
    let call = simulation.submit(0, 0);
    simulation.run(3000.0);
    assert!(won(&simulation, call));
    simulation.set_disk(1, DiskMode::Well);
    simulation.run(1500.0);
    assert_eq!(simulation.checks.newest_view().unwrap().chain.len(), 3);
    compare("stalled-disk", simulation);
}

#[test]
fn a_full_disk_at_the_head() {
    let mut simulation = settled(0);
    simulation.set_disk(0, DiskMode::Full);
    let call = simulation.submit(0, 0);
    simulation.run(2500.0);
    assert!(won(&simulation, call));
    let read = simulation.read(0);
    simulation.run(50.0);
    assert_eq!(simulation.outcome(read), Some(Ok("1 1".to_string())));
    simulation.set_disk(0, DiskMode::Well);
    simulation.run(2000.0);
    assert_eq!(simulation.checks.newest_view().unwrap().chain.len(), 3);
    compare("full-disk-at-the-head", simulation);
}

#[test]
fn all_disks_full() {
    let mut simulation = settled(0);
    for index in 0..3 {
        simulation.set_disk(index, DiskMode::Full);
    }
    let call = simulation.submit(0, 0);
    simulation.run(4500.0);
    assert_eq!(
        simulation.outcome(call),
        Some(Err(sandtrack_replication::CallError::Full))
    );
    let read = simulation.read(0);
    simulation.run(50.0);
    assert_eq!(
        simulation.outcome(read),
        Some(Ok("0 0".to_string())),
        "what is committed stays readable"
    );
    for index in 0..3 {
        simulation.set_disk(index, DiskMode::Well);
    }
    simulation.run(1500.0);
    let call = simulation.submit(0, 0);
    simulation.run(50.0);
    assert!(won(&simulation, call));
    compare("all-disks-full", simulation);
}
