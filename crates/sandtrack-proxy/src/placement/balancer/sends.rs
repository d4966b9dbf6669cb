//! This proxy's own sends: what their progress and their outcome say of the upstreams.
use super::Balancer;
use crate::placement::prefill_queue::PrefillEstimate;
use crate::placement::upstreams::ServerLoad;
use crate::request::ProxyRequest;
use sandtrack_invariants::{check, Invariant};
use sandtrack_protocol::frames::PromptSent;
use sandtrack_tiers::Millis;

/// How a send to an upstream ended, as far as the upstream is judged by it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SendOutcome {
    /// The upstream responded.
    Completed,
    /// The upstream said that it is full, or another upstream has its address by now.
    Rejected,
    /// A 5xx of the upstream itself, or bytes that are no response.
    ServerError,
    /// The connection could not be established, or broke.
    ConnectionFailed,
    /// This proxy cancelled it: the client left, or the request's deadline passed.
    Cancelled,
}

impl SendOutcome {
    /// Its name in logs and metrics, which the operators' pages fix.
    pub fn name(self) -> &'static str {
        match self {
            SendOutcome::Completed => "answered",
            SendOutcome::Rejected => "turned_away",
            SendOutcome::ServerError => "faulty",
            SendOutcome::ConnectionFailed => "broken",
            SendOutcome::Cancelled => "given_up",
        }
    }
}

impl Balancer {
    /// A request is sent to an upstream; [`Balancer::send_finished`] has to follow.
    pub fn send_started(&mut self, index: usize) {
        self.upstreams.get_mut(index).in_flight += 1;
    }

    /// Adds a long prompt to the upstream's prefill queue. Returns the estimate of its prefill; `None` for a short prompt.
    pub fn long_prompt_sent(
        &mut self,
        now: Millis,
        request: &ProxyRequest,
        index: usize,
    ) -> Option<PrefillEstimate> {
        let is_long = request.shared_tokens() >= self.policy.long_prompt_tokens;
        is_long.then(|| {
            self.prefill_queues
                .enqueue(now, request, self.upstreams.get(index), &self.policy)
        })
    }

    /// Takes the reports of long prompts that this proxy sent since the last call, for the other proxies.
    pub fn take_prompt_reports(&mut self) -> Vec<PromptSent> {
        self.prefill_queues.take_reports()
    }

    /// A send is over.
    pub fn send_finished(&mut self, now: Millis, index: usize, outcome: SendOutcome) {
        let upstream = self.upstreams.get_mut(index);
        check(Invariant::SendsAreCounted, upstream.in_flight > 0, || {
            format!("none is under way at {}", upstream.entry.identifier)
        });
        upstream.in_flight = upstream.in_flight.saturating_sub(1);
        match outcome {
            SendOutcome::Completed => upstream.failures.record_success(),
            SendOutcome::Rejected | SendOutcome::ServerError => self.back_off(now, index),
            SendOutcome::ConnectionFailed => self.connection_failed(now, index),
            SendOutcome::Cancelled => {}
        }
        if !self.upstreams.get(index).listed {
            self.upstreams.sweep();
        }
    }

    /// Sends nothing more to the upstream for a short while.
    fn back_off(&mut self, now: Millis, index: usize) {
        self.upstreams.get_mut(index).backoff_until = now + self.policy.rejection_backoff_ms;
    }

    fn connection_failed(&mut self, now: Millis, index: usize) {
        self.back_off(now, index);
        let upstream = self.upstreams.get_mut(index);
        upstream.next_probe = now;
        // While neither the region's round trip nor the upstream was ever measured, the time-out may just be too short: the
        // failure is no evidence against the upstream.
        let may_be_alive = self.region_round_trips.get(&upstream.region).is_none()
            && upstream.last_seen_at.is_infinite();
        if !may_be_alive {
            upstream.failures.record_failure();
            self.record_zone_failure(now, index);
        }
    }

    /// Bytes of a response arrived from the upstream.
    pub fn upstream_seen(&mut self, now: Millis, index: usize) {
        let upstream = self.upstreams.get_mut(index);
        upstream.last_seen_at = now;
        self.zone_failures.upstream_seen(&upstream.entry.zone);
    }

    /// A response carried the upstream's load, or for how much longer it is in slow start, in ms.
    pub fn load_reported(
        &mut self,
        now: Millis,
        index: usize,
        load: Option<ServerLoad>,
        slow_start_ms: Option<Millis>,
    ) {
        let upstream = self.upstreams.get_mut(index);
        if let Some(load) = load {
            upstream.report_load(load, now);
        }
        if let Some(remaining) = slow_start_ms {
            upstream.extend_slow_start(remaining, now);
        }
    }

    /// The first byte of a response's content arrived `elapsed` ms after the request was written. `estimate`: what was
    /// estimated for its prompt, where that is long.
    pub fn first_byte_received(
        &mut self,
        request: &ProxyRequest,
        index: usize,
        elapsed: Millis,
        estimate: Option<&PrefillEstimate>,
    ) {
        let region = &self.upstreams.get(index).region;
        if let Some(estimate) = estimate {
            let round_trip = self.region_round_trips.get(region).unwrap_or(0.0);
            self.prefill_queues.record_first_token(
                &request.service,
                estimate,
                elapsed - round_trip,
                &self.policy,
            );
        }
        let is_remote = *region != self.region;
        self.first_byte_latencies
            .entry((request.route.name.clone(), is_remote))
            .or_default()
            .record(elapsed);
    }

    /// Whether a non-idempotent request may use an idle connection to this upstream: it was seen so lately that the
    /// connection is most likely still open.
    pub fn allows_idle_connection_reuse(&self, now: Millis, index: usize) -> bool {
        let upstream = self.upstreams.get(index);
        let distrusted = self.idle_distrusted_until.get(&upstream.entry.service);
        upstream.failures.is_empty()
            && now - upstream.last_seen_at <= self.policy.idle_trust_ms
            && distrusted.is_none_or(|until| now >= *until)
    }

    /// An idle connection to the upstream turned out to be closed, without notice, when it was used again: idle connections of
    /// its service are not trusted for a while.
    pub fn idle_connection_failed(&mut self, now: Millis, index: usize) {
        let service = self.upstreams.get(index).entry.service.clone();
        self.idle_distrusted_until
            .insert(service, now + self.policy.idle_distrust_ms);
    }
}
