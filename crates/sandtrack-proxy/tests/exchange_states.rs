//! Every order of what may happen to one exchange, enumerated: upstreams that run or don't, races, breaks at each step, foreign
//! and surplus answers, streams cut and taken up, clients that leave, time that runs out. A rule is one function; each holds in
//! every script. What an upstream did is known here and not to the exchange: whether it has run is judged by the worst case.
use sandtrack_net::http::BodyDelimiter;
use sandtrack_proxy::exchange::state::{
    indicates_not_executed, Action, AttemptEvent, AttemptId, Exchange, ExchangeParams,
    FinalResponse, HeadSummary, Input, MediaType, Phase, ResponseOwner, MAX_CONCURRENT_ATTEMPTS,
};
use sandtrack_proxy::placement::balancer::SendOutcome;
use sandtrack_proxy::upstream_connections::response_error::ResponseError;
use std::collections::HashSet;

/// Scripts are enumerated one by one up to this many inputs, for each kind and number of attempts.
const SCRIPT_LENGTH: usize = 7;
/// Distinct states are explored up to this many inputs.
const DEPTH: usize = 24;
/// Events of a whole stream.
const LAST_EVENT: u64 = 2;

/// An attempt's connection.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct ConnectionSide {
    may_be_reused: bool,
    reused: bool,
    /// Bytes of the request may have come to the upstream.
    reached: bool,
}

/// The body of an attempt's response.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
struct BodySide {
    complete: bool,
    trailing_bytes: bool,
    /// Half an event was sent last.
    half_event: bool,
}

/// What an upstream has done with an attempt, as it knows itself.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct UpstreamSide {
    upstream: usize,
    connection: ConnectionSide,
    /// All of the request was written.
    written: bool,
    /// It answered that the request was not executed, and spoke of this request.
    denied: bool,
    head: Option<HeadSummary>,
    body: BodySide,
    /// Of a stream: the id of the last event that it sent.
    event: u64,
    /// It sends its events from the start, or behind an id, as asked.
    resume_after: Option<u64>,
}

impl UpstreamSide {
    /// All that it sent is its answer to this request.
    fn is_own(&self) -> bool {
        self.head.is_some_and(|head| {
            head.owner == ResponseOwner::ThisRequest
                || head.owner == ResponseOwner::Unidentified
                    && head.was_not_executed()
                    && !self.connection.reused
        })
    }

    /// Its stream ended before its last event.
    fn is_truncated_stream(&self, params: ExchangeParams) -> bool {
        let is_stream = self
            .head
            .is_some_and(|head| params.relays(head.status) && !head.was_not_executed());
        is_stream && (self.body.half_event || self.event < LAST_EVENT)
    }
}

/// One exchange with all that its surroundings know.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct World {
    params: ExchangeParams,
    /// Whether its stream's events have ids.
    numbered: bool,
    exchange: Exchange,
    /// Sends under way.
    attempts: [Option<UpstreamSide>; MAX_CONCURRENT_ATTEMPTS],
    /// The attempt that was over last, with a whole answer.
    last_whole: Option<UpstreamSide>,
    kept_failure: Option<UpstreamSide>,
    /// Upstreams that may run the request or have run it.
    runs: u32,
    /// Sends that reached an upstream or may still.
    upstreams: u32,
    /// Bytes of events that the client has.
    got: Vec<u8>,
    begun: bool,
    finals: u32,
    /// A rule that is broken.
    broken: Option<String>,
}

/// A rule, looked at before each action is done.
type Rule = fn(&World, &Action) -> Result<(), String>;

fn rule(holds: bool, what: impl FnOnce() -> String) -> Result<(), String> {
    if holds {
        Ok(())
    } else {
        Err(what())
    }
}

