//! The verdicts, by what clients, upstreams and operators saw. Pure. Rules with a bound in time bind a machine that was in touch:
//! nothing was done to it, nor to the core, for `in_touch_ms`.
use super::records::{
    Arrival, Change, End, Evacuation, Outcome, Records, Request, Route, Seconds, Span,
};
use super::tenants::{credentials, may_run};
use super::upstreams::PRINTER;
use super::{
    APPLY_S, ATTEMPTS, COLD_MOST, DOWNGRADE_S, DRAIN_S, EVACUATION_S, IN_TOUCH_S, RETRY_RATIO,
    RETRY_SLACK, RETRY_WINDOW_S, TIMEOUT_S,
};
use crate::system::documents::SERVICE;
use crate::system::report::Report;
use std::collections::{BTreeMap, BTreeSet};

/// What ids of the rig's own looks begin with: whether a front serves yet.
const LOOKS: &str = "look-";
/// A proxy that ended is named by no directory after this, in s: a second of silence, and what a silent control node told
/// holds for one and a half (the rule has `in_touch_ms` and 3 s).
const NAMED_S: Seconds = 3.0;
/// Lines told of one verdict.
const TOLD_MOST: usize = 6;
/// An answer may come so long behind a route's time, in s: the rule's half second, and as much for a busy machine.
const HELD_SLACK: Seconds = 1.0;
/// A request that goes on so long after its client has left breaks the rule, in s.
const GONE_S: Seconds = 0.5;
/// ... where there are more than these.
const GONE_MOST: usize = 3;
/// A connection that is closed within this after a request was sent on it crossed the close, in s.
const CROSSING: Seconds = 0.25;
/// The longest stream takes so long where no stand-in is held up, in s: 29 events of 20 ms, their timers' own lateness, and a tenth.
const LONGEST_STREAM: Seconds = 0.75;
/// The route's time counts from a request's first byte, a little before its last, in s.
const TIMEOUT_MARGIN: Seconds = 0.1;
/// What a proxy hands to an upstream may be so much longer than what is left, in s.
const HANDED_SLACK: Seconds = 0.5;

/// All that was seen, in a form that is easy to look things up in.
pub struct Seen<'a> {
    requests: &'a [Request],
    changes: &'a [Change],
    evacuations: &'a [Evacuation],
    spans: &'a [Span],
    arrivals: &'a [Arrival],
    by_id: BTreeMap<&'a str, Vec<&'a Arrival>>,
    requested: BTreeMap<&'a str, &'a Request>,
    late_timers: &'a [(Seconds, Seconds)],
}

impl<'a> Seen<'a> {
    pub fn new(
        requests: &'a [Request],
        arrivals: &'a [Arrival],
        changes: &'a [Change],
        evacuations: &'a [Evacuation],
        spans: &'a [Span],
        late_timers: &'a [(Seconds, Seconds)],
    ) -> Seen<'a> {
        let mut by_id: BTreeMap<&str, Vec<&Arrival>> = BTreeMap::new();
        for arrival in arrivals {
            by_id.entry(&arrival.id).or_default().push(arrival);
        }
        let requested = requests
            .iter()
            .map(|request| (request.id.as_str(), request))
            .collect();
        Seen {
            requests,
            changes,
            evacuations,
            spans,
            arrivals,
            by_id,
            requested,
            late_timers,
        }
    }

    fn arrivals_of(&self, request: &Request) -> &[&'a Arrival] {
        self.by_id
            .get(request.id.as_str())
            .map_or(&[], Vec::as_slice)
    }

    fn runs_of(&self, request: &Request) -> usize {
        self.arrivals_of(request)
            .iter()
            .filter(|arrival| arrival.ran)
            .count()
    }

    fn touched(
        &self,
        machine: usize,
        from: Seconds,
        until: Seconds,
        counts: impl Fn(&Span) -> bool,
    ) -> bool {
        let touches = |span: &&Span| span.from <= until && span.until >= from;
        let spans = self
            .spans
            .iter()
            .filter(touches)
            .filter(|span| counts(span));
        spans
            .into_iter()
            .any(|span| span.core || span.proxies.contains(&machine))
    }

    /// Whether the machine was in touch throughout.
    fn in_touch(&self, machine: usize, from: Seconds, until: Seconds) -> bool {
        !self.touched(machine, from - IN_TOUCH_S, until, |_| true)
    }

    /// How long the platform was in no trouble between two moments: the time of a drain runs only then.
    fn platform_served(&self, from: Seconds, until: Seconds) -> Seconds {
        let troubles = self
            .spans
            .iter()
            .filter(|span| span.what.starts_with("PlatformTrouble"));
        let within = troubles.map(|span| (span.until.min(until) - span.from.max(from)).max(0.0));
        until - from - within.sum::<Seconds>()
    }

    /// By how much the rig's own timers were late between two moments, in sum.
    fn rig_late(&self, from: Seconds, until: Seconds) -> Seconds {
        let within = self
            .late_timers
            .iter()
            .filter(|(at, _)| (from..until).contains(at));
        within.map(|(_, late)| late).sum()
    }

    /// Whether nothing unplanned was done to the machine's proxy itself.
    fn is_untroubled(&self, machine: usize, from: Seconds, until: Seconds) -> bool {
        let of_proxy = |span: &Span| !span.planned && span.proxies.contains(&machine);
        !self.touched(machine, from, until, of_proxy)
    }
}

