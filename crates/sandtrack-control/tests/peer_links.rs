//! Links between control nodes: which of two stands, when they are opened anew, and the journal that tells what is new.
use sandtrack_control::event_log::EventLog;
use sandtrack_control::peers::{Hello, LinkAction, LinkEvent, PeerFrame, Peers, FORMAT};

fn peers(address: &str, incarnation: u64) -> Peers {
    let me = Hello {
        format: FORMAT,
        address: address.to_owned(),
        incarnation,
        ..Hello::default()
    };
    Peers::new(me, 0.0)
}

fn dials(actions: &[LinkAction]) -> Vec<u64> {
    let dial = |order: &LinkAction| match order {
        LinkAction::Dial { link, .. } => Some(*link),
        _ => None,
    };
    actions.iter().filter_map(dial).collect()
}

fn closes(actions: &[LinkAction]) -> Vec<u64> {
    let close = |order: &LinkAction| match order {
        LinkAction::Close { link } => Some(*link),
        _ => None,
    };
    actions.iter().filter_map(close).collect()
}

/// Dials that come due up to `until`, looked at each 10 ms.
fn dialed(peers: &mut Peers, from: f64, until: f64) -> Option<(f64, u64)> {
    let mut now = from;
    while now <= until {
        let mut actions = Vec::new();
        peers.tick(now, &mut actions);
        if let Some(link) = dials(&actions).first() {
            return Some((now, *link));
        }
        now += 10.0;
    }
    None
}

#[test]
fn the_lower_address_dials_first() {
    let (mut a, mut b) = (peers("a", 1), peers("b", 1));
    a.set_wanted(0.0, ["a", "b"].into_iter());
    b.set_wanted(0.0, ["a", "b"].into_iter());
    assert_eq!(dialed(&mut a, 0.0, 1000.0).map(|(at, _)| at), Some(0.0));
    assert_eq!(dialed(&mut b, 0.0, 1000.0).map(|(at, _)| at), Some(250.0));
    assert_eq!(dialed(&mut a, 10.0, 800.0), None, "one at a time");
}

#[test]
fn of_two_links_the_one_dialed_by_the_lower_address_survives() {
    // (link dialed by a, link dialed by b) come up in either order at either end.
    for a_first_at_a in [true, false] {
        for a_first_at_b in [true, false] {
            let (mut a, mut b) = (peers("a", 1), peers("b", 1));
            a.set_wanted(0.0, ["b"].into_iter());
            b.set_wanted(0.0, ["a"].into_iter());
            let (_, a_dialed) = dialed(&mut a, 0.0, 1000.0).expect("a dials");
            let (_, b_dialed) = dialed(&mut b, 0.0, 1000.0).expect("b dials");
            let (a_accepted, b_accepted) = (a.accepted(0.0), b.accepted(0.0));
            let meet = |peers: &mut Peers, links: [u64; 2], other: Hello| {
                let mut actions = Vec::new();
                for link in links {
                    peers.hello(1.0, link, other.clone(), &mut actions);
                }
                closes(&actions)
            };
            let at_a = if a_first_at_a {
                [a_dialed, a_accepted]
            } else {
                [a_accepted, a_dialed]
            };
            let at_b = if a_first_at_b {
                [b_accepted, b_dialed]
            } else {
                [b_dialed, b_accepted]
            };
            let (a_hello, b_hello) = (a.me.clone(), b.me.clone());
            assert_eq!(meet(&mut a, at_a, b_hello), [a_accepted]);
            assert_eq!(meet(&mut b, at_b, a_hello), [b_dialed]);
            assert_eq!(a.link_to("b"), Some(a_dialed));
            assert_eq!(b.link_to("a"), Some(b_accepted));
        }
    }
}