/// MIXED: a client gets no bytes of another request's answer, no success without a seal, and no failure as a success.
fn mixed(world: &World, action: &Action) -> Result<(), String> {
    let proper = |side: &UpstreamSide| {
        let head = side.head.expect("an answer has a head");
        let success = (200..300).contains(&head.status);
        side.is_own() && (!success || head.sealed) && !side.denied
    };
    match action {
        Action::Relay { id, with_head, .. } => {
            let side = world.attempts[*id]
                .as_ref()
                .ok_or("bytes of an attempt that is over")?;
            rule(proper(side), || {
                format!("relays what is no answer to it: {side:?}")
            })?;
            rule(side.head.is_some_and(|head| head.status == 200), || {
                "a failure as a stream".to_owned()
            })?;
            rule(*with_head != world.begun, || {
                "a head in the middle, or none at the start".to_owned()
            })
        }
        Action::Finish(FinalResponse::Complete(_)) => {
            let side = world
                .last_whole
                .as_ref()
                .ok_or("an answer that is not whole")?;
            rule(proper(side) && !world.begun, || {
                format!("passes on what is no answer: {side:?}")
            })
        }
        Action::Finish(FinalResponse::UpstreamFailure) => {
            let side = world
                .kept_failure
                .as_ref()
                .ok_or("a failure that nobody gave")?;
            rule(proper(side) && !world.begun, || {
                format!("passes on what is no answer: {side:?}")
            })
        }
        Action::Finish(FinalResponse::Local { .. }) => rule(!world.begun, || {
            "an answer in the middle of another".to_owned()
        }),
        _ => Ok(()),
    }
}

/// TWICE: what may run once is sent only where no upstream may run it or have run it.
fn twice(world: &World, action: &Action) -> Result<(), String> {
    let Action::Start { .. } = action else {
        return Ok(());
    };
    let under_way = world.attempts.iter().flatten().count();
    rule(
        world.params.idempotent || world.runs == 0 && under_way == 0,
        || "sent while it may run".to_owned(),
    )
}

/// TWICE: what may run once goes on a fresh connection, never on one that its upstream may be closing.
fn fresh(world: &World, action: &Action) -> Result<(), String> {
    let Action::Start {
        may_reuse_connection,
        ..
    } = action
    else {
        return Ok(());
    };
    rule(world.params.idempotent || !may_reuse_connection, || {
        "on a connection that may be closing".to_owned()
    })
}

/// REFUSED: no promise for what may have run or may run yet.
fn refused(world: &World, action: &Action) -> Result<(), String> {
    let status = match action {
        Action::Finish(FinalResponse::Local {
            status, retryable, ..
        }) => {
            rule(*retryable == indicates_not_executed(*status), || {
                "when to come back, and no promise".to_owned()
            })?;
            *status
        }
        Action::Finish(FinalResponse::Complete(_)) => head_status(&world.last_whole),
        Action::Finish(FinalResponse::UpstreamFailure) => head_status(&world.kept_failure),
        _ => return Ok(()),
    };
    rule(!indicates_not_executed(status) || world.runs == 0, || {
        format!("{status} for what may have run")
    })
}

/// Given up before it ran: the client is told so, and may come back.
fn promised(world: &World, action: &Action) -> Result<(), String> {
    let Action::Finish(FinalResponse::Local { retryable, .. }) = action else {
        return Ok(());
    };
    rule(*retryable || world.runs > 0, || {
        "no promise for what has not run".to_owned()
    })
}

/// BUDGET: no more upstreams than `attempts`; one that no byte reached does not count.
fn budget(world: &World, action: &Action) -> Result<(), String> {
    let Action::Start { .. } = action else {
        return Ok(());
    };
    rule(world.upstreams < world.params.max_attempts.max(1), || {
        "more upstreams than attempts".to_owned()
    })
}

/// ORDER: events come once each, in order, none missing; a stream ends as complete only behind its last.
fn order(world: &World, action: &Action) -> Result<(), String> {
    let Action::Relay { bytes, is_last, .. } = action else {
        return Ok(());
    };
    let mut got = world.got.clone();
    got.extend(bytes);
    let whole: Vec<u8> = (1..=LAST_EVENT)
        .flat_map(|id| event(world.numbered, id))
        .collect();
    rule(whole.starts_with(&got), || {
        format!("out of order: {:?}", String::from_utf8_lossy(&got))
    })?;
    let complete = got == whole;
    rule(!is_last || complete, || {
        "ends as complete before its last event".to_owned()
    })
}

/// MIXED, LOST: what was not complete ends with a closed connection and looks like nothing else.
fn complete(world: &World, action: &Action) -> Result<(), String> {
    match action {
        Action::Finish(FinalResponse::StreamCompleted) => {
            let whole: Vec<u8> = (1..=LAST_EVENT)
                .flat_map(|id| event(world.numbered, id))
                .collect();
            rule(world.begun && world.got == whole, || {
                "a cut stream looks complete".to_owned()
            })
        }
        Action::Finish(FinalResponse::Aborted) => Ok(()),
        Action::Finish(_) => rule(!world.begun, || {
            "something behind a stream that began".to_owned()
        }),
        _ => Ok(()),
    }
}

