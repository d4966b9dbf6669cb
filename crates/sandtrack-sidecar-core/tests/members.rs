//! The reducer as a member of a fleet: what comes of datagrams, of members that come and go, and of its own end.
use sandtrack_membership::config::{Identity, FORGET};
use sandtrack_settings::Document;
use sandtrack_sidecar_core::by_hand::ByHand;
use sandtrack_sidecar_core::catalog::Catalog;
use sandtrack_sidecar_core::message::{Head, Headers, Message};
use sandtrack_sidecar_core::reducer::{Effect, Input, Reducer, Ways};
use serde_json::json;
use std::net::SocketAddrV4;

fn address(number: usize) -> SocketAddrV4 {
    SocketAddrV4::new([10, 0, 0, number as u8 + 1].into(), 7946)
}

fn settings(siblings: u32) -> Document {
    let text = json!({
        "azs": ["north"], "locality": "north", "me": 0, "siblings": siblings, "discovery": "on_request",
        "classes": [{"name": "read", "aim": 200.0, "deadline": 900.0, "effect": "repeatable", "value": 1.0}],
        "feedback": {"how": "on_probe"},
        "limits": {"cancel": true, "probes": true, "parallel-tries": true, "max-attempts": 4, "connect-timeout": 100.0},
        "penalties": {"probe": 0.01, "cross-zone": 0.01}, "rules": {"answer-slack": 5.0, "ask-within": 8000.0, "cold": 5000.0, "cold-share": 0.4, "drain-grace": 300.0, "fall": 1000.0,
            "fall-multiple": 3.0},
    });
    sandtrack_settings::read(text.to_string().as_bytes()).unwrap()
}

fn reducer(number: usize, siblings: u32, ways: Ways, other_lives: bool) -> Reducer {
    let checked = settings(siblings).checked().unwrap();
    let identity = Identity {
        cluster: "core".into(),
        name: format!("n{number}").into(),
        advertise: address(number),
        zone: "north".into(),
        region: "".into(),
        seeds: vec![address(0)],
        datagram: 1200,
        forget: FORGET,
    };
    Reducer::new(checked, "127.0.0.1:2".parse().unwrap(), 1, 256, 1e12, 0.0)
        .with(ways, ByHand::default(), other_lives)
        .with_fleet(identity, number as u64)
}

/// Sidecars that run side by side; a datagram arrives in the next millisecond.
struct World {
    all: Vec<Option<Reducer>>,
    now: f64,
    datagrams: Vec<(SocketAddrV4, SocketAddrV4, Vec<u8>)>,
    /// Effects of the one that is looked at: the first.
    seen: Vec<Effect>,
    next_call: u64,
}

impl World {
    fn new(count: usize, siblings: u32) -> Self {
        let all = (0..count)
            .map(|n| Some(reducer(n, siblings, Ways::default(), false)))
            .collect();
        let mut world = World {
            all,
            now: 0.0,
            datagrams: Vec::new(),
            seen: Vec::new(),
            next_call: 1 << 40,
        };
        for n in 0..count {
            world.feed(n, Input::FleetOpened);
        }
        world
    }

    fn feed(&mut self, number: usize, input: Input) {
        let Some(reducer) = &mut self.all[number] else {
            return;
        };
        for effect in reducer.handle(self.now, input) {
            match effect {
                Effect::Datagram { to, bytes } => self.datagrams.push((address(number), to, bytes)),
                other if number == 0 => self.seen.push(other),
                _ => {}
            }
        }
    }

    fn run(&mut self, seconds: f64) {
        for _ in 0..(seconds * 1000.0) as u32 {
            self.now += 1.0;
            for (source, to, bytes) in std::mem::take(&mut self.datagrams) {
                if let Some(n) = (0..self.all.len()).find(|n| address(*n) == to) {
                    self.feed(n, Input::Datagram { source, bytes });
                }
            }
            for n in 0..self.all.len() {
                let due = self.all[n].as_ref().and_then(Reducer::next_due);
                if due.is_some_and(|due| due <= self.now) {
                    self.feed(n, Input::Tick);
                }
            }
        }
    }

    /// What the first one answers to a call of staff.
    fn call(&mut self, target: &str) -> (u16, String) {
        self.next_call += 1;
        let conn = self.next_call;
        let head = Head {
            method: "GET".to_owned(),
            target: target.to_owned(),
            status: 0,
            headers: Headers::default(),
            keep_alive: true,
            chunks: true,
        };
        self.feed(0, Input::AdminOpened { conn });
        self.feed(
            0,
            Input::AdminCall {
                conn,
                message: Message {
                    head,
                    body: Vec::new(),
                },
            },
        );
        let answer = self.seen.iter().find_map(|effect| match effect {
            Effect::AnswerAdmin { conn: to, bytes } if *to == conn => Some(bytes.clone()),
            _ => None,
        });
        let text = String::from_utf8(answer.expect("an answer")).unwrap();
        let (head, body) = text.split_once("\r\n\r\n").unwrap();
        (head[9..12].parse().unwrap(), body.to_owned())
    }

