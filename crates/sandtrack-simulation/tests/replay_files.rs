//! Replay files keep their form: plans that an earlier version wrote are drawn and written byte for byte the same, and read
//! as the plans that were drawn.
use sandtrack_simulation::plan::Plan;

/// One plan on each line; together they hold every kind of fault.
const PLANS: &str = include_str!("fixtures/plans.jsonl");
/// How a plan is drawn, and its seed.
type Draw = (fn(u64) -> Plan, u64);
/// How the plans were drawn, in the order of the lines.
const DRAWN: [Draw; 9] = [
    (Plan::mixed, 21),
    (Plan::mixed, 32),
    (Plan::triggered, 17),
    (Plan::triggered, 41),
    (Plan::turnover, 3),
    (Plan::harsh, 4),
    (Plan::harsh, 5),
    (Plan::harsh, 21),
    (Plan::harsh, 51),
];

/// `serde_json` may read the last digit of a time differently; a replay is off by less than this, in ms.
const TIME_TOLERANCE_MS: f64 = 1e-9;

/// Sets a time that was read to the one that was drawn, if they differ by rounding only.
fn round_to(read: &mut f64, drawn: f64) {
    assert!((*read - drawn).abs() < TIME_TOLERANCE_MS, "{read}, {drawn}");
    *read = drawn;
}

#[test]
fn plans_of_an_earlier_version_are_written_and_read_again() {
    let lines: Vec<&str> = PLANS.lines().collect();
    assert_eq!(lines.len(), DRAWN.len());
    for (line, (draw, seed)) in lines.into_iter().zip(DRAWN) {
        let drawn = draw(seed);
        assert_eq!(serde_json::to_string(&drawn).expect("a text"), line);
        let mut read: Plan = serde_json::from_str(line).expect("a plan");
        for (read, drawn) in read.faults.iter_mut().zip(&drawn.faults) {
            round_to(&mut read.at_ms, drawn.at_ms);
            round_to(&mut read.duration_ms, drawn.duration_ms);
        }
        assert_eq!(read, drawn, "seed {seed}");
    }
}
