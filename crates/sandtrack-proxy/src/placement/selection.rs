//! Selection of the upstream that a request goes to. The design's ordinary path (`sandtrack_tiers`) picks at random in the
//! lowest latency tier that has an eligible upstream, and skips those with far more requests in flight than the mean. Which
//! upstreams are eligible is decided here: home regions, evacuated zones, draining, slow start, capacity. Long prompts go by
//! prefix cache affinity instead (`prefix_affinity`), and each proxy uses only a subset of the upstreams (`subset`).
mod prefix_affinity;
mod subset;

use crate::placement::balancer::Balancer;
use crate::request::ProxyRequest;
use sandtrack_tiers::{group_by_tier, overload_limit, pick_in_lowest, Millis};
use std::collections::HashSet;

/// Length of the window in which sends to an upstream in slow start are counted, in ms: a second, and what two sends may
/// come closer together on their way.
const SLOW_START_WINDOW_MS: Millis = 1050.0;

/// Where a request goes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Placement {
    /// To the upstream with this index.
    Send(usize),
    /// No upstream has capacity now; one may soon.
    Wait,
    /// No known upstream may serve it at all.
    Unavailable,
}

/// Candidates for a request, narrowed step by step.
struct Candidates(Vec<usize>);

impl Candidates {
    /// Those that fulfil a condition; all where none does.
    fn prefer(self, condition: impl Fn(usize) -> bool) -> Candidates {
        let preferred: Vec<usize> = self
            .0
            .iter()
            .copied()
            .filter(|index| condition(*index))
            .collect();
        if preferred.is_empty() {
            self
        } else {
            Candidates(preferred)
        }
    }
}

/// One request's choice: what stays the same while sets of candidates are tried in turn.
struct Choice<'a> {
    now: Millis,
    request: &'a ProxyRequest,
    /// Its prompt is long: it goes by prefix cache affinity.
    is_long: bool,
    /// See [`Balancer::prefill_upstreams`].
    prefill_upstreams: HashSet<usize>,
}

impl Balancer {
    /// Chooses an upstream for a request, if possible none of those in `tried`, to which it was sent before.
    pub fn choose_upstream(
        &mut self,
        now: Millis,
        request: &ProxyRequest,
        tried: &[usize],
    ) -> Placement {
        let mut able: Vec<usize> = self
            .upstreams
            .listed()
            .filter(|index| self.may_serve(request, *index))
            .collect();
        // The table gives them in no order; a draw has to mean the same upstream in each run.
        able.sort_unstable();
        if able.is_empty() {
            return Placement::Unavailable;
        }
        // Where all look unhealthy, the signs are more likely wrong than all upstreams dead.
        let Candidates(usable) = Candidates(able)
            .prefer(|index| !tried.contains(&index))
            .prefer(|index| self.upstreams.get(index).failures.is_healthy())
            .prefer(|index| !self.is_in_failed_zone(now, index));
        let is_long = request.shared_tokens() >= self.policy.long_prompt_tokens;
        if is_long {
            self.long_prompt_at = Some(now);
        }
        let choice = Choice {
            now,
            request,
            is_long,
            prefill_upstreams: self.prefill_upstreams(now, &request.service),
        };
        self.choose_among(&choice, &usable)
    }

    /// Tries the subset first, then all usable upstreams, and only then their queues.
    fn choose_among(&mut self, choice: &Choice<'_>, usable: &[usize]) -> Placement {
        let subset = if choice.is_long {
            usable.to_vec()
        } else {
            self.subset(usable, &choice.prefill_upstreams)
        };
        let max_queue = self.policy.max_queue_ratio;
        for (candidates, queue_ratio) in [(&*subset, 0.0), (usable, 0.0), (usable, max_queue)] {
            if let Some(index) = self.pick_with_capacity(choice, candidates, queue_ratio) {
                if !choice.is_long {
                    self.record_remote_use(choice.now, index);
                }
                return Placement::Send(index);
            }
        }
        Placement::Wait
    }