/// Judges a whole run.
pub fn judge(records: &Records, report: &mut Report) {
    let requests = records.requests.borrow();
    let arrivals = records.arrivals.borrow();
    let changes = records.changes.borrow();
    let evacuations = records.evacuations.borrow();
    let spans = records.spans.borrow();
    let late_timers = records.late_timers.borrow();
    let seen = Seen::new(
        &requests,
        &arrivals,
        &changes,
        &evacuations,
        &spans,
        &late_timers,
    );
    let mut verdict = |what: &str, broken: Vec<String>| {
        let more = broken.len().saturating_sub(TOLD_MOST);
        let mut told: Vec<String> = broken.into_iter().take(TOLD_MOST).collect();
        if more > 0 {
            told.push(format!("and {more} more"));
        }
        report.judge(what, &told);
    };
    verdict(
        "MIXED, ORDER: every client gets its own answer, whole",
        mixed(&seen),
    );
    verdict("TWICE: what may run once never runs twice", twice(&seen));
    verdict(
        "REFUSED: what was promised not to have run has not",
        promised(&seen),
    );
    verdict(
        "UNASKED: upstreams run only what was asked, unchanged",
        unasked(&seen),
    );
    verdict(
        "UNASKED: upstreams get the tenant's name and no key",
        named_tenants(&seen),
    );
    verdict(
        "ROUTE: nothing runs without a key that is known",
        unknown_keys(&seen),
    );
    verdict("DENIED: known keys are let in", denied_keys(&seen));
    verdict(
        "ROUTE: a service runs only its own requests",
        other_service(&seen),
    );
    verdict("BUDGET: no more upstreams than attempts", attempts(&seen));
    verdict(
        "BUDGET: repeats stay within the shared budget",
        repeats(&seen),
    );
    verdict(
        "BUDGET: no upstream is handed more time than is left",
        handed(&seen),
    );
    verdict(
        "FAILBACK: cold upstreams get no more than their bound",
        cold(&seen),
    );
    verdict(
        "GONE: nothing reaches an upstream long after its client left",
        gone(&seen),
    );
    verdict(
        "DRAIN: nothing reaches an upstream long after it drains",
        drained(&seen, records),
    );
    verdict("EVAC: nothing reaches an evacuated zone", evacuated(&seen));
    verdict(
        "CONFIG: what was acknowledged is in force soon",
        in_force(&seen),
    );
    verdict(
        "CONFIG: what was refused is never in force",
        refused_in_force(&seen),
    );
    verdict(
        "CONFIG: no change is taken that is invalid by one under way",
        invalid_taken(&seen),
    );
    verdict("CONFIG: no process goes back", went_back(&seen));
    verdict(
        "CONFIG: of two changes on one version one is taken",
        both_taken(&seen),
    );
    verdict(
        "CONFIG: a read is never older than what was acknowledged",
        old_reads(&seen, records),
    );
    verdict("CONFIG: requests are answered in time", held(&seen));
    verdict("LOST: no request is lost without a cause", lost(&seen));
    verdict(
        "DRAIN: the directory names nobody long after it ended",
        named_absent(&seen, records),
    );
    let passed_over = |cause: OverTime| {
        seen.requests
            .iter()
            .filter(|request| over_time(&seen, request) == Some(cause))
            .count()
    };
    report.notes.push(format!(
        "cut at their route's time: {} requests behind another, {} while the rig's own timers were late",
        passed_over(OverTime::Behind),
        passed_over(OverTime::RigLate)
    ));
}

