//! The soak's short form, and what its plans keep to.
use sandtrack_fault_tests::soak::judge::judge;
use sandtrack_fault_tests::soak::plan::{Kind, Plan, Trouble};
use sandtrack_fault_tests::soak::records::{Arrival, End, Records, Request, Route, Shown, Span};
use sandtrack_fault_tests::soak::run::{play, Options};
use sandtrack_fault_tests::soak::tenants::{credentials, may_run};
use sandtrack_fault_tests::system::process::Programs;
use sandtrack_fault_tests::system::report::Report;
use std::path::PathBuf;
use std::rc::Rc;

/// As a program's first thread has it: without optimisation a run takes more than a test's thread.
const STACK: usize = 8 << 20;

#[test]
fn a_short_soak_holds() {
    let options = Options {
        programs: Programs {
            rig: PathBuf::from(env!("CARGO_BIN_EXE_sandtrack-fault-tests")),
            builds: None,
        },
        seed: 2,
        lasts: 14.0,
        clients: 12,
        keep: None,
    };
    let played = std::thread::Builder::new()
        .stack_size(STACK)
        .spawn(move || play(&options));
    let report = played
        .expect("a thread")
        .join()
        .expect("a report")
        .expect("addresses and processes");
    eprintln!("{}{}", report.text(), report.notes.join("\n"));
    assert!(report.is_kept(), "{}", report.text());
}

fn overlap(one: &Trouble, other: &Trouble, margin: f64) -> bool {
    one.from < other.until + margin && other.from < one.until + margin
}

#[test]
fn troubles_overlap_and_leave_the_core_what_it_is_to_bear() {
    let mut together = 0;
    for seed in 0..200 {
        let plan = Plan::draw(seed, 24.0);
        assert_eq!(
            plan.troubles,
            Plan::draw(seed, 24.0).troubles,
            "a seed is a plan"
        );
        for (at, one) in plan.troubles.iter().enumerate() {
            for other in &plan.troubles[at + 1..] {
                let of_core = one.kind.control().is_some() && other.kind.control().is_some();
                assert!(
                    !(of_core && overlap(one, other, 4.0)),
                    "{one:?} beside {other:?}, seed {seed}"
                );
                let wipes = |trouble: &Trouble| matches!(trouble.kind, Kind::ControlWipe(_));
                assert!(
                    !(wipes(one) && wipes(other) && overlap(one, other, 14.0)),
                    "seed {seed}"
                );
                together += usize::from(overlap(one, other, 0.0));
            }
        }
    }
    assert!(together > 1000, "{together} pairs overlap");
}

#[test]
fn every_kind_of_trouble_is_drawn() {
    let drawn = (0..200).flat_map(|seed| Plan::draw(seed, 24.0).troubles);
    let kinds: std::collections::BTreeSet<String> = drawn
        .map(|trouble| {
            format!("{:?}", trouble.kind)
                .split('(')
                .next()
                .unwrap_or_default()
                .to_owned()
        })
        .collect();
    assert_eq!(kinds.len(), 24, "{kinds:?}");
}

/// What a run of one machine saw.
struct Seen {
    records: Rc<Records>,
    report: Report,
}

impl Seen {
    fn new() -> Seen {
        Seen {
            records: Records::new(1),
            report: Report::default(),
        }
    }

    /// A request that was sent at 20 s, and reached an upstream right then.
    fn request(&self, id: &str, behind: bool, ended: f64, end: End) {
        let target = format!("/stream/{id}");
        let request = Request {
            id: id.to_owned(),
            route: Some(Route::Stream),
            method: "POST",
            target: target.clone(),
            body: 0,
            machine: 0,
            life: 1,
            kept: behind,
            behind,
            begun: 20.0,
            sent: Some(20.0),
            ended,
            patience: 4.0,
            end,
        };
        self.records.requests.borrow_mut().push(request);
        self.records.arrivals.borrow_mut().push(Arrival {
            at: 20.01,
            id: id.to_owned(),
            upstream: "u1-0".into(),
            service: "writer",
            zone: "hall-a".to_owned(),
            ran: true,
            trouble: None,
            method: "POST".to_owned(),
            target,
            body: 0,
            handed: None,
            was_cold: false,
            tenant: credentials(id, Some(Route::Stream)).1.map(str::to_owned),
            has_key: false,
        });
    }

    fn shows_draining(&self, since: f64) {
        let shown = Shown {
            draining: Some(since),
        };
        self.records
            .shown
            .borrow_mut()
            .insert("u1-0".to_owned(), shown);
    }

