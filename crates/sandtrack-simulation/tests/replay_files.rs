//! Replay files keep their form: plans that an earlier version wrote are drawn, read and written byte for byte the same.
use sandtrack_simulation::plan::Plan;

/// One plan on each line; together they hold every kind of fault.
const PLANS: &str = include_str!("fixtures/plans.jsonl");
/// How the plans were drawn, in the order of the lines.
const DRAWN: [(fn(u64) -> Plan, u64); 9] = [
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

#[test]
fn plans_of_an_earlier_version_are_read_and_written_again() {
    let lines: Vec<&str> = PLANS.lines().collect();
    assert_eq!(lines.len(), DRAWN.len());
    for (line, (draw, seed)) in lines.into_iter().zip(DRAWN) {
        let plan: Plan = serde_json::from_str(line).expect("a plan");
        assert_eq!(plan, draw(seed), "seed {seed}");
        assert_eq!(serde_json::to_string(&plan).expect("a text"), line);
    }
}