/// Why a request that was cut at the end of its route's time had spent it. Alone, and in a rig that runs, no stream lasts so long.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum OverTime {
    /// It spent a part of it behind another on its connection.
    Behind,
    /// The stand-ins themselves were held up for as long as it would have had left.
    RigLate,
}

fn over_time(seen: &Seen<'_>, request: &Request) -> Option<OverTime> {
    let End::Broke { .. } = request.end else {
        return None;
    };
    let took = request.ended - request.sent?;
    if took < TIMEOUT_S - TIMEOUT_MARGIN {
        None
    } else if request.behind {
        Some(OverTime::Behind)
    } else {
        let late = seen.rig_late(request.begun, request.ended);
        (late >= TIMEOUT_S - LONGEST_STREAM).then_some(OverTime::RigLate)
    }
}

fn mixed(seen: &Seen<'_>) -> Vec<String> {
    let wrong = seen
        .requests
        .iter()
        .filter_map(|request| match &request.end {
            End::Wrong(what) => Some(what.clone()),
            End::Answered(status) if (200..300).contains(status) && seen.runs_of(request) == 0 => {
                Some(format!("{} got a success without a run", request.id))
            }
            _ => None,
        });
    wrong.collect()
}

fn twice(seen: &Seen<'_>) -> Vec<String> {
    let once = seen
        .requests
        .iter()
        .filter(|request| request.route.is_some_and(|route| !route.is_idempotent()));
    let twice = once.filter(|request| seen.runs_of(request) > 1);
    twice
        .map(|request| format!("{} ran {} times", request.id, seen.runs_of(request)))
        .collect()
}

fn promised(seen: &Seen<'_>) -> Vec<String> {
    let promised = seen
        .requests
        .iter()
        .filter(|request| matches!(request.end, End::Answered(408 | 421 | 429 | 503)));
    let once = promised.filter(|request| request.route.is_some_and(|route| !route.is_idempotent()));
    let broken = once.filter(|request| seen.runs_of(request) > 0);
    broken
        .map(|request| format!("{} got {:?} and had run", request.id, request.end))
        .collect()
}

fn unasked(seen: &Seen<'_>) -> Vec<String> {
    let asked = seen
        .arrivals
        .iter()
        .filter(|arrival| !arrival.id.starts_with(LOOKS));
    let unasked = asked.filter_map(|arrival| match seen.requested.get(arrival.id.as_str()) {
        None => Some(format!("{} was never asked", arrival.id)),
        Some(request) => {
            let same = request.method == arrival.method
                && request.target == arrival.target
                && request.body == arrival.body;
            (!same).then(|| {
                format!(
                    "{} was changed: {} {}",
                    arrival.id, arrival.method, arrival.target
                )
            })
        }
    });
    unasked.collect()
}

fn named_tenants(seen: &Seen<'_>) -> Vec<String> {
    let broken = seen.arrivals.iter().filter_map(|arrival| {
        let request = seen.requested.get(arrival.id.as_str())?;
        let (_, tenant) = credentials(&request.id, request.route);
        let is_right = arrival.tenant.as_deref() == tenant && !arrival.has_key;
        (!is_right).then(|| {
            format!(
                "{} of {tenant:?} reached {} as of {:?}, with its key: {}",
                arrival.id, arrival.upstream, arrival.tenant, arrival.has_key
            )
        })
    });
    broken.collect()
}

