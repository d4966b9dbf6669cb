//! Which proxies clients are sent to: choices as an approved transcript, and what the membership says of who is ready.
mod common;
use common::{assert_transcript, message};
use sandtrack_control::directory::{parse_request, response, select_addresses, ClientLocation};
use sandtrack_control::membership::{Member, Membership, SessionEnd};
use sandtrack_control::peers::PeerFrame;
use sandtrack_protocol::frames::{ProxyInfo, ProxyState};

fn proxy(name: &str, zone: &str, region: &str) -> ProxyInfo {
    ProxyInfo {
        node_name: name.to_owned(),
        incarnation: 1,
        zone: zone.to_owned(),
        region: region.to_owned(),
        client_address: format!("{name}:8161"),
    }
}

fn member(name: &str, zone: &str, state: ProxyState) -> Member {
    Member {
        info: proxy(name, zone, "ishikari"),
        state,
    }
}

const READY: ProxyState = ProxyState {
    ready: true,
    draining: false,
    version: 7,
    requests_in_flight: 0,
};
const LEAVING: ProxyState = ProxyState {
    ready: true,
    draining: true,
    version: 7,
    requests_in_flight: 0,
};
const STARTING: ProxyState = ProxyState {
    ready: false,
    draining: false,
    version: 0,
    requests_in_flight: 0,
};

#[test]
fn clients_are_sent_to_their_zone_while_enough_of_it_is_there() {
    let zones = [
        ("odori", "ishikari"),
        ("kita", "ishikari"),
        ("asahi", "kamikawa"),
    ];
    let all: Vec<ProxyInfo> = zones
        .iter()
        .flat_map(|(zone, region)| {
            let count = if *zone == "asahi" { 8 } else { 4 };
            (1..=count).map(move |at| proxy(&format!("{zone}-{at}"), zone, region))
        })
        .collect();
    let mut transcript = String::new();
    let mut ask = |what: &str, gone: &[&str], zone: &str, region: &str| {
        let ready: Vec<&ProxyInfo> = all
            .iter()
            .filter(|info| !gone.iter().any(|gone| info.node_name.starts_with(gone)))
            .collect();
        let place = ClientLocation {
            zone: zone.to_owned(),
            region: region.to_owned(),
        };
        let reply = response(&select_addresses(&place, &ready, 3, 2, 1));
        transcript.push_str(&format!(
            "# {what}\n{zone}, {region}, without {gone:?}\n-> {} {}\n\n",
            reply.status, reply.body
        ));
    };
    ask("its own zone", &[], "odori", "ishikari");
    ask(
        "half of the zone is left",
        &["odori-1", "odori-2"],
        "odori",
        "ishikari",
    );
    ask(
        "too little of the zone is left: its region",
        &["odori-1", "odori-2", "odori-3"],
        "odori",
        "ishikari",
    );
    ask(
        "the zone is lost: its region",
        &["odori"],
        "odori",
        "ishikari",
    );
    ask("the region is lost: all", &["asahi"], "asahi", "kamikawa");
    ask(
        "too little of the region is left: all",
        &["odori", "kita-1", "kita-2", "kita-3"],
        "odori",
        "ishikari",
    );
    ask(
        "an unknown zone of a known region",
        &[],
        "minami",
        "ishikari",
    );
    ask("a place that is not known", &[], "", "");
    let but_one = [
        "odori", "kita", "asahi-2", "asahi-3", "asahi-4", "asahi-5", "asahi-6", "asahi-7",
        "asahi-8",
    ];
    ask("the last one", &but_one, "odori", "ishikari");
    ask("nobody", &["odori", "kita", "asahi"], "odori", "ishikari");
    assert_transcript("directory-choices", &transcript);
}

#[test]
fn where_there_are_many_each_answer_begins_elsewhere() {
    let all: Vec<ProxyInfo> = (0..100)
        .map(|at| proxy(&format!("c{at:03}"), "odori", "ishikari"))
        .collect();
    let ready: Vec<&ProxyInfo> = all.iter().collect();
    let place = ClientLocation {
        zone: "odori".to_owned(),
        region: "ishikari".to_owned(),
    };
    let mut told = std::collections::BTreeMap::new();
    for turn in 0..100 {
        let chosen = select_addresses(&place, &ready, 1, 1, turn);
        assert_eq!(chosen.len(), 64);
        chosen
            .into_iter()
            .for_each(|address| *told.entry(address.to_owned()).or_insert(0) += 1);
    }
    assert_eq!(told.len(), 100);
    assert!(
        told.values().all(|count| (60..=68).contains(count)),
        "all about as often: {told:?}"
    );
}

#[test]
fn a_call_names_its_place_or_is_answered_all_the_same() {
    let decoded = |target: &str| parse_request(&message("GET", target, &[], "").head);
    let place = decoded("/v1/resolution?name=ficu95.example&region=ishikari&zone=odori%2Dhall")
        .expect("a place");
    assert_eq!(
        place,
        ClientLocation {
            zone: "odori-hall".to_owned(),
            region: "ishikari".to_owned()
        }
    );
    assert_eq!(decoded("/v1/resolution"), Ok(ClientLocation::default()));
    assert_eq!(
        decoded("/v1/resolution?zone=%zz&region&name="),
        Ok(ClientLocation {
            zone: "%zz".to_owned(),
            region: String::new()
        })
    );
    assert_eq!(decoded("/v1/other").expect_err("no such path").status, 404);
    let post = parse_request(&message("POST", "/v1/resolution", &[], "").head);
    assert_eq!(post.expect_err("a wrong method").status, 405);
}

