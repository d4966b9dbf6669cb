//! Two exchanges one after the other on one connection: what is left of the first never gets to the second's client.
use futures_lite::future;
use sandtrack_proxy::exchange::attempt::summarize_head;
use sandtrack_proxy::exchange::state::{
    Action, AttemptEvent, Exchange, ExchangeParams, FinalResponse, HeadSummary, Input,
    ResponseOwner,
};
use sandtrack_proxy::placement::balancer::SendOutcome;
use sandtrack_proxy::policy::Policy;
use sandtrack_proxy::upstream_connections::pool::{
    connect, idle_timeout, is_reusable, Connection, ConnectionId, ConnectionPool,
};
use sandtrack_proxy::upstream_connections::response_error::ResponseError;
use sandtrack_sidecar_core::message::{Head, Headers};
use std::cell::RefCell;
use std::net::TcpListener;
use std::rc::Rc;

const READ_ONLY: ExchangeParams = ExchangeParams {
    idempotent: true,
    streaming: false,
    max_attempts: 2,
    client_resumes: false,
};
const MUTATING: ExchangeParams = ExchangeParams {
    idempotent: false,
    streaming: false,
    max_attempts: 2,
    client_resumes: false,
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

fn own_head() -> HeadSummary {
    summarize_head(
        &head(200, true, &[("Request-Id", "r1"), ("Server-Seal", "s")]),
        "r1",
        &Policy::default(),
    )
}

/// The exchange was placed, and its request is written on a connection.
fn written(params: ExchangeParams, reused: bool) -> Exchange {
    let mut exchange = Exchange::new(params);
    exchange.handle(Input::UpstreamSelected(0));
    exchange.handle(Input::Attempt(0, AttemptEvent::Connected { reused }));
    exchange.handle(Input::Attempt(0, AttemptEvent::RequestWritten));
    exchange
}

/// What may be left of the first exchange on its connection, as the second one's head would show it.
fn left_overs() -> Vec<HeadSummary> {
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
    .map(|head| summarize_head(head, "r2", &Policy::default()))
    .collect()
}

#[test]
fn bytes_behind_a_complete_response_close_the_connection() {
    for (trailing_bytes, expected) in [
        (true, Action::CloseConnection(0, SendOutcome::Completed)),
        (false, Action::ReleaseConnection(0, SendOutcome::Completed)),
    ] {
        let mut exchange = written(READ_ONLY, false);
        exchange.handle(Input::Attempt(0, AttemptEvent::Head(own_head())));
        let actions = exchange.handle(Input::Attempt(0, AttemptEvent::BodyEnd { trailing_bytes }));
        assert!(actions.contains(&expected), "{actions:?}");
        assert!(
            actions.contains(&Action::Finish(FinalResponse::Complete(0))),
            "the first client is answered"
        );
    }
}

#[test]
fn bytes_on_an_idle_connection_close_it() {
    assert!(is_reusable(true, 100.0, 101.0));
    assert!(
        !is_reusable(false, 100.0, 101.0),
        "something came, or its end"
    );
    assert!(
        !is_reusable(true, 101.0, 101.0),
        "its upstream may be closing it"
    );
}

/// It comes after the second request was written: neither an answer to it nor a promise for it.
#[test]
fn a_late_surplus_response_in_place_of_the_second_is_not_forwarded() {
    for left_over in left_overs() {
        for params in [READ_ONLY, MUTATING] {
            let mut exchange = written(params, true);
            let actions = exchange.handle(Input::Attempt(0, AttemptEvent::Head(left_over)));
            assert_eq!(
                actions[0],
                Action::CloseConnection(0, SendOutcome::ServerError),
                "{left_over:?}"
            );
            if params.idempotent {
                assert_eq!(actions.len(), 1, "it goes elsewhere");
                let placed = exchange.handle(Input::UpstreamSelected(1));
                assert!(
                    matches!(placed[..], [Action::Start { upstream: 1, .. }]),
                    "{placed:?}"
                );
            } else {
                let [_, Action::Finish(FinalResponse::Local {
                    status: 502,
                    retryable: false,
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
fn a_connection_that_closes_under_the_second_request_may_have_executed_it() {
    for event in [
        AttemptEvent::WriteFailed,
        AttemptEvent::ResponseFailed(ResponseError::ConnectionLost),
    ] {
        for (params, may_go_on) in [(READ_ONLY, true), (MUTATING, false)] {
            let mut exchange = Exchange::new(params);
            let start = exchange.handle(Input::UpstreamSelected(0));
            let [Action::Start {
                may_reuse_connection,
                ..
            }] = start[..]
            else {
                panic!("{start:?}")
            };
            assert_eq!(
                may_reuse_connection, params.idempotent,
                "what may run once goes on a fresh connection"
            );
            exchange.handle(Input::Attempt(
                0,
                AttemptEvent::Connected {
                    reused: may_reuse_connection,
                },
            ));
            let actions = exchange.handle(Input::Attempt(0, event.clone()));
            let refused = actions.iter().find_map(|action| match action {
                Action::Finish(FinalResponse::Local {
                    status, retryable, ..
                }) => Some((*status, *retryable)),
                _ => None,
            });
            assert_eq!(refused, (!may_go_on).then_some((502, false)), "{actions:?}");
        }
    }
}

#[test]
fn the_idle_timeout_is_below_the_upstreams_keep_alive() {
    let kept = |keep_alive, headers: &[(&str, &str)]| {
        idle_timeout(&head(200, keep_alive, headers), &Policy::default())
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
fn a_response_belongs_to_the_request_with_its_id() {
    let owner = |headers: &[(&str, &str)]| {
        summarize_head(&head(200, true, headers), "r2", &Policy::default()).owner
    };
    assert_eq!(owner(&[("Request-Id", "r2")]), ResponseOwner::ThisRequest);
    assert_eq!(owner(&[("Request-Id", "r1")]), ResponseOwner::OtherRequest);
    assert_eq!(owner(&[("Request-Id", "r22")]), ResponseOwner::OtherRequest);
    assert_eq!(owner(&[]), ResponseOwner::Unidentified);
}

const UPSTREAM: &str = "i-1";
const CONNECT_TIMEOUT_MS: f64 = 5000.0;

/// Opens connections to a listener; returns them with it.
fn open_connections(
    pool: &RefCell<ConnectionPool>,
    count: usize,
) -> (TcpListener, Vec<Connection>) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap().to_string();
    let open = || {
        let connecting = connect(pool, UPSTREAM, &address, CONNECT_TIMEOUT_MS);
        future::block_on(connecting).unwrap()
    };
    let connections = (0..count).map(|_| open()).collect();
    (listener, connections)
}

/// Guards against a second send of a request on the connection of its first one, and against a fix that closes that
/// connection: it stays in the pool, and the next request takes it.
#[test]
fn an_excluded_connection_stays_in_the_pool() {
    let pool = RefCell::new(ConnectionPool::new(Rc::new(Policy::default())));
    let (_listener, connections) = open_connections(&pool, 3);
    let ids: Vec<ConnectionId> = connections.iter().map(|connection| connection.id).collect();
    let mut pool = pool.into_inner();
    for connection in connections {
        pool.release(UPSTREAM, connection, &head(503, true, &[]), 0.0);
    }
    let mut take = |excluded: &[ConnectionId]| {
        let connection = pool.take_idle(UPSTREAM, excluded, 1.0)?;
        let id = connection.id;
        pool.release(UPSTREAM, connection, &head(200, true, &[]), 1.0);
        Some(id)
    };
    assert_eq!(take(&[ids[2]]), Some(ids[1]));
    assert_eq!(take(&ids[..2]), Some(ids[2]));
    assert_eq!(take(&ids), None);
    assert_eq!(take(&[]), Some(ids[2]));
    assert_eq!(pool.open_connections(UPSTREAM), 3);
}
