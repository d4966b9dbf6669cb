//! Every decision of the balancer. Its types, events and actions are in `src/interface.rs`: read that first;
//! what it remembers between events is laid out in `src/state.rs`.
//!
//! The ordinary path follows "extractedprism" (docs/design.md): timed probes, tiers of smoothed probe times,
//! and a random pick among the healthy servers of the lowest tier that has one, less those far above its mean
//! load. Everything else is a departure with its own comment, acting only where that path breaks.
use crate::interface::*;
use crate::state::*;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg32;
use std::cmp::Reverse;
use std::collections::{BTreeSet, HashMap};

/// Weight of a new probe time in the average: the design's start value, about three probes of memory.
const PROBE_WEIGHT: f64 = 0.3;
/// A sample counts as this many averages at most, and one under its inverse replaces the average (design).
const PROBE_CAP: f64 = 4.0;
/// Slack of a tier's limit above the best average, and floor of the sample cap (design).
const TIER_SLACK: Millis = 2.0;
/// How far past a tier's limit a member must move before it leaves (design).
const TIER_MARGIN: f64 = 1.25;
/// Failures in a row that make an upstream unhealthy (design).
const FAILURES: u32 = 2;
/// Longest gap between two probes of an upstream, jitter included (design: 5 s).
const PROBE_MAX: Millis = 5000.0;
/// Shortest gap: a fresher figure would say no more than the corrections made for own sends.
const PROBE_MIN: Millis = 20.0;
/// Fraction of all worth that probes may cost; with the price it sets the gap between probes.
const PROBE_SPEND: f64 = 0.0015;
/// The same for probes sent for one request, and the part of the time wanted that it may wait for them.
const ASK_SPEND: f64 = 0.01;
const ASK_WAIT: f64 = 0.02;
/// Upstreams in use at least: enough for a random pick, for its tiers and for the loss of some ...
const PART_LEAST: f64 = 4.0;
/// ... and at most, however much traffic pays for their probes: each is looked at for each request.
const PART_MOST: f64 = 64.0;
/// Each upstream is in this many balancers' parts in the mean, or few balancers would load them unevenly.
const COVER: f64 = 8.0;
/// A key has so many homes that none gets more than this part of a mean upstream's traffic from it alone.
const HOME_SHARE: f64 = 0.5;
/// Where these have no room, so many times as many are looked at, twice.
const HOMES_MORE: usize = 3;
/// Memory of a key's rate, and what is left of one request when the key is forgotten.
const KEY_MEMORY: Millis = 10_000.0;
const FORGOTTEN: f64 = 0.1;
/// The part is looked at again this often.
const PART_EVERY: Millis = 1000.0;
/// Share of each probe gap that is drawn at random, so that balancers do not probe in step.
const JITTER: f64 = 0.25;
/// Memory of rates and of what an upstream's answers taught, once nothing new is heard from it.
const MEMORY: Millis = 5000.0;
/// Weight of one answer in an upstream's pace: single answers vary as much as their work does.
const PACE_WEIGHT: f64 = 0.15;
/// The same in the mean time that a class takes, once so many answers have come that none weighs more.
const CLASS_WEIGHT: f64 = 0.02;
/// An upstream is far above its tier when it would take this many times the tier's mean time to answer.
const SKIP: f64 = 1.3;
/// A server with over this many times the mean own attempts out, plus one, is skipped (the design's skip).
const FAR: f64 = 1.5;
/// Where all are in use what one taught counts for so many turns of requests, so many `MEMORY` at most.
const PACE_TURNS: f64 = 2.0;
const MEMORY_MOST: f64 = 4.0;
/// A tier has no room when an answer from it would take more than this part of the time wanted.
const SPILL: f64 = 0.28;
/// ... or when all have none, this many times it: a far one with room goes before a near one nearly full.
const SPILL_MORE: f64 = 1.5;
/// Probe times and homes of keys are no reason to cross where it costs more than this part of a mean worth.
const CROSSING: f64 = 0.05;
/// Part of the time left that a predicted answer may fill, where late work goes on: answers scatter about the
/// mean that is predicted. Where it ends by itself, all of the time left.
const ADMIT: f64 = 0.7;
const ADMIT_FEW: f64 = 0.5;
/// ... less by so many times the price of wasted work: queues make late answers, and those are waste.
const WASTE: f64 = 2.2;
/// What a request of no worth may fill of that; the rest of the range goes by worth.
const ADMIT_LEAST: f64 = 0.6;
/// ... but not for a class of which under this part goes on of what goes on of all: none is starved.
const STARVED: f64 = 0.7;
/// A tenant whose traffic is this far above its portion of what this balancer sees is over its share.
const OVER_SHARE: f64 = 1.2;
/// ... by this many requests at least: where few come, one alone is more than any tenant's portion of them.
const OVER_LEAST: f64 = 3.0;
/// After an error an upstream rests for as long as the others take for so many requests each.
const ERROR_TURNS: f64 = 4.0;
/// ... if its part of errors is over so many times that of all.
const ERRORS_OWN: f64 = 2.0;
/// A second copy goes out when the first took this many times its predicted time ...
const HEDGE: f64 = 3.0;
/// ... and at least this part of the time wanted.
const HEDGE_LEAST: f64 = 0.5;
/// Where buffers are told an attempt is overdue after so many times what one takes that has room.
const OVERDUE: f64 = 2.0;
/// Attempts beyond the first that each request earns, and how many may be saved up: retries amplify overload.
const RETRY_EARN: f64 = 0.05;
const RETRY_SAVED: f64 = 5.0;
/// A cold upstream's share of the picks is its warmth times this part of the rule's multiple, and never more
/// than its warmth: the traffic may be more than the fleet can do, repeats included, and sends scatter.
const COLD_USE: f64 = 0.4;
/// ... and this much of that where keys have homes: it knows none yet, and has more work for each.
const COLD_HOME: f64 = 0.5;
/// Where warm ones can't take all that comes, it gets so much more than they would be sent in its place.
const COLD_OVER: f64 = 1.5;
/// Advice to a refused client, as a part of the time wanted: soon enough for its next try to be in time.
const COME_BACK: f64 = 0.25;
/// Shortest and longest gap between list calls after a failure, as parts of `ask_within`.
const ASK_FIRST: f64 = 0.05;
const ASK_LONGEST: f64 = 0.25;