#[test]
fn draining_and_disconnected_proxies_leave_the_directory_at_once() {
    let mut membership = Membership::default();
    for name in ["a", "b", "c"] {
        membership.set_local(member(name, "odori", READY));
    }
    membership.set_local(member("d", "odori", STARTING));
    let ready = |membership: &Membership, now: f64| -> String {
        membership
            .ready(now)
            .iter()
            .map(|info| info.node_name.as_str())
            .collect::<Vec<_>>()
            .join(" ")
    };
    assert_eq!(ready(&membership, 0.0), "a b c");
    membership.set_local(member("a", "odori", LEAVING));
    assert_eq!(ready(&membership, 0.0), "b c");
    membership.session_ended(0.0, "b", SessionEnd::Disconnected);
    assert_eq!(ready(&membership, 0.0), "c");
    membership.apply_sessions(
        0.0,
        "other",
        true,
        vec![member("e", "kita", READY), member("a", "odori", READY)],
        &[],
    );
    assert_eq!(
        ready(&membership, 0.0),
        "c e",
        "its own session says more than another's report"
    );
    membership.apply_sessions(
        10.0,
        "other",
        false,
        vec![member("e", "kita", LEAVING)],
        &[],
    );
    assert_eq!(ready(&membership, 10.0), "c");
}

#[test]
fn sessions_of_a_lost_control_node_are_kept_for_a_while() {
    let mut membership = Membership::default();
    membership.set_local(member("a", "odori", READY));
    membership.apply_sessions(0.0, "other", true, vec![member("b", "kita", READY)], &[]);
    membership.control_node_lost(1000.0, "other");
    let names = |membership: &Membership, now: f64| {
        let ready: Vec<String> = membership
            .ready(now)
            .iter()
            .map(|info| info.node_name.clone())
            .collect();
        (ready.join(" "), membership.members().len())
    };
    assert_eq!(names(&membership, 2000.0), ("a b".to_owned(), 2));
    assert_eq!(
        names(&membership, 3000.0),
        ("a".to_owned(), 2),
        "still a member, but nobody is sent to it"
    );
    // It was told to stop, and ends: it is counted no more.
    membership.set_local(member("a", "odori", LEAVING));
    membership.session_ended(3000.0, "a", SessionEnd::Disconnected);
    assert_eq!(
        names(&membership, 3000.0),
        ("b".to_owned(), 1),
        "better than nobody"
    );
    membership.tick(5000.0);
    assert_eq!(
        names(&membership, 5000.0),
        (String::new(), 1),
        "it may be cut off, and has its share all the same"
    );
    membership.tick(30_999.0);
    assert_eq!(names(&membership, 30_999.0).1, 1);
    membership.tick(31_000.0);
    assert_eq!(names(&membership, 31_000.0), (String::new(), 0));
}

#[test]
fn a_proxy_that_came_to_another_control_node_counts_once_as_it_is_there() {
    let mut membership = Membership::default();
    membership.apply_sessions(0.0, "one", true, vec![member("a", "odori", READY)], &[]);
    membership.control_node_lost(100.0, "one");
    membership.apply_sessions(
        400.0,
        "two",
        true,
        vec![member("a", "odori", STARTING)],
        &[],
    );
    assert_eq!(membership.members().len(), 1);
    assert!(
        membership.ready(500.0).is_empty(),
        "the later report counts"
    );
    membership.apply_sessions(600.0, "one", true, vec![], &[]);
    assert_eq!(membership.members().len(), 1);
}

#[test]
fn session_updates_add_up_to_the_same_digest() {
    let (mut here, mut there) = (Membership::default(), Membership::default());
    let pass = |here: &Membership, there: &mut Membership, place: Option<u64>| {
        let PeerFrame::Sessions {
            is_complete,
            present,
            removed,
        } = here.frame_since(place)
        else {
            panic!("no sessions")
        };
        there.apply_sessions(0.0, "here", is_complete, present, &removed);
        assert_eq!(here.digest(), there.remote_digest("here"));
        Some(here.end())
    };
    here.set_local(member("a", "odori", READY));
    let mut place = pass(&here, &mut there, None);
    here.set_local(member("b", "odori", STARTING));
    here.set_local(member(
        "a",
        "odori",
        ProxyState {
            requests_in_flight: 12,
            ..READY
        },
    ));
    assert_eq!(here.end(), 2, "how much is in hand is nothing to pass on");
    place = pass(&here, &mut there, place);
    here.session_ended(0.0, "a", SessionEnd::Disconnected);
    here.set_local(member("b", "odori", READY));
    place = pass(&here, &mut there, place);
    here.set_local(member("c", "odori", LEAVING));
    here.session_ended(0.0, "c", SessionEnd::Disconnected);
    place = pass(&here, &mut there, place);
    let ready = |membership: &Membership| membership.ready(0.0).len();
    assert_eq!(
        there.members().keys().collect::<Vec<_>>(),
        [&"a", &"b"],
        "one that broke off is counted on"
    );
    assert_eq!((ready(&there), ready(&here)), (1, 1), "and named by nobody");
    here.tick(2500.0);
    place = pass(&here, &mut there, place);
    assert_eq!(
        there.members().keys().collect::<Vec<_>>(),
        [&"b"],
        "for a while"
    );
    here.session_ended(3000.0, "b", SessionEnd::TimedOut);
    here.tick(32_999.0);
    place = pass(&here, &mut there, place);
    assert_eq!(there.members().len(), 1, "a silent one for longer");
    here.tick(33_000.0);
    pass(&here, &mut there, place);
    assert_eq!(there.members().len(), 0);
}
