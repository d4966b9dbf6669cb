//! Policies to compare with, in the laboratory only: they see events as the module does and act by a textbook rule. They
//! own no world, and must never be driven in service.
use crate::scenario::Policy;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg32;
use sandtrack_balancer::interface::*;
use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap};

struct Open {
    arrival: Arrival,
    /// Upstreams tried, and whether each may have run.
    tried: Vec<(u32, bool)>,
    out: bool,
}

pub struct Baseline {
    policy: Policy,
    settings: Settings,
    rng: Pcg32,
    listed: Vec<UpstreamId>,
    out: HashMap<u32, usize>,
    turn: usize,
    open: HashMap<RequestId, Open>,
    due: BinaryHeap<Reverse<(i64, u64)>>,
    ask_at: Option<Millis>,
}

impl Baseline {
    pub fn new(policy: Policy, settings: Settings, seed: u64) -> Self {
        Baseline {
            policy,
            settings,
            rng: Pcg32::seed_from_u64(seed),
            listed: Vec::new(),
            out: HashMap::new(),
            turn: 0,
            open: HashMap::new(),
            due: BinaryHeap::new(),
            ask_at: None,
        }
    }

    /// `truth`: expected time to an answer at each upstream, for the one policy that may see it.
    pub fn handle(
        &mut self,
        now: Millis,
        event: Event,
        truth: &dyn Fn(u32) -> f64,
        actions: &mut Vec<Action>,
    ) {
        match event {
            Event::Start => actions.push(Action::Subscribe),
            Event::List { kind, entries } => {
                if kind != ListKind::Patch {
                    self.listed.clear();
                }
                for entry in entries {
                    self.listed.retain(|id| *id != entry.upstream);
                    if entry.readiness == Readiness::Ready {
                        self.listed.push(entry.upstream);
                    }
                }
                self.listed.sort_unstable();
            }
            Event::ListFailed => {
                let at = now + 500.0 + 500.0 * self.rng.gen::<f64>();
                self.ask_at = Some(at);
                actions.push(Action::Wake { at });
            }
            Event::Request(arrival) => {
                self.due.push(Reverse((
                    (arrival.not_after * 1000.0) as i64,
                    arrival.request.0,
                )));
                actions.push(Action::Wake {
                    at: arrival.not_after,
                });
                let id = arrival.request;
                self.open.insert(
                    id,
                    Open {
                        arrival,
                        tried: Vec::new(),
                        out: false,
                    },
                );
                self.attempt(now, id, truth, actions);
            }
            Event::Finished(end) => self.finished(now, &end, truth, actions),
            Event::ClientGone(id) => drop(self.open.remove(&id)),
            _ => {}
        }
        while self
            .due
            .peek()
            .is_some_and(|due| due.0 .0 as f64 <= now * 1000.0)
        {
            let Some(Reverse((_, id))) = self.due.pop() else {
                break;
            };
            self.give_up(RequestId(id), actions);
        }
        if self.ask_at.is_some_and(|at| at <= now) {
            self.ask_at = None;
            actions.push(Action::Subscribe);
        }
    }

    fn pick(&mut self, tried: &[(u32, bool)], truth: &dyn Fn(u32) -> f64) -> Option<u32> {
        let fresh = |id: &&UpstreamId| !tried.iter().any(|(tried, _)| *tried == id.0);
        let mut from: Vec<u32> = self.listed.iter().filter(fresh).map(|id| id.0).collect();
        if from.is_empty() {
            from = self.listed.iter().map(|id| id.0).collect();
        }
        if from.is_empty() {
            return None;
        }
        let out = |id: &u32| self.out.get(id).copied().unwrap_or_default();
        match self.policy {
            Policy::RoundRobin => {
                self.turn += 1;
                Some(from[self.turn % from.len()])
            }
            Policy::LeastOutstanding => {
                let least = from.iter().map(out).min()?;
                from.retain(|id| out(id) == least);
                Some(from[self.rng.gen_range(0..from.len())])
            }
            Policy::TwoChoices => {
                let (a, b) = (
                    from[self.rng.gen_range(0..from.len())],
                    from[self.rng.gen_range(0..from.len())],
                );
                Some(if out(&b) < out(&a) { b } else { a })
            }
            Policy::Oracle => {
                let start = self.rng.gen_range(0..from.len());
                from.rotate_left(start);
                from.into_iter()
                    .min_by(|a, b| truth(*a).total_cmp(&truth(*b)))
            }
            _ => Some(from[self.rng.gen_range(0..from.len())]),
        }
    }

    fn attempt(
        &mut self,
        now: Millis,
        id: RequestId,
        truth: &dyn Fn(u32) -> f64,
        actions: &mut Vec<Action>,
    ) {
        let Some(request) = self.open.get(&id) else {
            return;
        };
        let tried = request.tried.clone();
        let more = (tried.len() as u32) < self.settings.limits.max_attempts
            && now < request.arrival.not_after;
        let once = self.settings.classes[request.arrival.class.0].idempotency
            == Idempotency::NonIdempotent;
        let allowed = more && !(once && tried.iter().any(|(_, ran)| *ran));
        let place = if allowed {
            self.pick(&tried, truth)
        } else {
            None
        };
        match (place, self.open.get_mut(&id)) {
            (Some(place), Some(request)) => {
                request.tried.push((place, true));
                request.out = true;
                *self.out.entry(place).or_default() += 1;
                actions.push(Action::Send {
                    request: id,
                    upstream: UpstreamId(place),
                });
            }
            _ => self.give_up(id, actions),
        }
    }

    fn finished(
        &mut self,
        now: Millis,
        end: &Finished,
        truth: &dyn Fn(u32) -> f64,
        actions: &mut Vec<Action>,
    ) {
        let Some(request) = self.open.get_mut(&end.request) else {
            return;
        };
        let Some((place, ran)) = request.tried.get_mut(end.attempt as usize) else {
            return;
        };
        if let Some(out) = self.out.get_mut(place) {
            *out = out.saturating_sub(1);
        }
        *ran = !end.outcome.never_ran();
        request.out = false;
        if end.closed || end.outcome == Outcome::Ok {
            self.open.remove(&end.request);
        } else {
            self.attempt(now, end.request, truth, actions);
        }
    }

    fn give_up(&mut self, id: RequestId, actions: &mut Vec<Action>) {
        let Some(request) = self.open.remove(&id) else {
            return;
        };
        let once = self.settings.classes[request.arrival.class.0].idempotency
            == Idempotency::NonIdempotent;
        if request.out {
            let (place, _) = request.tried[request.tried.len() - 1];
            if let Some(out) = self.out.get_mut(&place) {
                *out = out.saturating_sub(1);
            }
            actions.push(Action::Cancel {
                request: id,
                attempt: request.tried.len() as u32 - 1,
            });
        }
        actions.push(if once && request.tried.iter().any(|(_, ran)| *ran) {
            Action::Fail { request: id }
        } else {
            Action::Refuse {
                request: id,
                retry_after: None,
            }
        });
    }
}