/// MIXED: a connection is kept only behind a whole answer, with nothing behind that, and where its upstream keeps it.
fn pooled(world: &World, action: &Action) -> Result<(), String> {
    let Action::ReleaseConnection(id, _) = action else {
        return Ok(());
    };
    let side = world.attempts[*id]
        .as_ref()
        .ok_or("a connection that is not its own")?;
    let kept = side.head.is_some_and(|head| head.keep_alive);
    rule(
        side.body.complete && !side.body.trailing_bytes && kept && side.is_own(),
        || format!("kept a connection: {side:?}"),
    )
}

/// The client gets exactly one final answer, and no attempt outlives it.
fn one_final_answer(world: &World, action: &Action) -> Result<(), String> {
    rule(world.finals == 0, || {
        format!("after the final answer: {action:?}")
    })?;
    let Action::Finish(_) = action else {
        return Ok(());
    };
    rule(world.attempts.iter().all(Option::is_none), || {
        "an attempt is left behind".to_owned()
    })
}

/// An upstream is taken for one that answered only behind a whole answer, and for a broken one only where something broke.
fn judged(world: &World, action: &Action) -> Result<(), String> {
    let (Action::ReleaseConnection(id, ended) | Action::CloseConnection(id, ended)) = action else {
        return Ok(());
    };
    let side = world.attempts[*id]
        .as_ref()
        .ok_or("an attempt that is over")?;
    match ended {
        SendOutcome::Completed => rule(side.body.complete && side.is_own() && !side.denied, || {
            "not answered".to_owned()
        }),
        SendOutcome::ConnectionFailed => rule(!side.body.complete, || {
            "whole, and taken for broken".to_owned()
        }),
        _ => Ok(()),
    }
}

const RULES: [(&str, Rule); 11] = [
    ("MIXED: an answer of its own", mixed),
    ("TWICE: never a second run", twice),
    ("TWICE: on a fresh connection", fresh),
    ("REFUSED: no promise for what may run", refused),
    ("Prices: what has not run may come back", promised),
    ("BUDGET: attempts", budget),
    ("ORDER: each event once", order),
    ("LOST: what is cut does not look complete", complete),
    ("MIXED: what is kept is clean", pooled),
    ("one final answer", one_final_answer),
    ("upstreams are judged by what they did", judged),
];

fn head_status(side: &Option<UpstreamSide>) -> u16 {
    side.as_ref()
        .and_then(|side| side.head)
        .map_or(0, |head| head.status)
}

fn event(numbered: bool, id: u64) -> Vec<u8> {
    if numbered {
        format!("id: {id}\ndata: {id}\n\n").into_bytes()
    } else {
        format!("data: {id}\n\n").into_bytes()
    }
}

/// The first half of an event that is not whole.
fn half(numbered: bool, id: u64) -> Vec<u8> {
    let event = event(numbered, id);
    event[..event.len() - 1].to_vec()
}

/// Heads that an upstream may answer with.
fn heads(params: ExchangeParams) -> Vec<HeadSummary> {
    let own = HeadSummary {
        owner: ResponseOwner::ThisRequest,
        status: 200,
        not_executed: false,
        sealed: true,
        keep_alive: true,
        delimiter: BodyDelimiter::Framing,
        media_type: MediaType::Unspecified,
    };
    let mut heads = vec![
        own,
        HeadSummary {
            keep_alive: false,
            ..own
        },
        HeadSummary {
            sealed: false,
            ..own
        },
        HeadSummary {
            owner: ResponseOwner::OtherRequest,
            ..own
        },
        HeadSummary {
            owner: ResponseOwner::Unidentified,
            ..own
        },
        HeadSummary { status: 404, ..own },
        HeadSummary { status: 500, ..own },
        HeadSummary { status: 503, ..own },
        HeadSummary { status: 429, ..own },
        HeadSummary { status: 408, ..own },
        HeadSummary {
            status: 503,
            not_executed: true,
            sealed: false,
            ..own
        },
        HeadSummary {
            status: 421,
            sealed: false,
            ..own
        },
        HeadSummary {
            status: 503,
            not_executed: true,
            sealed: false,
            owner: ResponseOwner::OtherRequest,
            ..own
        },
        HeadSummary {
            status: 400,
            not_executed: true,
            sealed: false,
            owner: ResponseOwner::Unidentified,
            ..own
        },
    ];
    if params.streaming {
        heads.push(HeadSummary { status: 204, ..own });
        heads.push(HeadSummary {
            keep_alive: false,
            delimiter: BodyDelimiter::ConnectionClose,
            media_type: MediaType::EventStream,
            ..own
        });
    }
    heads
}

