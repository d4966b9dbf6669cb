//! Whole exchanges of three postmasters with their couriers, callers and platform, as approved transcripts. No bench, no
//! sockets, no sleep: the clock is counted.
mod common;
use common::approve;
use common::town::{upstream, Town};
use common::{good, route};
use sandtrack_postmark::frames::{self, ToCourier, ToPostmaster};
use sandtrack_postmaster::postmaster::{Effect, Input};
use sandtrack_postmaster::sessions::SessionOrder;

const REPLACE: &str = "/v1/configuration/replace";
const UPDATE: &str = "/v1/configuration/update";
const READ: &str = "/v1/configuration/read";

/// Three postmasters, a configuration, and a courier in each zone.
fn settled() -> Town {
    let mut town = Town::start(3);
    town.list = Some(vec![upstream("i-1", false), upstream("i-2", false)]);
    town.run(1000.0);
    let call = town.call(2, "POST", REPLACE, 0, &good(7));
    town.run(500.0);
    assert_eq!(town.answer(call).map(|(_, reply)| reply.status), Some(200));
    town.connect("c-odori", "odori-hall", "ishikari", 1);
    town.connect("c-asahi", "asahi-hall", "kamikawa", 2);
    town.connect("c-kita", "kita-hall", "ishikari", 3);
    town.run(1500.0);
    town
}

fn forget_frames(town: &mut Town) {
    town.couriers.values_mut().for_each(|courier| courier.frames.clear());
}

