//! A front for tests: feeds events, records actions. It models no server; tests say what servers do.
#![allow(dead_code)]
use sandtrack_balancer::interface::*;
use sandtrack_balancer::Balancer;

pub fn class(effect: Idempotency) -> Class {
    Class {
        target_latency: 400.0,
        target_stretch: 0.0,
        deadline: 1000.0,
        idempotency: effect,
        value: 1.0,
        late_value: 0.0,
        stream: false,
        in_order: false,
        enabled: true,
    }
}

pub fn settings(effect: Idempotency) -> Settings {
    Settings {
        zone: ZoneId(0),
        balancer_index: 0,
        balancer_count: 2,
        classes: vec![class(effect)],
        tenants: Vec::new(),
        over_share_value: 0.1,
        discovery_on_request: true,
        feedback: Feedback::OnProbe,
        weights: Weights::Off,
        key_affinity: false,
        goal: Goal {
            tail_weight: 0.0,
            miss_allowed: 0.0,
        },
        limits: Limits {
            cancel: true,
            probes: true,
            peers: false,
            parallel_attempts: false,
            max_attempts: 4,
            max_open: 1000,
            max_retry_after: Some(500.0),
            connect_timeout: 100.0,
            answer_buffers: None,
        },
        penalties: Penalties {
            cross_zone: 0.0,
            probe: 0.01,
            waste: 0.02,
            late_fail: 0.03,
            peer: 0.01,
        },
        rules: Rules {
            answer_slack: 5.0,
            list_retry_limit: 10_000.0,
            cold_capacity: 0.3,
            warmup: 8000.0,
            drain_grace: 500.0,
            overload_window: 2000.0,
            overload_factor: 2.5,
            ordered_key_gap: 0.0,
            deadline_skew: 0.0,
            start_time_error: 0.0,
            soft_removal: false,
        },
        event_interval: 1.0,
    }
}

pub fn entry(id: u32) -> Entry {
    Entry {
        upstream: UpstreamId(id),
        identity: u64::from(id),
        readiness: Readiness::Ready,
        cell: id,
        machine_type: 0,
        scale: 1.0,
        zone: ZoneId(id),
        started_at: None,
    }
}

/// A request that its client abandons after 1 s.
pub fn arrival(request: u64, now: Millis) -> Arrival {
    Arrival {
        request: RequestId(request),
        class: ClassId(0),
        tenant: None,
        not_after: now + 1000.0,
        retry: false,
        key: None,
        cost: None,
    }
}

pub struct Front {
    pub balancer: Balancer,
    pub now: Millis,
    /// The last wake asked for, and all actions so far.
    pub wake: Millis,
    pub seen: Vec<Action>,
    next: u64,
}

impl Front {
    pub fn new(settings: Settings, upstreams: u32) -> Self {
        Front::seeded(settings, 7, upstreams)
    }

    pub fn seeded(settings: Settings, seed: u64, upstreams: u32) -> Self {
        let mut front = Front {
            balancer: Balancer::new(settings, seed),
            now: 1000.0,
            wake: 1000.0,
            seen: Vec::new(),
            next: 0,
        };
        front.feed(Event::Start);
        let entries = (0..upstreams).map(entry).collect();
        front.feed(Event::List {
            kind: ListKind::Stale,
            entries,
        });
        front
    }

    pub fn feed(&mut self, event: Event) -> Vec<Action> {
        let mut actions = Vec::new();
        self.balancer.handle(self.now, event, &mut actions);
        for action in &actions {
            if let Action::Wake { at } = action {
                self.wake = *at;
            }
        }
        self.seen.extend(actions.iter().cloned());
        actions
    }

    pub fn at(&mut self, now: Millis, event: Event) -> Vec<Action> {
        self.now = now;
        self.feed(event)
    }

    pub fn probe(&mut self, id: u32, elapsed: Millis, ok: bool) -> Vec<Action> {
        self.feed(Event::Probed {
            upstream: UpstreamId(id),
            elapsed,
            ok,
            report: None,
        })
    }

    pub fn request(&mut self) -> (RequestId, Vec<Action>) {
        self.next += 1;
        (
            RequestId(self.next),
            self.feed(Event::Request(arrival(self.next, self.now))),
        )
    }

    pub fn finish(
        &mut self,
        request: RequestId,
        attempt: u32,
        outcome: Outcome,
        elapsed: Millis,
    ) -> Vec<Action> {
        let closed = outcome == Outcome::Ok;
        self.feed(Event::Finished(Finished {
            request,
            attempt,
            outcome,
            elapsed,
            closed,
            report: None,
        }))
    }

    /// Sends `count` requests that are answered at once; the upstreams they went to.
    pub fn spread(&mut self, count: usize) -> Vec<u32> {
        (0..count)
            .map(|_| {
                let (request, actions) = self.request();
                let to = sent_to(&actions).expect("a send");
                self.finish(request, 0, Outcome::Ok, 10.0);
                to
            })
            .collect()
    }
}

pub fn sent_to(actions: &[Action]) -> Option<u32> {
    actions.iter().find_map(|action| match action {
        Action::Send { upstream, .. } => Some(upstream.0),
        _ => None,
    })
}

pub fn probes(actions: &[Action]) -> Vec<u32> {
    let upstream = |action: &Action| match action {
        Action::Probe { upstream } => Some(upstream.0),
        _ => None,
    };
    actions.iter().filter_map(upstream).collect()
}

pub fn final_answers(actions: &[Action]) -> usize {
    actions
        .iter()
        .filter(|a| matches!(a, Action::Refuse { .. } | Action::Fail { .. }))
        .count()
}

pub fn refused(actions: &[Action]) -> bool {
    actions
        .iter()
        .any(|action| matches!(action, Action::Refuse { .. }))
}