/// Decisions of one balancer. Deterministic: the same settings, seed and events give the same actions.
pub struct Balancer {
    settings: Settings,
    rng: Pcg32,
    fleet: Fleet,
    /// Places of the upstreams in use, how many warm ones are wanted there, when they were chosen.
    part: Vec<usize>,
    part_size: f64,
    part_at: Millis,
    requests: HashMap<RequestId, Request>,
    timers: Timers,
    turns: Turns,
    next_group: u32,
    traffic: Traffic,
    retries: f64,
    unserved: Unserved,
    ask_gap: Millis,
    /// The typical pace, and when it was looked for: that goes over all upstreams in use.
    typical: (Millis, [Option<Millis>; 2]),
}

/// What predictions go by beside the upstream itself: found once for each try, not for each upstream.
#[derive(Clone, Copy)]
struct Peers {
    /// Typical pace of near and of far ones, and that of a rested one.
    pace: [Option<Millis>; 2],
    rested: Millis,
    memory: Millis,
}

impl Upstream {
    /// New work may go there: rule 3 is kept from the moment a drain or removal is told.
    pub fn offered(&self) -> bool {
        self.listed && self.entry.standing == Standing::Ready
    }

    pub fn healthy(&self) -> bool {
        self.failures < FAILURES
    }

    /// Timed probes: it is in the part that pays for them, or failed and only a probe tells that it is back.
    fn is_probed(&self) -> bool {
        self.used && (self.probed || self.failures > 0)
    }

    /// One success restores an upstream (design).
    fn succeeded(&mut self, now: Millis) {
        self.failures = 0;
        self.heard = now;
    }

    fn probe(&mut self, now: Millis, actions: &mut Vec<Action>) {
        if self.probe_sent.is_none() {
            self.probe_sent = Some(now);
            actions.push(Action::Probe { upstream: self.entry.upstream });
        }
    }

    fn learn_pace(&mut self, elapsed: Millis, held: [f64; 2], now: Millis, memory: Millis) {
        let sample = held.map(|held| elapsed / (held + 1.0));
        // The longer nothing was learnt, the less the old pace says: few answers must not lag behind.
        let weight = PACE_WEIGHT.max(1.0 - (-(now - self.learnt.pace_at) / memory).exp());
        let learn = |load: usize| match self.learnt.pace {
            Some(pace) => pace[load] + weight * (sample[load] - pace[load]),
            None => sample[load],
        };
        self.learnt.pace = Some([learn(0), learn(1)]);
        self.learnt.pace_at = now;
    }

    /// One that turned work away is full or takes no connections, whatever its probes and reports say: it is
    /// left alone until its queue has had time to shrink, and longer each time it does so again.
    fn turn_away(&mut self, now: Millis, rest: Millis, longest: Millis) {
        self.learnt.rest_until = now + (rest * f64::powi(2.0, self.learnt.turned_away)).min(longest);
        self.learnt.turned_away = (self.learnt.turned_away + 1).min(10);
    }

    /// The design's smoothing: capped above, replaced by a far quicker sample.
    fn sample(&mut self, elapsed: Millis) {
        self.average = Some(match self.average {
            None => elapsed,
            Some(average) if elapsed < average / PROBE_CAP => elapsed,
            Some(average) => {
                let capped = elapsed.min((average * PROBE_CAP).max(TIER_SLACK));
                average + PROBE_WEIGHT * (capped - average)
            }
        });
    }
}

impl Balancer {
    pub fn new(mut settings: Settings, seed: u64) -> Self {
        settings.warm_keys &= settings.penalties.cross_zone <= CROSSING;
        Balancer {
            rng: Pcg32::seed_from_u64(seed),
            fleet: Fleet::default(),
            part: Vec::new(),
            part_size: PART_LEAST,
            part_at: 0.0,
            requests: HashMap::new(),
            timers: Timers::default(),
            turns: Turns::default(),
            next_group: 0,
            traffic: Traffic::new(MEMORY, KEY_MEMORY, &settings),
            retries: RETRY_SAVED,
            unserved: Unserved::default(),
            ask_gap: 0.0,
            typical: (f64::NEG_INFINITY, [None; 2]),
            settings,
        }
    }

    pub fn handle(&mut self, now: Millis, event: Event, actions: &mut Vec<Action>) {
        match event {
            Event::Start => self.subscribe(actions),
            Event::Settings(settings) => self.adopt(now, *settings),
            Event::List { kind, entries } => self.list(now, kind, entries),
            Event::ListBroken => {
                // Keep the old list; ask again, ever less often but within `ask_within`, never in step.
                let within = self.settings.rules.ask_within.max(1.0);
                self.ask_gap = (self.ask_gap * 2.0).clamp(within * ASK_FIRST, within * ASK_LONGEST);
                let gap = self.ask_gap * self.scatter();
                self.timers.set(now + gap, Timer::Subscribe);
            }
            Event::Request(arrival) => self.arrive(now, arrival, actions),
            Event::Probed { upstream, elapsed, ok, report } => {
                self.probed(now, upstream, elapsed, ok, report);
            }
            Event::Opened { request, attempt } => self.opened(request, attempt as usize, actions),
            Event::Finished(end) => self.finished(now, end, actions),
            Event::ClientGone(request) => self.close(request, actions),
            Event::Message { .. } => {}
            Event::Wake => self.timers.woken(now),
        }
        while let Some(timer) = self.timers.due(now) {
            match timer {
                Timer::Probe(place) => self.probe(now, place, actions),
                Timer::Subscribe => self.subscribe(actions),
                Timer::Expire(request) => self.give_up(request, actions),
                Timer::Waits(request) => self.waits(now, request, actions),
                Timer::Turn(key) => {
                    let next = self.turns.next(key, now).filter(|id| self.is_waiting(*id));
                    next.into_iter().for_each(|id| self.start(now, id, actions));
                }
                Timer::Asked(request) => self.try_once(now, request, false, actions),
                Timer::Hedge(request, attempt) => self.hedge(now, request, attempt, actions),
                Timer::Blocked => self.unblock(now, actions),
            }
        }
        if let Some(at) = self.timers.wake() {
            actions.push(Action::Wake { at });
        }
    }

