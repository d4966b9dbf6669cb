//! Logs and snapshots of format 1 are still read, and what was ordered under them is known again. The files in `formats` were
//! written by the program of 2 December 2026, before there was a format 2.
mod common;
use common::valid_configuration;
use sandtrack_control::state_machine::{ChangeKind, Command, ControlState, Outcome};
use sandtrack_replication::StateMachine;

/// Version 7 whole, an update to 9, kita-hall evacuated, odori-hall evacuated and taken back; as the log holds them.
const COMMANDS: &[u8] = include_bytes!("formats/commands-1.borsh");
/// The state after that.
const SNAPSHOT: &[u8] = include_bytes!("formats/snapshot-1.borsh");
const UPDATE: &str = r#"{"version_number":9,"remove_names":{"services":["lm"]}}"#;

fn replayed() -> ControlState {
    let commands: Vec<Vec<u8>> = borsh::from_slice(COMMANDS).expect("commands");
    let mut state = ControlState::default();
    for (number, command) in (1..).zip(&commands) {
        let outcome = borsh::from_slice(&state.apply(number, command)).expect("an outcome");
        assert!(
            matches!(outcome, Outcome::Accepted { .. }),
            "{number}: {outcome:?}"
        );
    }
    state
}

fn restored() -> ControlState {
    let mut state = ControlState::default();
    assert!(state.restore(SNAPSHOT));
    state
}

fn apply(state: &mut ControlState, number: u64, command: &Command) -> Outcome {
    let outcome = state.apply(number, &borsh::to_vec(command).expect("a command"));
    borsh::from_slice(&outcome).expect("an outcome")
}

#[test]
fn a_log_and_a_snapshot_of_format_1_give_the_same_state() {
    let states = [replayed(), restored()];
    for state in &states {
        assert_eq!(
            (
                state.version(),
                state.configuration_number(),
                state.evacuation_number()
            ),
            (9, 2, 5)
        );
        assert_eq!(state.evacuated_zones().collect::<Vec<_>>(), ["kita-hall"]);
    }
    assert_eq!(states[0].snapshot(), states[1].snapshot());
    // A snapshot is what it was, and what format 2 adds stands behind it.
    assert!(
        states[0].snapshot().starts_with(SNAPSHOT) && states[0].snapshot().len() > SNAPSHOT.len()
    );
}

#[test]
fn orders_of_format_1_are_known_again() {
    let configure = |kind, based_on, body: &str| Command::Configure {
        kind,
        based_on,
        body: body.as_bytes().to_vec(),
    };
    for mut state in [replayed(), restored()] {
        let before = state.snapshot();
        let first = configure(ChangeKind::Replace, 0, &valid_configuration(7));
        assert_eq!(
            apply(&mut state, 6, &first),
            Outcome::Accepted { version: 7 }
        );
        assert_eq!(
            apply(&mut state, 7, &configure(ChangeKind::Update, 7, UPDATE)),
            Outcome::Accepted { version: 9 }
        );
        let old = Command::Update {
            based_on: 7,
            body: UPDATE.as_bytes().to_vec(),
        };
        assert_eq!(apply(&mut state, 8, &old), Outcome::Accepted { version: 9 });
        assert_eq!(state.snapshot(), before, "repeats change nothing");
        let other = configure(ChangeKind::Replace, 0, &valid_configuration(8));
        assert_eq!(
            apply(&mut state, 9, &other),
            Outcome::VersionConflict { current: 9 }
        );
    }
}

#[test]
fn both_formats_go_on_together() {
    let mut states = [replayed(), restored()];
    for state in &mut states {
        let next = Command::Configure {
            kind: ChangeKind::Replace,
            based_on: 9,
            body: valid_configuration(11).into_bytes(),
        };
        assert_eq!(apply(state, 6, &next), Outcome::Accepted { version: 11 });
        // An order of format 1 counts for all zones, as its snapshot does not tell them apart.
        for (number, last_known, outcome) in [
            (7, 4, Outcome::Superseded { number: 5 }),
            (8, 5, Outcome::Accepted { version: 11 }),
            (9, 8, Outcome::Accepted { version: 11 }),
        ] {
            let command = Command::SetEvacuation {
                zone: "odori-hall".to_owned(),
                begin: true,
                last_known,
            };
            assert_eq!(apply(state, number, &command), outcome, "{number}");
        }
        let late = Command::Replace {
            based_on: 11,
            body: valid_configuration(12).into_bytes(),
        };
        assert_eq!(apply(state, 10, &late), Outcome::Accepted { version: 12 });
        assert_eq!(
            apply(state, 11, &next),
            Outcome::Accepted { version: 11 },
            "known again"
        );
        let mut again = ControlState::default();
        assert!(again.restore(&state.snapshot()));
        assert_eq!(again.snapshot(), state.snapshot());
        assert_eq!(
            apply(&mut again, 12, &late),
            Outcome::Accepted { version: 12 },
            "known again"
        );
        assert_eq!(
            apply(&mut again, 13, &next),
            Outcome::Accepted { version: 11 },
            "known again"
        );
    }
    assert_eq!(states[0].snapshot(), states[1].snapshot());
}

#[test]
fn a_torn_or_newer_snapshot_changes_nothing() {
    let whole = replayed().snapshot();
    for length in 0..whole.len() {
        let mut state = restored();
        // Cut where format 1 ends, it is one of format 1.
        assert_eq!(
            state.restore(&whole[..length]),
            length == SNAPSHOT.len(),
            "{length}"
        );
        assert_eq!(state.version(), 9);
    }
    let mut newer = whole.clone();
    newer[SNAPSHOT.len()] = 1;
    assert!(!restored().restore(&newer), "a format that is not known");
    newer = whole;
    newer.push(0);
    assert!(!restored().restore(&newer), "more than there should be");
}
