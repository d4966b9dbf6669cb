//! Every order of what may happen to one exchange, enumerated: upstreams that run or don't, races, breaks at each step, foreign
//! and surplus answers, streams cut and taken up, clients that leave, time that runs out. A rule is one function; each holds in
//! every script. What an upstream did is known here and not to the exchange: whether it has run is judged by the worst case.
use sandtrack_proxy::exchange::state::{
    is_promise, Action, AnswerId, Exchange, Final, HeadFacts, Input, Phase, SendEvent, SendId,
    Terms, SENDS,
};
use sandtrack_proxy::placement::balancer::Ended;
use sandtrack_proxy::upstream_connections::response_error::ResponseError;
use std::collections::HashSet;

/// Scripts are enumerated one by one up to this many inputs, for each kind and number of attempts.
const SCRIPT_LENGTH: usize = 7;
/// Distinct states are explored up to this many inputs.
const DEPTH: usize = 24;
/// Events of a whole stream.
const LAST_EVENT: u64 = 2;

/// What an upstream has done with a send, as it knows itself.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct UpstreamSide {
    place: usize,
    reuse: bool,
    reused: bool,
    /// Bytes of the request may have come to it.
    reached: bool,
    /// All of the request was written.
    written: bool,
    /// It answered that the request has not run, and spoke of this request.
    denied: bool,
    head: Option<HeadFacts>,
    /// Its answer is whole.
    whole: bool,
    surplus: bool,
    /// Of a stream: the id of the last event that it sent.
    event: u64,
    /// It brought its events from the start or behind an id, as asked.
    resume: Option<u64>,
    /// Half an event was sent last.
    half: bool,
}

impl UpstreamSide {
    /// All that it sent is its answer to this request.
    fn is_own(&self) -> bool {
        self.head.is_some_and(|head| {
            head.id == AnswerId::Own
                || head.id == AnswerId::Missing && head.not_run() && !self.reused
        })
    }
}

