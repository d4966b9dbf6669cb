//! Attempts: the first and further ones, second copies, what ends unserved, and what must not run twice.
use super::*;

const HEDGE: f64 = 3.0; // a second copy goes out when the first took this many times its predicted time ...
const HEDGE_LEAST: f64 = 0.5; // ... and at least this part of the time wanted
const OVERDUE: f64 = 2.0; // where buffers are told: over so many times what one takes that has room
const COME_BACK: f64 = 0.25; // of the time wanted, told to a refused client: its next try may be in time

impl Balancer {
    /// Send the request's next attempt, or answer finally when none can help. `copy`: another is still out.
    pub(super) fn try_once(
        &mut self,
        now: Millis,
        id: RequestId,
        copy: bool,
        actions: &mut Vec<Action>,
    ) {
        let Some(mut request) = self.requests.remove(&id) else {
            return;
        };
        let more = (request.attempts.len() as u32) < request.limits.max_attempts
            && now < request.arrival.not_after;
        // Work that may be done twice is paid for from the budget, and so is a third try where two were full;
        // an error's is over, and its server rests.
        let full = request
            .attempts
            .iter()
            .filter(|a| a.outcome == Some(Outcome::Full))
            .count();
        let repeat = full > 1
            || request
                .may_have_run()
                .any(|a| a.outcome != Some(Outcome::Error));
        let peers = self.peers(now);
        let place = if more && (!repeat || self.retries >= 1.0) {
            self.place(now, &request, peers)
        } else {
            None
        };
        if let Some(place) = place {
            if repeat {
                self.retries -= 1.0;
            }
            self.send(now, &mut request, place, peers, actions);
        }
        self.requests.insert(id, request);
        if place.is_none() && !copy {
            self.give_up(id, actions);
        }
    }

    fn send(
        &mut self,
        now: Millis,
        request: &mut Request,
        place: usize,
        peers: Peers,
        actions: &mut Vec<Action>,
    ) {
        let predicted =
            self.predict(place, 0, peers, now) * self.class_share(request.arrival.class);
        let (id, number) = (request.arrival.request, request.attempts.len());
        let class = &self.settings.classes[request.arrival.class.0];
        if request.limits.answer_buffers.is_some() {
            self.timers.set(
                now + self.overdue(request.arrival.class) + self.settings.event_interval,
                Timer::Blocked,
            );
        }
        let again = class.idempotency != Idempotency::NonIdempotent && !class.stream;
        let late = (predicted * HEDGE).max(class.target_latency * HEDGE_LEAST);
        let in_time = now + late < self.useful_until(request);
        let last = number as u32 + 1 >= request.limits.max_attempts;
        if again && in_time && !last && request.limits.parallel_attempts {
            self.timers.set(now + late, Timer::Hedge(id, number));
        }
        let upstream = &mut self.fleet[place];
        request.attempts.push(Attempt {
            upstream: place,
            sent: now,
            held: upstream.held(),
            outcome: None,
        });
        upstream.out.push(now);
        actions.push(Action::Send {
            request: id,
            upstream: upstream.entry.upstream,
        });
    }

    pub(super) fn hedge(
        &mut self,
        now: Millis,
        id: RequestId,
        attempt: usize,
        actions: &mut Vec<Action>,
    ) {
        let late = |r: &Request| r.out_since().is_some() && r.attempts.len() == attempt + 1;
        if self.requests.get(&id).is_some_and(late) {
            self.try_once(now, id, true, actions);
        }
    }

    fn overdue(&self, class: ClassId) -> Millis {
        self.rested() * self.class_share(class) * OVERDUE
    }

    /// Clients that read slowly hold the few buffers, and no other answer gets through meanwhile: of as many
    /// overdue attempts as there are buffers the eldest is over, whose own answer will be late. Where
    /// upstreams are slow, it takes answers that would come in time yet from those that have many out.
    pub(super) fn unblock(&mut self, now: Millis, actions: &mut Vec<Action>) {
        let due = |r: &&Request| {
            r.out_since()
                .is_some_and(|at| at + self.overdue(r.arrival.class) <= now)
        };
        let overdue = self
            .requests
            .values()
            .filter(due)
            .map(|r| (micros(r.began), r.arrival.request));
        let overdue: Vec<_> = overdue.collect();
        if self
            .settings
            .limits
            .answer_buffers
            .is_some_and(|buffers| overdue.len() >= buffers as usize)
        {
            overdue
                .into_iter()
                .min()
                .into_iter()
                .for_each(|(_, id)| self.give_up(id, actions));
        }
    }

    /// Rule 2: whether an attempt here can make no effect happen twice, as late as its connection comes up.
    pub(super) fn in_group(&self, request: &Request, place: usize, now: Millis) -> bool {
        let (own, late) = (
            &self.fleet[place].entry,
            self.settings.limits.connect_timeout,
        );
        match self.settings.classes[request.arrival.class.0].idempotency {
            Idempotency::Idempotent => true,
            Idempotency::NonIdempotent => request.may_have_run().next().is_none(),
            Idempotency::Keyed { scope, window } => request.may_have_run().all(|attempt| {
                let earlier = &self.fleet[attempt.upstream].entry;
                let same = match scope {
                    DedupScope::All => true,
                    DedupScope::Zone => earlier.zone == own.zone,
                    DedupScope::Cell => earlier.cell == own.cell,
                };
                same && now + self.settings.event_interval + late < attempt.sent + window
            }),
        }
    }

    /// Rule 2: whether a refusal, which tells the client that a retry is harmless, would be true.
    fn may_refuse(&self, request: &Request) -> bool {
        match self.settings.classes[request.arrival.class.0].idempotency {
            Idempotency::Idempotent
            | Idempotency::Keyed {
                scope: DedupScope::All,
                ..
            } => true,
            _ => request.may_have_run().next().is_none(),
        }
    }

    /// The final answer of a request that gets no other.
    pub(super) fn give_up(&mut self, id: RequestId, actions: &mut Vec<Action>) {
        let Some(request) = self.requests.get(&id).filter(|r| r.open && !r.streaming) else {
            return;
        };
        if self.may_refuse(request) {
            let aim = self.settings.classes[request.arrival.class.0].target_latency;
            let soon = aim * COME_BACK * jitter(&mut self.rng);
            let retry_after = self
                .settings
                .limits
                .max_retry_after
                .map(|longest| longest.min(soon));
            actions.push(Action::Refuse {
                request: id,
                retry_after,
            });
        } else {
            actions.push(Action::Fail { request: id });
        }
        self.close(id, actions);
    }

    /// The request has its final answer: nothing more is sent for it, and what is out is called off.
    pub(super) fn close(&mut self, id: RequestId, actions: &mut Vec<Action>) {
        let Some(request) = self.requests.get_mut(&id).filter(|r| r.open) else {
            return;
        };
        request.open = false;
        if !request
            .attempts
            .iter()
            .any(|a| a.outcome == Some(Outcome::Ok))
        {
            self.unserved
                .note(request.arrival.class, request.arrival.tenant, request.began);
        }
        request.call_off(None, actions);
        if request.out() == 0 {
            self.forget(id);
        }
    }
}
