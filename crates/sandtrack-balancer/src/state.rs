//! What a balancer remembers: plain data, how it is kept, and what is read off it. Nothing is decided here: see
//! `rules.rs`.
use crate::interface::*;
use rand::Rng;
use rand_pcg::Pcg32;
use sandtrack_tiers::{ConsecutiveFailures, Member, SmoothedLatency, TierMembership, Tiers};
use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap, HashSet, VecDeque};

/// Decisions of one balancer. Deterministic: the same settings, seed and events give the same actions.
pub struct Balancer {
    pub(crate) settings: Settings,
    pub(crate) rng: Pcg32,
    pub(crate) fleet: Fleet,
    pub(crate) tiers: Tiers,
    /// Places of the upstreams in use, how many warm ones are wanted there, when they were chosen.
    pub(crate) part: Vec<usize>,
    pub(crate) part_size: f64,
    pub(crate) part_at: Millis,
    pub(crate) requests: HashMap<RequestId, Request>,
    pub(crate) timers: Timers,
    pub(crate) turns: Turns,
    pub(crate) traffic: Traffic,
    /// Attempts beyond the first that are earned and not used yet.
    pub(crate) retries: f64,
    pub(crate) unserved: Unserved,
    /// Gap before the list is asked for again after a failure; 0: the last call went well.
    pub(crate) ask_gap: Millis,
    /// The typical pace, and when it was looked for: that goes over all upstreams in use.
    pub(crate) typical: (Millis, [Option<Millis>; 2]),
}

impl Balancer {
    /// One that has seen nothing yet.
    pub(crate) fn remembering(
        settings: Settings,
        rng: Pcg32,
        traffic: Traffic,
        part_size: f64,
        retries: f64,
    ) -> Self {
        Balancer {
            settings,
            rng,
            fleet: Fleet::default(),
            tiers: Tiers::default(),
            part: Vec::new(),
            part_size,
            part_at: 0.0,
            requests: HashMap::new(),
            timers: Timers::default(),
            turns: Turns::default(),
            traffic,
            retries,
            unserved: Unserved::default(),
            ask_gap: 0.0,
            typical: (f64::NEG_INFINITY, [None; 2]),
        }
    }

    pub fn fleet(&self) -> &Fleet {
        &self.fleet
    }

    /// The key by which the request keeps its place, where its class asks for that.
    pub(crate) fn ordered(&self, request: &Request) -> Option<u64> {
        request
            .arrival
            .key
            .filter(|_| self.settings.classes[request.arrival.class.0].in_order)
    }

    pub(crate) fn is_waiting(&self, id: RequestId) -> bool {
        self.requests
            .get(&id)
            .is_some_and(|r| r.open && r.asked.is_none() && r.attempts.is_empty())
    }

    /// Time in which each upstream in use gets a request from here in the mean.
    pub(crate) fn turn(&self, now: Millis) -> Millis {
        self.part.len() as f64 / self.traffic.rate(now)
    }

    /// How much longer than the mean class this one takes: what an upstream's pace is learnt of has a mix of
    /// classes, and one that waits on others for long must not look like a queue to the rest.
    pub(crate) fn class_share(&self, class: ClassId) -> f64 {
        self.traffic
            .class_share(class, |n| self.settings.classes[n].enabled)
    }

    /// When its answer is worth nothing any more.
    pub(crate) fn useful_until(&self, request: &Request) -> Millis {
        let class = &self.settings.classes[request.arrival.class.0];
        if class.late_value > 0.0 {
            return request.arrival.not_after;
        }
        let stretch = class.target_stretch * request.arrival.cost.unwrap_or(0.0);
        let aim = (class.target_latency + stretch).min(class.deadline.max(class.target_latency));
        request.arrival.not_after.min(request.began + aim)
    }

    /// The part of its capacity that a cold upstream has at least; 1 when it is warm.
    pub(crate) fn warmth(&self, upstream: &Upstream, now: Millis) -> f64 {
        let rules = &self.settings.rules;
        let Some(since) = upstream.entry.started_at else {
            return 1.0;
        };
        let climb =
            ((now - since - rules.start_time_error) / rules.warmup.max(1.0)).clamp(0.0, 1.0);
        rules.cold_capacity + (1.0 - rules.cold_capacity) * climb
    }