impl World {
    fn new(params: ExchangeParams, numbered: bool) -> World {
        World {
            params,
            numbered,
            exchange: Exchange::new(params),
            attempts: [None, None],
            last_whole: None,
            kept_failure: None,
            runs: 0,
            upstreams: 0,
            got: Vec::new(),
            begun: false,
            finals: 0,
            broken: None,
        }
    }

    /// All that may happen next.
    fn inputs(&self) -> Vec<Input> {
        if self.finals > 0 {
            return Vec::new();
        }
        let mut inputs = vec![Input::ClientDisconnected];
        if self.exchange.phase() == Phase::SelectingUpstream {
            inputs.extend([
                Input::UpstreamSelected(0),
                Input::NoCapacity,
                Input::DeadlineExceeded,
            ]);
            if self.exchange.needs_retry_budget() {
                inputs.push(Input::RetryBudgetExhausted);
            }
        } else {
            // Offered whether it may be raced or not: the exchange itself is to say no.
            inputs.push(Input::HedgeUpstreamSelected(1));
        }
        for (id, side) in self.attempts.iter().enumerate() {
            if let Some(side) = side {
                inputs.extend(
                    self.events(side)
                        .into_iter()
                        .map(|event| Input::Attempt(id, event)),
                );
            }
        }
        inputs
    }

    fn events(&self, side: &UpstreamSide) -> Vec<AttemptEvent> {
        if !side.connection.reached {
            let mut events = vec![
                AttemptEvent::Connected { reused: false },
                AttemptEvent::ConnectFailed {
                    connection_limit_reached: false,
                },
                AttemptEvent::ConnectFailed {
                    connection_limit_reached: true,
                },
            ];
            if side.connection.may_be_reused {
                events.push(AttemptEvent::Connected { reused: true });
            }
            return events;
        }
        let mut events = vec![
            AttemptEvent::ResponseFailed(ResponseError::ConnectionLost),
            AttemptEvent::ResponseFailed(ResponseError::Malformed),
            AttemptEvent::DeadlineExceeded,
        ];
        if !side.written {
            // Nothing is read before.
            events.extend([AttemptEvent::RequestWritten, AttemptEvent::WriteFailed]);
            return events;
        }
        let Some(head) = side.head else {
            events.extend(heads(self.params).into_iter().map(AttemptEvent::Head));
            return events;
        };
        let end = AttemptEvent::BodyEnd {
            trailing_bytes: false,
        };
        let ends = [
            end.clone(),
            AttemptEvent::BodyEnd {
                trailing_bytes: true,
            },
        ];
        if !self.params.relays(head.status) || head.was_not_executed() {
            events.extend(ends);
            events.push(AttemptEvent::ResponseFailed(ResponseError::OutOfMemory));
            return events;
        }
        if side.event < LAST_EVENT {
            // A crash ends a body without a length. That it ended between two events nobody can tell.
            if head.delimiter == BodyDelimiter::ConnectionClose
                && (side.body.half_event || side.event == 0)
            {
                events.push(end);
            }
            if !side.body.half_event {
                events.push(AttemptEvent::BodyChunk(event(
                    self.numbered,
                    side.event + 1,
                )));
                events.push(AttemptEvent::BodyChunk(half(self.numbered, side.event + 1)));
            } else {
                events.push(AttemptEvent::BodyChunk(b"\n".to_vec()));
            }
            // One that does not know where to go on begins anew.
            if side.resume_after.is_some()
                && side.event == side.resume_after.unwrap_or(0)
                && !side.body.half_event
            {
                events.push(AttemptEvent::BodyChunk(event(self.numbered, 1)));
            }
        } else {
            events.extend(ends);
        }
        events
    }