    fn platform_trouble(&self, from: f64, until: f64) {
        let what = "PlatformTrouble".to_owned();
        let span = Span {
            what,
            proxies: Vec::new(),
            core: false,
            planned: false,
            from,
            until,
        };
        self.records.spans.borrow_mut().push(span);
    }

    /// The verdict that begins so holds.
    fn holds(mut self, what: &str) -> bool {
        judge(&self.records, &mut self.report);
        let line = self
            .report
            .text()
            .lines()
            .find(|line| line.contains(what))
            .map(str::to_owned);
        !line
            .unwrap_or_else(|| panic!("no verdict {what}"))
            .contains("BROKEN")
    }
}

/// The time of a drain runs from when the list shows it, but not while the platform is in trouble.
#[test]
fn a_drain_is_judged_by_the_time_in_which_the_platform_served() {
    for (since, trouble, holds) in [
        (14.9, None, false),
        (15.1, None, true),
        (14.9, Some((15.0, 16.0)), true),
        (13.9, Some((15.0, 16.0)), false),
        (14.9, Some((5.0, 14.9)), false),
    ] {
        let seen = Seen::new();
        seen.request("c0-1", false, 20.5, End::Answered(200));
        seen.shows_draining(since);
        if let Some((from, until)) = trouble {
            seen.platform_trouble(from, until);
        }
        assert_eq!(
            seen.holds("DRAIN: nothing reaches"),
            holds,
            "shown since {since}, trouble {trouble:?}"
        );
    }
}

/// No stream lasts as long as its route's time: one that is cut then needs a cause, as one that was carried behind another has.
#[test]
fn a_stream_that_is_cut_at_its_time_needs_a_cause() {
    const IN_TIME: &[(f64, f64)] = &[(19.9, 0.7), (21.0, 0.3), (21.6, 0.7)];
    const LATE: &[(f64, f64)] = &[(20.5, 0.4), (21.2, 0.4)];
    for (behind, ended, late_timers, holds) in [
        (false, 21.5, IN_TIME, false),
        (false, 21.5, LATE, true),
        (false, 20.9, LATE, false),
        (true, 21.5, IN_TIME, true),
        (true, 20.9, IN_TIME, false),
    ] {
        let seen = Seen::new();
        seen.request("c0-1", behind, ended, End::Broke { begun: true });
        seen.records.late_timers.borrow_mut().extend(late_timers);
        let told = format!("behind {behind}, ended at {ended}, late {late_timers:?}");
        assert_eq!(seen.holds("LOST: no request"), holds, "{told}");
    }
}

/// Ids of requests of a stream with a known key, and with an unknown one.
fn ids_by_key() -> (String, String) {
    let id = |known: bool| {
        let mut ids = (1..200).map(|at| format!("c0-{at}"));
        ids.find(|id| may_run(id, Some(Route::Stream)) == known)
            .expect("there is one")
    };
    (id(true), id(false))
}

#[test]
fn a_key_or_another_tenants_name_at_an_upstream_is_found() {
    const VERDICT: &str = "UNASKED: upstreams get the tenant's name";
    let (known, _) = ids_by_key();
    for (tenant, has_key, holds) in [
        (None, false, true),
        (None, true, false),
        (Some("another"), false, false),
    ] {
        let seen = Seen::new();
        seen.request(&known, false, 20.5, End::Answered(200));
        if let Some(arrival) = seen.records.arrivals.borrow_mut().first_mut() {
            arrival.has_key = has_key;
            if let Some(tenant) = tenant {
                arrival.tenant = Some(tenant.to_owned());
            }
        }
        assert_eq!(seen.holds(VERDICT), holds, "{tenant:?}, {has_key}");
    }
}

#[test]
fn an_unknown_key_that_runs_and_a_known_one_that_does_not_are_found() {
    let (known, unknown) = ids_by_key();
    for (id, status, runs, denied) in [
        (&known, 200, true, true),
        (&known, 401, true, false),
        (&unknown, 200, false, true),
    ] {
        let found = |verdict: &str| {
            let seen = Seen::new();
            seen.request(id, false, 20.5, End::Answered(status));
            seen.holds(verdict)
        };
        assert_eq!(found("ROUTE: nothing runs without"), runs, "{id} {status}");
        assert_eq!(found("DENIED: known keys"), denied, "{id} {status}");
    }
}