fn unknown_keys(seen: &Seen<'_>) -> Vec<String> {
    let requests = seen.requests.iter();
    let unknown = requests.filter(|request| !may_run(&request.id, request.route));
    unknown
        .filter(|request| {
            let arrived = !seen.arrivals_of(request).is_empty();
            arrived || matches!(request.end, End::Answered(status) if status < 400)
        })
        .map(|request| format!("{} ended {:?}", request.id, request.end))
        .collect()
}

fn denied_keys(seen: &Seen<'_>) -> Vec<String> {
    let requests = seen.requests.iter();
    requests
        .filter(|request| request.end == End::Answered(401))
        .filter(|request| may_run(&request.id, request.route))
        .map(|request| format!("{} got 401", request.id))
        .collect()
}

fn other_service(seen: &Seen<'_>) -> Vec<String> {
    let allows = |arrival: &Arrival| match Route::of_target(&arrival.target) {
        Some(Route::Split) => true,
        Some(Route::Print) => arrival.service == PRINTER,
        _ => arrival.service == SERVICE,
    };
    let wrong = seen
        .arrivals
        .iter()
        .filter(|arrival| arrival.ran && !allows(arrival));
    wrong
        .map(|arrival| {
            format!(
                "{} ran at {} of {}",
                arrival.id, arrival.upstream, arrival.service
            )
        })
        .collect()
}

fn attempts(seen: &Seen<'_>) -> Vec<String> {
    let many = seen.by_id.iter().filter_map(|(id, arrivals)| {
        let ran = arrivals.iter().filter(|arrival| arrival.ran);
        let upstreams: BTreeSet<&str> = ran.map(|arrival| &*arrival.upstream).collect();
        (upstreams.len() > ATTEMPTS).then(|| format!("{id} ran at {upstreams:?}"))
    });
    many.collect()
}

/// Times of all events of a service, and in any window of the budget no more repeats than requests allow.
fn repeats(seen: &Seen<'_>) -> Vec<String> {
    let mut broken = Vec::new();
    for service in [SERVICE, PRINTER] {
        let mut first: BTreeSet<&str> = BTreeSet::new();
        let (mut requests, mut repeated): (Vec<Seconds>, Vec<Seconds>) = Default::default();
        for arrival in seen
            .arrivals
            .iter()
            .filter(|arrival| arrival.service == service)
        {
            match first.insert(&arrival.id) {
                true => requests.push(arrival.at),
                false => repeated.push(arrival.at),
            }
        }
        let within = |times: &[Seconds], from: Seconds| {
            times
                .iter()
                .filter(|at| (from..from + RETRY_WINDOW_S).contains(*at))
                .count()
        };
        for from in &repeated {
            let asked = [0.0, 0.5, 1.0].map(|back| within(&requests, from - back * RETRY_WINDOW_S));
            let asked = asked.into_iter().max().unwrap_or(0) as f64;
            let count = within(&repeated, *from);
            if count as f64 > asked * RETRY_RATIO + RETRY_SLACK {
                broken.push(format!(
                    "{service}: {count} repeats from {from:.1} s, {asked} requests"
                ));
                break;
            }
        }
    }
    broken
}

fn handed(seen: &Seen<'_>) -> Vec<String> {
    let late = seen.arrivals.iter().filter_map(|arrival| {
        let request = seen.requested.get(arrival.id.as_str())?;
        let left = request.patience - (arrival.at - request.begun);
        let handed = arrival.handed?;
        let is_long = handed > left + HANDED_SLACK
            && seen.is_untroubled(request.machine, request.begun, arrival.at);
        is_long.then(|| format!("{} was handed {handed:.2} s of {left:.2} s", arrival.id))
    });
    let late: Vec<String> = late.collect();
    if late.len() > 20 {
        late
    } else {
        Vec::new()
    }
}

