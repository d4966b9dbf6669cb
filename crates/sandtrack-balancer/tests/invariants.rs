//! Legal random event sequences, against the rules' invariants on the actions. No server is modelled: outcomes are
//! drawn freely among what the wire allows at that moment.
mod common;
use common::*;
use proptest::prelude::*;
use sandtrack_balancer::interface::*;
use std::collections::{BTreeMap, BTreeSet};

#[derive(Clone, Debug)]
enum Step {
    Pass(u16),
    Arrive(u8, i8),
    Finish(u8, u8),
    Probe(u8, bool),
    List(u8, u8),
    Broken,
    Gone(u8),
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        (1u16..400).prop_map(Step::Pass),
        (any::<u8>(), -20i8..20).prop_map(|(class, off)| Step::Arrive(class, off)),
        (any::<u8>(), 0u8..8).prop_map(|(which, outcome)| Step::Finish(which, outcome)),
        (any::<u8>(), any::<bool>()).prop_map(|(which, ok)| Step::Probe(which, ok)),
        (0u8..6, 0u8..4).prop_map(|(which, readiness)| Step::List(which, readiness)),
        Just(Step::Broken),
        any::<u8>().prop_map(Step::Gone),
    ]
}

struct Sent {
    upstream: u32,
    at: Millis,
    outcome: Option<(Outcome, Millis)>,
}

#[derive(Default)]
struct Ledger {
    class: usize,
    not_after: Millis,
    key: Option<u64>,
    sent: Vec<Sent>,
    closed: bool,
    answers: usize,
}

impl Sent {
    fn never_ran(&self) -> bool {
        self.outcome.is_some_and(|(outcome, _)| outcome.never_ran())
    }
}

const OUTCOMES: [Outcome; 8] = [
    Outcome::Ok,
    Outcome::Error,
    Outcome::Full,
    Outcome::Timeout,
    Outcome::ConnectFailed,
    Outcome::Reset,
    Outcome::Cancelled,
    Outcome::Moot,
];

/// What a front would see, and the rules checked on every action.
struct World {
    front: Front,
    settings: Settings,
    requests: BTreeMap<u64, Ledger>,
    closed_to_new: BTreeSet<u32>,
}

impl World {
    fn feed(&mut self, event: Event) {
        for action in self.front.feed(event) {
            match action {
                Action::Send {
                    request, upstream, ..
                } => self.sent(request.0, upstream.0),
                Action::Refuse { request, .. } => self.answered(request.0, true),
                Action::Fail { request } => self.answered(request.0, false),
                Action::Cancel { request, attempt } => {
                    assert!((attempt as usize) < self.requests[&request.0].sent.len());
                }
                _ => {}
            }
        }
    }

    fn sent(&mut self, id: u64, upstream: u32) {
        let now = self.front.now;
        self.keeps_order(id);
        let settings = &self.settings;
        assert!(
            !self.closed_to_new.contains(&upstream),
            "sent to a draining or gone upstream"
        );
        let ledger = self.requests.get_mut(&id).unwrap();
        assert!(!ledger.closed, "sent for a closed request");
        assert!(
            now < ledger.not_after || settings.rules.deadline_skew > 0.0,
            "sent past the deadline"
        );
        assert!(ledger.sent.len() < 4, "more attempts than allowed");
        let out = ledger.sent.iter().filter(|s| s.outcome.is_none()).count();
        assert!(
            settings.limits.parallel_attempts || out == 0,
            "two attempts out together"
        );
        for earlier in ledger.sent.iter().filter(|s| !s.never_ran()) {
            match settings.classes[ledger.class].idempotency {
                Idempotency::Idempotent => {}
                Idempotency::NonIdempotent => panic!("an unsafe request was sent again"),
                Idempotency::Keyed { scope, window } => {
                    // Every upstream is a zone and a cell of its own here.
                    assert!(
                        scope == DedupScope::All || earlier.upstream == upstream,
                        "left its scope"
                    );
                    assert!(now <= earlier.at + window, "past its window");
                }
            }
        }
        ledger.sent.push(Sent {
            upstream,
            at: now,
            outcome: None,
        });
    }

