//! Detects an attempt that has been silent for too long: its upstream is probed, and the request may be hedged.
use super::Forwarding;
use crate::exchange::state::{AttemptId, Phase, WatchedAttempt};
use async_io::Timer;
use sandtrack_tiers::Millis;

/// Target for the pauses within a stream where the route sets none, in ms.
const DEFAULT_STREAM_GAP_TARGET_MS: Millis = 500.0;

/// Timer for the silence of an attempt.
pub(super) struct SilenceTimer {
    watched: WatchedAttempt,
    /// When the attempt is considered silent.
    silent_at: Millis,
    /// When the attempt is checked next, at `silent_at` at the latest.
    pub(super) poll: Timer,
}

impl Forwarding<'_> {
    /// Checks whether the watched attempt is silent or its upstream unhealthy. If so, probes that upstream and, where hedging is
    /// allowed, returns an upstream for the hedge.
    pub(super) fn check_silence(&mut self) -> Option<usize> {
        let now = self.context.clock.now();
        let poll_interval = self.context.policy.suspect_check_ms;
        let upstream = self.silence.as_ref()?.watched.upstream;
        let healthy = self.is_upstream_healthy(upstream);
        let silence = self.silence.as_mut()?;
        let clock = self.context.clock;
        if now < silence.silent_at && healthy {
            silence
                .poll
                .set_at(clock.at(silence.silent_at.min(now + poll_interval)));
            return None;
        }
        silence.silent_at = now;
        silence.poll.set_at(clock.at(now + poll_interval));
        self.context.balancer.borrow_mut().probe_now(now, upstream);
        if !self.exchange.may_hedge() || !self.context.policy.hedging {
            return None;
        }
        let mut excluded = self.attempted_upstreams.clone();
        excluded.push(upstream);
        let other = self
            .pick_upstream(now, &excluded)
            .filter(|other| *other != upstream)?;
        self.take_from_retry_budget(now).then_some(other)
    }

    /// Sets the timer after an event of the attempt `source`. Silence is measured from the last chunk relayed from the watched
    /// attempt, or from its start.
    pub(super) fn update_silence_timer(&mut self, source: Option<AttemptId>) {
        let now = self.context.clock.now();
        let Some(watched) = self.exchange.watched_attempt() else {
            self.silence = None;
            return;
        };
        let is_relaying = self.exchange.phase() == Phase::Relaying(watched.id);
        let relayed_now = is_relaying && source == Some(watched.id);
        let is_same = self
            .silence
            .as_ref()
            .is_some_and(|silence| silence.watched == watched);
        if is_same {
            if relayed_now {
                self.extend_silence(now + self.max_stream_gap(watched.upstream));
            }
            return;
        }
        let poll_interval = self.context.policy.suspect_check_ms;
        let (silent_at, poll_at) = if is_relaying && !relayed_now {
            // Its hedge failed, and it is still silent.
            (now, now + poll_interval)
        } else {
            let silent_at = now + self.silence_timeout(is_relaying, watched.upstream);
            let poll_at = if self.is_upstream_healthy(watched.upstream) {
                silent_at.min(now + poll_interval)
            } else {
                now
            };
            (silent_at, poll_at)
        };
        self.silence = Some(SilenceTimer {
            watched,
            silent_at,
            poll: Timer::at(self.context.clock.at(poll_at)),
        });
    }

    /// Postpones `silent_at`. The timer need not be reset: it fires before and is set again then.
    fn extend_silence(&mut self, silent_at: Millis) {
        if let Some(silence) = &mut self.silence {
            silence.silent_at = silent_at;
        }
    }

    fn is_upstream_healthy(&self, upstream: usize) -> bool {
        let balancer = self.context.balancer.borrow();
        balancer.upstreams.get(upstream).failures.is_healthy()
    }

    /// How long the attempt at this upstream may be silent, from now on, in ms.
    fn silence_timeout(&self, is_relaying: bool, upstream: usize) -> Millis {
        if is_relaying {
            self.max_stream_gap(upstream)
        } else {
            self.context
                .balancer
                .borrow()
                .hedge_delay(self.request, upstream)
        }
    }

    /// Longest pause before a stream is considered silent, in ms.
    fn max_stream_gap(&self, upstream: usize) -> Millis {
        let target = self
            .request
            .route
            .event_gap_target_ms
            .unwrap_or(DEFAULT_STREAM_GAP_TARGET_MS);
        let balancer = self.context.balancer.borrow();
        let average = balancer
            .upstreams
            .get(upstream)
            .probe_time
            .get()
            .unwrap_or(0.0);
        target * self.context.policy.stall_ratio + 2.0 * average
    }
}