/// One exchange with all that its surroundings know.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct World {
    terms: Terms,
    /// Whether its stream's events have ids.
    numbered: bool,
    exchange: Exchange,
    /// Sends under way.
    sends: [Option<UpstreamSide>; SENDS],
    /// The send that was over last, with a whole answer.
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
        Action::Relay { send, begins, .. } => {
            let side = world.sends[*send]
                .as_ref()
                .ok_or("bytes of a send that is over")?;
            rule(proper(side), || {
                format!("relays what is no answer to it: {side:?}")
            })?;
            rule(side.head.is_some_and(|head| head.status == 200), || {
                "a failure as a stream".to_owned()
            })?;
            rule(*begins != world.begun, || {
                "a head in the middle, or none at the start".to_owned()
            })
        }
        Action::Finish(Final::Whole(_)) => {
            let side = world
                .last_whole
                .as_ref()
                .ok_or("an answer that is not whole")?;
            rule(proper(side) && !world.begun, || {
                format!("passes on what is no answer: {side:?}")
            })
        }
        Action::Finish(Final::KeptFailure) => {
            let side = world
                .kept_failure
                .as_ref()
                .ok_or("a failure that nobody gave")?;
            rule(proper(side) && !world.begun, || {
                format!("passes on what is no answer: {side:?}")
            })
        }
        Action::Finish(Final::Own { .. }) => rule(!world.begun, || {
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
    let under_way = world.sends.iter().flatten().count();
    rule(
        world.terms.idempotent || world.runs == 0 && under_way == 0,
        || "sent while it may run".to_owned(),
    )
}

/// TWICE: what may run once goes on a fresh connection, never on one that its upstream may be closing.
fn fresh(world: &World, action: &Action) -> Result<(), String> {
    let Action::Start { reuse, .. } = action else {
        return Ok(());
    };
    rule(world.terms.idempotent || !reuse, || {
        "on a connection that may be closing".to_owned()
    })
}

/// REFUSED: no promise for what may have run or may run yet.
fn refused(world: &World, action: &Action) -> Result<(), String> {
    let status = match action {
        Action::Finish(Final::Own {
            status, promise, ..
        }) => {
            rule(*promise == is_promise(*status), || {
                "when to come back, and no promise".to_owned()
            })?;
            *status
        }
        Action::Finish(Final::Whole(_)) => head_status(&world.last_whole),
        Action::Finish(Final::KeptFailure) => head_status(&world.kept_failure),
        _ => return Ok(()),
    };
    rule(!is_promise(status) || world.runs == 0, || {
        format!("{status} for what may have run")
    })
}

/// Given up before it ran: the client is told so, and may come back.
fn promised(world: &World, action: &Action) -> Result<(), String> {
    let Action::Finish(Final::Own { promise, .. }) = action else {
        return Ok(());
    };
    rule(*promise || world.runs > 0, || {
        "no promise for what has not run".to_owned()
    })
}

/// BUDGET: no more upstreams than `attempts`; one that no byte reached does not count.
fn budget(world: &World, action: &Action) -> Result<(), String> {
    let Action::Start { .. } = action else {
        return Ok(());
    };
    rule(world.upstreams < world.terms.attempts.max(1), || {
        "more upstreams than attempts".to_owned()
    })
}

/// ORDER: events come once each, in order, none missing; a stream ends as complete only behind its last.
fn order(world: &World, action: &Action) -> Result<(), String> {
    let Action::Relay { bytes, ends, .. } = action else {
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
    rule(!ends || complete, || {
        "ends as complete before its last event".to_owned()
    })
}

/// MIXED, LOST: what was not complete ends with a closed connection and looks like nothing else.
fn complete(world: &World, action: &Action) -> Result<(), String> {
    match action {
        Action::Finish(Final::StreamEnded) => {
            let whole: Vec<u8> = (1..=LAST_EVENT)
                .flat_map(|id| event(world.numbered, id))
                .collect();
            rule(world.begun && world.got == whole, || {
                "a cut stream looks complete".to_owned()
            })
        }
        Action::Finish(Final::Cut) => Ok(()),
        Action::Finish(_) => rule(!world.begun, || {
            "something behind a stream that began".to_owned()
        }),
        _ => Ok(()),
    }
}

/// MIXED: a connection is kept only behind a whole answer, with nothing behind that, and where its upstream keeps it.
fn pooled(world: &World, action: &Action) -> Result<(), String> {
    let Action::Pool(send, _) = action else {
        return Ok(());
    };
    let side = world.sends[*send]
        .as_ref()
        .ok_or("a connection that is not its own")?;
    let kept = side.head.is_some_and(|head| head.keeps_open);
    rule(side.whole && !side.surplus && kept && side.is_own(), || {
        format!("kept a connection: {side:?}")
    })
}

/// The client gets exactly one final answer, and no send outlives it.
fn one_final_answer(world: &World, action: &Action) -> Result<(), String> {
    rule(world.finals == 0, || {
        format!("after the final answer: {action:?}")
    })?;
    let Action::Finish(_) = action else {
        return Ok(());
    };
    rule(world.sends.iter().all(Option::is_none), || {
        "a send is left behind".to_owned()
    })
}

/// An upstream is taken for one that answered only behind a whole answer, and for a broken one only where something broke.
fn judged(world: &World, action: &Action) -> Result<(), String> {
    let (Action::Pool(send, ended) | Action::Close(send, ended)) = action else {
        return Ok(());
    };
    let side = world.sends[*send].as_ref().ok_or("a send that is over")?;
    match ended {
        Ended::Answered => rule(side.whole && side.is_own() && !side.denied, || {
            "not answered".to_owned()
        }),
        Ended::Broken => rule(!side.whole, || "whole, and taken for broken".to_owned()),
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
fn heads(terms: Terms) -> Vec<HeadFacts> {
    let own = HeadFacts {
        id: AnswerId::Own,
        status: 200,
        not_executed: false,
        sealed: true,
        keeps_open: true,
    };
    let mut heads = vec![
        own,
        HeadFacts {
            keeps_open: false,
            ..own
        },
        HeadFacts {
            sealed: false,
            ..own
        },
        HeadFacts {
            id: AnswerId::Other,
            ..own
        },
        HeadFacts {
            id: AnswerId::Missing,
            ..own
        },
        HeadFacts { status: 404, ..own },
        HeadFacts { status: 500, ..own },
        HeadFacts { status: 503, ..own },
        HeadFacts { status: 429, ..own },
        HeadFacts { status: 408, ..own },
        HeadFacts {
            status: 503,
            not_executed: true,
            sealed: false,
            ..own
        },
        HeadFacts {
            status: 421,
            sealed: false,
            ..own
        },
        HeadFacts {
            status: 503,
            not_executed: true,
            sealed: false,
            id: AnswerId::Other,
            ..own
        },
        HeadFacts {
            status: 400,
            not_executed: true,
            sealed: false,
            id: AnswerId::Missing,
            ..own
        },
    ];
    if terms.streaming {
        heads.push(HeadFacts { status: 204, ..own });
    }
    heads
}

impl World {
    fn new(terms: Terms, numbered: bool) -> World {
        World {
            terms,
            numbered,
            exchange: Exchange::new(terms),
            sends: [None, None],
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
        let mut inputs = vec![Input::ClientGone];
        if self.exchange.phase() == Phase::Placing {
            inputs.extend([Input::Placed(0), Input::NoRoom, Input::TimeOver]);
            if self.exchange.needs_budget() {
                inputs.push(Input::NoBudget);
            }
        } else {
            // Offered whether it may be raced or not: the exchange itself is to say no.
            inputs.push(Input::Spare(1));
        }
        for (send, side) in self.sends.iter().enumerate() {
            if let Some(side) = side {
                inputs.extend(
                    self.events(side)
                        .into_iter()
                        .map(|event| Input::Send(send, event)),
                );
            }
        }
        inputs
    }

    fn events(&self, side: &UpstreamSide) -> Vec<SendEvent> {
        if !side.reached {
            let mut events = vec![
                SendEvent::Connected { reused: false },
                SendEvent::NoConnection { share_full: false },
                SendEvent::NoConnection { share_full: true },
            ];
            if side.reuse {
                events.push(SendEvent::Connected { reused: true });
            }
            return events;
        }
        let mut events = vec![
            SendEvent::Broke(ResponseError::ConnectionLost),
            SendEvent::Broke(ResponseError::Malformed),
            SendEvent::TimeOver,
        ];
        if !side.written {
            // Nothing is read before.
            events.extend([SendEvent::Written, SendEvent::WriteFailed]);
            return events;
        }
        let Some(head) = side.head else {
            events.extend(heads(self.terms).into_iter().map(SendEvent::Head));
            return events;
        };
        let ends = [
            SendEvent::End { surplus: false },
            SendEvent::End { surplus: true },
        ];
        if !self.terms.relays(head.status) || head.not_run() {
            events.extend(ends);
            events.push(SendEvent::Broke(ResponseError::OutOfMemory));
            return events;
        }
        if side.event < LAST_EVENT {
            if !side.half {
                events.push(SendEvent::Data(event(self.numbered, side.event + 1)));
                events.push(SendEvent::Data(half(self.numbered, side.event + 1)));
            } else {
                events.push(SendEvent::Data(b"\n".to_vec()));
            }
            // One that does not know where to go on begins anew.
            if side.resume.is_some() && side.event == side.resume.unwrap_or(0) && !side.half {
                events.push(SendEvent::Data(event(self.numbered, 1)));
            }
        } else {
            events.extend(ends);
        }
        events
    }

    /// What the upstream did when this came of it.
    fn note(&mut self, send: SendId, event: &SendEvent) {
        let numbered = self.numbered;
        let Some(side) = &mut self.sends[send] else {
            return;
        };
        match event {
            SendEvent::Connected { reused } => {
                side.reached = true;
                side.reused = *reused;
                self.runs += 1;
            }
            SendEvent::Written => side.written = true,
            SendEvent::NoConnection { .. } => self.upstreams -= 1,
            SendEvent::Head(head) => {
                side.head = Some(*head);
                if head.not_run() && side.is_own() {
                    side.denied = true;
                    self.runs -= 1;
                }
            }
            SendEvent::Data(bytes) => {
                side.half = *bytes == half(numbered, side.event + 1);
                if !side.half && *bytes != event_again(numbered) {
                    side.event += 1;
                } else if !side.half && side.event == 0 {
                    side.event = 1;
                }
            }
            SendEvent::End { surplus } => {
                side.whole = true;
                side.surplus = *surplus;
            }
            _ => {}
        }
    }

    fn take(&mut self, input: Input) {
        if let Input::Send(send, event) = &input {
            self.note(*send, event);
        }
        for action in self.exchange.on(input) {
            for (name, rule) in RULES {
                if let Err(what) = rule(self, &action) {
                    self.broken.get_or_insert(format!("{name}: {what}"));
                }
            }
            self.perform(action);
        }
        if self.finals > 0 && self.exchange.phase() != Phase::Over {
            self.broken
                .get_or_insert("one final answer: and it goes on".to_owned());
        }
        // Only what is done at once may pass it on.
        self.last_whole = None;
    }

    fn perform(&mut self, action: Action) {
        match action {
            Action::Start {
                send,
                place,
                reuse,
                resume,
            } => {
                self.upstreams += 1;
                self.sends[send] = Some(UpstreamSide {
                    place,
                    reuse,
                    reused: false,
                    reached: false,
                    written: false,
                    denied: false,
                    head: None,
                    whole: false,
                    surplus: false,
                    event: resume.unwrap_or(0),
                    resume,
                    half: false,
                });
            }
            Action::Relay { bytes, .. } => {
                self.got.extend(bytes);
                self.begun = true;
            }
            Action::KeepFailure(_) => self.kept_failure = self.last_whole.take(),
            Action::Pool(send, _) | Action::Close(send, _) => {
                self.last_whole = self.sends[send].take().filter(|side| side.whole);
            }
            Action::Abandon(send) => self.sends[send] = None,
            Action::Heed(_) | Action::NotePace(_) => {}
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
        let terms = Terms {
            idempotent,
            streaming,
            attempts,
        };
        worlds.push(World::new(terms, true));
        if streaming {
            worlds.push(World::new(terms, false));
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
        assert_eq!(next.broken, None, "{:?}\nscript: {script:#?}", world.terms);
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

const RESUMABLE: Terms = Terms {
    idempotent: true,
    streaming: true,
    attempts: 3,
};

/// The inputs of one send up to its head.
fn head_came(send: SendId) -> [Input; 3] {
    let own = heads(RESUMABLE)[0];
    [
        SendEvent::Connected { reused: false },
        SendEvent::Written,
        SendEvent::Head(own),
    ]
    .map(|event| Input::Send(send, event))
}

/// What the last of these inputs leads to.
fn outcome(inputs: impl IntoIterator<Item = Input>) -> Vec<Action> {
    let mut exchange = Exchange::new(RESUMABLE);
    inputs
        .into_iter()
        .map(|input| exchange.on(input))
        .last()
        .unwrap_or_default()
}

/// One that was raced, and whose rival failed, is waited for: a third upstream is not made to work beside it.
#[test]
fn a_silent_send_is_raced_once() {
    let raced = [Input::Placed(0), Input::Spare(1)];
    let start = Action::Start {
        send: 1,
        place: 1,
        reuse: true,
        resume: None,
    };
    assert_eq!(outcome(raced.clone()), [start]);
    let failed = Input::Send(1, SendEvent::NoConnection { share_full: false });
    assert_eq!(
        outcome(raced.into_iter().chain([failed, Input::Spare(2)])),
        []
    );
}

#[test]
fn a_stream_that_broke_goes_on_behind_its_last_event() {
    let inputs = [Input::Placed(0)].into_iter().chain(head_came(0)).chain([
        Input::Send(0, SendEvent::Data(event(true, 1))),
        Input::Send(0, SendEvent::Broke(ResponseError::ConnectionLost)),
        Input::Placed(1),
    ]);
    assert_eq!(
        outcome(inputs),
        [Action::Start {
            send: 0,
            place: 1,
            reuse: true,
            resume: Some(1)
        }]
    );
}

/// The one that was asked to take a silent stream up goes on with it where the silent one breaks.
#[test]
fn a_silent_stream_that_breaks_leaves_its_rival() {
    let inputs = [Input::Placed(0)].into_iter().chain(head_came(0)).chain([
        Input::Send(0, SendEvent::Data(event(true, 1))),
        Input::Spare(1),
        Input::Send(0, SendEvent::Broke(ResponseError::ConnectionLost)),
    ]);
    let mut exchange = Exchange::new(RESUMABLE);
    let actions = inputs.map(|input| exchange.on(input)).last();
    assert_eq!(actions, Some(vec![Action::Close(0, Ended::Broken)]));
    assert_eq!(exchange.phase(), Phase::Sending);
}

/// With one attempt: what never got a byte may still go to another upstream.
#[test]
fn a_connection_that_never_came_up_is_no_attempt() {
    let mut exchange = Exchange::new(Terms {
        idempotent: false,
        streaming: false,
        attempts: 1,
    });
    exchange.on(Input::Placed(0));
    exchange.on(Input::Send(
        0,
        SendEvent::NoConnection { share_full: false },
    ));
    let again = exchange.on(Input::Placed(1));
    assert_eq!(
        again,
        [Action::Start {
            send: 0,
            place: 1,
            reuse: false,
            resume: None
        }]
    );
}

/// What comes behind the final answer, as some of it was under way already, leads to nothing.
#[test]
fn behind_the_final_answer_nothing_follows() {
    let late = [
        Input::Placed(2),
        Input::Spare(2),
        Input::NoRoom,
        Input::NoBudget,
        Input::TimeOver,
        Input::ClientGone,
        Input::Send(0, SendEvent::End { surplus: false }),
        Input::Send(1, SendEvent::TimeOver),
    ];
    for last in [Input::ClientGone, Input::Send(0, SendEvent::TimeOver)] {
        for input in &late {
            let before = [Input::Placed(0), Input::Spare(1)]
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
