//! Every decision of one exchange: where a request may be sent, what of an answer its client gets, which final answer it
//! gets, and which connections are kept. Pure: what happened comes in as [`Input`], what is to be done goes out as
//! [`Action`]; sockets, clocks and the choice of upstreams are in `carry` and `attempt`.
//!
//! At most two sends are under way at once: the one that a request was placed with, and one that races it while it is silent.
//! `docs/system/exchange.md` names the test that falls for each guard here.
mod messages;

use crate::exchange::event_stream::{Scanned, Scanner};
use crate::placement::balancer::Ended;
use crate::upstream_connections::response_error::ResponseError;
pub use messages::{
    is_promise, Action, AnswerId, Final, HeadFacts, Input, SendEvent, SendId, Terms, SENDS,
};
use sandtrack_invariants::{check, Invariant};
use sandtrack_protocol::codes::{self, Code};

/// How far a send has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum Stage {
    Connecting,
    Writing,
    AwaitingHead,
    Collecting(HeadFacts),
    AwaitingFirstPart(HeadFacts),
    Relaying(HeadFacts),
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct Send {
    place: usize,
    reused: bool,
    stage: Stage,
}

impl Send {
    /// Whether its upstream may run the request, or have run it.
    fn may_have_run(&self) -> bool {
        match self.stage {
            Stage::Connecting => false,
            Stage::Writing | Stage::AwaitingHead => true,
            Stage::Collecting(facts) | Stage::AwaitingFirstPart(facts) | Stage::Relaying(facts) => {
                !facts.not_run()
            }
        }
    }
}

/// Where an exchange stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Phase {
    /// It is at no upstream, and waits for one.
    Placing,
    /// It was sent, and nothing of an answer is relayed from any send under way.
    Sending,
    /// The stream of this send is relayed.
    Relaying(SendId),
    Over,
}

/// A send that is silent for too long is raced by another.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Watched {
    pub send: SendId,
    pub place: usize,
}

/// One request from its arrival to its final answer.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Exchange {
    terms: Terms,
    phase: Phase,
    sends: [Option<Send>; SENDS],
    /// Upstreams that it was sent to.
    sent: u32,
    may_have_run: bool,
    /// Since it was placed last, a silent send was raced.
    raced: bool,
    /// A part of a stream was relayed.
    begun: bool,
    scanner: Scanner,
    /// Status of the failure that is kept.
    kept_failure: Option<u16>,
}

impl Exchange {
    pub fn new(terms: Terms) -> Exchange {
        Exchange {
            terms,
            phase: Phase::Placing,
            sends: [None; SENDS],
            sent: 0,
            may_have_run: false,
            raced: false,
            begun: false,
            scanner: Scanner::default(),
            kept_failure: None,
        }
    }

    pub fn phase(&self) -> Phase {
        self.phase
    }

    /// A further send counts against the budget.
    pub fn needs_budget(&self) -> bool {
        self.sent > 0
    }

    /// What has not run is refused early where there is no room; what has, and may run again, waits as long as it has.
    pub fn refuses_early(&self) -> bool {
        !self.begun && !self.may_have_run
    }

    /// The send whose silence counts.
    pub fn watched(&self) -> Option<Watched> {
        let send = match self.phase {
            Phase::Sending if !self.raced => self.sends.iter().position(Option::is_some)?,
            Phase::Relaying(send) if self.sends[1 - send].is_none() => send,
            _ => return None,
        };
        self.sends[send].map(|of| Watched {
            send,
            place: of.place,
        })
    }

    /// A silent send may be raced by another.
    pub fn may_race(&self) -> bool {
        self.watched().is_some()
            && self.terms.idempotent
            && self.sent < self.terms.attempts
            && self.can_be_taken_up()
    }