fn cold(seen: &Seen<'_>) -> Vec<String> {
    let mut of_each: BTreeMap<&str, Vec<Seconds>> = BTreeMap::new();
    for arrival in seen.arrivals.iter().filter(|arrival| arrival.was_cold) {
        of_each
            .entry(&arrival.upstream)
            .or_default()
            .push(arrival.at);
    }
    let mut broken = Vec::new();
    for (upstream, times) in of_each {
        let most = times.iter().map(|from| {
            times
                .iter()
                .filter(|at| (*from..from + 1.0).contains(*at))
                .count()
        });
        let most = most.max().unwrap_or(0);
        if most as f64 > COLD_MOST {
            broken.push(format!("{upstream} got {most} in a second while cold"));
        }
    }
    broken
}

fn gone(seen: &Seen<'_>) -> Vec<String> {
    let left = seen
        .requests
        .iter()
        .filter(|request| request.end == End::Left);
    let late = left.filter(|request| {
        let late = seen
            .arrivals_of(request)
            .iter()
            .any(|arrival| arrival.at > request.ended + GONE_S);
        late && seen.in_touch(request.machine, request.begun, request.ended + GONE_S)
    });
    let late: Vec<String> = late
        .map(|request| format!("{} went on after its client left", request.id))
        .collect();
    if late.len() > GONE_MOST {
        late
    } else {
        Vec::new()
    }
}

fn drained(seen: &Seen<'_>, records: &Records) -> Vec<String> {
    let shown = records.shown.borrow();
    let late = seen.arrivals.iter().filter_map(|arrival| {
        let since = shown.get(&*arrival.upstream)?.draining?;
        let request = seen.requested.get(arrival.id.as_str())?;
        let is_late = seen.platform_served(since, arrival.at) > DRAIN_S;
        (is_late && seen.in_touch(request.machine, arrival.at, arrival.at)).then(|| {
            format!(
                "{} reached {} at {:.2} s by machine {}, shown as draining since {since:.2} s",
                arrival.id, arrival.upstream, arrival.at, request.machine
            )
        })
    });
    late.collect()
}

fn evacuated(seen: &Seen<'_>) -> Vec<String> {
    let mut broken = Vec::new();
    for begin in seen
        .evacuations
        .iter()
        .filter(|order| order.begin && order.outcome == Outcome::Acknowledged)
    {
        let finished = seen
            .evacuations
            .iter()
            .filter(|order| !order.begin && order.zone == begin.zone);
        let finish = finished
            .map(|order| order.sent)
            .find(|sent| *sent >= begin.ended)
            .unwrap_or(f64::INFINITY);
        let bound = begin.ended + EVACUATION_S;
        let late = seen.arrivals.iter().filter(|arrival| {
            arrival.zone == begin.zone && arrival.at > bound && arrival.at < finish
        });
        for arrival in late {
            let Some(request) = seen.requested.get(arrival.id.as_str()) else {
                continue;
            };
            if seen.in_touch(request.machine, arrival.at, arrival.at) {
                let after = arrival.at - begin.ended;
                broken.push(format!(
                    "{} reached {} {after:.1} s after it was evacuated",
                    arrival.id, begin.zone
                ));
            }
        }
    }
    broken
}

/// The change that adds the route of a request, where it is one of those that come and go.
fn change_of<'a>(seen: &Seen<'a>, request: &Request) -> Option<&'a Change> {
    let route = request.target.trim_start_matches('/').split('/').next()?;
    seen.changes.iter().find(|change| change.adds == route)
}

fn removal_of<'a>(seen: &Seen<'a>, change: &Change) -> Option<&'a Change> {
    seen.changes
        .iter()
        .find(|other| other.removes.as_ref() == Some(&change.adds))
}

