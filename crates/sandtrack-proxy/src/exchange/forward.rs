//! Carries one request: does what [`Exchange`] decides, and tells it what happened. It owns the sends that are under way.
use crate::context::ProxyContext;
use crate::exchange::attempt::{head_facts, Attempt, Body};
use crate::exchange::client_response::{come_back_after, Client};
use crate::exchange::event_stream::GivenIds;
use crate::exchange::request_log::RequestLog;
use crate::exchange::state::{
    is_promise, Action, AnswerId, Exchange, Final, Input, Phase, SendEvent, SendId, Terms, Watched,
    SENDS,
};
use crate::placement::balancer::Ended;
use crate::placement::choice::Placed;
use crate::request::ProxyRequest;
use crate::telemetry::outcomes::Outcome;
use async_io::Timer;
use futures_lite::future;
use sandtrack_invariants::{check, Invariant};
use sandtrack_sidecar_core::message::Head;
use sandtrack_tiers::Millis;
use std::future::Future;
use std::pin::Pin;
use std::time::Duration;

/// The longest pause that is in time where the route does not say, in ms.
const GAP_AIM: Millis = 500.0;
/// A client has so long beyond the request's time to take a piece of a stream, in ms.
const LAST_PIECE: Millis = 100.0;

/// Status of an answer that is relayed as a stream.
const STREAM_STATUS: u16 = 200;

/// A send that is waiting for what happens next, and comes back with it.
type Step<'a> = Pin<Box<dyn Future<Output = (Box<Attempt<'a>>, SendEvent)> + 'a>>;

enum Lane<'a> {
    Empty,
    /// Something happened that is being decided on.
    Paused(Box<Attempt<'a>>),
    Stepping(Step<'a>),
}

impl<'a> Lane<'a> {
    fn arm(&mut self) {
        *self = match std::mem::replace(self, Lane::Empty) {
            Lane::Paused(mut attempt) => Lane::Stepping(Box::pin(async move {
                let event = attempt.step().await;
                (attempt, event)
            })),
            other => other,
        };
    }

    fn take(&mut self) -> Option<Box<Attempt<'a>>> {
        match std::mem::replace(self, Lane::Empty) {
            Lane::Paused(attempt) => Some(attempt),
            // Given up in the middle of a step: its connection is closed with it.
            Lane::Empty | Lane::Stepping(_) => None,
        }
    }

    fn attempt(&self) -> Option<&Attempt<'a>> {
        match self {
            Lane::Paused(attempt) => Some(attempt),
            Lane::Empty | Lane::Stepping(_) => None,
        }
    }

    /// Waits for the step's outcome; the send is paused with it.
    async fn event(&mut self) -> SendEvent {
        let Lane::Stepping(step) = self else {
            return future::pending().await;
        };
        let (attempt, event) = step.await;
        *self = Lane::Paused(attempt);
        event
    }
}

/// The silence of a send is waited for.
struct Watch {
    watched: Watched,
    silent_at: Millis,
    /// When it is looked again, not after `silent_at`.
    look: Timer,
}

/// One request on its way.
struct Carried<'a> {
    context: &'a ProxyContext,
    request: &'a ProxyRequest,
    client: Client<'a>,
    terms: Terms,
    exchange: Exchange,
    lanes: [Lane<'a>; SENDS],
    /// Upstreams that it was at.
    tried: Vec<usize>,
    watch: Option<Watch>,
    /// An upstream's own failure, for want of a better answer.
    failure: Option<(Head, Body)>,
    /// The answer of the send that was over last, if it came whole.
    whole: Option<(Head, Body)>,
    log: RequestLog<'a>,
    /// Of the events that the client was given.
    given: GivenIds,
    /// When the last piece of a stream was there.
    last_piece: Millis,
}

/// Carries the request and answers on `client`; whether that connection can be used on.
pub async fn carry(context: &ProxyContext, request: &ProxyRequest, client: Client<'_>) -> bool {
    context
        .balancer
        .borrow_mut()
        .came(context.clock.now(), request);
    let terms = Terms {
        idempotent: request.is_idempotent(),
        streaming: request.is_stream(),
        attempts: request.route.attempts,
    };
    let carried = Carried {
        context,
        request,
        client,
        terms,
        exchange: Exchange::new(terms),
        lanes: [Lane::Empty, Lane::Empty],
        tried: Vec::new(),
        watch: None,
        failure: None,
        whole: None,
        log: RequestLog::new(context, request),
        given: GivenIds::default(),
        last_piece: request.arrived,
    };
    carried.run().await
}

impl<'a> Carried<'a> {
    async fn run(mut self) -> bool {
        loop {
            let input = match self.exchange.phase() {
                Phase::Placing => self.find_place().await,
                Phase::Sending | Phase::Relaying(_) | Phase::Over => self.next_input().await,
            };
            let from = match &input {
                Input::Send(send, _) => Some(*send),
                _ => None,
            };
            for action in self.exchange.on(input) {
                if let Some(open) = self.perform(action).await {
                    return open;
                }
            }
            self.lanes.iter_mut().for_each(Lane::arm);
            self.set_watch(from);
        }
    }