    /// What the upstream did when this came of it.
    fn note(&mut self, id: AttemptId, event: &AttemptEvent) {
        let (numbered, params) = (self.numbered, self.params);
        let Some(side) = &mut self.attempts[id] else {
            return;
        };
        match event {
            AttemptEvent::Connected { reused } => {
                side.connection.reached = true;
                side.connection.reused = *reused;
                self.runs += 1;
            }
            AttemptEvent::RequestWritten => side.written = true,
            AttemptEvent::ConnectFailed { .. } => self.upstreams -= 1,
            AttemptEvent::Head(head) => {
                side.head = Some(*head);
                if head.was_not_executed() && side.is_own() {
                    side.denied = true;
                    self.runs -= 1;
                }
            }
            AttemptEvent::BodyChunk(bytes) => {
                side.body.half_event = *bytes == half(numbered, side.event + 1);
                if !side.body.half_event && *bytes != event_again(numbered) {
                    side.event += 1;
                } else if !side.body.half_event && side.event == 0 {
                    side.event = 1;
                }
            }
            AttemptEvent::BodyEnd { trailing_bytes } => {
                side.body.complete = !side.is_truncated_stream(params);
                side.body.trailing_bytes = *trailing_bytes;
            }
            _ => {}
        }
    }

    fn take(&mut self, input: Input) {
        if let Input::Attempt(id, event) = &input {
            self.note(*id, event);
        }
        for action in self.exchange.handle(input) {
            for (name, rule) in RULES {
                if let Err(what) = rule(self, &action) {
                    self.broken.get_or_insert(format!("{name}: {what}"));
                }
            }
            self.perform(action);
        }
        if self.finals > 0 && self.exchange.phase() != Phase::Finished {
            self.broken
                .get_or_insert("one final answer: and it goes on".to_owned());
        }
        // Only what is done at once may pass it on.
        self.last_whole = None;
    }

    fn perform(&mut self, action: Action) {
        match action {
            Action::Start {
                id,
                upstream,
                may_reuse_connection,
                resume_after,
            } => {
                self.upstreams += 1;
                self.attempts[id] = Some(UpstreamSide {
                    upstream,
                    connection: ConnectionSide {
                        may_be_reused: may_reuse_connection,
                        reused: false,
                        reached: false,
                    },
                    written: false,
                    denied: false,
                    head: None,
                    body: BodySide::default(),
                    event: resume_after.unwrap_or(0),
                    resume_after,
                });
            }
            Action::Relay { bytes, .. } => {
                self.got.extend(bytes);
                self.begun = true;
            }
            Action::KeepFailure(_) => self.kept_failure = self.last_whole.take(),
            Action::ReleaseConnection(id, _) | Action::CloseConnection(id, _) => {
                self.last_whole = self.attempts[id].take().filter(|side| side.body.complete);
            }
            Action::Abandon(id) => self.attempts[id] = None,
            Action::ApplyLoadReport(_) | Action::RecordLatency(_) => {}
            Action::Finish(_) => self.finals += 1,
        }
    }
}

/// The first event, from one that begins anew though it was asked to go on.
fn event_again(numbered: bool) -> Vec<u8> {
    event(numbered, 1)
}

/// All kinds of routes; streams whose events have ids or not.
fn worlds(attempts: u32) -> Vec<World> {
    let mut worlds = Vec::new();
    for (idempotent, streaming) in [(true, false), (false, false), (true, true), (false, true)] {
        let params = ExchangeParams {
            idempotent,
            streaming,
            max_attempts: attempts,
            client_resumes: false,
        };
        worlds.push(World::new(params, true));
        if streaming {
            worlds.push(World::new(params, false));
        }
    }
    worlds
}

/// Every script of up to `length` inputs, one by one. Counts them.
fn scripts(world: &World, length: usize, script: &mut Vec<Input>, count: &mut u64) {
    *count += 1;
    if length == 0 {
        return;
    }
    for input in world.inputs() {
        let mut next = world.clone();
        next.take(input.clone());
        script.push(input);
        assert_eq!(next.broken, None, "{:?}\nscript: {script:#?}", world.params);
        scripts(&next, length - 1, script, count);
        script.pop();
    }
}