    /// Takes what happened, and tells what is to be done, in order.
    pub fn on(&mut self, input: Input) -> Vec<Action> {
        let mut actions = Vec::new();
        match (self.phase, input) {
            (Phase::Over, _) => {}
            // Where no further send is allowed, it was given up when the last one ended.
            (Phase::Placing, Input::Placed(place)) => {
                self.start(place, &mut actions);
                self.phase = Phase::Sending;
            }
            (Phase::Placing, Input::NoRoom) => self.give_up(codes::NO_ROOM, &mut actions),
            (Phase::Placing, Input::NoBudget) => {
                let why = if self.may_have_run {
                    codes::UPSTREAM_FAILED
                } else {
                    codes::NO_ROOM
                };
                self.give_up(why, &mut actions);
            }
            (Phase::Placing, Input::TimeOver) => self.give_up(codes::DEADLINE, &mut actions),
            (_, Input::Spare(place)) if self.may_race() => {
                self.raced = true;
                self.start(place, &mut actions);
            }
            (_, Input::Send(send, event)) => self.on_send(send, event, &mut actions),
            (_, Input::ClientGone) => self.finish(Final::Cut, &mut actions),
            // Told too late: the exchange has gone on meanwhile.
            (
                _,
                Input::Placed(_)
                | Input::Spare(_)
                | Input::NoRoom
                | Input::NoBudget
                | Input::TimeOver,
            ) => {}
        }
        actions
    }

    /// One more send is allowed by the route, and by what may run twice.
    fn may_send(&self) -> Result<(), Code> {
        let more = self.sent < self.terms.attempts || self.sent == 0;
        let again = !self.may_have_run || self.terms.idempotent;
        match (more && again, self.may_have_run) {
            (true, _) => Ok(()),
            (false, true) => Err(codes::UPSTREAM_FAILED),
            (false, false) => Err(codes::NO_ROOM),
        }
    }

    /// What was relayed does not keep another upstream from going on with it.
    fn can_be_taken_up(&self) -> bool {
        !self.begun || self.scanner.resume_point().is_some()
    }

    fn start(&mut self, place: usize, actions: &mut Vec<Action>) {
        let Some(send) = self.sends.iter().position(Option::is_none) else {
            return;
        };
        let is_first = !self.may_have_run && self.sends.iter().all(Option::is_none);
        check(
            Invariant::RunsOnce,
            self.terms.idempotent || is_first,
            || format!("{self:?}"),
        );
        self.sends[send] = Some(Send {
            place,
            reused: false,
            stage: Stage::Connecting,
        });
        self.sent += 1;
        check(
            Invariant::AttemptsBounded,
            self.sent <= self.terms.attempts.max(1),
            || format!("{self:?}"),
        );
        let resume = if self.begun {
            self.scanner.resume_point()
        } else {
            None
        };
        // An idle connection may be closed by its upstream while the request is written.
        actions.push(Action::Start {
            send,
            place,
            reuse: self.terms.idempotent,
            resume,
        });
    }

    fn on_send(&mut self, id: SendId, event: SendEvent, actions: &mut Vec<Action>) {
        let Some(send) = self.sends[id] else { return };
        match (send.stage, event) {
            (Stage::Connecting, SendEvent::Connected { reused }) => {
                self.sends[id] = Some(Send {
                    reused,
                    stage: Stage::Writing,
                    ..send
                });
            }
            (Stage::Connecting, SendEvent::NoConnection { share_full }) => {
                self.sent -= 1;
                let ended = if share_full {
                    Ended::TurnedAway
                } else {
                    Ended::Broken
                };
                self.fail(id, ended, actions);
            }
            (Stage::Writing, SendEvent::Written) => self.advance(id, Stage::AwaitingHead),
            (Stage::Writing, SendEvent::WriteFailed) => self.fail(id, Ended::Broken, actions),
            (Stage::AwaitingHead, SendEvent::Head(facts)) => self.head(id, facts, actions),
            (Stage::Collecting(facts), SendEvent::End { surplus }) => {
                self.collected(id, facts, surplus, actions);
            }
            (Stage::AwaitingFirstPart(facts), SendEvent::Data(bytes)) => {
                self.take_over(id, facts, actions);
                self.relay(id, &bytes, actions);
            }
            (Stage::AwaitingFirstPart(facts), SendEvent::End { surplus }) => {
                self.take_over(id, facts, actions);
                self.end_stream(id, facts, surplus, actions);
            }
            (Stage::Relaying(_), SendEvent::Data(bytes)) => {
                self.drop_rival(id, actions);
                self.relay(id, &bytes, actions);
            }
            (Stage::Relaying(facts), SendEvent::End { surplus }) => {
                self.end_stream(id, facts, surplus, actions);
            }
            (_, SendEvent::TimeOver) => self.time_over(id, send, actions),
            (stage, SendEvent::Broke(broke)) => {
                // A connection that stood idle and broke without a word says nothing of its upstream.
                let wordless = send.reused && stage == Stage::AwaitingHead;
                let ended = match broke {
                    ResponseError::Malformed => Ended::Faulty,
                    // It is no fault of its upstream.
                    ResponseError::OutOfMemory => Ended::GivenUp,
                    ResponseError::ConnectionLost if wordless => Ended::GivenUp,
                    ResponseError::ConnectionLost => Ended::Broken,
                };
                self.fail(id, ended, actions);
            }
            // No part of an answer comes in this place.
            (_, _) => self.fail(id, Ended::Faulty, actions),
        }
    }