    fn siblings(&mut self) -> u64 {
        let (status, text) = self.call("/-/members");
        assert_eq!(status, 200);
        let told: serde_json::Value = serde_json::from_str(&text).unwrap();
        told["siblings"].as_u64().unwrap()
    }
}

/// Budgets of all sidecars are shared by this number: it must never be less than what may be there.
#[test]
fn siblings_follow_the_fleet_up_at_once_and_down_only_by_those_that_leave() {
    let mut world = World::new(12, 40);
    world.run(5.0);
    assert_eq!(
        world.siblings(),
        40,
        "the settings' number, until the fleet has been whole for a while"
    );
    world.run(40.0);
    assert_eq!(world.siblings(), 12);
    // Killed: they may be there and only not be heard.
    for n in [3, 4] {
        world.all[n] = None;
    }
    world.run(60.0);
    assert_eq!(world.siblings(), 12);
    // They leave: what they had is the others', after a while.
    for n in [5, 6, 7] {
        world.feed(n, Input::Terminate);
    }
    world.run(1.0);
    for n in [5, 6, 7] {
        world.all[n] = None;
    }
    world.run(10.0);
    assert_eq!(world.siblings(), 12, "a restart is as short as this");
    world.run(40.0);
    assert_eq!(world.siblings(), 9);
    // One comes: at once.
    world.all[5] = Some(reducer(5, 40, Ways::default(), false));
    world.feed(5, Input::FleetOpened);
    world.run(1.0);
    assert_eq!(world.siblings(), 10);
}

/// A fleet in two halves must not send twice what its upstreams bear.
#[test]
fn siblings_do_not_fall_while_most_of_the_others_are_not_heard() {
    let mut world = World::new(6, 2);
    world.run(45.0);
    assert_eq!(world.siblings(), 6);
    let away: Vec<Option<Reducer>> = (1..6).map(|n| world.all[n].take()).collect();
    world.run(300.0);
    assert_eq!(world.siblings(), 6);
    let (_, text) = world.call("/-/members");
    assert!(text.contains("\"view\":\"cut-off\""), "{text}");
    world.all.truncate(1);
    world.all.extend(away);
    world.run(15.0);
    let (_, text) = world.call("/-/members");
    assert!(
        text.contains("\"view\":\"whole\"") && !text.contains("failed"),
        "{text}"
    );
}

/// The module shares its budgets by that number: beside many it probes few upstreams.
#[test]
fn the_module_uses_fewer_upstreams_where_more_members_are() {
    let probed = |members: usize| {
        let mut world = World::new(members, 1);
        let entries: Vec<serde_json::Value> = (0..40)
            .map(|n| {
                json!({"instanceId": format!("s{n}"), "hostPort": format!("127.0.1.{}:1", n + 1), "zone": "north",
                    "lifecycle": "SERVING"})
            })
            .collect();
        let catalog = json!({"generation": 1, "reset": true, "instances": entries});
        let known: Catalog = serde_json::from_value(catalog).unwrap();
        world.run(10.0);
        world.seen.clear();
        if let Some(reducer) = &mut world.all[0] {
            let effects = reducer.start(Some(known));
            world.seen.extend(effects);
        }
        world.run(2.0);
        world
            .seen
            .iter()
            .filter(|effect| matches!(effect, Effect::Connect { .. }))
            .count()
    };
    let (alone, many) = (probed(1), probed(60));
    assert!(alone >= 38 && many <= 10, "{alone} alone, {many} beside 59");
}

#[test]
fn who_ends_leaves_but_not_where_another_process_of_the_sidecar_lives() {
    let shared = Ways {
        inherited: true,
        ..Ways::default()
    };
    for (other_lives, leaves) in [(false, true), (true, false)] {
        let mut world = World::new(2, 2);
        world.all[0] = Some(reducer(0, 2, shared, other_lives));
        world.feed(0, Input::FleetOpened);
        world.run(3.0);
        world.seen.clear();
        world.datagrams.clear();
        world.feed(0, Input::Terminate);
        assert_eq!(
            !world.datagrams.is_empty(),
            leaves,
            "another lives: {other_lives}"
        );
        assert!(
            world.seen.contains(&Effect::CloseFleet),
            "the address is free for the other"
        );
        let before = world.datagrams.len();
        let (_, to, bytes) = (address(1), address(0), vec![1, 2, 3]);
        world.feed(0, Input::Datagram { source: to, bytes });
        assert_eq!(world.datagrams.len(), before, "nothing more is sent");
    }
}

#[test]
fn where_there_is_no_fleet_nothing_of_it_is_there() {
    let checked = settings(3).checked().unwrap();
    let alone = Reducer::new(checked, "127.0.0.1:2".parse().unwrap(), 1, 256, 1e12, 0.0);
    let mut world = World {
        all: vec![Some(alone)],
        now: 0.0,
        datagrams: Vec::new(),
        seen: Vec::new(),
        next_call: 1,
    };
    world.feed(0, Input::FleetOpened);
    world.feed(
        0,
        Input::Datagram {
            source: address(1),
            bytes: vec![0; 40],
        },
    );
    world.run(3.0);
    assert_eq!(world.call("/-/members").0, 404);
    assert!(!world.call("/-/metrics").1.contains("fleet"));
    assert!(world.datagrams.is_empty());
}