/// Requests on routes that come and go, with the change that added each.
fn probes<'a>(seen: &'a Seen<'a>) -> impl Iterator<Item = (&'a Request, Seconds, u16, &'a Change)> {
    seen.requests
        .iter()
        .filter(|request| request.route.is_none())
        .filter_map(|request| match request.end {
            End::Answered(status) => {
                Some((request, request.sent?, status, change_of(seen, request)?))
            }
            _ => None,
        })
}

fn in_force(seen: &Seen<'_>) -> Vec<String> {
    let mut broken = Vec::new();
    for (request, sent, status, change) in probes(seen) {
        if !seen.in_touch(request.machine, sent, request.ended) {
            continue;
        }
        let removal = removal_of(seen, change);
        let is_due = change.outcome == Outcome::Acknowledged && sent > change.ended + APPLY_S;
        let may_be_gone = removal.is_some_and(|removal| removal.sent < request.ended);
        if is_due && !may_be_gone && status == 404 {
            broken.push(format!(
                "{} {}: 404 {:.1} s after it was acknowledged",
                request.id,
                change.adds,
                sent - change.ended
            ));
        }
        let is_gone = removal.is_some_and(|removal| {
            removal.outcome == Outcome::Acknowledged && sent > removal.ended + APPLY_S
        });
        if is_gone && (200..300).contains(&status) {
            broken.push(format!(
                "{} {}: served though it was removed",
                request.id, change.adds
            ));
        }
    }
    broken
}

fn refused_in_force(seen: &Seen<'_>) -> Vec<String> {
    let refused = probes(seen).filter(|(_, _, status, change)| {
        matches!(change.outcome, Outcome::Lost | Outcome::Refused(_)) && (200..300).contains(status)
    });
    refused
        .map(|(request, _, _, change)| format!("{}: {} is in force", request.id, change.adds))
        .collect()
}

fn invalid_taken(seen: &Seen<'_>) -> Vec<String> {
    let invalid = seen.changes.iter().filter(|change| !change.is_valid);
    let acknowledged = invalid.filter(|change| change.outcome == Outcome::Acknowledged);
    let mut broken: Vec<String> = acknowledged
        .map(|change| {
            format!(
                "{} of version {} is acknowledged",
                change.adds, change.version
            )
        })
        .collect();
    let served = probes(seen)
        .filter(|(_, _, status, change)| !change.is_valid && (200..300).contains(status));
    broken.extend(
        served
            .map(|(request, _, _, change)| format!("{}: {} is in force", request.id, change.adds)),
    );
    broken
}

fn went_back(seen: &Seen<'_>) -> Vec<String> {
    let mut newest: BTreeMap<(usize, u32), Vec<(Seconds, u64)>> = BTreeMap::new();
    for (request, _, status, change) in probes(seen) {
        if (200..300).contains(&status) {
            let shown = newest.entry((request.machine, request.life)).or_default();
            shown.push((request.ended, change.version));
        }
    }
    let mut broken = Vec::new();
    for (request, sent, status, change) in probes(seen) {
        let Some(shown) = newest.get(&(request.machine, request.life)) else {
            continue;
        };
        let may_be_gone =
            removal_of(seen, change).is_some_and(|removal| removal.sent < request.ended);
        let acknowledged = change.outcome == Outcome::Acknowledged && change.ended < request.ended;
        if status != 404 || may_be_gone || !acknowledged {
            continue;
        }
        let before = shown
            .iter()
            .find(|(at, version)| *at + DOWNGRADE_S < sent && *version >= change.version);
        if let Some((at, version)) = before {
            broken.push(format!(
                "{} at machine {}: 404 on {} of version {}, {version} was shown {:.2} s before",
                request.id,
                request.machine,
                change.adds,
                change.version,
                sent - at
            ));
        }
    }
    broken
}

fn both_taken(seen: &Seen<'_>) -> Vec<String> {
    let mut taken: BTreeMap<u64, &Change> = BTreeMap::new();
    let mut broken = Vec::new();
    for change in seen
        .changes
        .iter()
        .filter(|change| change.outcome == Outcome::Acknowledged)
    {
        if let Some(other) = taken.insert(change.based_on, change) {
            broken.push(format!(
                "{} and {} on version {}",
                other.adds, change.adds, change.based_on
            ));
        }
    }
    broken
}