    fn advance(&mut self, id: SendId, stage: Stage) {
        if let Some(send) = &mut self.sends[id] {
            send.stage = stage;
        }
    }

    fn head(&mut self, id: SendId, facts: HeadFacts, actions: &mut Vec<Action>) {
        let reused = self.sends[id].is_some_and(|send| send.reused);
        let own = match facts.id {
            AnswerId::Own => true,
            AnswerId::Other => false,
            // One that turns a request away before it looks at it may leave the id out; nothing else is on a new connection.
            AnswerId::Missing => facts.not_run() && !reused,
        };
        if !own || facts.is_success() && !facts.sealed {
            return self.fail(id, Ended::Faulty, actions);
        }
        actions.push(Action::Heed(id));
        let relays = self.terms.relays(facts.status) && !facts.not_run();
        self.advance(
            id,
            if relays {
                Stage::AwaitingFirstPart(facts)
            } else {
                Stage::Collecting(facts)
            },
        );
    }

    /// A whole answer came that is not relayed.
    fn collected(
        &mut self,
        id: SendId,
        facts: HeadFacts,
        surplus: bool,
        actions: &mut Vec<Action>,
    ) {
        if facts.not_run() {
            self.release(id, facts, surplus, Ended::TurnedAway, actions);
            return self.without_answer(actions);
        }
        if facts.is_failure() {
            self.kept_failure = Some(facts.status);
            self.release(id, facts, surplus, Ended::Faulty, actions);
            actions.push(Action::KeepFailure(id));
            return self.without_answer(actions);
        }
        actions.push(Action::NotePace(id));
        if self.begun {
            // A stream can't be taken up with a whole answer.
            self.release(id, facts, surplus, Ended::Answered, actions);
            return self.without_answer(actions);
        }
        self.drop_rival(id, actions);
        self.release(id, facts, surplus, Ended::Answered, actions);
        self.finish(Final::Whole(id), actions);
    }

    /// The first part of a stream came: it is relayed from here on, and nothing else.
    fn take_over(&mut self, id: SendId, facts: HeadFacts, actions: &mut Vec<Action>) {
        self.drop_rival(id, actions);
        actions.push(Action::NotePace(id));
        self.advance(id, Stage::Relaying(facts));
        self.phase = Phase::Relaying(id);
        self.scanner.resume();
    }

    fn relay(&mut self, id: SendId, bytes: &[u8], actions: &mut Vec<Action>) {
        let (bytes, spoilt) = match self.scanner.push(bytes) {
            Scanned::Events(events) => (events, false),
            Scanned::Spoilt(events) => (events, true),
        };
        if !bytes.is_empty() {
            self.pass_on(id, bytes, false, actions);
        }
        if spoilt {
            self.fail(id, Ended::Faulty, actions);
        }
    }

    fn end_stream(
        &mut self,
        id: SendId,
        facts: HeadFacts,
        surplus: bool,
        actions: &mut Vec<Action>,
    ) {
        self.drop_rival(id, actions);
        let rest = self.scanner.rest();
        self.pass_on(id, rest, true, actions);
        self.release(id, facts, surplus, Ended::Answered, actions);
        self.finish(Final::StreamEnded, actions);
    }