    /// Whether the list, evacuations and home regions let this upstream serve the request.
    fn may_serve(&self, request: &ProxyRequest, index: usize) -> bool {
        let upstream = self.upstreams.get(index);
        let entry = &upstream.entry;
        upstream.listed
            && !entry.draining
            && entry.service == request.service
            && !self.evacuated_zones.contains(&entry.zone)
            && request.home_regions.allow(&upstream.region)
            && request
                .model
                .as_ref()
                .is_none_or(|model| entry.models.is_empty() || entry.models.contains(model))
    }

    fn record_remote_use(&mut self, now: Millis, index: usize) {
        let upstream = self.upstreams.get(index);
        if upstream.region != self.region {
            let used = (upstream.entry.service.clone(), upstream.region.clone());
            self.remote_last_used.insert(used, now);
        }
    }

    /// Picks one of the candidates that has capacity, its queue filled up to `queue_ratio` times its slots.
    fn pick_with_capacity(
        &mut self,
        choice: &Choice<'_>,
        candidates: &[usize],
        queue_ratio: f64,
    ) -> Option<usize> {
        let now = choice.now;
        let accepting: Vec<usize> = candidates
            .iter()
            .copied()
            .filter(|index| self.is_accepting(now, *index))
            .collect();
        let with_capacity: Vec<usize> = accepting
            .into_iter()
            .filter(|index| self.has_capacity(now, *index, queue_ratio))
            .collect();
        let index = self.pick(choice, &with_capacity)?;
        let upstream = self.upstreams.get_mut(index);
        if upstream.is_in_slow_start(now) {
            upstream.slow_start_sends.record(now);
        }
        Some(index)
    }

    /// Whether it is not backing off, and its slow start leaves room for one more send.
    fn is_accepting(&mut self, now: Millis, index: usize) -> bool {
        let quota = self.slow_start_quota(now, index);
        let upstream = self.upstreams.get_mut(index);
        if now < upstream.backoff_until {
            return false;
        }
        !upstream.is_in_slow_start(now)
            || (upstream.slow_start_sends.count(now, SLOW_START_WINDOW_MS) as u32) < quota
    }

    fn has_capacity(&self, now: Millis, index: usize, queue_ratio: f64) -> bool {
        let upstream = self.upstreams.get(index);
        let load = upstream.load(now, self.policy.reported_load_decay_ms);
        load + 1.0 <= upstream.slots() * (1.0 + queue_ratio)
    }

    fn pick(&mut self, choice: &Choice<'_>, candidates: &[usize]) -> Option<usize> {
        if candidates.is_empty() {
            return None;
        }
        // Long prompts keep to the prefill upstreams and all others off them, where there are such.
        let separated: Vec<usize> = candidates
            .iter()
            .copied()
            .filter(|index| choice.prefill_upstreams.contains(index) == choice.is_long)
            .collect();
        let candidates = if choice.prefill_upstreams.is_empty() || separated.is_empty() {
            candidates
        } else {
            &separated
        };
        if choice.is_long {
            self.pick_prefix_owner(choice.now, choice.request, candidates)
        } else {
            self.pick_in_lowest_tier(choice.now, candidates)
        }
    }

    /// A random pick in the lowest latency tier, that of the own region first; overloaded ones are skipped.
    fn pick_in_lowest_tier(&mut self, now: Millis, candidates: &[usize]) -> Option<usize> {
        let region = self.region.as_str();
        let (upstreams, policy) = (&self.upstreams, &self.policy);
        let rank = |index: usize| {
            let upstream = upstreams.get(index);
            let tier = upstream.probe_time.get().map(|_| upstream.tier.tier);
            (
                upstream.region != region,
                tier.filter(|_| policy.latency_tiers),
            )
        };
        let load = |index: usize| {
            upstreams
                .get(index)
                .load(now, policy.reported_load_decay_ms)
        };
        let limit = if policy.skip_overloaded {
            overload_limit(candidates.iter().map(|index| load(*index) as usize))
        } else {
            f64::INFINITY
        };
        let tiers = group_by_tier(candidates.iter().copied(), rank);
        pick_in_lowest(&mut self.rng, &tiers, |members| {
            let below_limit: Vec<usize> = members
                .iter()
                .copied()
                .filter(|index| load(*index) < limit)
                .collect();
            if below_limit.is_empty() {
                members.to_vec()
            } else {
                below_limit
            }
        })
    }
}
