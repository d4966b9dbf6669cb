//! One attempt: sends a request to one upstream on one connection and reads the response, one step at a time. How the exchange
//! reacts to each event is decided in [`state`](crate::exchange::state).
mod collected_body;
mod head_summary;
mod steps;

use crate::context::ProxyContext;
use crate::exchange::state::{ExchangeParams, HeadSummary};
use crate::placement::balancer::SendOutcome;
use crate::placement::prefill_queue::PrefillEstimate;
use crate::placement::upstreams::ServerLoad;
use crate::request::ProxyRequest;
use crate::upstream_connections::pool::{Connection, ConnectionId};
pub use collected_body::CollectedBody;
pub use head_summary::summarize_head;
use sandtrack_sidecar_core::message::Head;
use sandtrack_tiers::Millis;

/// Reports the outcome to the balancer when the attempt is dropped, however it ends.
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

/// Identity, address and connection limit of an attempt's upstream.
struct UpstreamAddress {
    identifier: String,
    address: String,
    /// Maximum number of connections from this process to the upstream.
    connection_limit: usize,
}

/// How an attempt is to be made.
#[derive(Clone, Copy, Debug)]
pub struct AttemptOptions {
    /// Index of the upstream.
    pub upstream: usize,
    /// Whether an idle pooled connection may be used.
    pub may_reuse_connection: bool,
    /// Resume the stream after the event with this id.
    pub resume_after: Option<u64>,
}

/// One attempt in flight.
pub struct Attempt<'a> {
    context: &'a ProxyContext,
    request: &'a ProxyRequest,
    params: ExchangeParams,
    options: AttemptOptions,
    /// Connections that carried an earlier attempt of the request. A late copy of a response to that one would be taken for
    /// the response to this one, as both have the request's id.
    excluded_connections: Vec<ConnectionId>,
    address: UpstreamAddress,
    // Declared before `outcome`, so that the connection is closed before the outcome is reported to the balancer.
    connection: Option<Connection>,
    outcome: OutcomeGuard<'a>,
    /// Estimated prefill of the prompt at the upstream; `None` for a short prompt.
    prefill_estimate: Option<PrefillEstimate>,
    /// When the write of the request began.
    write_started_at: Option<Millis>,
    request_written: bool,
    head: Option<Head>,
    /// Summary of `head`.
    head_summary: Option<HeadSummary>,
    /// What has been received of the body, if the response is collected.
    body: CollectedBody,
}

impl<'a> Attempt<'a> {
    /// Creates an attempt and counts it as in flight at its upstream. `excluded_connections`: those that carried an earlier
    /// attempt of the request.
    pub fn new(
        context: &'a ProxyContext,
        request: &'a ProxyRequest,
        params: ExchangeParams,
        options: AttemptOptions,
        excluded_connections: Vec<ConnectionId>,
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
            excluded_connections,
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
            head_summary: None,
            body: CollectedBody::new(context),
        }
    }

    /// Identifier of the upstream.
    #[must_use]
    pub fn identifier(&self) -> &str {
        &self.address.identifier
    }

    /// Index of the upstream.
    #[must_use]
    pub fn upstream(&self) -> usize {
        self.options.upstream
    }

    /// When the write of the request began.
    #[must_use]
    pub fn write_started_at(&self) -> Option<Millis> {
        self.write_started_at
    }

    /// Whether the upstream is in another region than this process.
    #[must_use]
    pub fn is_in_other_region(&self) -> bool {
        let balancer = self.context.balancer.borrow();
        balancer.upstreams.get(self.upstream()).region != balancer.region
    }

    /// The response's head, once it has been received.
    #[must_use]
    pub fn head(&self) -> Option<&Head> {
        self.head.as_ref()
    }

    /// Takes the collected response out of the attempt.
    pub fn take_response(&mut self) -> Option<(Head, CollectedBody)> {
        let head = self.head.take()?;
        let body = std::mem::replace(&mut self.body, CollectedBody::new(self.context));
        Some((head, body))
    }

    /// Reports the load and the remaining slow-start time given in the response's head to the balancer.
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

    /// Records the time from the write of the request until now, the first part of the response.
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

    /// Ends the attempt and returns its connection to the pool; returns which one that is.
    pub fn release_connection(&mut self, outcome: SendOutcome) -> Option<ConnectionId> {
        self.outcome.outcome = outcome;
        let connection = self.connection.take()?;
        let head = self.head.as_ref()?;
        let id = connection.id;
        let now = self.context.clock.now();
        let mut pool = self.context.pool.borrow_mut();
        pool.release(&self.address.identifier, connection, head, now);
        Some(id)
    }
}
