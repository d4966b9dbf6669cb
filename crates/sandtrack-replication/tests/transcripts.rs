//! Approved transcripts of whole exchanges: all messages but the statuses, what was applied and answered. After a
//! change that is meant, SANDTRACK_APPROVE=1 writes them anew; the difference is then read and committed.
mod world;

use std::path::Path;

use world::{DiskMode, World};

/// Three machines, calm, with what is said from here on kept.
fn calm(observers: usize) -> World {
    let mut world = World::new(7, 3, observers, 1);
    world.network.spread = 0.0;
    world.start_all(true);
    world.run(2000.0);
    world.log = Some(Vec::new());
    world
}

fn compare(name: &str, mut world: World) {
    let lines = world.log.take().unwrap();
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

fn won(world: &World, call: u64) -> bool {
    matches!(world.outcome(call), Some(Ok(text)) if text.starts_with("won"))
}

#[test]
fn a_committed_write() {
    let mut world = calm(1);
    let call = world.submit(2, 0);
    world.run(50.0);
    assert!(won(&world, call));
    let call = world.submit(3, 1);
    world.run(50.0);
    assert!(won(&world, call));
    compare("committed-write", world);
}

#[test]
fn a_read() {
    let mut world = calm(1);
    let calls: Vec<u64> = (0..4).map(|node| world.read(node)).collect();
    world.run(50.0);
    assert!(calls
        .iter()
        .all(|call| world.outcome(*call) == Some(Ok("0 0".to_string()))));
    compare("read", world);
}

#[test]
fn a_member_lost_and_back() {
    let mut world = calm(0);
    world.kill(1);
    let call = world.submit(0, 0);
    world.run(2500.0);
    assert!(won(&world, call));
    world.start(1, false);
    world.run(1500.0);
    assert_eq!(world.checks.newest_view().unwrap().chain.len(), 3);
    compare("member-lost-and-back", world);
}

#[test]
fn a_wiped_member() {
    let mut world = calm(0);
    let call = world.submit(0, 0);
    world.run(50.0);
    assert!(won(&world, call));
    world.wipe(0);
    world.run(400.0);
    world.start(0, false);
    let call = world.submit(0, 1);
    world.run(2500.0);
    assert!(won(&world, call));
    let view = world.checks.newest_view().unwrap().clone();
    assert!(view
        .voters
        .iter()
        .all(|voter| voter.address != "m1" || voter.incarnation > 0));
    assert_eq!(view.chain.len(), 3);
    compare("wiped-member", world);
}

#[test]
fn a_replaced_member() {
    let mut world = calm(0);
    world.submit(0, 0);
    world.run(50.0);
    world.wipe(2);
    world.nodes[2].removed = true;
    let new = world.add(true);
    world.run(300.0);
    world.start(new, false);
    world.run(4500.0);
    let view = world.checks.newest_view().unwrap().clone();
    assert!(
        view.voters.iter().any(|voter| voter.address == "m4"),
        "{view}"
    );
    assert!(
        view.voters.iter().all(|voter| voter.address != "m3"),
        "{view}"
    );
    let call = world.submit(new, 1);
    world.run(50.0);
    assert!(won(&world, call));
    compare("replaced-member", world);
}

#[test]
fn a_frozen_head_that_wakes() {
    let mut world = calm(0);
    world.freeze(0);
    let stale = [world.submit(0, 0), world.read(0)];
    let call = world.submit(1, 0);
    world.run(2500.0);
    assert!(won(&world, call));
    world.thaw(0);
    world.run(500.0);
    // Both changes are on top of the same version: the one that was acknowledged stays the only one.
    assert!(!won(&world, stale[0]));
    assert_eq!(
        world.outcome(stale[1]).unwrap().unwrap().split(' ').next(),
        Some("2")
    );
    compare("frozen-head-wakes", world);
}

#[test]
fn the_core_cut_in_two() {
    let mut world = calm(0);
    world.cut(&[0], &[1, 2]);
    let alone = world.submit(0, 0);
    let call = world.submit(1, 0);
    world.run(2500.0);
    assert!(won(&world, call));
    assert_eq!(world.outcome(alone), None);
    world.heal();
    world.run(1500.0);
    assert_eq!(world.checks.newest_view().unwrap().chain.len(), 3);
    assert!(!won(&world, alone));
    compare("core-cut-in-two", world);
}

#[test]
fn the_core_cut_one_way() {
    let mut world = calm(0);
    world.network.cut.insert((0, 1));
    let call = world.submit(2, 0);
    world.run(2500.0);
    assert!(won(&world, call));
    world.heal();
    world.run(1500.0);
    assert_eq!(world.checks.newest_view().unwrap().chain.len(), 3);
    compare("core-cut-one-way", world);
}

#[test]
fn all_killed_at_once() {
    let mut world = calm(0);
    let call = world.submit(0, 0);
    world.run(50.0);
    assert!(won(&world, call));
    for index in 0..3 {
        world.kill(index);
    }
    world.run(300.0);
    for index in 0..3 {
        world.start(index, false);
        world.run(40.0);
    }
    let call = world.read(2);
    world.run(20.0);
    assert_eq!(
        world.outcome(call),
        Some(Ok("1 1".to_string())),
        "the view on the disks serves at once"
    );
    compare("all-killed-at-once", world);
}

#[test]
fn a_stalled_disk() {
    let mut world = calm(0);
    world.set_disk(1, DiskMode::Stalled);
    let call = world.submit(0, 0);
    world.run(3000.0);
    assert!(won(&world, call));
    world.set_disk(1, DiskMode::Well);
    world.run(1500.0);
    assert_eq!(world.checks.newest_view().unwrap().chain.len(), 3);
    compare("stalled-disk", world);
}

#[test]
fn a_full_disk_at_the_head() {
    let mut world = calm(0);
    world.set_disk(0, DiskMode::Full);
    let call = world.submit(0, 0);
    world.run(2500.0);
    assert!(won(&world, call));
    let read = world.read(0);
    world.run(50.0);
    assert_eq!(world.outcome(read), Some(Ok("1 1".to_string())));
    world.set_disk(0, DiskMode::Well);
    world.run(2000.0);
    assert_eq!(world.checks.newest_view().unwrap().chain.len(), 3);
    compare("full-disk-at-the-head", world);
}

#[test]
fn all_disks_full() {
    let mut world = calm(0);
    for index in 0..3 {
        world.set_disk(index, DiskMode::Full);
    }
    let call = world.submit(0, 0);
    world.run(4500.0);
    assert_eq!(
        world.outcome(call),
        Some(Err(sandtrack_replication::CallError::Full))
    );
    let read = world.read(0);
    world.run(50.0);
    assert_eq!(
        world.outcome(read),
        Some(Ok("0 0".to_string())),
        "what is committed stays readable"
    );
    for index in 0..3 {
        world.set_disk(index, DiskMode::Well);
    }
    world.run(1500.0);
    let call = world.submit(0, 0);
    world.run(50.0);
    assert!(won(&world, call));
    compare("all-disks-full", world);
}