#[test]
fn from_the_start_to_a_change_everywhere() {
    let mut town = Town::start(3);
    town.list = Some(vec![upstream("i-1", false), upstream("i-2", false)]);
    town.say("couriers come before there is a configuration");
    town.run(400.0);
    town.connect("c-odori", "odori-hall", "ishikari", 1);
    town.connect("c-asahi", "asahi-hall", "kamikawa", 2);
    let early = town.call(3, "GET", READ, 0, "");
    town.run(1000.0);
    town.note_answer("read", early);
    town.note_couriers();
    town.say("the first configuration");
    let call = town.call(2, "POST", REPLACE, 0, &good(7));
    town.run(400.0);
    town.note_answer("replace", call);
    town.note_couriers();
    town.say("one more courier, and a change of named items");
    town.connect("c-kita", "kita-hall", "ishikari", 3);
    town.run(500.0);
    let more = route("r-lm", "/lm/", r#""service":"lm""#);
    let update = format!(
        r#"{{"version_number":9,"set_items":{{"routes":[{more}]}},"remove_names":{{"routes":["r-print"]}}}}"#
    );
    let call = town.call(3, "POST", UPDATE, 7, &update);
    town.run(400.0);
    town.note_answer("update", call);
    town.note_couriers();
    town.say("a zone is evacuated, and an upstream drains");
    town.list = Some(vec![upstream("i-1", true), upstream("i-3", false)]);
    let call = town.call(1, "POST", "/v1/evacuation/kita-hall/begin", 0, "");
    town.run(1000.0);
    town.note_answer("evacuation", call);
    town.note_couriers();
    town.say("the directory");
    for house in 1..=3 {
        town.note_directory(house, "odori-hall");
    }
    town.say("read back");
    let call = town.call(1, "GET", READ, 0, "");
    town.run(400.0);
    town.note_answer("read", call);
    approve("town-start", &town.transcript.clone());
}

#[test]
fn nothing_is_told_before_it_is_committed() {
    let mut town = settled();
    forget_frames(&mut town);
    town.cut(1, 2, true);
    town.cut(1, 3, true);
    town.cut(2, 3, true);
    let call = town.call(1, "POST", REPLACE, 7, &good(9));
    town.run(880.0);
    let (after, reply) = town.answer(call).expect("an honest answer before its caller moves on");
    assert!(after <= 900.0 && reply.status == 503, "{after} {reply:?}");
    for courier in town.couriers.values() {
        let only_who_is_there = |frame: &ToCourier| matches!(frame, ToCourier::Census { .. });
        assert!(courier.frames.iter().all(only_who_is_there), "{:?}", courier.frames);
    }
    town.run(2000.0);
    assert!(town.couriers.values().all(|courier| courier.attached == Some(false)));
    for (one, other) in [(1, 2), (1, 3), (2, 3)] {
        town.cut(one, other, false);
    }
    town.run(5000.0);
    let again = town.call(2, "POST", REPLACE, 7, &good(9));
    town.run(1000.0);
    assert_eq!(town.answer(again).map(|(_, reply)| reply.status), Some(200), "the same once more is taken");
    let read = town.call(3, "GET", READ, 0, "");
    town.run(1000.0);
    assert!(town.answer(read).is_some_and(|(_, reply)| reply.body.contains("\"version_number\":9")));
    assert!(town.couriers.values().all(|courier| courier.attached == Some(true)));
}

#[test]
fn of_two_operators_at_once_one_wins_everywhere() {
    let mut town = settled();
    forget_frames(&mut town);
    let mine = town.call(1, "POST", REPLACE, 7, &good(8));
    let theirs = town.call(3, "POST", REPLACE, 7, &good(10).replace("8000", "5000"));
    town.run(500.0);
    let statuses: Vec<u16> =
        [mine, theirs].iter().filter_map(|call| town.answer(*call)).map(|(_, reply)| reply.status).collect();
    assert!(statuses == [200, 412] || statuses == [412, 200], "{statuses:?}");
    let won = if statuses[0] == 200 { 8 } else { 10 };
    for house in 1..=3 {
        assert_eq!(town.postmaster(house).book().version(), won);
    }
    for courier in town.couriers.values() {
        assert_eq!(courier.frames.len(), 1, "each courier hears of the winner alone: {:?}", courier.frames);
    }
}

#[test]
fn couriers_come_go_and_fall_silent() {
    let mut town = settled();
    forget_frames(&mut town);
    let note = |town: &mut Town| {
        for house in 1..=3 {
            town.note_directory(house, "odori-hall");
        }
    };
    town.say("all are there");
    note(&mut town);
    town.say("one is told to stop: it is out at once");
    town.state("c-odori", |state| state.leaving = true);
    town.run(30.0);
    note(&mut town);
    town.say("its session ends");
    town.disconnect("c-odori");
    town.run(300.0);
    note(&mut town);
    town.note_couriers();
    town.say("it is back");
    town.couriers.remove("c-odori");
    town.connect("c-odori", "odori-hall", "ishikari", 1);
    town.run(300.0);
    note(&mut town);
    town.note_couriers();
    town.say("one falls silent: it is out after a second");
    if let Some(courier) = town.couriers.get_mut("c-odori") {
        courier.silent = true;
    }
    town.run(700.0);
    note(&mut town);
    town.run(700.0);
    note(&mut town);
    town.run(300.0);
    town.note_couriers();
    approve("town-couriers", &town.transcript.clone());
}

#[test]
fn a_courier_that_lost_a_change_gets_the_whole() {
    let mut town = settled();
    forget_frames(&mut town);
    let now = town.now;
    let mut effects = Vec::new();
    let session = 1;
    town.postmaster(1).handle(
        now,
        Input::SessionFrame { session, frame: ToPostmaster::WantConfiguration },
        &mut effects,
    );
    assert_eq!(effects.len(), 1, "{effects:?}");
    let Effect::Session(SessionOrder::Send { bytes, .. }) = &effects[0] else { panic!("{effects:?}") };
    let frame = frames::take::<ToCourier>(bytes).expect("a frame").expect("whole").0;
    assert!(matches!(frame, ToCourier::Configuration { version: 7, .. }), "{frame:?}");
}

#[test]
fn a_postmaster_is_killed_and_comes_back() {
    let mut town = settled();
    forget_frames(&mut town);
    town.say("postmaster 1, which reads the list, loses power; its courier goes to another");
    town.kill(1, true);
    let at = town.now;
    town.run(200.0);
    town.connect("c-odori", "odori-hall", "ishikari", 3);
    town.list = Some(vec![upstream("i-2", true)]);
    town.run(2500.0);
    town.note_couriers();
    assert!(town.fetches_since(2, at) > 0 && town.fetches_since(3, at) == 0, "the next one reads");
    town.say("a change without it");
    let call = town.call(3, "POST", REPLACE, 7, &good(9));
    town.run(900.0);
    town.note_answer("replace", call);
    town.note_couriers();
    town.note_directory(2, "odori-hall");
    town.say("it is back");
    town.boot(1, false);
    town.run(3000.0);
    let versions: Vec<u64> = (1..=3).map(|house| town.postmaster(house).book().version()).collect();
    town.note(&format!("versions {versions:?}"));
    town.note_directory(1, "odori-hall");
    town.say("all are killed at once, and come back with their disks");
    for house in 1..=3 {
        town.kill(house, false);
    }
    town.run(50.0);
    for house in 1..=3 {
        town.boot(house, false);
    }
    let names = [("c-odori", "odori-hall"), ("c-asahi", "asahi-hall"), ("c-kita", "kita-hall")];
    for (at, (name, zone)) in names.into_iter().enumerate() {
        town.connect(name, zone, "ishikari", at + 1);
    }
    town.run(1500.0);
    town.note_couriers();
    let call = town.call(2, "GET", READ, 0, "");
    town.run(900.0);
    assert!(town.answer(call).is_some_and(|(_, reply)| reply.body.contains("\"version_number\":9")));
    approve("town-kill", &town.transcript.clone());
}

#[test]
fn told_to_stop_it_hands_over_and_ends() {
    let mut town = settled();
    forget_frames(&mut town);
    let now = town.now;
    let call = town.call(1, "POST", REPLACE, 7, &good(9));
    town.run(6.0);
    town.terminate(1);
    town.run(500.0);
    assert!(town.has_exited(1), "at once, as nothing holds it");
    assert_eq!(town.answer(call).map(|(_, reply)| reply.status), Some(200), "calls under way are finished");
    let next = town.call(2, "POST", REPLACE, 9, &good(12));
    town.run(300.0);
    assert_eq!(town.answer(next).map(|(_, reply)| reply.status), Some(200), "the others go on without it");
    town.run(700.0);
    let courier = &town.couriers["c-odori"];
    assert_eq!(courier.attached, Some(false), "its courier goes elsewhere at once");
    assert!(
        town.fetches_since(1, now + 450.0) == 0 && town.fetches_since(2, now) >= 2,
        "the duty went to the next"
    );
}

#[test]
fn a_postmaster_that_is_cut_off_says_so_and_keeps_the_shares() {
    let mut town = settled();
    forget_frames(&mut town);
    town.say("postmaster 1 is cut off; its courier stays with it");
    town.cut(1, 2, true);
    town.cut(1, 3, true);
    town.run(8000.0);
    town.note_couriers();
    town.note_directory(1, "odori-hall");
    town.note_directory(2, "odori-hall");
    let at = town.now;
    let call = town.call(1, "POST", "/v1/evacuation/kita-hall/begin", 0, "");
    town.run(2000.0);
    assert_eq!(town.answer(call).map(|(_, reply)| reply.status), Some(503));
    assert!(town.fetches_since(1, at) > 0, "it reads the list for itself");
    let call = town.call(2, "POST", REPLACE, 7, &good(9));
    town.run(900.0);
    town.note_answer("replace at 2", call);
    town.say("the cut is healed");
    town.cut(1, 2, false);
    town.cut(1, 3, false);
    town.run(4000.0);
    town.note_couriers();
    approve("town-cut", &town.transcript.clone());
}

#[test]
fn a_frozen_postmaster_does_not_go_on_by_belief() {
    let mut town = settled();
    town.freeze(1, true);
    town.run(4000.0);
    let call = town.call(2, "POST", REPLACE, 7, &good(9));
    town.run(900.0);
    assert_eq!(town.answer(call).map(|(_, reply)| reply.status), Some(200));
    town.list = Some(vec![upstream("i-2", true)]);
    town.run(1000.0);
    let at = town.now;
    town.freeze(1, false);
    let read = town.call(1, "GET", READ, 0, "");
    town.run(900.0);
    if let Some((_, reply)) = town.answer(read) {
        assert!(
            reply.status == 503 || reply.body.contains("\"version_number\":9"),
            "never the old one: {reply:?}"
        );
    } else {
        panic!("no answer");
    }
    town.run(3000.0);
    assert_eq!(town.fetches_since(1, at), 0, "the duty is another's by now");
    assert_eq!(town.postmaster(1).book().version(), 9);
    let counts = town.postmaster(1).upstreams().counts();
    assert_eq!(counts.get("print"), Some(&(1, 1)), "what was read before the freeze is not in force");
}

#[test]
fn a_wiped_postmaster_learns_from_the_others() {
    let mut town = settled();
    let call = town.call(1, "POST", REPLACE, 7, &good(9));
    town.run(300.0);
    assert_eq!(town.answer(call).map(|(_, reply)| reply.status), Some(200));
    town.kill(1, true);
    town.wipe(1);
    town.run(100.0);
    town.boot(1, false);
    town.run(4000.0);
    assert_eq!(town.postmaster(1).book().version(), 9);
    let repeat = town.call(1, "POST", REPLACE, 7, &good(9));
    town.run(500.0);
    assert_eq!(town.answer(repeat).map(|(_, reply)| reply.status), Some(200));
}

#[test]
fn the_platform_is_down_for_a_while() {
    let mut town = settled();
    forget_frames(&mut town);
    town.list = None;
    town.run(5000.0);
    town.list = Some(vec![upstream("i-2", false)]);
    let at = town.now;
    town.run(1300.0);
    let gone: Vec<usize> = town.couriers.values().map(|courier| courier.frames.len()).collect();
    assert_eq!(gone, [1, 1, 1], "one word to each courier when it is back, and none before");
    assert!((1..=3).all(|house| town.fetches_since(house, at) < 6));
}
