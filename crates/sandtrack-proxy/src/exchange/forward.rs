//! Forwards one request: performs the actions of its [`Exchange`], feeds events back to it, and owns the attempts in flight.
mod attempt_slot;
mod silence;
mod upstream_selection;

use crate::context::ProxyContext;
use crate::exchange::attempt::{summarize_head, Attempt, AttemptOptions, CollectedBody};
use crate::exchange::client_response::{
    retry_after_seconds, ClientConnection, LocalResponse, StreamChunk,
};
use crate::exchange::event_stream::DeliveredEventIds;
use crate::exchange::request_log::RequestLog;
use crate::exchange::state::{
    indicates_not_executed, Action, AttemptId, Exchange, ExchangeParams, FinalResponse, Input,
    Phase, ResponseOwner, MAX_CONCURRENT_ATTEMPTS,
};
use crate::placement::balancer::SendOutcome;
use crate::request::ProxyRequest;
use crate::telemetry::outcomes::RequestOutcome;
use crate::upstream_connections::pool::ConnectionId;
use attempt_slot::AttemptSlot;
use futures_lite::future;
use sandtrack_invariants::{check, Invariant};
use sandtrack_protocol::codes::Code;
use sandtrack_sidecar_core::message::Head;
use sandtrack_tiers::Millis;
use silence::SilenceTimer;

/// How long after the request's deadline the write of a chunk to the client may still take, in ms.
const CLIENT_WRITE_GRACE_MS: Millis = 100.0;

/// Status of a response that is relayed as a stream.
const STREAM_STATUS: u16 = 200;

/// A collected response.
type CollectedResponse = (Head, CollectedBody);

/// One request that is being forwarded.
struct Forwarding<'a> {
    context: &'a ProxyContext,
    request: &'a ProxyRequest,
    client: ClientConnection<'a>,
    params: ExchangeParams,
    exchange: Exchange,
    slots: [AttemptSlot<'a>; MAX_CONCURRENT_ATTEMPTS],
    /// Indexes of the upstreams at which an attempt ended.
    attempted_upstreams: Vec<usize>,
    /// Connections in the pool that carried an attempt.
    released_connections: Vec<ConnectionId>,
    silence: Option<SilenceTimer>,
    /// An upstream's error response, kept in case no better response follows.
    kept_failure: Option<CollectedResponse>,
    /// The response of the attempt that ended last, if it was complete.
    last_response: Option<CollectedResponse>,
    log: RequestLog<'a>,
    /// Ids of the events relayed to the client.
    delivered_ids: DeliveredEventIds,
    /// When the last chunk of the stream was relayed.
    last_chunk_at: Millis,
}

/// Forwards the request and responds on `client`; returns whether the connection can be used for another request.
pub async fn forward(
    context: &ProxyContext,
    request: &ProxyRequest,
    client: ClientConnection<'_>,
) -> bool {
    context
        .balancer
        .borrow_mut()
        .request_arrived(context.clock.now(), request);
    let params = ExchangeParams {
        idempotent: request.is_idempotent(),
        streaming: request.is_stream(),
        max_attempts: request.route.attempts,
        client_resumes: request.resumes_stream(),
    };
    let forwarding = Forwarding {
        context,
        request,
        client,
        params,
        exchange: Exchange::new(params),
        slots: [AttemptSlot::Empty, AttemptSlot::Empty],
        attempted_upstreams: Vec::new(),
        released_connections: Vec::new(),
        silence: None,
        kept_failure: None,
        last_response: None,
        log: RequestLog::new(context, request),
        delivered_ids: DeliveredEventIds::default(),
        last_chunk_at: request.arrived_at,
    };
    forwarding.run().await
}

