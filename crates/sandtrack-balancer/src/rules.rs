//! Every decision of the balancer, by concern. Its types, events and actions are in `interface.rs`: read
//! that first; what it remembers between events is laid out in `state.rs`.
//!
//! The ordinary path follows "extractedprism" (docs/design.md) and is the package `sandtrack-tiers`: smoothed
//! probe times, health, tiers, the random pick. All else is a departure with its own comment, acting only
//! where that path breaks. In this file: events and timers, the list of upstreams, shared figures.
mod admission; // what comes in: its turn, until when an answer is of use, how much of that one may fill
mod outcome; // what the end of an attempt teaches, and what follows
mod pick; // which upstream an attempt goes to
mod prediction; // the time that an answer would take
mod probing; // the part of the fleet in use, probes, failures
mod retry; // attempts, second copies, refusals, and what must not run twice

use crate::interface::*;
use crate::state::*;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg32;
use sandtrack_tiers::{group_by_tier, jitter, next_probe_at, overload_limit, pick_in_lowest};

// Shortest gap between probes: a fresher figure would say no more than the corrections made for own sends.
const PROBE_MIN: Millis = 20.0;
// Upstreams in use: enough for a random pick, its tiers and some losses; each is looked at for each request.
const PART_LEAST: f64 = 4.0;
const PART_MOST: f64 = 64.0;
const MEMORY: Millis = 5000.0; // of rates, and of what an upstream taught once nothing new is heard
const KEY_MEMORY: Millis = 10_000.0; // of a key's rate
const CLASS_WEIGHT: f64 = 0.02; // of one answer in a class's mean, once so many came that none weighs more
const SPILL: f64 = 0.28; // a tier has no room if an answer takes more than this part of the time wanted
const CROSSING: f64 = 0.05; // of a mean worth: where crossing costs more, probe times and homes are no reason
const RETRY_SAVED: f64 = 5.0; // attempts beyond the first saved up at most: retries amplify overload

// Shortest and longest gap between list calls after a failure, as fractions of `list_retry_limit`.
const ASK_FIRST: f64 = 0.05;
const ASK_LONGEST: f64 = 0.25;

impl Balancer {
    pub fn new(mut settings: Settings, seed: u64) -> Self {
        settings.key_affinity &= settings.penalties.cross_zone <= CROSSING;
        let traffic = Traffic::new(MEMORY, KEY_MEMORY, &settings);
        Balancer::remembering(
            settings,
            Pcg32::seed_from_u64(seed),
            traffic,
            PART_LEAST,
            RETRY_SAVED,
        )
    }

    pub fn handle(&mut self, now: Millis, event: Event, actions: &mut Vec<Action>) {
        match event {
            Event::Start => self.subscribe(actions),
            Event::Settings(settings) => self.adopt(now, *settings),
            Event::List { kind, entries } => self.list(now, kind, entries),
            Event::ListFailed => {
                // Keep the old list; ask again, ever less often but within `list_retry_limit`, never in step.
                let within = self.settings.rules.list_retry_limit.max(1.0);
                self.ask_gap = (self.ask_gap * 2.0).clamp(within * ASK_FIRST, within * ASK_LONGEST);
                self.timers
                    .set(now + self.ask_gap * jitter(&mut self.rng), Timer::Subscribe);
            }
            Event::Request(arrival) => self.arrive(now, arrival, actions),
            Event::Probed {
                upstream,
                elapsed,
                ok,
                report,
            } => self.probed(now, upstream, elapsed, ok, report),
            Event::ResponseStarted { request, attempt } => {
                self.opened(request, attempt as usize, actions);
            }
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
        settings.key_affinity &= settings.penalties.cross_zone <= CROSSING;
        self.settings = settings;
        self.choose_part(now);
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
        self.fleet.take(
            now,
            kind,
            entries,
            &self.requests,
            &mut self.rng,
            self.settings.rules.soft_removal,
        );
        self.choose_part(now);
    }
}