    /// Forgets a request that has its answer and of which nothing is out; the next with its key may go.
    pub(crate) fn forget(&mut self, id: RequestId) {
        let Some(request) = self.requests.remove(&id) else {
            return;
        };
        if let Some(key) = self.ordered(&request) {
            let at = self.turns.leave(key, id);
            self.timers.set(at, Timer::Turn(key));
        }
    }
}

/// What predictions go by beside the upstream itself: found once for each try, not for each upstream.
#[derive(Clone, Copy)]
pub struct Peers {
    /// Typical pace of near and of far ones, and that of a rested one.
    pub pace: [Option<Millis>; 2],
    pub rested: Millis,
    pub memory: Millis,
}

pub struct Upstream {
    pub entry: Entry,
    pub listed: bool,
    /// Drawn at random: the part in use is the lowest of these. Whether it is in, and its probe timer runs.
    pub rank: u32,
    /// What it can do beside others.
    pub size: f64,
    pub used: bool,
    pub probed: bool,
    pub timed: bool,
    /// Smoothed probe time and the scope of upstreams (tier) it belongs to.
    pub average: SmoothedLatency,
    pub membership: TierMembership,
    pub failures: ConsecutiveFailures,
    /// The list has it as gone, or not at all, and it may still serve.
    pub doubted: bool,
    pub probe_sent: Option<Millis>,
    /// When each of this balancer's attempts that are out was sent.
    pub out: Vec<Millis>,
    pub heard: Millis,
    pub learnt: Learnt,
}

/// What a process taught of itself; void when it restarts.
#[derive(Default)]
pub struct Learnt {
    /// The last report: requests held, own attempts out when it came, when that was.
    pub report: Option<(f64, usize, Millis)>,
    /// Time that the upstream takes for each request it holds, by each load, and when that was last learnt.
    pub pace: Option<[Millis; 2]>,
    pub pace_at: Millis,
    /// The part of its latest answers that are errors.
    pub errors: f64,
    /// How often in a row it turned attempts away, and until when it is left alone for that.
    pub turned_away: i32,
    pub rest_until: Millis,
}

pub struct Attempt {
    pub upstream: usize,
    pub sent: Millis,
    pub held: [f64; 2],
    pub outcome: Option<Outcome>,
}

pub struct Request {
    pub arrival: Arrival,
    /// What was allowed when it came: new settings must not loosen that.
    pub limits: Limits,
    /// When its client began: earlier than its arrival for a marked repeat.
    pub began: Millis,
    pub open: bool,
    pub streaming: bool,
    /// When upstreams were probed for it.
    pub asked: Option<Millis>,
    pub attempts: Vec<Attempt>,
}

#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Timer {
    Probe(usize),
    Subscribe,
    /// The request's client gives up.
    Expire(RequestId),
    /// A request that waits for its turn can't be answered in time any more.
    Waits(RequestId),
    /// The key has rested, or its first request has left.
    Turn(u64),
    /// What was asked for the request has been told.
    Asked(RequestId),
    /// The attempt is late: a second copy may help.
    Hedge(RequestId, usize),
    /// No answer may get through.
    Blocked,
}

