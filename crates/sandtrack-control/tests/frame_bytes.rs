//! Frames between control nodes, and commands and answers of the control state, keep their bytes: they go to processes of
//! other builds and stand on disks. Logs and snapshots of format 1 are in `state_formats.rs`.
#[path = "../../sandtrack-protocol/tests/common/fixtures.rs"]
mod fixtures;
#[path = "../../sandtrack-protocol/tests/common/frame_fixtures.rs"]
mod frame_fixtures;

use sandtrack_control::peer_frames::{
    Digest, EndpointUpdate, Heartbeat, Hello, Member, PeerFrame, PollerLease, FORMAT,
};
use sandtrack_control::state_machine::{
    ChangeKind, Command, Outcome, Query, QueryResult, RulesVersion,
};
use sandtrack_protocol::frames::{PromptSent, ProxyInfo, ProxyState, UpstreamEntry};
use sandtrack_replication::Message;

const PACKAGE: &str = env!("CARGO_MANIFEST_DIR");
/// A message of a replica, from the fixtures of its package.
const REPLICATION: &str = concat!(env!("CARGO_MANIFEST_DIR"), "/../sandtrack-replication");

fn hello() -> Hello {
    Hello {
        format: FORMAT,
        address: "10.1.0.1:7720".to_owned(),
        incarnation: 0x0102_0304_0506_0708,
        node_name: "front-odori-hall-1".to_owned(),
        zone: "odori-hall".to_owned(),
        region: "ishikari".to_owned(),
        control: "10.1.0.1:8166".to_owned(),
        features: "10.1.0.1:8164".to_owned(),
        session: "10.1.0.1:7721".to_owned(),
    }
}

fn member() -> Member {
    let info = ProxyInfo {
        node_name: "front-kita-hall-2".to_owned(),
        incarnation: 9,
        zone: "kita-hall".to_owned(),
        region: "ishikari".to_owned(),
        client_address: "10.3.0.9:8161".to_owned(),
    };
    Member {
        info,
        state: ProxyState {
            ready: true,
            draining: false,
            version: 7,
            requests_in_flight: 3,
        },
    }
}

fn heartbeat() -> Heartbeat {
    Heartbeat {
        lease: PollerLease {
            term: 7,
            holder: "10.1.0.1:7720".to_owned(),
        },
        holder_timed_out: true,
        session_digest: Digest {
            count: 3,
            sum: 0x1122_3344_5566_7788,
        },
        polls: 9,
        endpoint_digest: Digest { count: 4, sum: 5 },
        is_leaving: false,
        knows_all_proxies: true,
    }
}

fn excerpt() -> EndpointUpdate {
    let entry = UpstreamEntry {
        identifier: "i-7f3a91c2".to_owned(),
        service: "lm".to_owned(),
        address: "10.1.2.3:8080".to_owned(),
        zone: "kita-hall".to_owned(),
        slots: 64,
        draining: true,
        slow_start_remaining_ms: 1500,
        time_left_ms: Some(2500),
        models: vec!["m-1".to_owned()],
    };
    EndpointUpdate {
        is_complete: false,
        poll: 2,
        entries: vec![entry],
        removed: vec!["i-1".to_owned()],
    }
}

#[test]
fn frames_between_control_nodes_keep_their_bytes() {
    let message = fixtures::read(REPLICATION, "messages.hex").remove(0).1;
    let message: Message = borsh::from_slice(&message).expect("a message");
    let gone = vec!["front-asahi-hall-1".to_owned()];
    let values = [
        ("hello", PeerFrame::Hello(hello())),
        ("replication", PeerFrame::Replication(message)),
        (
            "sessions",
            PeerFrame::Sessions {
                is_complete: true,
                present: vec![member()],
                removed: gone,
            },
        ),
        ("want_sessions", PeerFrame::WantSessions),
        ("list", PeerFrame::Endpoints(excerpt())),
        ("want_list", PeerFrame::WantEndpoints),
        ("heartbeat", PeerFrame::Heartbeat(heartbeat())),
        (
            "prompts_sent",
            PeerFrame::PromptsSent(vec![PromptSent {
                upstream: 1,
                prefix: 2,
                tokens: 3,
            }]),
        ),
    ];
    frame_fixtures::compare(PACKAGE, "peer-frames.hex", &values);
}

#[test]
fn commands_keep_their_bytes() {
    let (zone, body) = ("kita-hall".to_owned(), b"{}".to_vec());
    let configure = |form| Command::Configure {
        kind: form,
        based_on: 7,
        body: b"{}".to_vec(),
    };
    let values = [
        (
            "replace",
            Command::Replace {
                based_on: 7,
                body: body.clone(),
            },
        ),
        ("update", Command::Update { based_on: 8, body }),
        (
            "evacuate",
            Command::Evacuate {
                zone: zone.clone(),
                begin: true,
            },
        ),
        ("configure_replace", configure(ChangeKind::Replace)),
        ("configure_update", configure(ChangeKind::Update)),
        (
            "set_evacuation",
            Command::SetEvacuation {
                zone,
                begin: false,
                last_known: 9,
            },
        ),
        ("rules_agreement", RulesVersion::CHECKED_TENANTS.agreement()),
    ];
    frame_fixtures::compare(PACKAGE, "commands.hex", &values);
}

#[test]
fn outcomes_questions_and_answers_keep_their_bytes() {
    let outcomes = [
        ("taken", Outcome::Accepted { version: 7 }),
        ("other", Outcome::VersionConflict { current: 8 }),
        (
            "invalid",
            Outcome::Invalid {
                code: 205,
                place: "routes".to_owned(),
                what: "what".to_owned(),
            },
        ),
        ("superseded", Outcome::Superseded { number: 9 }),
        ("forgotten", Outcome::Unknown),
    ];
    frame_fixtures::compare(PACKAGE, "outcomes.hex", &outcomes);
    frame_fixtures::compare(
        PACKAGE,
        "questions.hex",
        &[
            ("configuration", Query::Configuration),
            ("contact", Query::Liveness),
            (
                "known_zone",
                Query::KnownZone {
                    zone: "kita-hall".to_owned(),
                },
            ),
        ],
    );
    frame_fixtures::compare::<QueryResult>(
        PACKAGE,
        "answers.hex",
        &[("none", None), ("some", Some("{}".to_owned()))],
    );
}