    /// Goes on by new settings; open requests keep the class and the limits that they came under.
    fn adopt(&mut self, now: Millis, mut settings: Settings) {
        self.traffic.fit(&settings);
        settings.warm_keys &= settings.penalties.cross_zone <= CROSSING;
        self.settings = settings;
        self.choose_part(now);
    }

    pub fn fleet(&self) -> &Fleet {
        &self.fleet
    }

    fn scatter(&mut self) -> f64 {
        1.0 + JITTER * self.rng.gen::<f64>()
    }

    fn subscribe(&mut self, actions: &mut Vec<Action>) {
        if self.settings.discovery_on_request {
            actions.push(Action::Subscribe);
        }
    }

    fn list(&mut self, now: Millis, kind: ListKind, entries: Vec<Entry>) {
        if kind != ListKind::Stale {
            self.ask_gap = 0.0;
        }
        let soft = self.settings.rules.soft_removal;
        self.fleet.take(now, kind, entries, &self.requests, &mut self.rng, soft);
        self.choose_part(now);
    }

    /// Where many balancers share the upstreams a part drawn at random is used, and the whole design holds in
    /// it: own attempts tell something only of those that get several, and each connection costs. Half of it
    /// is of the zones that the nearest tier is in, so that the tier is populated; what is unhealthy stays in
    /// and is made up for, so that a lost part hands over.
    fn choose_part(&mut self, now: Millis) {
        self.part_at = now;
        let mut order: Vec<usize> =
            (0..self.fleet.upstreams.len()).filter(|place| self.fleet[*place].listed).collect();
        order.sort_unstable_by_key(|place| self.fleet[*place].rank);
        let covered = order.len() as f64 * COVER / f64::from(self.settings.siblings.max(1));
        self.part_size = covered.clamp(PART_LEAST, PART_MOST);
        let rested = self.rested();
        // The homes of keys are anywhere, the same for all balancers: all are in use, a part is probed.
        for (n, &place) in order.iter().enumerate() {
            self.fleet[place].probed = !self.settings.warm_keys || (n as f64) < self.part_size;
            // Its listed size, unless that moves with load, at the speed that its machine type has shown.
            let entry = &self.fleet[place].entry;
            let listed = if self.settings.weights == Weights::Live { 1.0 } else { entry.scale.max(1e-3) };
            let time = self.traffic.kind_time(entry.kind).unwrap_or(rested);
            self.fleet[place].size = listed / time.max(1e-3);
        }
        let size = if self.settings.warm_keys { f64::INFINITY } else { self.part_size };
        let nearest = self.part.iter().map(|place| &self.fleet[*place]);
        let nearest = nearest.filter(|u| u.listed && u.average.is_some() && u.tier == 0);
        let mut zones: Vec<ZoneId> = nearest.map(|u| u.entry.zone).collect();
        if zones.is_empty() {
            zones.push(self.settings.zone);
        }
        let before = std::mem::take(&mut self.part);
        before.iter().for_each(|place| self.fleet[*place].used = false);
        let mut warm = 0.0;
        for (near, enough) in [(true, size / 2.0), (false, size)] {
            for &place in &order {
                let upstream = &self.fleet[place];
                if warm >= enough {
                    break;
                }
                if upstream.used || near && !zones.contains(&upstream.entry.zone) {
                    continue;
                }
                if upstream.offered() && upstream.healthy() {
                    warm += self.warmth(upstream, now);
                }
                self.fleet[place].used = true;
                self.part.push(place);
                self.time(now, place);
            }
        }
        self.part.sort_unstable();
        if self.part != before {
            self.group_tiers();
        }
    }

    /// Gap between probes of one upstream: as short as the price allows for the traffic seen, 5 s at most.
    fn probe_gap(&self, now: Millis) -> Millis {
        let most = if self.settings.warm_keys { self.part_size } else { f64::INFINITY };
        let paid = self.traffic.rate(now) * PROBE_SPEND / self.settings.penalties.probe.max(1e-9);
        (most.min(self.part.len() as f64) / paid.max(1e-9)).clamp(PROBE_MIN, PROBE_MAX)
    }

    fn time(&mut self, now: Millis, place: usize) {
        let upstream = &mut self.fleet[place];
        if upstream.is_probed() && !std::mem::replace(&mut upstream.timed, true) {
            self.timers.set(now, Timer::Probe(place));
        }
    }

    fn probe(&mut self, now: Millis, place: usize, actions: &mut Vec<Action>) {
        let upstream = &mut self.fleet[place];
        upstream.timed = upstream.listed && upstream.is_probed() && self.settings.limits.probes;
        if !upstream.timed {
            return;
        }
        upstream.probe(now, actions);
        let gap = self.probe_gap(now) / self.scatter();
        self.timers.set(now + gap, Timer::Probe(place));
    }

    fn probed(&mut self, now: Millis, id: UpstreamId, elapsed: Millis, ok: bool, report: Option<Report>) {
        let Some(place) = self.fleet.place(id) else { return };
        let upstream = &mut self.fleet[place];
        let sent = upstream.probe_sent.take();
        if ok {
            upstream.succeeded(now);
            upstream.sample(elapsed);
            upstream.take_report(now, report);
            self.group_tiers();
        } else if sent.is_some_and(|sent| upstream.heard <= sent) {
            // A slow probe of an upstream that answered meanwhile shows load, not death.
            self.failed(now, place);
        }
    }

    /// One failure more; a lost part is made up for at once.
    fn failed(&mut self, now: Millis, place: usize) {
        self.fleet[place].failures += 1;
        self.time(now, place);
        if self.fleet[place].failures >= FAILURES && self.fleet[place].doubted {
            // The list and its silence agree: it has left.
            self.fleet[place].listed = false;
            self.choose_part(now);
        } else if self.fleet[place].failures >= FAILURES && !self.settings.limits.probes {
            // No probe will tell that it is back: it rests, then one more send is its trial.
            self.fleet[place].failures = FAILURES - 1;
            self.fleet[place].learnt.rest_until = now + MEMORY;
        } else if self.fleet[place].failures == FAILURES {
            self.choose_part(now);
        }
    }