    fn pass_on(&mut self, send: SendId, bytes: Vec<u8>, ends: bool, actions: &mut Vec<Action>) {
        let begins = !std::mem::replace(&mut self.begun, true);
        actions.push(Action::Relay {
            send,
            begins,
            bytes,
            ends,
        });
    }

    fn time_over(&mut self, id: SendId, send: Send, actions: &mut Vec<Action>) {
        if !send.may_have_run() {
            return self.fail(id, Ended::GivenUp, actions);
        }
        // An upstream that has not taken the request by then is as good as gone.
        if send.stage == Stage::Writing {
            self.close(id, Ended::Broken, actions);
        }
        self.give_up(codes::DEADLINE, actions);
    }

    /// The send is over without an answer.
    fn fail(&mut self, id: SendId, ended: Ended, actions: &mut Vec<Action>) {
        self.close(id, ended, actions);
        self.without_answer(actions);
    }

    fn close(&mut self, id: SendId, ended: Ended, actions: &mut Vec<Action>) {
        if let Some(send) = self.sends[id].take() {
            self.may_have_run |= send.may_have_run();
            actions.push(Action::Close(id, ended));
        }
    }

    /// The send is over with a whole answer.
    fn release(
        &mut self,
        id: SendId,
        facts: HeadFacts,
        surplus: bool,
        ended: Ended,
        actions: &mut Vec<Action>,
    ) {
        // Bytes behind a whole answer belong to no request.
        if surplus || !facts.keeps_open {
            return self.close(id, ended, actions);
        }
        if let Some(send) = self.sends[id].take() {
            self.may_have_run |= send.may_have_run();
            actions.push(Action::Pool(id, ended));
        }
    }

    /// Gives the other send up, if there is one.
    fn drop_rival(&mut self, id: SendId, actions: &mut Vec<Action>) {
        self.abandon(1 - id, actions);
    }

    fn abandon(&mut self, id: SendId, actions: &mut Vec<Action>) {
        if let Some(send) = self.sends[id].take() {
            self.may_have_run |= send.may_have_run();
            actions.push(Action::Abandon(id));
        }
    }

    /// A send came to nothing: another one that is under way goes on, or it is sent elsewhere if it may be.
    fn without_answer(&mut self, actions: &mut Vec<Action>) {
        if self.sends.iter().any(Option::is_some) {
            if matches!(self.phase, Phase::Relaying(send) if self.sends[send].is_none()) {
                self.phase = Phase::Sending;
            }
            return;
        }
        self.phase = Phase::Placing;
        self.raced = false;
        if !self.can_be_taken_up() {
            self.finish(Final::Cut, actions);
        } else if let Err(why) = self.may_send() {
            self.give_up(why, actions);
        }
    }

    /// No further send: the best final answer that there is.
    fn give_up(&mut self, why: Code, actions: &mut Vec<Action>) {
        for id in 0..SENDS {
            self.abandon(id, actions);
        }
        let answer = match self.kept_failure {
            // An answer that ends early must not look complete.
            _ if self.begun => Final::Cut,
            // Under another status it is no longer the upstream's answer, and does not bear its seal.
            Some(status) if is_promise(status) => self.own_answer(codes::UPSTREAM_FAILED),
            Some(_) => Final::KeptFailure,
            None => self.own_answer(why),
        };
        self.finish(answer, actions);
    }

    fn own_answer(&self, why: Code) -> Final {
        let status = match why {
            codes::DEADLINE if self.may_have_run => 504,
            _ if self.may_have_run => 502,
            _ => 503,
        };
        Final::Own {
            status,
            why,
            promise: is_promise(status),
        }
    }

    fn finish(&mut self, answer: Final, actions: &mut Vec<Action>) {
        for id in 0..SENDS {
            self.abandon(id, actions);
        }
        check(Invariant::OneFinalAnswer, self.phase != Phase::Over, || {
            format!("{answer:?} by {self:?}")
        });
        let promises = matches!(answer, Final::Own { promise: true, .. });
        check(
            Invariant::PromiseIsTrue,
            !promises || !self.may_have_run,
            || format!("{answer:?} by {self:?}"),
        );
        self.phase = Phase::Over;
        actions.push(Action::Finish(answer));
    }
}
