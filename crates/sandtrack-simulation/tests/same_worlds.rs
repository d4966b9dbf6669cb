//! Worlds from seeds play as they did: a change of names or of structure must not show in what happens in them.
use sandtrack_simulation::plan::Plan;
use sandtrack_simulation::runner::{digest, run, DEFAULT_THREADS};

/// Worlds that are compared.
const WORLDS: u64 = 50;
/// Digest of what they came to. A change of behaviour that is meant changes it.
const DIGEST: u64 = 0x8c9d_4aac_3980_1b9c;

/// What one world came to, in figures: names of fields and rules may change.
fn figures(seed: u64) -> String {
    let outcome = run(&Plan::mixed(seed));
    let (calls, changes, views) = (outcome.calls, outcome.changes, outcome.views);
    let (frames, closing_faults, broken) = (
        outcome.frames,
        outcome.triggered_faults,
        outcome.violations.len(),
    );
    format!("{seed}: {calls} {changes} {views} {frames} {closing_faults} {broken}")
}

/// The figures of all worlds in the order of their seeds, played on several threads.
fn all_figures() -> Vec<String> {
    let seeds: Vec<u64> = (1..=WORLDS).collect();
    let share = seeds.len().div_ceil(DEFAULT_THREADS);
    std::thread::scope(|scope| {
        let play_share =
            |seeds: &[u64]| seeds.iter().map(|seed| figures(*seed)).collect::<Vec<_>>();
        let threads: Vec<_> = seeds
            .chunks(share)
            .map(|seeds| scope.spawn(move || play_share(seeds)))
            .collect();
        threads
            .into_iter()
            .flat_map(|thread| thread.join().expect("a thread"))
            .collect()
    })
}

#[test]
fn fifty_worlds_come_to_what_they_did() {
    let figures = all_figures();
    assert_eq!(digest(&figures), DIGEST, "{}", figures.join("\n"));
}