    /// Tiers by the design: each takes what lies within max(best + 2 ms, 2 x best) of what the tiers above
    /// left over; members of the same group stay until 25% past that.
    fn group_tiers(&mut self) {
        let used = self.part.iter().filter(|place| self.fleet[**place].listed);
        let mut rest: Vec<(Millis, usize)> =
            used.filter_map(|&place| Some((self.fleet[place].average?, place))).collect();
        rest.sort_unstable_by(|a, b| a.0.total_cmp(&b.0).then(a.1.cmp(&b.1)));
        let mut claimed: Vec<u32> = Vec::new();
        let mut tier = 0;
        while let Some(&(best, _)) = rest.first() {
            let limit = (best + TIER_SLACK).max(best * 2.0);
            let core = rest.iter().take_while(|(average, _)| *average <= limit);
            // The group goes on as the one that most of its members were in, so a tier that appears or
            // vanishes above moves nobody.
            let mut votes: HashMap<u32, usize> = HashMap::new();
            let groups = core.filter_map(|&(_, place)| self.fleet[place].group);
            groups.filter(|g| !claimed.contains(g)).for_each(|g| *votes.entry(g).or_default() += 1);
            let group = votes.into_iter().max_by_key(|(group, count)| (*count, Reverse(*group)));
            let group = group.map_or(self.next_group, |(group, _)| group);
            self.next_group = self.next_group.max(group + 1);
            claimed.push(group);
            let upstreams = &mut self.fleet;
            rest.retain(|&(average, place)| {
                let upstream = &mut upstreams[place];
                let stays = upstream.group == Some(group) && average <= limit * TIER_MARGIN;
                if average <= limit || stays {
                    upstream.group = Some(group);
                    upstream.tier = tier;
                    return false;
                }
                true
            });
            tier += 1;
        }
    }

    /// The part of its capacity that a cold upstream has at least; 1 when it is warm.
    fn warmth(&self, upstream: &Upstream, now: Millis) -> f64 {
        let rules = &self.settings.rules;
        let Some(since) = upstream.entry.since else { return 1.0 };
        let climb = ((now - since - rules.start_drift) / rules.cold.max(1.0)).clamp(0.0, 1.0);
        rules.cold_share + (1.0 - rules.cold_share) * climb
    }