    /// Nothing for one while an earlier one of its key is not over, is out, or the key rests after it.
    fn keeps_order(&self, id: u64) {
        let (classes, now) = (&self.settings.classes, self.front.now);
        let ordered = |ledger: &Ledger| ledger.key.filter(|_| classes[ledger.class].in_order);
        let Some(key) = ordered(&self.requests[&id]) else {
            return;
        };
        for (_, earlier) in self
            .requests
            .range(..id)
            .filter(|(_, ledger)| ordered(ledger) == Some(key))
        {
            assert!(
                earlier.closed,
                "sent while an earlier one of its key was open"
            );
            for sent in &earlier.sent {
                let (outcome, at) = sent
                    .outcome
                    .expect("sent while an attempt of its key was out");
                let may_run = matches!(
                    outcome,
                    Outcome::Timeout | Outcome::Reset | Outcome::Cancelled
                );
                assert!(
                    !may_run || now >= at + self.settings.rules.ordered_key_gap,
                    "sent while its key rested"
                );
            }
        }
    }

    fn answered(&mut self, id: u64, refused: bool) {
        let now = self.front.now;
        let ledger = self.requests.get_mut(&id).unwrap();
        assert!(!ledger.closed, "a second final answer");
        let latest = ledger.not_after + 5.0 + self.settings.rules.deadline_skew;
        assert!(now <= latest, "answered too late");
        let may_have_run = ledger.sent.iter().any(|s| !s.never_ran());
        let harmless = match self.settings.classes[ledger.class].idempotency {
            Idempotency::Idempotent
            | Idempotency::Keyed {
                scope: DedupScope::All,
                ..
            } => true,
            _ => !may_have_run,
        };
        assert!(!refused || harmless, "a refusal that promises too much");
        ledger.closed = true;
        ledger.answers += 1;
    }

    fn finish(&mut self, id: u64, attempt: usize, outcome: Outcome) {
        let now = self.front.now;
        let ledger = self.requests.get_mut(&id).unwrap();
        ledger.sent[attempt].outcome = Some((outcome, now));
        if outcome == Outcome::Ok && !ledger.closed {
            ledger.closed = true;
            ledger.answers += 1;
        }
        let (closed, elapsed) = (ledger.closed, now - ledger.sent[attempt].at);
        let attempt = attempt as u32;
        let request = RequestId(id);
        self.feed(Event::Finished(Finished {
            request,
            attempt,
            outcome,
            elapsed,
            closed,
            report: None,
        }));
    }

    /// Lets time pass in steps of at most 1 ms past each wake, as the wire does; overdue attempts time out.
    fn pass(&mut self, until: Millis) {
        loop {
            let next = self.front.wake.max(self.front.now);
            if self.front.wake <= self.front.now || next > until {
                break;
            }
            self.front.now = next;
            self.time_out();
            self.front.wake = f64::INFINITY;
            self.feed(Event::Wake);
        }
        self.front.now = until;
        self.time_out();
    }

