//! What comes in: its turn, until when an answer is of use, how much of that time one may fill, its worth.
use super::*;

// Part of the time left that a predicted answer may fill, where late work goes on: answers scatter about the
// mean that is predicted. Where it ends by itself, all of the time left ...
const ADMIT: f64 = 0.7;
const ADMIT_FEW: f64 = 0.5; // (where only few may miss and no second copy helps a late one)
const WASTE: f64 = 2.2; // ... less so many times the price of wasted work: queues make late answers
const ADMIT_LEAST: f64 = 0.6; // what one of no worth may fill of that; the rest of the range goes by worth
const FORGOTTEN: f64 = 0.1; // what is left of one request when its key is forgotten
const PART_EVERY: Millis = 1000.0; // the part is looked at again this often
const RETRY_EARN: f64 = 0.05; // attempts beyond the first that each request earns: retries amplify overload
const STARVED: f64 = 0.7; // part of what goes on of all below which a class has full worth: none is starved
const OVER_SHARE: f64 = 1.2; // a tenant this far above its portion of what comes here is over its share ...
const OVER_LEAST: f64 = 3.0; // ... by so many requests: where few come, one is more than any portion of them

impl Balancer {
    /// The latest end of a request's time that is sure to be in time. Where clocks differ what is told may
    /// have passed before the request came; its client was there then, so the rule allows that much more.
    pub fn latest(settings: &Settings, class: ClassId, now: Millis, told: Millis) -> Millis {
        match settings.rules.deadline_skew {
            error if error > 0.0 => told
                .max(now + error)
                .min(now + settings.classes[class.0].deadline),
            _ => told,
        }
    }

    pub(super) fn arrive(&mut self, now: Millis, mut arrival: Arrival, actions: &mut Vec<Action>) {
        let id = arrival.request;
        arrival.not_after = Self::latest(&self.settings, arrival.class, now, arrival.not_after);
        let key = arrival.key.filter(|_| self.settings.key_affinity);
        self.traffic.came(now, arrival.tenant, key);
        if now - self.part_at > PART_EVERY {
            self.choose_part(now);
            self.traffic.forget_keys(now, FORGOTTEN);
        }
        self.retries = (self.retries + RETRY_EARN).min(RETRY_SAVED);
        let began = self.began(now, &arrival);
        let request = Request::new(arrival, self.settings.limits, began);
        let ends = self.late_work_ends(&request);
        let expiry = if ends {
            self.useful_until(&request) - self.settings.event_interval
        } else {
            request.arrival.not_after
        };
        self.timers.set(expiry.max(now), Timer::Expire(id));
        let key = self.ordered(&request);
        self.requests.insert(id, request);
        // The rule on order: it goes when all before it with its key are over and the key has rested.
        match key.map(|key| self.turns.join(key, id)) {
            Some((ahead, rests)) if ahead > 0 || rests > now => self.waits(now, id, actions),
            _ => self.start(now, id, actions),
        }
    }

    /// A request that waits for its turn is given up as soon as those before it, the key's rest and its own
    /// answer take more than its time: so a key that many ask for fills no queue that ends in late answers.
    pub(super) fn waits(&mut self, now: Millis, id: RequestId, actions: &mut Vec<Action>) {
        let Some(request) = self.requests.get(&id).filter(|_| self.is_waiting(id)) else {
            return;
        };
        let class = request.arrival.class.0;
        let (ahead, rests) = self
            .ordered(request)
            .map_or((0, now), |key| self.turns.ahead(key, id));
        let time = self
            .traffic
            .class_time(class)
            .unwrap_or(self.settings.classes[class].target_latency * SPILL);
        let last = self.useful_until(request) - time * (ahead + 1) as f64 - (rests - now).max(0.0);
        if last > now + self.settings.event_interval.max(PROBE_MIN) {
            self.timers.set(last, Timer::Waits(id));
        } else {
            self.give_up(id, actions);
        }
    }

    pub(super) fn start(&mut self, now: Millis, id: RequestId, actions: &mut Vec<Action>) {
        let Some(mut request) = self.requests.remove(&id) else {
            return;
        };
        let wait = self.ask(now, &request, actions);
        request.asked = wait.map(|_| now);
        self.requests.insert(id, request);
        match wait {
            Some(wait) => self.timers.set(now + wait, Timer::Asked(id)),
            None => self.try_once(now, id, false, actions),
        }
    }

    /// A client's repeat has what is left of its first try's time: work for one whose time is over is wasted.
    /// It is taken for a repeat of the eldest unserved request of its class and tenant.
    fn began(&mut self, now: Millis, arrival: &Arrival) -> Millis {
        self.unserved.forget(now, &self.settings.classes);
        let eldest = arrival
            .retry
            .then(|| self.unserved.take(arrival.class, arrival.tenant));
        eldest.flatten().unwrap_or(now)
    }

    /// Work for an answer that is worth nothing any more takes the room of another, and is called off. Where
    /// tries may not overlap, a called-off one is held to go on all the same, and nothing would be won, but
    /// where its answer would hold a buffer that others wait for.
    fn late_work_ends(&self, request: &Request) -> bool {
        let (limits, class) = (
            request.limits,
            &self.settings.classes[request.arrival.class.0],
        );
        let gains = limits.parallel_attempts || limits.answer_buffers.is_some();
        limits.cancel && gains && class.late_value <= 0.0 && !class.stream
    }

    /// Worth of a request beside the best there is, less when its tenant is past its share.
    fn worth(&self, request: &Request, now: Millis) -> f64 {
        let best = self.aims().map(|(worth, _)| worth).fold(0.0, f64::max);
        let class = request.arrival.class;
        let starves = self.traffic.starves(class, STARVED);
        let worth = if starves {
            1.0
        } else {
            self.settings.classes[class.0].value / best.max(1e-9)
        };
        let over = request.arrival.tenant.is_some_and(|tenant| {
            let portion = self.settings.tenants[tenant.0].portion * self.traffic.rate(now);
            self.traffic.tenant_rate(tenant, now) > OVER_SHARE * portion + OVER_LEAST / MEMORY
        });
        worth
            * if over {
                self.settings.over_share_value
            } else {
                1.0
            }
    }

    /// The time that a predicted answer may fill.
    pub(super) fn room(&self, now: Millis, request: &Request) -> Millis {
        let class = &self.settings.classes[request.arrival.class.0];
        // A queue that a patient class of little worth fills would shut out the worthier: it has their room.
        let share = self.class_share(request.arrival.class);
        let worthier = self
            .aims()
            .filter(|(worth, _)| *worth > class.value)
            .map(|(_, aim)| aim);
        let left = worthier.fold((self.useful_until(request) - now) / share, f64::min);
        let admit = ADMIT_LEAST + (1.0 - ADMIT_LEAST) * self.worth(request, now);
        let ends = (1.0 - WASTE * self.settings.penalties.waste).max(1.0 - ADMIT);
        // Answers scatter: room is left where only few may miss, most where no second copy helps a late one.
        let few = self.settings.goal.tail_weight > 0.0;
        let most = if few && !request.limits.parallel_attempts {
            ADMIT_FEW
        } else {
            ADMIT
        };
        left * (admit
            * if self.late_work_ends(request) && !few {
                ends
            } else {
                most
            })
    }
}