    /// The wanted time of each class, in time of the mean class.
    fn aims(&self) -> impl Iterator<Item = (f64, Millis)> + '_ {
        let aim = |(n, class): (usize, &Class)| (class.worth, class.aim / self.class_share(ClassId(n)));
        self.settings.classes.iter().enumerate().filter(|(_, class)| class.offered).map(aim)
    }

    /// Pace of one that has room for any class.
    fn rested(&self) -> Millis {
        self.aims().map(|(_, aim)| aim).fold(f64::INFINITY, f64::min) * SPILL
    }

    /// Time in which each upstream in use gets a request from here in the mean.
    fn turn(&self, now: Millis) -> Millis {
        self.part.len() as f64 / self.traffic.rate(now)
    }

    /// How long what was learnt counts: where all are in use, some turns, or it would be forgotten between.
    fn memory(&self, now: Millis) -> Millis {
        let turns = if self.settings.warm_keys { self.turn(now) * PACE_TURNS } else { MEMORY };
        turns.clamp(MEMORY, MEMORY * MEMORY_MOST)
    }

    fn crosses(&self, upstream: &Upstream) -> bool {
        self.settings.penalties.cross_zone > CROSSING && upstream.entry.zone != self.settings.zone
    }

    /// The nearest is least. Where crossing costs much the own zone is nearest, whatever probes say.
    fn tier(&self, upstream: &Upstream) -> (bool, usize) {
        (self.crosses(upstream), upstream.average.map_or(0, |_| upstream.tier))
    }

    /// Those without a sample yet are of any tier.
    fn is_of(&self, tier: (bool, usize), place: usize) -> bool {
        let upstream = &self.fleet[place];
        self.crosses(upstream) == tier.0 && (upstream.average.is_none() || upstream.tier == tier.1)
    }

    /// Middle pace of the warm upstreams in use, as far as it is not long past: one slow answer must not keep
    /// a balancer for ever from all that taught nothing yet. Near and far ones apart: a queue in the own zone
    /// says nothing of the others.
    fn peers(&mut self, now: Millis) -> Peers {
        let (rested, memory) = (self.rested(), self.memory(now));
        if self.part.len() as f64 > PART_MOST && now - self.typical.0 < PROBE_MIN {
            return Peers { pace: self.typical.1, rested, memory };
        }
        let mut paces = [Vec::new(), Vec::new()];
        let part = self.part.iter().map(|place| &self.fleet[*place]);
        for upstream in part.filter(|u| u.listed && self.warmth(u, now) >= 1.0) {
            let learnt = upstream.learnt.pace.map(|pace| pace[0]);
            let faded = learnt.map(|pace| upstream.faded(pace, pace.min(rested), now, memory));
            paces[usize::from(self.crosses(upstream))].extend(faded);
        }
        let pace = paces.map(|mut paces: Vec<Millis>| {
            let middle = paces.len().saturating_sub(1) / 2;
            (!paces.is_empty()).then(|| *paces.select_nth_unstable_by(middle, f64::total_cmp).1)
        });
        self.typical = (now, pace);
        Peers { pace, rested, memory }
    }

    /// How much longer than the mean class this one takes: what an upstream's pace is learnt of has a mix of
    /// classes, and one that waits on others for long must not look like a queue to the rest.
    fn class_share(&self, class: ClassId) -> f64 {
        self.traffic.class_share(class, |n| self.settings.classes[n].offered)
    }

    /// Time an answer would take, from the pace learnt and the requests held: by load 1, the report, where
    /// that was asked for the request; else by load 0, own attempts, as older reports make balancers flock.
    fn predict(&self, place: usize, load: usize, peers: Peers, now: Millis) -> Millis {
        let upstream = &self.fleet[place];
        // Between its least warmth and a warm one: the least is what rule 4 asks for, most can do more.
        let cold = peers.pace[usize::from(self.crosses(upstream))]
            .map(|pace| pace * 2.0 / (1.0 + self.warmth(upstream, now)));
        let pace = match (upstream.learnt.pace.map(|pace| pace[load]), cold) {
            // Let an upstream back by trials: what it taught fades towards its peers once it is not used, and
            // to what has room: if all were slow once, none would be tried again and nothing ever learnt.
            (Some(pace), Some(typical)) => upstream.faded(pace, typical.min(peers.rested), now, peers.memory),
            (Some(pace), None) | (None, Some(pace)) => pace,
            (None, None) => 1.0,
        };
        let predicted = pace * (upstream.held()[load] + 1.0);
        // An upstream that answers probes but no requests: its eldest unanswered attempt is a lower bound.
        match upstream.out.first() {
            Some(&eldest) if upstream.heard <= eldest => predicted.max(now - eldest),
            _ => predicted,
        }
    }

    fn useful_until(&self, request: &Request) -> Millis {
        let class = &self.settings.classes[request.arrival.class.0];
        if class.late_worth > 0.0 {
            return request.arrival.not_after;
        }
        let stretch = class.aim_stretch * request.arrival.cost.unwrap_or(0.0);
        let aim = (class.aim + stretch).min(class.deadline.max(class.aim));
        request.arrival.not_after.min(request.began + aim)
    }

    /// Work for an answer that is worth nothing any more takes the room of another, and is called off. Where
    /// tries may not overlap, a called-off one is held to go on all the same, and nothing would be won, but
    /// where its answer would hold a buffer that others wait for.
    fn late_work_ends(&self, request: &Request) -> bool {
        let (limits, class) = (request.limits, &self.settings.classes[request.arrival.class.0]);
        let gains = limits.parallel_tries || limits.answer_buffers.is_some();
        limits.cancel && gains && class.late_worth <= 0.0 && !class.stream
    }

    /// Worth of a request beside the best there is, less when its tenant is past its share.
    fn worth(&self, request: &Request, now: Millis) -> f64 {
        let best = self.aims().map(|(worth, _)| worth).fold(0.0, f64::max);
        let class = request.arrival.class;
        let starves = self.traffic.starves(class, STARVED);
        let worth = if starves { 1.0 } else { self.settings.classes[class.0].worth / best.max(1e-9) };
        let over = request.arrival.tenant.is_some_and(|tenant| {
            let portion = self.settings.tenants[tenant.0].portion * self.traffic.rate(now);
            self.traffic.tenant_rate(tenant, now) > OVER_SHARE * portion + OVER_LEAST / MEMORY
        });
        worth * if over { self.settings.over_share_worth } else { 1.0 }
    }

    /// Upstreams that the request may go to by the rules, and of these the ones it should: untried, healthy,
    /// not full.
    fn usable(&self, now: Millis, request: &Request) -> Vec<usize> {
        let mut usable: Vec<usize> = self.part.clone();
        usable.retain(|place| self.fleet[*place].offered() && self.in_group(request, *place, now));
        // Prefer what the request has not tried, then what is healthy; if nobody is, anyone may be.
        let tried = |place: &usize| request.attempts.iter().any(|a| a.upstream == *place);
        if !usable.iter().all(tried) {
            usable.retain(|place| !tried(place));
        }
        let healthy = |place: &usize| self.fleet[*place].healthy();
        if usable.iter().any(healthy) {
            usable.retain(healthy);
        }
        let rested = |place: &usize| now >= self.fleet[*place].learnt.rest_until;
        // A first error alone must not end a request that may go nowhere else.
        let erred = request.attempts.last().is_some_and(|a| a.outcome == Some(Outcome::Error));
        let first = |place: &usize| erred && self.fleet[*place].learnt.turned_away <= 1;
        let any = usable.iter().any(rested);
        usable.retain(|place| if any { rested(place) } else { first(place) });
        usable
    }

    /// Where upstreams need less work for a key that they met, it has homes, the same for all balancers: the
    /// first by a hash of both names, weighted by size. Keeps these and the next, and gives their number.
    fn homes(&self, now: Millis, key: u64, usable: &mut Vec<usize>) -> usize {
        let share = self.traffic.key_share(key, now);
        let homes = ((share * self.part.len() as f64 / HOME_SHARE).ceil() as usize).max(1);
        *usable = self.fleet.nearest(key, usable, homes * HOMES_MORE * HOMES_MORE);
        homes
    }

    /// The pick among all usable ones: the homes of a key first, then ever more. Rule 4: a cold one gets a
    /// request only where an equal draw among all, full ones too, falls on it and its chance lets it through:
    /// whatever others can't take, it is sent only the part of a warm one's share that it can do at least.
    fn place(&mut self, now: Millis, request: &Request, peers: Peers) -> Option<usize> {
        let mut usable = self.usable(now, request);
        let offered = self.part.iter().filter(|place| self.fleet[**place].offered()).count();
        let left = usable.len() as f64 / offered.max(1) as f64;
        let key = request.arrival.key.filter(|_| self.settings.warm_keys);
        let tier = |place: &usize| self.tier(&self.fleet[*place]);
        let lowest = usable.iter().filter(|place| self.fleet[**place].average.is_some()).map(tier).min();
        // Equal among all, and as often as a warm one in its place is sent anything: where few are near, or
        // more come than can be done, one in the nearest tier would get several times a warm one's share.
        let drawn = *usable.get(self.rng.gen_range(0..usable.len().max(1)))?;
        let warmth = self.warmth(&self.fleet[drawn], now);
        let taken = (self.traffic.taken.get().unwrap_or(1.0) * COLD_OVER).min(1.0);
        let left = left * taken * if key.is_some() { COLD_HOME } else { 1.0 };
        let chance = warmth * (COLD_USE * self.settings.rules.fall_multiple).min(1.0) * left;
        let near = key.is_some() || lowest.is_none_or(|lowest| self.is_of(lowest, drawn));
        if near && warmth < 1.0 && self.rng.gen::<f64>() < chance {
            if let Some(place) = self.pick(now, request, &[drawn], peers) {
                return Some(place);
            }
        }
        usable.retain(|place| self.warmth(&self.fleet[*place], now) >= 1.0);
        let homes = key.map(|key| self.homes(now, key, &mut usable));
        // Those whose load was asked for come first: what is known of the others is older.
        let asked = request.asked.unwrap_or(f64::INFINITY);
        let told = |place: &&usize| self.fleet[**place].told_since(asked);
        let told: Vec<usize> = usable.iter().filter(told).copied().collect();
        let mut place = self.pick(now, request, &told, peers);
        let (mut looked_at, homes) = (0, homes.unwrap_or(usable.len()));
        for count in [homes, homes * HOMES_MORE, homes * HOMES_MORE * HOMES_MORE] {
            let count = count.min(usable.len());
            if place.is_none() && count > std::mem::replace(&mut looked_at, count) {
                place = self.pick(now, request, &usable[..count], peers);
            }
        }
        if warmth >= 1.0 {
            self.traffic.went_on(request.arrival.class, place.is_some(), CLASS_WEIGHT);
        }
        place
    }

    /// The design's pick. `None`: no upstream can answer in time, or none is allowed.
    fn pick(&mut self, now: Millis, request: &Request, usable: &[usize], peers: Peers) -> Option<usize> {
        if usable.is_empty() {
            return None;
        }
        let class = &self.settings.classes[request.arrival.class.0];
        let predict = |place: &usize| {
            let told = request.asked.is_some_and(|asked| self.fleet[*place].told_since(asked));
            (*place, self.predict(*place, usize::from(told), peers, now))
        };
        let usable: Vec<(usize, Millis)> = usable.iter().map(predict).collect();
        let sampled = usable.iter().map(|(place, _)| &self.fleet[*place]).filter(|u| u.average.is_some());
        let mut tiers: BTreeSet<(bool, usize)> = sampled.map(|upstream| self.tier(upstream)).collect();
        let bare = [false, true].map(|far| (far, 0)).into_iter();
        tiers.extend(bare.filter(|side| !tiers.iter().any(|tier| tier.0 == side.0)).collect::<Vec<_>>());
        // A queue that a patient class of little worth may fill would shut out the worthier: it gets no more
        // room than they have.
        let share = self.class_share(request.arrival.class);
        let worthier = self.aims().filter(|(worth, _)| *worth > class.worth).map(|(_, aim)| aim);
        let left = worthier.fold((self.useful_until(request) - now) / share, f64::min);
        let admit = ADMIT_LEAST + (1.0 - ADMIT_LEAST) * self.worth(request, now);
        let ends = (1.0 - WASTE * self.settings.penalties.waste).max(1.0 - ADMIT);
        // Answers scatter: room is left where only few may miss, most where no second copy helps a late one.
        let few = self.settings.goal.tail > 0.0;
        let most = if few && !request.limits.parallel_tries { ADMIT_FEW } else { ADMIT };
        let admit = admit * if self.late_work_ends(request) && !few { ends } else { most };
        // A tier in which every upstream is full has none to offer: the next is asked, and when all are
        // full, the lowest from which an answer would still be in time.
        let own = |place: &usize| self.fleet[*place].out.len() as f64;
        let mean = usable.iter().map(|(place, _)| own(place)).sum::<f64>() / usable.len() as f64;
        let crowd = (mean + 1.0) * FAR;
        let aim = class.aim / share;
        for room in [SPILL, SPILL * SPILL_MORE, f64::INFINITY] {
            let room = (aim * room).min(left * admit);
            for &tier in &tiers {
                let members = usable.iter().filter(|(place, _)| self.is_of(tier, *place));
                let (count, sum) = members.clone().fold((0.0, 0.0), |(n, sum), (_, t)| (n + 1.0, sum + t));
                let far = sum / count * SKIP;
                let near = members.filter(|(place, t)| *t <= room && *t <= far && own(place) < crowd);
                let near: Vec<usize> = near.map(|(place, _)| *place).collect();
                if !near.is_empty() {
                    return Some(near[self.rng.gen_range(0..near.len())]);
                }
            }
        }
        None
    }

    /// Rule 2: whether an attempt here can make no effect happen twice, as late as its connection comes up.
    fn in_group(&self, request: &Request, place: usize, now: Millis) -> bool {
        let (own, late) = (&self.fleet[place].entry, self.settings.limits.connect_timeout);
        match self.settings.classes[request.arrival.class.0].effect {
            Effect::Repeatable => true,
            Effect::Once => request.may_have_run().next().is_none(),
            Effect::Keyed { group, window } => request.may_have_run().all(|attempt| {
                let earlier = &self.fleet[attempt.upstream].entry;
                let same = match group {
                    Group::All => true,
                    Group::Zone => earlier.zone == own.zone,
                    Group::Cell => earlier.cell == own.cell,
                };
                same && now + self.settings.step + late < attempt.sent + window
            }),
        }
    }

    /// Rule 2: whether a refusal, which tells the client that a retry is harmless, would be true.
    fn may_refuse(&self, request: &Request) -> bool {
        match self.settings.classes[request.arrival.class.0].effect {
            Effect::Repeatable | Effect::Keyed { group: Group::All, .. } => true,
            _ => request.may_have_run().next().is_none(),
        }
    }

    /// The latest end of a request's time that is sure to be in time. Where clocks differ what is told may
    /// have passed before the request came; its client was there then, so the rule allows that much more.
    pub fn latest(settings: &Settings, class: ClassId, now: Millis, told: Millis) -> Millis {
        match settings.rules.deadline_error {
            error if error > 0.0 => told.max(now + error).min(now + settings.classes[class.0].deadline),
            _ => told,
        }
    }

    fn arrive(&mut self, now: Millis, mut arrival: Arrival, actions: &mut Vec<Action>) {
        let id = arrival.request;
        arrival.not_after = Self::latest(&self.settings, arrival.class, now, arrival.not_after);
        let key = arrival.key.filter(|_| self.settings.warm_keys);
        self.traffic.came(now, arrival.tenant, key);
        if now - self.part_at > PART_EVERY {
            self.choose_part(now);
            self.traffic.forget_keys(now, FORGOTTEN);
        }
        self.retries = (self.retries + RETRY_EARN).min(RETRY_SAVED);
        let began = self.began(now, &arrival);
        let request = Request {
            arrival,
            limits: self.settings.limits,
            began,
            open: true,
            streaming: false,
            asked: None,
            attempts: Vec::new(),
        };
        let ends = self.late_work_ends(&request);
        let expiry =
            if ends { self.useful_until(&request) - self.settings.step } else { request.arrival.not_after };
        self.timers.set(expiry.max(now), Timer::Expire(id));
        let key = self.ordered(&request);
        self.requests.insert(id, request);
        // The rule on order: it goes when all before it with its key are over and the key has rested.
        match key.map(|key| self.turns.join(key, id)) {
            Some((ahead, rests)) if ahead > 0 || rests > now => self.waits(now, id, actions),
            _ => self.start(now, id, actions),
        }
    }

    /// The key by which the request keeps its place, where its class asks for that.
    fn ordered(&self, request: &Request) -> Option<u64> {
        request.arrival.key.filter(|_| self.settings.classes[request.arrival.class.0].in_order)
    }

    fn is_waiting(&self, id: RequestId) -> bool {
        self.requests.get(&id).is_some_and(|r| r.open && r.asked.is_none() && r.attempts.is_empty())
    }

    /// A request that waits for its turn is given up as soon as those before it, the key's rest and its own
    /// answer take more than its time: so a key that many ask for fills no queue that ends in late answers.
    fn waits(&mut self, now: Millis, id: RequestId, actions: &mut Vec<Action>) {
        let Some(request) = self.requests.get(&id).filter(|_| self.is_waiting(id)) else { return };
        let class = request.arrival.class.0;
        let (ahead, rests) = self.ordered(request).map_or((0, now), |key| self.turns.ahead(key, id));
        let time = self.traffic.class_time(class).unwrap_or(self.settings.classes[class].aim * SPILL);
        let last = self.useful_until(request) - time * (ahead + 1) as f64 - (rests - now).max(0.0);
        if last > now + self.settings.step.max(PROBE_MIN) {
            self.timers.set(last, Timer::Waits(id));
        } else {
            self.give_up(id, actions);
        }
    }

    fn start(&mut self, now: Millis, id: RequestId, actions: &mut Vec<Action>) {
        let Some(mut request) = self.requests.remove(&id) else { return };
        let wait = self.ask(now, &request, actions);
        request.asked = wait.map(|_| now);
        self.requests.insert(id, request);
        match wait {
            Some(wait) => self.timers.set(now + wait, Timer::Asked(id)),
            None => self.try_once(now, id, false, actions),
        }
    }

    /// Forgets a request that has its answer and of which nothing is out; the next with its key may go.
    fn forget(&mut self, id: RequestId) {
        let Some(request) = self.requests.remove(&id) else { return };
        if let Some(key) = self.ordered(&request) {
            let at = self.turns.leave(key, id);
            self.timers.set(at, Timer::Turn(key));
        }
    }

    /// A client's repeat has what is left of its first try's time: work for one whose time is over is wasted.
    /// It is taken for a repeat of the eldest unserved request of its class and tenant.
    fn began(&mut self, now: Millis, arrival: &Arrival) -> Millis {
        self.unserved.forget(now, &self.settings.classes);
        let eldest = arrival.retry.then(|| self.unserved.take(arrival.class, arrival.tenant));
        eldest.flatten().unwrap_or(now)
    }

    /// Where probes tell the load and cost little beside a request, a few upstreams drawn at random are
    /// probed for it before the pick, so that the skip sees their queues as they are. Gives the time to wait.
    fn ask(&mut self, now: Millis, request: &Request, actions: &mut Vec<Action>) -> Option<Millis> {
        let told = self.settings.feedback == Feedback::OnProbe && self.settings.limits.probes;
        // Where few balancers send, own attempts are most of the load: one for each balancer is enough.
        let enough = f64::from(self.settings.siblings);
        let asks = (ASK_SPEND / self.settings.penalties.probe.max(1e-9)).min(enough);
        if asks < 2.0 || !told {
            return None;
        }
        let mut usable = self.usable(now, request);
        let tier = usable.iter().map(|place| self.fleet[*place].tier).min()?;
        usable.retain(|place| self.fleet[*place].tier == tier);
        let mut wait: Millis = 0.0;
        for _ in 0..usable.len().min(asks as usize) {
            let upstream = &mut self.fleet[usable.swap_remove(self.rng.gen_range(0..usable.len()))];
            wait = wait.max(upstream.average? * 2.0);
            upstream.probe(now, actions);
        }
        let aim = self.settings.classes[request.arrival.class.0].aim;
        Some(wait + self.settings.step).filter(|wait| *wait < aim * ASK_WAIT)
    }

    /// Send the request's next attempt, or answer finally when none can help. `copy`: another is still out.
    fn try_once(&mut self, now: Millis, id: RequestId, copy: bool, actions: &mut Vec<Action>) {
        let Some(mut request) = self.requests.remove(&id) else { return };
        let more =
            (request.attempts.len() as u32) < request.limits.max_attempts && now < request.arrival.not_after;
        // Work that may be done twice is paid for from the budget, and so is a third try where two were full;
        // an error's is over, and its server rests.
        let full = request.attempts.iter().filter(|a| a.outcome == Some(Outcome::Full)).count();
        let repeat = full > 1 || request.may_have_run().any(|a| a.outcome != Some(Outcome::Error));
        let peers = self.peers(now);
        let paid = !repeat || self.retries >= 1.0;
        let place = if more && paid { self.place(now, &request, peers) } else { None };
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
        &mut self, now: Millis, request: &mut Request, place: usize, peers: Peers, actions: &mut Vec<Action>,
    ) {
        let share = self.class_share(request.arrival.class);
        let predicted = self.predict(place, 0, peers, now) * share;
        let (id, number) = (request.arrival.request, request.attempts.len());
        let class = &self.settings.classes[request.arrival.class.0];
        if request.limits.answer_buffers.is_some() {
            self.timers.set(now + self.overdue(request.arrival.class) + self.settings.step, Timer::Blocked);
        }
        let again = class.effect != Effect::Once && !class.stream;
        let late = (predicted * HEDGE).max(class.aim * HEDGE_LEAST);
        let in_time = now + late < self.useful_until(request);
        let last = number as u32 + 1 >= request.limits.max_attempts;
        if again && in_time && !last && request.limits.parallel_tries {
            self.timers.set(now + late, Timer::Hedge(id, number));
        }
        let upstream = &mut self.fleet[place];
        request.attempts.push(Attempt { upstream: place, sent: now, held: upstream.held(), outcome: None });
        upstream.out.push(now);
        actions.push(Action::Send { request: id, upstream: upstream.entry.upstream });
    }

    fn hedge(&mut self, now: Millis, id: RequestId, attempt: usize, actions: &mut Vec<Action>) {
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
    fn unblock(&mut self, now: Millis, actions: &mut Vec<Action>) {
        let due = |r: &&Request| r.out_since().is_some_and(|at| at + self.overdue(r.arrival.class) <= now);
        let overdue = self.requests.values().filter(due).map(|r| (micros(r.began), r.arrival.request));
        let overdue: Vec<_> = overdue.collect();
        if self.settings.limits.answer_buffers.is_some_and(|buffers| overdue.len() >= buffers as usize) {
            overdue.into_iter().min().into_iter().for_each(|(_, id)| self.give_up(id, actions));
        }
    }

    /// The final answer of a request that gets no other.
    fn give_up(&mut self, id: RequestId, actions: &mut Vec<Action>) {
        let Some(request) = self.requests.get(&id).filter(|r| r.open && !r.streaming) else { return };
        if self.may_refuse(request) {
            let aim = self.settings.classes[request.arrival.class.0].aim;
            let scatter = self.scatter();
            let longest = self.settings.limits.max_retry_after;
            let retry_after = longest.map(|longest| longest.min(aim * COME_BACK * scatter));
            actions.push(Action::Refuse { request: id, retry_after });
        } else {
            actions.push(Action::Fail { request: id });
        }
        self.close(id, actions);
    }

    /// The request has its final answer: nothing more is sent for it, and what is out is called off.
    fn close(&mut self, id: RequestId, actions: &mut Vec<Action>) {
        let Some(request) = self.requests.get_mut(&id).filter(|r| r.open) else { return };
        request.open = false;
        if !request.attempts.iter().any(|a| a.outcome == Some(Outcome::Ok)) {
            self.unserved.note(request.arrival.class, request.arrival.tenant, request.began);
        }
        request.call_off(None, actions);
        if request.out() == 0 {
            self.forget(id);
        }
    }

    fn opened(&mut self, id: RequestId, attempt: usize, actions: &mut Vec<Action>) {
        let Some(request) = self.requests.get_mut(&id) else { return };
        request.streaming = true;
        request.call_off(Some(attempt), actions);
        let stream = self.settings.classes[request.arrival.class.0].stream;
        self.fleet.opened(request.attempts.get(attempt).filter(|_| !stream));
    }

    fn finished(&mut self, now: Millis, end: Finished, actions: &mut Vec<Action>) {
        let (id, outcome, elapsed) = (end.request, end.outcome, end.elapsed);
        let (turn, memory) = (self.turn(now), self.memory(now));
        let key = self.requests.get(&id).and_then(|request| self.ordered(request));
        let Some(request) = self.requests.get_mut(&id) else { return };
        let class = request.arrival.class;
        let attempt = request.attempts.get_mut(end.attempt as usize);
        let Some(ended) = attempt.filter(|a| a.outcome.is_none()) else { return };
        ended.outcome = Some(outcome);
        let (place, sent, held) = (ended.upstream, ended.sent, ended.held);
        let (open, none_out) = (request.open, request.out() == 0);
        if matches!(outcome, Outcome::Timeout | Outcome::Reset | Outcome::Cancelled) {
            // It may still run; the next with its key waits, this request's own further attempts do not.
            let rests = now + self.settings.rules.turn_gap + self.settings.step;
            key.into_iter().for_each(|key| self.turns.rest(key, rests));
        }
        let usual = elapsed / self.class_share(class);
        let (rest, turns) = (self.settings.classes[class.0].aim * SPILL, ERROR_TURNS * turn);
        let upstream = &mut self.fleet[place];
        upstream.give_back(sent);
        let silent = upstream.heard <= sent;
        let error = outcome == Outcome::Error;
        let of_all = self.traffic.errors.get().unwrap_or(0.0);
        if error || outcome == Outcome::Ok {
            upstream.ended(error, PACE_WEIGHT);
            self.traffic.errors.add(f64::from(u8::from(error)), CLASS_WEIGHT);
        }
        match outcome {
            Outcome::Ok => {
                upstream.succeeded(now);
                // Not forgotten at once: one that fails three of four answers the fourth.
                upstream.learnt.turned_away = (upstream.learnt.turned_away - 1).max(0);
                self.traffic.answered(class, upstream.entry.kind, elapsed, usual, CLASS_WEIGHT);
                upstream.learn_pace(usual, held, now, memory);
            }
            // Errors that come from all alike are the requests' own, or of a thing that all need: none rests
            // for them. It finds one that fails later, by as much as the others fail too.
            Outcome::Error if upstream.learnt.errors <= of_all * ERRORS_OWN => upstream.heard = now,
            // One that fails at once looks idle and would draw ever more: it rests while the others get a few
            // requests each, as any may answer an error now and then.
            Outcome::Full | Outcome::Error => {
                upstream.heard = now;
                upstream.turn_away(now, if outcome == Outcome::Full { rest } else { turns }, memory);
            }
            Outcome::ConnectFailed => upstream.turn_away(now, rest, memory),
            // A time-out, and what was called off late, tell of slowness always; a time-out tells of death
            // too, below, when nothing was heard meanwhile.
            Outcome::Timeout | Outcome::Cancelled => {
                let slower = |pace: [Millis; 2]| usual > pace[0] * (held[0] + 1.0);
                if upstream.learnt.pace.map_or(outcome == Outcome::Timeout, slower) {
                    upstream.learn_pace(usual, held, now, memory);
                }
            }
            Outcome::Reset | Outcome::Moot => {}
        }
        upstream.take_report(now, end.report);
        let died = matches!(outcome, Outcome::ConnectFailed | Outcome::Reset);
        if died || outcome == Outcome::Timeout && silent {
            self.failed(now, place);
        }
        // A late outcome of a closed request closes nothing anew: it would be called off and noted twice.
        if open && (end.closed || outcome == Outcome::Ok) {
            self.close(id, actions);
        } else if open && none_out {
            self.try_once(now, id, false, actions);
        } else if none_out {
            self.forget(id);
        }
    }
}