/// What was found of the states that are reached in up to [`DEPTH`] inputs.
#[derive(Debug, Default)]
struct Found {
    /// States without a final answer.
    states: usize,
    steps: usize,
    /// Steps to a final answer.
    ends: usize,
    /// Inputs to the farthest state.
    depth: usize,
}

fn states(start: World) -> Found {
    let mut known: HashSet<World> = HashSet::from([start.clone()]);
    let mut edge = vec![start];
    let (mut steps, mut ends, mut depth) = (0, 0, 0);
    while !edge.is_empty() && depth < DEPTH {
        let mut next_edge = Vec::new();
        for world in &edge {
            for input in world.inputs() {
                steps += 1;
                let mut next = world.clone();
                next.take(input.clone());
                let inputs = depth + 1;
                assert_eq!(
                    next.broken, None,
                    "after {inputs} inputs, of which {input:?} is the last\n{world:#?}"
                );
                // Behind the final answer nothing follows.
                if next.finals > 0 {
                    ends += 1;
                } else if known.insert(next.clone()) {
                    next_edge.push(next);
                }
            }
        }
        depth += usize::from(!next_edge.is_empty());
        edge = next_edge;
    }
    Found {
        states: known.len(),
        steps,
        ends,
        depth,
    }
}

fn explore(attempts: u32) {
    let began = std::time::Instant::now();
    let mut sum = Found::default();
    for found in worlds(attempts).into_iter().map(states) {
        sum.states += found.states;
        sum.steps += found.steps;
        sum.ends += found.ends;
        sum.depth = sum.depth.max(found.depth);
    }
    println!("attempts {attempts}: {sum:?}, {:?}", began.elapsed());
    assert!(sum.depth < DEPTH, "all of them were reached");
}

#[test]
fn every_reachable_state_keeps_the_rules_with_one_attempt() {
    explore(1);
}

#[test]
fn every_reachable_state_keeps_the_rules_with_two_attempts() {
    explore(2);
}

#[test]
fn every_reachable_state_keeps_the_rules_with_three_attempts() {
    explore(3);
}

#[test]
fn every_short_script_keeps_the_rules() {
    let began = std::time::Instant::now();
    let mut count = 0;
    for world in (1..=3).flat_map(worlds) {
        scripts(&world, SCRIPT_LENGTH, &mut Vec::new(), &mut count);
    }
    println!(
        "{count} scripts of up to {SCRIPT_LENGTH} inputs, {:?}",
        began.elapsed()
    );
}

const RESUMABLE: ExchangeParams = ExchangeParams {
    idempotent: true,
    streaming: true,
    max_attempts: 3,
    client_resumes: false,
};

/// The inputs of one attempt up to its head.
fn head_came(id: AttemptId) -> [Input; 3] {
    let own = heads(RESUMABLE)[0];
    [
        AttemptEvent::Connected { reused: false },
        AttemptEvent::RequestWritten,
        AttemptEvent::Head(own),
    ]
    .map(|event| Input::Attempt(id, event))
}

/// What the last of these inputs leads to.
fn outcome(inputs: impl IntoIterator<Item = Input>) -> Vec<Action> {
    let mut exchange = Exchange::new(RESUMABLE);
    inputs
        .into_iter()
        .map(|input| exchange.handle(input))
        .last()
        .unwrap_or_default()
}

/// One that was raced, and whose rival failed, is waited for: a third upstream is not made to work beside it.
#[test]
fn a_silent_attempt_is_hedged_once() {
    let raced = [Input::UpstreamSelected(0), Input::HedgeUpstreamSelected(1)];
    let start = Action::Start {
        id: 1,
        upstream: 1,
        may_reuse_connection: true,
        resume_after: None,
    };
    assert_eq!(outcome(raced.clone()), [start]);
    let failed = Input::Attempt(
        1,
        AttemptEvent::ConnectFailed {
            connection_limit_reached: false,
        },
    );
    assert_eq!(
        outcome(
            raced
                .into_iter()
                .chain([failed, Input::HedgeUpstreamSelected(2)])
        ),
        []
    );
}