fn old_reads(seen: &Seen<'_>, records: &Records) -> Vec<String> {
    let reads = records.reads.borrow();
    let old = reads.iter().filter_map(|read| {
        let acknowledged = seen
            .changes
            .iter()
            .filter(|change| change.outcome == Outcome::Acknowledged && change.ended < read.sent);
        let newest = acknowledged.map(|change| change.version).max()?;
        let is_old = read.version < newest;
        is_old.then(|| {
            format!(
                "version {} at machine {}, {newest} was acknowledged",
                read.version, read.machine
            )
        })
    });
    old.collect()
}

fn held(seen: &Seen<'_>) -> Vec<String> {
    let late = seen.requests.iter().filter(|request| {
        let Some(sent) = request.sent else {
            return false;
        };
        let is_late = request.end == End::Silence || request.ended - sent > TIMEOUT_S + HELD_SLACK;
        is_late && seen.is_untroubled(request.machine, request.begun, request.ended)
    });
    let told = |request: &Request| {
        let took = request.ended - request.sent.unwrap_or(request.begun);
        format!(
            "{} {}: {:?} after {took:.2} s",
            request.id, request.target, request.end
        )
    };
    late.map(told).collect()
}

fn lost(seen: &Seen<'_>) -> Vec<String> {
    let lost = seen.requests.iter().filter(|request| {
        let (End::Broke { .. }, Some(sent)) = (&request.end, request.sent) else {
            return false;
        };
        let arrivals = seen.arrivals_of(request);
        let crossed = request.kept && arrivals.is_empty() && request.ended - sent < CROSSING;
        let has_cause = arrivals.iter().any(|arrival| {
            arrival
                .trouble
                .is_some_and(super::upstreams::Trouble::breaks)
        });
        let upstreams_changed = seen.spans.iter().any(|span| {
            span.what.starts_with("Upstream")
                && span.from <= request.ended + 1.0
                && span.until >= request.begun - 9.0
                || span.what.starts_with("Address")
                    && span.from <= request.ended
                    && span.until >= request.begun - 3.0
        });
        let is_untroubled = seen.is_untroubled(request.machine, request.begun, request.ended + 0.1);
        over_time(seen, request).is_none()
            && !crossed
            && !has_cause
            && !upstreams_changed
            && is_untroubled
    });
    let told = |request: &Request| {
        let arrivals = seen.arrivals_of(request);
        format!(
            "{} {} at machine {} from {:.2} to {:.2} s: {:?}, kept {}, behind {}, {} arrivals",
            request.id,
            request.target,
            request.machine,
            request.begun,
            request.ended,
            request.end,
            request.kept,
            request.behind,
            arrivals.len()
        )
    };
    lost.map(told).collect()
}

/// Answers of a directory whose control node, and the core, stood under no unplanned trouble, and that name a proxy which ended
/// long before beside one that runs.
fn named_absent(seen: &Seen<'_>, records: &Records) -> Vec<String> {
    let absences = records.absences.borrow();
    let resolutions = records.resolutions.borrow();
    let mut broken = Vec::new();
    for resolution in resolutions.iter() {
        let at = resolution.at;
        if seen.touched(resolution.asked, at - IN_TOUCH_S, at, |span| !span.planned) {
            continue;
        }
        let is_absent = |machine: &usize| {
            absences.iter().any(|absence| {
                absence.machine == *machine && absence.from + NAMED_S < at && at < absence.until
            })
        };
        let runs = |machine: &usize| {
            !absences.iter().any(|absence| {
                absence.machine == *machine && absence.from <= at && at < absence.until
            })
        };
        let absent = resolution.named.iter().filter(|machine| is_absent(machine));
        if resolution.named.iter().any(runs) {
            broken.extend(
                absent.map(|machine| {
                    format!("machine {machine} by {} at {at:.1} s", resolution.asked)
                }),
            );
        }
    }
    broken
}