    /// Does what was decided; once all is over, whether the client's connection can be used on.
    async fn perform(&mut self, action: Action) -> Option<bool> {
        match action {
            Action::Start {
                send,
                place,
                reuse,
                resume,
            } => {
                let attempt =
                    Attempt::new(self.context, self.request, self.terms, place, reuse, resume);
                self.log.send_begins(attempt.identifier().to_owned());
                self.lanes[send] = Lane::Paused(Box::new(attempt));
            }
            Action::Heed(send) => {
                if let Some(attempt) = self.lanes[send].attempt() {
                    attempt.heed();
                }
            }
            Action::NotePace(send) => {
                if !self.terms.streaming {
                    self.note_answer_begins(send);
                }
                if let Some(attempt) = self.lanes[send].attempt() {
                    attempt.note_pace();
                }
            }
            Action::Relay {
                send,
                begins,
                bytes,
                ends,
            } => {
                let patience = self.request.left(self.context.clock.now()) + LAST_PIECE;
                let rises = self.given.note(&bytes);
                check(Invariant::EventsRise, rises, || {
                    format!("{} at {:?}", self.request.id, self.given)
                });
                self.note_piece(send, begins);
                let head = self.lanes[send]
                    .attempt()
                    .and_then(Attempt::head)
                    .filter(|_| begins);
                if let Some(head) = head {
                    self.check_is_own(head);
                }
                if !self.client.relay(head, &bytes, ends, patience).await {
                    return Some(false);
                }
            }
            Action::KeepFailure(_) => self.failure = self.whole.take(),
            Action::Pool(send, ended) => {
                if let Some(mut attempt) = self.lanes[send].take() {
                    self.note_over(&attempt, ended);
                    attempt.pool(ended);
                    self.whole = attempt.take_answer();
                }
            }
            Action::Close(send, ended) => {
                if let Some(mut attempt) = self.lanes[send].take() {
                    self.note_over(&attempt, ended);
                    self.whole = attempt.take_answer();
                    attempt.close(ended);
                }
            }
            Action::Abandon(send) => self.lanes[send] = Lane::Empty,
            Action::Finish(answer) => return Some(self.finish(answer).await && !self.client.close),
        }
        None
    }

    /// A piece of a stream goes to the client: its lateness is counted.
    fn note_piece(&mut self, send: SendId, begins: bool) {
        let now = self.context.clock.now();
        let pause = now - std::mem::replace(&mut self.last_piece, now);
        if begins {
            self.note_answer_begins(send);
        } else if self.request.route.gap_aim_ms.is_some_and(|aim| pause > aim) {
            self.log.paused(pause);
        }
    }

    fn note_answer_begins(&mut self, send: SendId) {
        if let Some(attempt) = self.lanes[send].attempt() {
            if let Some(asked) = attempt.asked() {
                self.log
                    .answer_begins(attempt.identifier(), asked, attempt.is_far());
            }
        }
    }

    fn note_over(&mut self, attempt: &Attempt<'_>, ended: Ended) {
        self.tried.push(attempt.place());
        self.log.send_over(attempt.identifier(), ended);
    }

    async fn finish(&mut self, answer: Final) -> bool {
        let passed_on = match answer {
            Final::Whole(_) => self.whole.take(),
            Final::KeptFailure => self.failure.take(),
            Final::StreamEnded => {
                self.log.over(Outcome::Upstream(STREAM_STATUS));
                return true;
            }
            Final::Cut => {
                self.log.over(Outcome::Cut);
                return false;
            }
            Final::Own {
                status,
                why,
                promise,
            } => {
                self.log.over(Outcome::Own(status, why));
                let come_back =
                    promise.then(|| come_back_after(self.request.route.target_latency_ms));
                return self
                    .client
                    .own(status, &self.request.id, come_back.as_deref(), why)
                    .await;
            }
        };
        match passed_on {
            Some((head, body)) => {
                self.check_is_own(&head);
                self.log.over(Outcome::Upstream(head.status));
                self.client.pass_on(&head, &body.bytes).await
            }
            None => false,
        }
    }

    /// Checks that an upstream's answer that is passed on is one to this request.
    fn check_is_own(&self, head: &Head) {
        let facts = head_facts(head, &self.request.id, &self.context.policy);
        let is_own = facts.id == AnswerId::Own && (facts.sealed || !facts.is_success());
        check(
            Invariant::AnswerIsItsRequests,
            is_own && !is_promise(facts.status),
            || format!("{} gets {facts:?}", self.request.id),
        );
    }

