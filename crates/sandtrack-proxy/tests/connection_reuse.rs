//! Two exchanges one after the other on one connection: what is left of the first never gets to the second's client.
use sandtrack_proxy::exchange::attempt::head_facts;
use sandtrack_proxy::exchange::state::{
    Action, AnswerId, Exchange, Final, HeadFacts, Input, SendEvent, Terms,
};
use sandtrack_proxy::placement::balancer::Ended;
use sandtrack_proxy::policy::Policy;
use sandtrack_proxy::upstream_connections::pool::{kept_for, may_use_idle};
use sandtrack_proxy::upstream_connections::response_error::ResponseError;
use sandtrack_sidecar_core::message::{Head, Headers};

const READ_ONLY: Terms = Terms {
    idempotent: true,
    streaming: false,
    attempts: 2,
};
const MUTATING: Terms = Terms {
    idempotent: false,
    streaming: false,
    attempts: 2,
};

/// A response's head with these headers.
fn head(status: u16, keep_alive: bool, headers: &[(&str, &str)]) -> Head {
    let all = Headers(
        headers
            .iter()
            .map(|(name, value)| (name.to_string(), value.to_string()))
            .collect(),
    );
    let (method, target) = (String::new(), String::new());
    Head {
        method,
        target,
        status,
        headers: all,
        keep_alive,
        chunks: true,
    }
}

fn own_head() -> HeadFacts {
    head_facts(
        &head(200, true, &[("Request-Id", "r1"), ("Server-Seal", "s")]),
        "r1",
        &Policy::default(),
    )
}

/// The exchange was placed, and its request is written on a connection.
fn written(terms: Terms, reused: bool) -> Exchange {
    let mut exchange = Exchange::new(terms);
    exchange.on(Input::Placed(0));
    exchange.on(Input::Send(0, SendEvent::Connected { reused }));
    exchange.on(Input::Send(0, SendEvent::Written));
    exchange
}

/// What may be left of the first exchange on its connection, as the second one's head would show it.
fn left_overs() -> Vec<HeadFacts> {
    [
        head(200, true, &[("Request-Id", "r1"), ("Server-Seal", "s")]),
        head(500, true, &[("Request-Id", "r1"), ("Server-Seal", "s")]),
        head(503, true, &[("Request-Id", "r1"), ("Not-Executed", "1")]),
        head(421, true, &[("Request-Id", "r1")]),
        // A probe's answer, and a refusal that names nobody.
        head(200, true, &[("Instance-Id", "i-1")]),
        head(503, true, &[("Not-Executed", "1")]),
    ]
    .iter()
    .map(|head| head_facts(head, "r2", &Policy::default()))
    .collect()
}

#[test]
fn a_surplus_behind_the_first_answer_closes_the_connection() {
    for (surplus, expected) in [
        (true, Action::Close(0, Ended::Answered)),
        (false, Action::Pool(0, Ended::Answered)),
    ] {
        let mut exchange = written(READ_ONLY, false);
        exchange.on(Input::Send(0, SendEvent::Head(own_head())));
        let actions = exchange.on(Input::Send(0, SendEvent::End { surplus }));
        assert!(actions.contains(&expected), "{actions:?}");
        assert!(
            actions.contains(&Action::Finish(Final::Whole(0))),
            "the first client is answered"
        );
    }
}

#[test]
fn what_comes_while_it_is_idle_closes_the_connection() {
    assert!(may_use_idle(true, 100.0, 101.0));
    assert!(
        !may_use_idle(false, 100.0, 101.0),
        "something came, or its end"
    );
    assert!(
        !may_use_idle(true, 101.0, 101.0),
        "its upstream may be closing it"
    );
}

/// It comes after the second request was written: neither an answer to it nor a promise for it.
#[test]
fn a_late_surplus_in_the_place_of_the_second_answer_is_not_passed_on() {
    for left_over in left_overs() {
        for terms in [READ_ONLY, MUTATING] {
            let mut exchange = written(terms, true);
            let actions = exchange.on(Input::Send(0, SendEvent::Head(left_over)));
            assert_eq!(actions[0], Action::Close(0, Ended::Faulty), "{left_over:?}");
            if terms.idempotent {
                assert_eq!(actions.len(), 1, "it goes elsewhere");
                let placed = exchange.on(Input::Placed(1));
                assert!(
                    matches!(placed[..], [Action::Start { place: 1, .. }]),
                    "{placed:?}"
                );
            } else {
                let [_, Action::Finish(Final::Own {
                    status: 502,
                    promise: false,
                    ..
                })] = actions[..]
                else {
                    panic!("{actions:?}");
                };
            }
        }
    }
}

/// It closes as the second request is written: an upstream that says nothing may have run it all the same.
#[test]
fn a_connection_that_closes_under_the_second_request_is_no_promise() {
    for event in [
        SendEvent::WriteFailed,
        SendEvent::Broke(ResponseError::ConnectionLost),
    ] {
        for (terms, may_go_on) in [(READ_ONLY, true), (MUTATING, false)] {
            let mut exchange = Exchange::new(terms);
            let start = exchange.on(Input::Placed(0));
            let [Action::Start { reuse, .. }] = start[..] else {
                panic!("{start:?}")
            };
            assert_eq!(
                reuse, terms.idempotent,
                "what may run once goes on a fresh connection"
            );
            exchange.on(Input::Send(0, SendEvent::Connected { reused: reuse }));
            let actions = exchange.on(Input::Send(0, event.clone()));
            let refused = actions.iter().find_map(|action| match action {
                Action::Finish(Final::Own {
                    status, promise, ..
                }) => Some((*status, *promise)),
                _ => None,
            });
            assert_eq!(refused, (!may_go_on).then_some((502, false)), "{actions:?}");
        }
    }
}

#[test]
fn a_connection_is_kept_for_less_than_its_upstream_keeps_it() {
    let kept = |keep_alive, headers: &[(&str, &str)]| {
        kept_for(&head(200, keep_alive, headers), &Policy::default())
    };
    assert_eq!(
        kept(true, &[("Keep-Alive", "timeout=5, max=100")]),
        Some(4300.0)
    );
    assert_eq!(kept(true, &[("Keep-Alive", "timeout=60")]), Some(12_000.0));
    assert_eq!(kept(true, &[]), Some(12_000.0));
    assert_eq!(kept(true, &[("Keep-Alive", "timeout=0")]), None);
    assert_eq!(kept(false, &[("Keep-Alive", "timeout=60")]), None);
}

#[test]
fn an_answers_id_tells_whose_it_is() {
    let id = |headers: &[(&str, &str)]| {
        head_facts(&head(200, true, headers), "r2", &Policy::default()).id
    };
    assert_eq!(id(&[("Request-Id", "r2")]), AnswerId::Own);
    assert_eq!(id(&[("Request-Id", "r1")]), AnswerId::Other);
    assert_eq!(id(&[("Request-Id", "r22")]), AnswerId::Other);
    assert_eq!(id(&[]), AnswerId::Missing);
}