impl Forwarding<'_> {
    async fn run(mut self) -> bool {
        loop {
            let input = match self.exchange.phase() {
                Phase::SelectingUpstream => self.select_upstream().await,
                Phase::AwaitingResponse | Phase::Relaying(_) | Phase::Finished => {
                    self.next_input().await
                }
            };
            let source = match &input {
                Input::Attempt(id, _) => Some(*id),
                _ => None,
            };
            for action in self.exchange.handle(input) {
                if let Some(reusable) = self.perform(action).await {
                    return reusable;
                }
            }
            self.slots.iter_mut().for_each(AttemptSlot::start_step);
            self.update_silence_timer(source);
        }
    }

    /// Waits for the next event of the attempts in flight, or for a hedge.
    async fn next_input(&mut self) -> Input {
        loop {
            let Forwarding {
                slots: [first, second],
                silence,
                ..
            } = self;
            let first = async { Some(Input::Attempt(0, first.next_event().await)) };
            let second = async { Some(Input::Attempt(1, second.next_event().await)) };
            let poll = async {
                match silence {
                    Some(silence) => (&mut silence.poll).await,
                    None => future::pending().await,
                };
                None
            };
            if let Some(input) = future::or(future::or(first, second), poll).await {
                return input;
            }
            if let Some(upstream) = self.check_silence() {
                return Input::HedgeUpstreamSelected(upstream);
            }
        }
    }

    /// Performs an action; once the exchange is finished, returns whether the client's connection can be reused.
    async fn perform(&mut self, action: Action) -> Option<bool> {
        match action {
            Action::Start {
                id,
                upstream,
                may_reuse_connection,
                resume_after,
            } => self.start_attempt(
                id,
                AttemptOptions {
                    upstream,
                    may_reuse_connection,
                    resume_after,
                },
            ),
            Action::ApplyLoadReport(id) => {
                if let Some(attempt) = self.slots[id].attempt() {
                    attempt.apply_load_report();
                }
            }
            Action::RecordLatency(id) => self.record_latency(id),
            Action::Relay {
                id,
                with_head,
                bytes,
                is_last,
            } => {
                if !self.relay(id, with_head, &bytes, is_last).await {
                    return Some(false);
                }
            }
            Action::KeepFailure(_) => self.kept_failure = self.last_response.take(),
            Action::ReleaseConnection(id, outcome) => {
                if let Some(mut attempt) = self.slots[id].take() {
                    self.record_attempt_end(&attempt, outcome);
                    self.released_connections
                        .extend(attempt.release_connection(outcome));
                    self.last_response = attempt.take_response();
                }
            }
            Action::CloseConnection(id, outcome) => {
                if let Some(mut attempt) = self.slots[id].take() {
                    self.record_attempt_end(&attempt, outcome);
                    self.last_response = attempt.take_response();
                    attempt.close(outcome);
                }
            }
            Action::Abandon(id) => self.slots[id] = AttemptSlot::Empty,
            Action::Finish(response) => {
                return Some(self.finish(response).await && !self.client.close);
            }
        }
        None
    }

    fn start_attempt(&mut self, id: AttemptId, options: AttemptOptions) {
        let excluded = self.released_connections.clone();
        let attempt = Attempt::new(self.context, self.request, self.params, options, excluded);
        self.log.attempt_started(attempt.identifier().to_owned());
        self.slots[id] = AttemptSlot::Paused(Box::new(attempt));
    }

    /// Writes part of a stream to the client; returns whether the write completed.
    async fn relay(&mut self, id: AttemptId, with_head: bool, bytes: &[u8], is_last: bool) -> bool {
        let timeout = self.request.time_left(self.context.clock.now()) + CLIENT_WRITE_GRACE_MS;
        let increasing = self.delivered_ids.record(bytes);
        check(Invariant::EventsRise, increasing, || {
            format!("{} at {:?}", self.request.id, self.delivered_ids)
        });
        self.record_chunk(id, with_head);
        let head = self.slots[id]
            .attempt()
            .and_then(Attempt::head)
            .filter(|_| with_head);
        if let Some(head) = head {
            self.check_response_is_own(head);
        }
        let chunk = StreamChunk {
            head,
            bytes,
            is_last,
        };
        self.client.relay(&chunk, timeout).await
    }

    fn record_latency(&mut self, id: AttemptId) {
        if !self.params.streaming {
            self.record_response_start(id);
        }
        if let Some(attempt) = self.slots[id].attempt() {
            attempt.record_latency();
        }
    }

    /// Records a chunk that is relayed to the client, and whether it is late.
    fn record_chunk(&mut self, id: AttemptId, is_first: bool) {
        let now = self.context.clock.now();
        let pause = now - std::mem::replace(&mut self.last_chunk_at, now);
        if is_first {
            self.record_response_start(id);
        } else if self
            .request
            .route
            .event_gap_target_ms
            .is_some_and(|target| pause > target)
        {
            self.log.stream_paused(pause);
        }
    }

    fn record_response_start(&mut self, id: AttemptId) {
        if let Some(attempt) = self.slots[id].attempt() {
            if let Some(write_started_at) = attempt.write_started_at() {
                self.log.response_started(
                    attempt.identifier(),
                    write_started_at,
                    attempt.is_in_other_region(),
                );
            }
        }
    }

    fn record_attempt_end(&mut self, attempt: &Attempt<'_>, outcome: SendOutcome) {
        self.attempted_upstreams.push(attempt.upstream());
        self.log.attempt_ended(attempt.identifier(), outcome);
    }

    /// Sends the client its final response; returns whether its connection is still usable.
    async fn finish(&mut self, response: FinalResponse) -> bool {
        match response {
            FinalResponse::Complete(_) => {
                let response = self.last_response.take();
                self.send_upstream_response(response).await
            }
            FinalResponse::UpstreamFailure => {
                let response = self.kept_failure.take();
                self.send_upstream_response(response).await
            }
            FinalResponse::StreamCompleted => {
                self.log
                    .finished(RequestOutcome::UpstreamResponse(STREAM_STATUS));
                true
            }
            FinalResponse::Aborted => {
                self.log.finished(RequestOutcome::Aborted);
                false
            }
            FinalResponse::Local {
                status,
                code,
                retryable,
            } => self.send_local_response(status, code, retryable).await,
        }
    }

    async fn send_local_response(&mut self, status: u16, code: Code, retryable: bool) -> bool {
        self.log
            .finished(RequestOutcome::LocalResponse(status, code));
        let retry_after =
            retryable.then(|| retry_after_seconds(self.request.route.target_latency_ms));
        let response = LocalResponse {
            status,
            code,
            request_id: &self.request.id,
            retry_after: retry_after.as_deref(),
        };
        self.client.send_local_response(&response).await
    }

    async fn send_upstream_response(&mut self, response: Option<CollectedResponse>) -> bool {
        let Some((head, body)) = response else {
            return false;
        };
        self.check_response_is_own(&head);
        self.log
            .finished(RequestOutcome::UpstreamResponse(head.status));
        self.client.send_response(&head, &body.bytes).await
    }

    /// Checks that an upstream's response that is sent to the client belongs to this request.
    fn check_response_is_own(&self, head: &Head) {
        let summary = summarize_head(head, &self.request.id, &self.context.policy);
        let is_own = summary.owner == ResponseOwner::ThisRequest
            && (summary.sealed || !summary.is_success());
        check(
            Invariant::AnswerIsItsRequests,
            is_own && !indicates_not_executed(summary.status),
            || format!("{} gets {summary:?}", self.request.id),
        );
    }
}