    /// Where it goes next, waiting for room for a while. Counts a send beyond the first against the budget.
    async fn find_place(&self) -> Input {
        let request = self.request;
        let hold = (request.route.target_latency_ms).min(request.left(request.arrived))
            * self.context.policy.hold;
        let refuse_at = request.arrived + hold;
        loop {
            let now = self.context.clock.now();
            if now >= request.deadline {
                return Input::TimeOver;
            }
            if let Some(place) = self.place(now, &self.tried) {
                let paid = !self.exchange.needs_budget() || self.pay(now);
                return if paid {
                    Input::Placed(place)
                } else {
                    Input::NoBudget
                };
            }
            let refused = now >= refuse_at && self.exchange.refuses_early();
            if refused || now + self.context.policy.look_again_ms >= request.deadline {
                return Input::NoRoom;
            }
            sleep(self.context.policy.look_again_ms).await;
        }
    }

    fn place(&self, now: Millis, tried: &[usize]) -> Option<usize> {
        match self
            .context
            .balancer
            .borrow_mut()
            .place(now, self.request, tried)
        {
            Placed::Send(place) => Some(place),
            Placed::Wait | Placed::None => None,
        }
    }

    /// One more send beyond the first, if the budget has it.
    fn pay(&self, now: Millis) -> bool {
        self.context
            .balancer
            .borrow_mut()
            .may_repeat(now, &self.request.service)
    }

    /// What happens next to the sends under way.
    async fn next_input(&mut self) -> Input {
        loop {
            let Carried {
                lanes: [first, second],
                watch,
                ..
            } = self;
            let first = async { Some(Input::Send(0, first.event().await)) };
            let second = async { Some(Input::Send(1, second.event().await)) };
            let look = async {
                match watch {
                    Some(watch) => (&mut watch.look).await,
                    None => future::pending().await,
                };
                None
            };
            if let Some(input) = future::or(future::or(first, second), look).await {
                return input;
            }
            if let Some(place) = self.look() {
                return Input::Spare(place);
            }
        }
    }

    /// Looks whether the watched send is silent, and whether it may be raced at another upstream.
    fn look(&mut self) -> Option<usize> {
        let now = self.context.clock.now();
        let watch = self.watch.as_mut()?;
        let place = watch.watched.place;
        let healthy = self
            .context
            .balancer
            .borrow()
            .upstreams
            .get(place)
            .run
            .is_healthy();
        if now < watch.silent_at && healthy {
            watch.look.set_at(
                self.context.clock.at(watch
                    .silent_at
                    .min(now + self.context.policy.suspect_look_ms)),
            );
            return None;
        }
        watch.silent_at = now;
        watch.look.set_at(
            self.context
                .clock
                .at(now + self.context.policy.suspect_look_ms),
        );
        self.context.balancer.borrow_mut().suspect(now, place);
        if !self.exchange.may_race() || !self.context.policy.races {
            return None;
        }
        let mut tried = self.tried.clone();
        tried.push(place);
        let spare = self.place(now, &tried).filter(|spare| *spare != place)?;
        self.pay(now).then_some(spare)
    }

    /// Silence counts from the last thing that the watched send relayed, or from its start. `from`: the send that something
    /// happened to.
    fn set_watch(&mut self, from: Option<SendId>) {
        let now = self.context.clock.now();
        let Some(watched) = self.exchange.watched() else {
            self.watch = None;
            return;
        };
        let relaying = self.exchange.phase() == Phase::Relaying(watched.send);
        let relayed = relaying && from == Some(watched.send);
        if let Some(watch) = self.watch.as_mut().filter(|watch| watch.watched == watched) {
            if relayed {
                // It is looked when it would have been: that is before this silence is over.
                watch.silent_at = now + longest_pause(self.context, self.request, watched.place);
            }
            return;
        }
        let clock = self.context.clock;
        let (silent_at, look_at) = if relaying && !relayed {
            // The one that raced it came to nothing: it is silent still.
            (now, now + self.context.policy.suspect_look_ms)
        } else {
            let silent_at = now + self.patience(relaying, watched.place);
            let healthy = self
                .context
                .balancer
                .borrow()
                .upstreams
                .get(watched.place)
                .run
                .is_healthy();
            (
                silent_at,
                if healthy {
                    silent_at.min(now + self.context.policy.suspect_look_ms)
                } else {
                    now
                },
            )
        };
        self.watch = Some(Watch {
            watched,
            silent_at,
            look: Timer::at(clock.at(look_at)),
        });
    }

    /// How long the send at this place may be silent from now on, in ms.
    fn patience(&self, relaying: bool, place: usize) -> Millis {
        if relaying {
            longest_pause(self.context, self.request, place)
        } else {
            self.context.balancer.borrow().patience(self.request, place)
        }
    }
}

/// A stream that pauses for longer is silent, in ms.
fn longest_pause(context: &ProxyContext, request: &ProxyRequest, place: usize) -> Millis {
    let aim = request.route.gap_aim_ms.unwrap_or(GAP_AIM);
    let average = context
        .balancer
        .borrow()
        .upstreams
        .get(place)
        .average
        .get()
        .unwrap_or(0.0);
    aim * context.policy.pause + 2.0 * average
}

async fn sleep(time: Millis) {
    Timer::after(Duration::from_secs_f64(time / 1000.0)).await;
}