/// Spreads what differs in any bit over all bits (the finaliser of SplitMix64).
fn mix(mut bits: u64) -> u64 {
    bits = (bits ^ (bits >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    bits = (bits ^ (bits >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    bits ^ (bits >> 31)
}

/// The lower of the two middle ones where their number is even.
pub fn median(mut figures: Vec<f64>) -> Option<f64> {
    let middle = figures.len().saturating_sub(1) / 2;
    (!figures.is_empty()).then(|| *figures.select_nth_unstable_by(middle, f64::total_cmp).1)
}

/// A mean of all figures at first, and of the latest once `1 / least` have come.
#[derive(Clone, Copy, Default)]
pub struct Mean {
    sum: f64,
    count: f64,
}

impl Mean {
    pub fn add(&mut self, figure: f64, least: f64) {
        let count = (self.count + 1.0).min(1.0 / least);
        self.sum = self.get().unwrap_or(0.0) * (count - 1.0) + figure;
        self.count = count;
    }

    pub fn get(&self) -> Option<f64> {
        (self.count > 0.0).then(|| self.sum / self.count)
    }
}

/// All upstreams that are listed or still referred to, each at a place that it keeps.
#[derive(Default)]
pub struct Fleet {
    pub upstreams: Vec<Upstream>,
    places: HashMap<UpstreamId, usize>,
}

impl Fleet {
    pub fn place(&self, id: UpstreamId) -> Option<usize> {
        self.places.get(&id).copied()
    }

    /// The attempt's body is on its way and may be for long: its upstream begins when all of it has come, and does not
    /// hold it before. Counted as out it stood for a queue where none was.
    pub fn opened(&mut self, attempt: Option<&Attempt>) {
        if let Some(attempt) = attempt {
            self.upstreams[attempt.upstream].give_back(attempt.sent);
        }
    }

    /// Whether a listed upstream is left alone now: it drains, fails, or rests.
    pub fn avoids(&self, id: UpstreamId, now: Millis) -> bool {
        let upstream = self.place(id).map(|place| &self.upstreams[place]);
        upstream.is_none_or(|u| !u.offered() || !u.healthy() || u.learnt.rest_until > now)
    }

    /// New work may go there.
    pub fn offers(&self, id: UpstreamId) -> bool {
        self.place(id)
            .is_some_and(|place| self.upstreams[place].offered())
    }

    /// How many it has a place for.
    pub fn remembered(&self) -> usize {
        self.upstreams.len().max(self.places.len())
    }

    /// The nearest of these to a key, nearest first: the same order at all balancers, weighted by size (rendezvous
    /// hashing).
    pub fn nearest(&self, key: u64, places: &[usize], count: usize) -> Vec<usize> {
        let key = mix(key);
        let distance = |place: &usize| {
            let upstream = &self.upstreams[*place];
            let draw = (mix(upstream.entry.identity ^ key) >> 11) as f64 / (1u64 << 53) as f64;
            ((-(1.0 - draw).ln() / upstream.size).to_bits(), *place)
        };
        let mut order: Vec<(u64, usize)> = places.iter().map(distance).collect();
        if count < order.len() {
            order.select_nth_unstable(count);
            order.truncate(count);
        }
        order.sort_unstable();
        order.into_iter().map(|(_, place)| place).collect()
    }

    /// Takes a list. Upstreams are replaced all day long: one that has left is forgotten once no timer, probe or
    /// request refers to its place, and that is free for another.
    pub fn take(
        &mut self,
        now: Millis,
        kind: ListKind,
        entries: Vec<Entry>,
        requests: &HashMap<RequestId, Request>,
        rng: &mut impl Rng,
        soft: bool,
    ) {
        let tried: HashSet<usize> = requests.values().flat_map(Request::places).collect();
        let free = |place: &usize| self.upstreams[*place].is_over() && !tried.contains(place);
        let mut vacant: Vec<usize> = (0..self.upstreams.len()).filter(free).collect();
        self.places
            .retain(|_, place| vacant.binary_search(place).is_err());
        if kind != ListKind::Patch {
            let named: HashSet<UpstreamId> = entries.iter().map(|entry| entry.upstream).collect();
            let missing = self
                .upstreams
                .iter_mut()
                .filter(|u| !named.contains(&u.entry.upstream));
            missing.for_each(|u| u.gone(soft));
        }
        for entry in entries {
            let Some(&place) = self.places.get(&entry.upstream) else {
                let (place, rank) = (vacant.pop().unwrap_or(self.upstreams.len()), rng.gen());
                self.places.insert(entry.upstream, place);
                let upstream = Upstream::new(entry, rank, now);
                match self.upstreams.get_mut(place) {
                    Some(vacant) => *vacant = upstream,
                    None => self.upstreams.push(upstream),
                }
                continue;
            };
            let upstream = &mut self.upstreams[place];
            if entry.readiness == Readiness::Removed {
                upstream.gone(soft);
                continue;
            }
            if entry.started_at != upstream.entry.started_at {
                // A new process: what the old one taught is void, and it may be cold.
                upstream.learnt = Learnt::default();
                upstream.failures.record_success();
            }
            upstream.entry = entry;
            (upstream.listed, upstream.doubted) = (true, false);
        }
    }
}

impl std::ops::Index<usize> for Fleet {
    type Output = Upstream;
    fn index(&self, place: usize) -> &Upstream {
        &self.upstreams[place]
    }
}

impl std::ops::IndexMut<usize> for Fleet {
    fn index_mut(&mut self, place: usize) -> &mut Upstream {
        &mut self.upstreams[place]
    }
}

impl Upstream {
    pub fn new(entry: Entry, rank: u32, now: Millis) -> Self {
        Upstream {
            listed: entry.readiness != Readiness::Removed,
            entry,
            rank,
            size: 1.0,
            used: false,
            probed: true,
            timed: false,
            average: SmoothedLatency::default(),
            membership: TierMembership::default(),
            failures: ConsecutiveFailures::default(),
            doubted: false,
            probe_sent: None,
            out: Vec::new(),
            heard: now,
            learnt: Learnt::default(),
        }
    }

    /// New work may go there: rule 3 is kept from the moment a drain or removal is told.
    pub fn offered(&self) -> bool {
        self.listed && self.entry.readiness == Readiness::Ready
    }

    pub fn healthy(&self) -> bool {
        self.failures.is_healthy()
    }

    /// The tier that it is in; `None`: it has no sample yet and is of any.
    pub fn tier(&self) -> Option<usize> {
        self.average.get().map(|_| self.membership.tier)
    }

    /// Timed probes: it is in the part that pays for them, or failed and only a probe tells that it is back.
    pub fn is_probed(&self) -> bool {
        self.used && (self.probed || !self.failures.is_empty())
    }

    pub fn succeeded(&mut self, now: Millis) {
        self.failures.record_success();
        self.heard = now;
    }

    pub fn probe(&mut self, now: Millis, actions: &mut Vec<Action>) {
        if self.probe_sent.is_none() {
            self.probe_sent = Some(now);
            actions.push(Action::Probe {
                upstream: self.entry.upstream,
            });
        }
    }

    /// The list has it no more. Where only draining binds that is one sign of failure; it is left with the next.
    pub fn gone(&mut self, soft: bool) {
        self.doubted = soft && self.listed && self.entry.readiness == Readiness::Ready;
        self.listed = self.doubted;
        if self.doubted && self.failures.is_empty() {
            self.failures.record_failure();
        }
    }

    pub fn take_report(&mut self, now: Millis, report: Option<Report>) {
        let held = report.and_then(|r| {
            r.active
                .or(r.waiting.map(|waiting| waiting + r.cpu.unwrap_or(0.0)))
        });
        if let Some(held) = held {
            self.learnt.report = Some((held, self.out.len(), now));
        }
    }

    /// Takes the time of an answer into the pace, with this weight at least.
    pub fn learn_pace(
        &mut self,
        elapsed: Millis,
        held: [f64; 2],
        now: Millis,
        memory: Millis,
        least: f64,
    ) {
        let sample = held.map(|held| elapsed / (held + 1.0));
        // The longer nothing was learnt, the less the old pace says: few answers must not lag behind.
        let weight = least.max(1.0 - (-(now - self.learnt.pace_at) / memory).exp());
        let learn = |load: usize| match self.learnt.pace {
            Some(pace) => pace[load] + weight * (sample[load] - pace[load]),
            None => sample[load],
        };
        self.learnt.pace = Some([learn(0), learn(1)]);
        self.learnt.pace_at = now;
    }

    /// A pace that it taught, fading towards that of a rested one while nothing more is learnt.
    pub fn faded(&self, pace: Millis, rested: Millis, now: Millis, memory: Millis) -> Millis {
        rested + (pace - rested) * (-(now - self.learnt.pace_at) / memory).exp()
    }

    /// One that turned work away is full or takes no connections, whatever its probes and reports say: it is
    /// left alone until its queue has had time to shrink, and longer each time it does so again.
    pub fn turn_away(&mut self, now: Millis, rest: Millis, longest: Millis) {
        self.learnt.rest_until =
            now + (rest * f64::powi(2.0, self.learnt.turned_away)).min(longest);
        self.learnt.turned_away = (self.learnt.turned_away + 1).min(10);
    }

    /// An answer or an error; the weight of one in the part of errors.
    pub fn ended(&mut self, error: bool, weight: f64) {
        self.learnt.errors += weight * (f64::from(u8::from(error)) - self.learnt.errors);
    }

    /// One own attempt less is out.
    pub fn give_back(&mut self, sent: Millis) {
        if let Some(n) = self.out.iter().position(|at| *at == sent) {
            self.out.remove(n);
        }
    }

    /// Requests it holds, by each load: those sent from here, and the last report corrected by own sends
    /// and ends since.
    pub fn held(&self) -> [f64; 2] {
        let own = self.out.len() as f64;
        [
            own,
            self.learnt
                .report
                .map_or(own, |(held, then, _)| own.max(held + own - then as f64)),
        ]
    }

    pub fn told_since(&self, asked: Millis) -> bool {
        self.learnt.report.is_some_and(|(.., at)| at >= asked)
    }

    /// It has left, and nothing of it is out or due any more.
    pub fn is_over(&self) -> bool {
        !self.listed && !self.timed && self.probe_sent.is_none() && self.out.is_empty()
    }
}

impl Member for Upstream {
    /// What the list has no more takes no part.
    fn latency(&self) -> Option<Millis> {
        self.average.get().filter(|_| self.listed)
    }

    fn tier_membership(&mut self) -> &mut TierMembership {
        &mut self.membership
    }
}

impl Request {
    pub fn new(arrival: Arrival, limits: Limits, began: Millis) -> Self {
        Request {
            arrival,
            limits,
            began,
            open: true,
            streaming: false,
            asked: None,
            attempts: Vec::new(),
        }
    }

    pub fn out(&self) -> usize {
        self.attempts.iter().filter(|a| a.outcome.is_none()).count()
    }

    /// Since when its last attempt is out, as long as it has no final answer.
    pub fn out_since(&self) -> Option<Millis> {
        let last = self
            .attempts
            .last()
            .filter(|attempt| attempt.outcome.is_none());
        last.filter(|_| self.open && !self.streaming)
            .map(|attempt| attempt.sent)
    }

    /// Calls off what is out, but for one attempt.
    pub fn call_off(&self, keep: Option<usize>, actions: &mut Vec<Action>) {
        for (n, attempt) in self.attempts.iter().enumerate() {
            if self.limits.cancel && attempt.outcome.is_none() && Some(n) != keep {
                actions.push(Action::Cancel {
                    request: self.arrival.request,
                    attempt: n as u32,
                });
            }
        }
    }

    /// Places of the upstreams that it was sent to.
    pub fn places(&self) -> impl Iterator<Item = usize> + '_ {
        self.attempts.iter().map(|attempt| attempt.upstream)
    }

    /// Attempts that ran, may have run or may yet run.
    pub fn may_have_run(&self) -> impl Iterator<Item = &Attempt> {
        self.attempts
            .iter()
            .filter(|a| !a.outcome.is_some_and(Outcome::never_ran))
    }
}

/// A smoothed rate of events, a millisecond.
#[derive(Clone, Copy, Default)]
pub struct Rate {
    count: f64,
    at: Millis,
}

impl Rate {
    pub fn add(&mut self, now: Millis, memory: Millis) {
        self.count = self.at(now, memory) * memory + 1.0;
        self.at = now;
    }

    pub fn at(&self, now: Millis, memory: Millis) -> f64 {
        self.count * (-(now - self.at) / memory).exp() / memory
    }
}

/// What the traffic has shown: rates of requests, and mean times to an answer.
pub struct Traffic {
    memory: Millis,
    key_memory: Millis,
    all: Rate,
    tenants: Vec<Rate>,
    /// Where upstreams need less work for a key that they met.
    keys: HashMap<u64, Rate>,
    classes: Vec<Mean>,
    /// By machine type, in time of the mean class.
    kinds: HashMap<u32, Mean>,
    /// The part of the latest answers, from wherever, that are errors.
    pub errors: Mean,
    /// The part of the latest tries that is sent on, of all and of each class, where the draw falls on a warm upstream.
    pub taken: Mean,
    class_taken: Vec<Mean>,
}

impl Traffic {
    pub fn new(memory: Millis, key_memory: Millis, settings: &Settings) -> Self {
        let (all, keys, kinds) = (Rate::default(), HashMap::new(), HashMap::new());
        let (tenants, classes, class_taken) = (Vec::new(), Vec::new(), Vec::new());
        let (errors, taken) = (Mean::default(), Mean::default());
        let mut traffic = Traffic {
            memory,
            key_memory,
            all,
            tenants,
            keys,
            classes,
            kinds,
            errors,
            taken,
            class_taken,
        };
        traffic.fit(settings);
        traffic
    }

    pub fn fit(&mut self, settings: &Settings) {
        self.tenants.resize(settings.tenants.len(), Rate::default());
        self.classes.resize(settings.classes.len(), Mean::default());
        self.class_taken
            .resize(settings.classes.len(), Mean::default());
    }

    pub fn came(&mut self, now: Millis, tenant: Option<TenantId>, key: Option<u64>) {
        self.all.add(now, self.memory);
        tenant
            .into_iter()
            .for_each(|tenant| self.tenants[tenant.0].add(now, self.memory));
        key.into_iter()
            .for_each(|key| self.keys.entry(key).or_default().add(now, self.key_memory));
    }

    pub fn answered(
        &mut self,
        class: ClassId,
        kind: u32,
        elapsed: Millis,
        usual: Millis,
        least: f64,
    ) {
        self.classes[class.0].add(elapsed, least);
        self.kinds.entry(kind).or_default().add(usual, least);
    }

    /// One more try, which was sent on or not.
    pub fn went_on(&mut self, class: ClassId, sent: bool, least: f64) {
        let sent = f64::from(u8::from(sent));
        self.taken.add(sent, least);
        self.class_taken[class.0].add(sent, least);
    }

    /// Whether under this part goes on of the class's tries of what goes on of all. Met where wasted work is dear (a third of
    /// the room for a class of an eighth of the best worth): 0.3 of it served beside 0.8 of the others, with idle upstreams.
    /// It also holds where any other rule, a hot tenant or long answers shut one class out. It hurts in an overload in
    /// which all that room should go to the worthiest alone.
    pub fn starves(&self, class: ClassId, part: f64) -> bool {
        let all = self.taken.get().unwrap_or(0.0);
        self.class_taken[class.0]
            .get()
            .is_some_and(|own| own < all * part)
    }

    /// Requests a millisecond.
    pub fn rate(&self, now: Millis) -> f64 {
        self.all.at(now, self.memory).max(1e-9)
    }

    pub fn tenant_rate(&self, tenant: TenantId, now: Millis) -> f64 {
        self.tenants[tenant.0].at(now, self.memory)
    }

    /// The part of all requests that come with this key.
    pub fn key_share(&self, key: u64, now: Millis) -> f64 {
        let rate = self
            .keys
            .get(&key)
            .map_or(0.0, |rate| rate.at(now, self.key_memory));
        rate / self.rate(now)
    }

    /// A key of which less than this part of one request is left is forgotten.
    pub fn forget_keys(&mut self, now: Millis, least: f64) {
        let memory = self.key_memory;
        self.keys
            .retain(|_, rate| rate.at(now, memory) * memory > least);
    }

    /// A class's mean time beside the mean of all that are offered.
    pub fn class_share(&self, class: ClassId, offered: impl Fn(usize) -> bool) -> f64 {
        let learnt = (0..self.classes.len())
            .filter(|n| offered(*n))
            .filter_map(|n| self.class_time(n));
        let (count, sum) = learnt.fold((0.0, 0.0), |(n, sum), time| (n + 1.0, sum + time));
        let own = self.class_time(class.0).filter(|_| sum > 0.0);
        own.map_or(1.0, |time| time * count / sum)
    }

    pub fn class_time(&self, class: usize) -> Option<Millis> {
        self.classes[class].get()
    }

    pub fn kind_time(&self, kind: u32) -> Option<Millis> {
        self.kinds.get(&kind).and_then(Mean::get)
    }
}

/// Requests that ended unserved and may come again: class, tenant, when the client began.
#[derive(Default)]
pub struct Unserved(VecDeque<(ClassId, Option<TenantId>, Millis)>);

impl Unserved {
    pub fn note(&mut self, class: ClassId, tenant: Option<TenantId>, began: Millis) {
        self.0.push_back((class, tenant, began));
    }

    /// Forgets those whose client's time is over.
    pub fn forget(&mut self, now: Millis, classes: &[Class]) {
        while self
            .0
            .front()
            .is_some_and(|(class, _, began)| began + classes[class.0].deadline < now)
        {
            self.0.pop_front();
        }
    }

    /// When the eldest of the class and tenant began; it is taken out.
    pub fn take(&mut self, class: ClassId, tenant: Option<TenantId>) -> Option<Millis> {
        let place = self
            .0
            .iter()
            .position(|eldest| (eldest.0, eldest.1) == (class, tenant))?;
        self.0.remove(place).map(|(_, _, began)| began)
    }
}

/// Requests of classes that keep order, by key, in the order in which they came. One leaves when it has its final
/// answer and none of its attempts is out.
#[derive(Default)]
pub struct Turns {
    keys: HashMap<u64, (VecDeque<RequestId>, Millis)>,
}

impl Turns {
    /// Gives how many came before it and have not left, and until when the key rests.
    pub fn join(&mut self, key: u64, id: RequestId) -> (usize, Millis) {
        let (queue, rests) = self
            .keys
            .entry(key)
            .or_insert_with(|| (VecDeque::new(), f64::NEG_INFINITY));
        queue.push_back(id);
        (queue.len() - 1, *rests)
    }

    pub fn ahead(&self, key: u64, id: RequestId) -> (usize, Millis) {
        let turn = self.keys.get(&key);
        turn.map_or((0, f64::NEG_INFINITY), |(queue, rests)| {
            (
                queue
                    .iter()
                    .position(|other| *other == id)
                    .unwrap_or(queue.len()),
                *rests,
            )
        })
    }

    pub fn rest(&mut self, key: u64, until: Millis) {
        self.keys
            .entry(key)
            .and_modify(|(_, rests)| *rests = rests.max(until));
    }

    /// Gives the time at which the next may go.
    pub fn leave(&mut self, key: u64, id: RequestId) -> Millis {
        let Some((queue, rests)) = self.keys.get_mut(&key) else {
            return f64::NEG_INFINITY;
        };
        queue.retain(|other| *other != id);
        *rests
    }

    /// Whose turn it is; a key that nobody waits for and that has rested is forgotten.
    pub fn next(&mut self, key: u64, now: Millis) -> Option<RequestId> {
        let (queue, rests) = self.keys.get(&key)?;
        // Timers are set to the microsecond.
        let rested = micros(*rests) <= micros(now);
        let next = queue.front().copied().filter(|_| rested);
        if queue.is_empty() && rested {
            self.keys.remove(&key);
        }
        next
    }
}

/// Timers in the order of their time, and the one wake that the front was asked for.
#[derive(Default)]
pub struct Timers {
    queue: BinaryHeap<Reverse<(i64, Timer)>>,
    armed: Option<i64>,
}

pub fn micros(at: Millis) -> i64 {
    (at * 1000.0).round() as i64
}

impl Timers {
    pub fn set(&mut self, at: Millis, timer: Timer) {
        self.queue.push(Reverse((micros(at), timer)));
    }

    pub fn woken(&mut self, now: Millis) {
        self.armed = self.armed.filter(|at| *at > micros(now));
    }

    pub fn due(&mut self, now: Millis) -> Option<Timer> {
        let due = self
            .queue
            .peek()
            .is_some_and(|next| next.0 .0 <= micros(now));
        if due {
            self.queue.pop().map(|next| next.0 .1)
        } else {
            None
        }
    }

    /// When to wake for the next timer, unless an earlier wake is asked for already.
    pub fn wake(&mut self) -> Option<Millis> {
        let next = self.queue.peek().map(|next| next.0 .0);
        let wake = next.filter(|at| self.armed.is_none_or(|armed| *at < armed));
        self.armed = wake.or(self.armed);
        wake.map(|at| at as f64 / 1000.0)
    }
}
