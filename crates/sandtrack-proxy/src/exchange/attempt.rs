//! One attempt: sends a request to one upstream on one connection and reads the response, a step at a time. What an event
//! means for the exchange is decided in [`state`](crate::exchange::state).
mod collected_body;
mod head_summary;
mod steps;

use crate::context::ProxyContext;
use crate::exchange::state::ExchangeParams;
use crate::placement::balancer::SendOutcome;
use crate::placement::prefill_queue::PrefillEstimate;
use crate::placement::upstreams::ServerLoad;
use crate::request::ProxyRequest;
use crate::upstream_connections::pool::Connection;
pub use collected_body::CollectedBody;
pub use head_summary::summarize_head;
use sandtrack_sidecar_core::message::Head;
use sandtrack_tiers::Millis;

/// Reports the outcome to the balancer when the attempt is dropped, whatever becomes of it.
struct OutcomeGuard<'a> {
    context: &'a ProxyContext,
    /// Index of the upstream.
    upstream: usize,
    outcome: SendOutcome,
}

impl Drop for OutcomeGuard<'_> {
    fn drop(&mut self) {
        let now = self.context.clock.now();
        self.context
            .balancer
            .borrow_mut()
            .send_finished(now, self.upstream, self.outcome);
    }
}

/// What an attempt needs to know of its upstream.
struct UpstreamAddress {
    identifier: String,
    address: String,
    /// Connections that this process may hold to it.
    connection_limit: usize,
}

/// What was decided of an attempt.
#[derive(Clone, Copy, Debug)]
pub struct AttemptOptions {
    /// Index of the upstream.
    pub upstream: usize,
    /// An idle connection will do.
    pub may_reuse_connection: bool,
    /// Ask for the stream behind the event with this id.
    pub resume_after: Option<u64>,
}

/// One attempt in flight.
pub struct Attempt<'a> {
    context: &'a ProxyContext,
    request: &'a ProxyRequest,
    params: ExchangeParams,
    options: AttemptOptions,
    address: UpstreamAddress,
    // Declared before the guard: the connection is closed before the balancer is told.
    connection: Option<Connection>,
    outcome: OutcomeGuard<'a>,
    /// How long the upstream is expected to prefill the prompt, where it is long.
    prefill_estimate: Option<PrefillEstimate>,
    /// When the write of the request began.
    write_started_at: Option<Millis>,
    request_written: bool,
    head: Option<Head>,
    /// The body so far of a response that is collected.
    body: CollectedBody,
}

impl<'a> Attempt<'a> {
    /// A new attempt, which counts at its upstream from here on.
    pub fn new(
        context: &'a ProxyContext,
        request: &'a ProxyRequest,
        params: ExchangeParams,
        options: AttemptOptions,
    ) -> Attempt<'a> {
        let upstream = options.upstream;
        let mut balancer = context.balancer.borrow_mut();
        balancer.send_started(upstream);
        let prefill_estimate = balancer.long_prompt_sent(context.clock.now(), request, upstream);
        let connection_limit = balancer.connection_quota(upstream);
        if prefill_estimate.is_some() {
            context.notify_state_changed();
        }
        let entry = &balancer.upstreams.get(upstream).entry;
        let address = UpstreamAddress {
            identifier: entry.identifier.clone(),
            address: entry.address.clone(),
            connection_limit,
        };
        Attempt {
            context,
            request,
            params,
            options,
            address,
            connection: None,
            outcome: OutcomeGuard {
                context,
                upstream,
                outcome: SendOutcome::Cancelled,
            },
            prefill_estimate,
            write_started_at: None,
            request_written: false,
            head: None,
            body: CollectedBody::new(context),
        }
    }

    /// Identifier of its upstream.
    #[must_use]
    pub fn identifier(&self) -> &str {
        &self.address.identifier
    }

    /// Index of its upstream.
    #[must_use]
    pub fn upstream(&self) -> usize {
        self.options.upstream
    }

    /// When the write of the request began.
    #[must_use]
    pub fn write_started_at(&self) -> Option<Millis> {
        self.write_started_at
    }

    /// Whether its upstream is in another region.
    #[must_use]
    pub fn is_in_other_region(&self) -> bool {
        let balancer = self.context.balancer.borrow();
        balancer.upstreams.get(self.upstream()).region != balancer.region
    }

    /// The response's head, once it came.
    #[must_use]
    pub fn head(&self) -> Option<&Head> {
        self.head.as_ref()
    }

    /// Takes the collected response out.
    pub fn take_response(&mut self) -> Option<(Head, CollectedBody)> {
        let head = self.head.take()?;
        let body = std::mem::replace(&mut self.body, CollectedBody::new(self.context));
        Some((head, body))
    }

    /// Applies what the head reports of its upstream: load, and how long it still warms up.
    pub fn apply_load_report(&self) {
        let Some(head) = &self.head else { return };
        let load = head.headers.get("server-load").and_then(ServerLoad::parse);
        let cold_remaining = head
            .headers
            .get("cold-remaining")
            .and_then(|value| value.trim().parse().ok());
        let now = self.context.clock.now();
        self.context.balancer.borrow_mut().load_reported(
            now,
            self.upstream(),
            load,
            cold_remaining,
        );
    }

    /// Records the time to the first part of the response.
    pub fn record_latency(&self) {
        let Some(write_started_at) = self.write_started_at else {
            return;
        };
        let elapsed = self.context.clock.now() - write_started_at;
        self.context.balancer.borrow_mut().first_byte_received(
            self.request,
            self.upstream(),
            elapsed,
            self.prefill_estimate.as_ref(),
        );
    }

    /// Ends the attempt and closes its connection.
    pub fn close(mut self, outcome: SendOutcome) {
        self.outcome.outcome = outcome;
    }

    /// Ends the attempt and returns its connection to the pool.
    pub fn release_connection(&mut self, outcome: SendOutcome) {
        self.outcome.outcome = outcome;
        if let (Some(connection), Some(head)) = (self.connection.take(), &self.head) {
            let now = self.context.clock.now();
            self.context
                .pool
                .borrow_mut()
                .release(&self.address.identifier, connection, head, now);
        }
    }
}