#[test]
fn a_new_incarnation_replaces_the_old_one() {
    let mut a = peers("a", 1);
    a.set_wanted(0.0, ["b"].into_iter());
    let (_, old) = dialed(&mut a, 0.0, 100.0).expect("a dials");
    let hello = |incarnation| Hello {
        format: FORMAT,
        address: "b".to_owned(),
        incarnation,
        ..Hello::default()
    };
    let mut actions = Vec::new();
    assert_eq!(
        a.hello(1.0, old, hello(1), &mut actions),
        Some(LinkEvent::Established("b".to_owned()))
    );
    let new = a.accepted(2.0);
    assert_eq!(
        a.hello(2.0, new, hello(2), &mut actions),
        Some(LinkEvent::Established("b".to_owned()))
    );
    assert_eq!(closes(&actions), [old]);
    assert_eq!(
        a.closed(3.0, old),
        None,
        "the end of the old link is no loss"
    );
    assert_eq!(a.link_to("b"), Some(new));
    assert_eq!(a.closed(4.0, new), Some(LinkEvent::Lost("b".to_owned())));
    assert_eq!(dialed(&mut a, 4.0, 1000.0).map(|(at, _)| at), Some(104.0));
}

#[test]
fn a_link_that_timed_out_is_closed_and_dialed_again() {
    let mut a = peers("a", 1);
    a.set_wanted(0.0, ["b"].into_iter());
    let (_, link) = dialed(&mut a, 0.0, 100.0).expect("a dials");
    let hello = Hello {
        format: FORMAT,
        address: "b".to_owned(),
        incarnation: 1,
        ..Hello::default()
    };
    a.hello(10.0, link, hello, &mut Vec::new());
    assert_eq!(a.frame_received(500.0, link), Some("b".to_owned()));
    assert!(a.is_seen(1400.0, "b", 900.0) && !a.is_seen(1401.0, "b", 900.0));
    let mut actions = Vec::new();
    assert_eq!(a.tick(1400.0, &mut actions).0, []);
    assert_eq!(
        a.tick(1401.0, &mut actions).0,
        [LinkEvent::Lost("b".to_owned())]
    );
    assert_eq!(closes(&actions), [link]);
    assert_eq!(a.frame_received(1402.0, link), None);
    assert_eq!(
        dialed(&mut a, 1402.0, 3000.0).map(|(at, _)| at),
        Some(1502.0)
    );
    // One that hangs as it is opened is given up in the same way.
    assert_eq!(
        dialed(&mut a, 1510.0, 5000.0).map(|(at, _)| at),
        Some(2510.0)
    );
}

#[test]
fn strangers_and_this_process_itself_are_no_peers() {
    let mut a = peers("a", 1);
    let refused = |a: &mut Peers, hello: Hello| {
        let link = a.accepted(0.0);
        let mut actions = Vec::new();
        a.opened(0.0, link, &mut actions);
        assert!(matches!(
            &actions[0],
            LinkAction::Send {
                frame: PeerFrame::Hello(_),
                ..
            }
        ));
        a.hello(0.0, link, hello, &mut actions).is_none() && closes(&actions) == [link]
    };
    let me = a.me.clone();
    assert!(refused(&mut a, me));
    assert!(refused(
        &mut a,
        Hello {
            format: FORMAT + 1,
            address: "b".to_owned(),
            ..Hello::default()
        }
    ));
    assert_eq!(a.linked(), []);
    let link = a.accepted(0.0);
    assert_eq!(
        a.frame_received(0.0, link),
        None,
        "nothing counts before it is said from whom it is"
    );
    let mut actions = Vec::new();
    a.opened(0.0, 99, &mut actions);
    assert_eq!(closes(&actions), [99]);
}

#[test]
fn one_that_nobody_names_is_forgotten_after_a_while() {
    let mut a = peers("a", 1);
    a.set_wanted(0.0, ["b", "c"].into_iter());
    for (now, known) in [(59_000.0, 2), (61_000.0, 1)] {
        a.set_wanted(now, ["b"].into_iter());
        assert_eq!(a.all().count(), known);
    }
}

#[test]
fn an_event_log_gives_new_events_or_that_some_were_dropped() {
    let mut journal = EventLog::new(3);
    assert_eq!(
        (journal.end(), journal.since(0).map(Iterator::count)),
        (0, Some(0))
    );
    for event in 0..5 {
        journal.append(event);
    }
    let since = |place| {
        journal
            .since(place)
            .map(|events| events.copied().collect::<Vec<i32>>())
    };
    assert_eq!(journal.end(), 5);
    assert_eq!(
        (since(5), since(3), since(2)),
        (Some(vec![]), Some(vec![3, 4]), Some(vec![2, 3, 4]))
    );
    assert_eq!((since(1), since(6)), (None, None));
}