    fn time_out(&mut self) {
        let now = self.front.now;
        let overdue = |(id, ledger): (&u64, &Ledger)| {
            let out = ledger.sent.iter().position(|s| s.outcome.is_none())?;
            (now >= ledger.not_after).then_some((*id, out))
        };
        while let Some((id, attempt)) = self.requests.iter().find_map(overdue) {
            self.finish(id, attempt, Outcome::Timeout);
        }
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 300, failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn rules_hold_on_any_legal_sequence(
        steps in proptest::collection::vec(step(), 1..250), parallel: bool, on_probe: bool, cheap_probes: bool,
        balancer_count in prop_oneof![1u32..8, 100u32..800], upstreams in prop_oneof![1u32..8, 100u32..400],
        in_order: bool, soft_removal: bool, deadline_skew in prop_oneof![Just(0.0), Just(500.0)],
    ) {
        let keyed = |scope| Idempotency::Keyed { scope, window: 600.0 };
        let mut settings = settings(Idempotency::Idempotent);
        let effects = [Idempotency::NonIdempotent, keyed(DedupScope::All), keyed(DedupScope::Zone), keyed(DedupScope::Cell)];
        settings.classes.extend(effects.map(class));
        settings.limits.parallel_attempts = parallel;
        settings.balancer_count = balancer_count;
        settings.feedback = if on_probe { Feedback::OnProbe } else { Feedback::Inline };
        settings.penalties.probe = if cheap_probes { 0.002 } else { 0.02 };
        settings.classes.iter_mut().for_each(|class| class.in_order = in_order);
        settings.rules = Rules { ordered_key_gap: 150.0, deadline_skew, soft_removal, ..settings.rules };
        let mut front = Front::new(settings.clone(), upstreams);
        front.now += 1.0;
        let mut world = World {
            front, settings, requests: BTreeMap::new(), closed_to_new: BTreeSet::new(),
        };
        let mut next = 100;
        for step in steps {
            match step {
                Step::Pass(time) => world.pass(world.front.now + f64::from(time)),
                Step::Arrive(class, off) => {
                    next += 1;
                    let key = Some(u64::from(class) / 16 % 3);
                    let class = class as usize % world.settings.classes.len();
                    // Within the class's time, and told wrongly by as much as the settings say at most.
                    let not_after = world.front.now + 600.0 + f64::from(off) * 20.0;
                    let told = not_after + f64::from(off) / 20.0 * deadline_skew;
                    world.requests.insert(next, Ledger { class, not_after, key, ..Ledger::default() });
                    let arrival = Arrival { not_after: told, key, ..arrival(next, world.front.now) };
                    let (class, retry) = (ClassId(class), next % 3 == 0);
                    world.feed(Event::Request(Arrival { class, retry, ..arrival }));
                }
                Step::Finish(which, outcome) => {
                    let out: Vec<(u64, usize)> = world.requests.iter().flat_map(|(id, ledger)| {
                        let out = ledger.sent.iter().enumerate().filter(|(_, s)| s.outcome.is_none());
                        out.map(|(n, _)| (*id, n)).collect::<Vec<_>>()
                    }).collect();
                    if !out.is_empty() {
                        let (id, attempt) = out[which as usize % out.len()];
                        world.finish(id, attempt, OUTCOMES[outcome as usize]);
                    }
                }
                Step::Probe(which, ok) => {
                    let report = Some(Report { active: Some(f64::from(which % 7)), ..Report::default() });
                    let upstream = UpstreamId(u32::from(which) % upstreams);
                    world.feed(Event::Probed { upstream, elapsed: f64::from(which), ok, report });
                }
                Step::List(which, readiness) => {
                    let id = u32::from(which);
                    let (readiness, since) = match readiness {
                        0 => (Readiness::Ready, None),
                        1 => (Readiness::Ready, Some(world.front.now - 10.0)),
                        2 => (Readiness::Draining, None),
                        _ => (Readiness::Removed, None),
                    };
                    match readiness {
                        Readiness::Ready => world.closed_to_new.remove(&id),
                        Readiness::Removed if soft_removal => false,
                        _ => world.closed_to_new.insert(id),
                    };
                    let entries = vec![Entry { readiness, started_at: since, ..entry(id) }];
                    world.feed(Event::List { kind: ListKind::Patch, entries });
                }
                Step::Broken => world.feed(Event::ListFailed),
                Step::Gone(which) => {
                    let open: Vec<u64> =
                        world.requests.iter().filter(|(_, l)| !l.closed).map(|(id, _)| *id).collect();
                    if !open.is_empty() {
                        let id = open[which as usize % open.len()];
                        let ledger = world.requests.get_mut(&id).unwrap();
                        (ledger.closed, ledger.answers) = (true, 1);
                        world.feed(Event::ClientGone(RequestId(id)));
                    }
                }
            }
        }
        world.pass(world.front.now + 3000.0);
        for (id, ledger) in &world.requests {
            prop_assert_eq!(ledger.answers, 1, "request {} has no final answer", id);
        }
    }

    #[test]
    fn the_same_events_give_the_same_actions(classes in proptest::collection::vec(0u8..8, 1..60)) {
        let run = || {
            let mut front = Front::new(settings(Idempotency::Idempotent), 5);
            for outcome in &classes {
                front.now += 7.0;
                front.probe(u32::from(*outcome % 5), f64::from(*outcome), true);
                let (request, _) = front.request();
                front.finish(request, 0, OUTCOMES[*outcome as usize], 5.0);
            }
            front.seen
        };
        prop_assert_eq!(run(), run());
    }
}