/// Guards against a truncated stream that is taken for a complete one where only the end of its connection ended it.
#[test]
fn a_close_delimited_stream_truncated_within_an_event_resumes_behind_its_last_event() {
    let head = HeadSummary {
        delimiter: BodyDelimiter::ConnectionClose,
        keep_alive: false,
        ..heads(RESUMABLE)[0]
    };
    let [connected, written, _] = head_came(0);
    let inputs = [Input::UpstreamSelected(0), connected, written]
        .into_iter()
        .chain([
            Input::Attempt(0, AttemptEvent::Head(head)),
            Input::Attempt(0, AttemptEvent::BodyChunk(event(true, 1))),
            Input::Attempt(0, AttemptEvent::BodyChunk(half(true, 2))),
            Input::Attempt(
                0,
                AttemptEvent::BodyEnd {
                    trailing_bytes: false,
                },
            ),
        ]);
    assert_eq!(
        outcome(inputs.clone()),
        [Action::CloseConnection(0, SendOutcome::ConnectionFailed)]
    );
    assert_eq!(
        outcome(inputs.chain([Input::UpstreamSelected(1)])),
        [Action::Start {
            id: 0,
            upstream: 1,
            may_reuse_connection: true,
            resume_after: Some(1)
        }]
    );
}

#[test]
fn a_broken_stream_resumes_behind_its_last_event() {
    let inputs = [Input::UpstreamSelected(0)]
        .into_iter()
        .chain(head_came(0))
        .chain([
            Input::Attempt(0, AttemptEvent::BodyChunk(event(true, 1))),
            Input::Attempt(
                0,
                AttemptEvent::ResponseFailed(ResponseError::ConnectionLost),
            ),
            Input::UpstreamSelected(1),
        ]);
    assert_eq!(
        outcome(inputs),
        [Action::Start {
            id: 0,
            upstream: 1,
            may_reuse_connection: true,
            resume_after: Some(1)
        }]
    );
}

/// The one that was asked to take a silent stream up goes on with it where the silent one breaks.
#[test]
fn a_silent_stream_that_breaks_leaves_its_hedge_in_flight() {
    let inputs = [Input::UpstreamSelected(0)]
        .into_iter()
        .chain(head_came(0))
        .chain([
            Input::Attempt(0, AttemptEvent::BodyChunk(event(true, 1))),
            Input::HedgeUpstreamSelected(1),
            Input::Attempt(
                0,
                AttemptEvent::ResponseFailed(ResponseError::ConnectionLost),
            ),
        ]);
    let mut exchange = Exchange::new(RESUMABLE);
    let actions = inputs.map(|input| exchange.handle(input)).last();
    assert_eq!(
        actions,
        Some(vec![Action::CloseConnection(
            0,
            SendOutcome::ConnectionFailed
        )])
    );
    assert_eq!(exchange.phase(), Phase::AwaitingResponse);
}

/// With one attempt: what never got a byte may still go to another upstream.
#[test]
fn a_connection_that_was_never_established_is_no_attempt() {
    let mut exchange = Exchange::new(ExchangeParams {
        idempotent: false,
        streaming: false,
        max_attempts: 1,
        client_resumes: false,
    });
    exchange.handle(Input::UpstreamSelected(0));
    exchange.handle(Input::Attempt(
        0,
        AttemptEvent::ConnectFailed {
            connection_limit_reached: false,
        },
    ));
    let again = exchange.handle(Input::UpstreamSelected(1));
    assert_eq!(
        again,
        [Action::Start {
            id: 0,
            upstream: 1,
            may_reuse_connection: false,
            resume_after: None
        }]
    );
}

/// What comes behind the final answer, as some of it was under way already, leads to nothing.
#[test]
fn nothing_follows_the_final_response() {
    let late = [
        Input::UpstreamSelected(2),
        Input::HedgeUpstreamSelected(2),
        Input::NoCapacity,
        Input::RetryBudgetExhausted,
        Input::DeadlineExceeded,
        Input::ClientDisconnected,
        Input::Attempt(
            0,
            AttemptEvent::BodyEnd {
                trailing_bytes: false,
            },
        ),
        Input::Attempt(1, AttemptEvent::DeadlineExceeded),
    ];
    for last in [
        Input::ClientDisconnected,
        Input::Attempt(0, AttemptEvent::DeadlineExceeded),
    ] {
        for input in &late {
            let before = [Input::UpstreamSelected(0), Input::HedgeUpstreamSelected(1)]
                .into_iter()
                .chain(head_came(0));
            assert_eq!(
                outcome(before.chain([last.clone(), input.clone()])),
                [],
                "{input:?}"
            );
        }
    }
}
