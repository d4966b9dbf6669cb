//! Polls the platform's list of upstreams, page by page: when the next page is due, with back-off, and what a poll changed.
//! [`crate::platform_client`] makes the calls; [`crate::poller_election`] decides which control node polls.
pub use crate::peer_frames::PollerLease;
pub use crate::poller_election::{PeerReport, PollerElection, HOLDER_TIMEOUT_MS};
use crate::upstreams::Upstreams;
use crate::Millis;
use sandtrack_protocol::frames::UpstreamEntry;
use simd_json::prelude::*;
use std::collections::BTreeSet;

/// Fraction of the bound on draining that lies between the starts of two polls. The rest of the bound covers the replacement
/// of a failed holder, the poll itself and the way to all proxies: 1.5 s at most.
const POLL_FRACTION_OF_DRAIN_BOUND: f64 = 0.175;
/// Bounds of that interval, in ms: new upstreams have to be seen soon, whatever the bound on draining.
const MIN_POLL_INTERVAL_MS: Millis = 400.0;
const MAX_POLL_INTERVAL_MS: Millis = 1000.0;
/// A control node that polls as a fallback, since it hears no holder of the lease, does so at this multiple of the interval.
const FALLBACK_INTERVAL_FACTOR: f64 = 2.0;
/// Fraction of the platform's rate limit that calls may take; the rest is for moments in which two control nodes poll.
const RATE_LIMIT_FRACTION: f64 = 0.6;
/// A page whose call began longer ago, in ms, is discarded: this process was paused meanwhile.
const MAX_PAGE_AGE_MS: Millis = 1500.0;
/// Back-off after a 429 or a failure, in ms: it doubles from the first value to the second.
const MIN_BACKOFF_MS: Millis = 200.0;
const MAX_BACKOFF_MS: Millis = 800.0;
/// After this many failed attempts for one page the poll begins anew: the token may have expired.
const MAX_PAGE_ATTEMPTS: u32 = 3;

/// The result of a call for one page.
#[derive(Clone, Debug, PartialEq)]
pub enum PageResult {
    /// A page.
    Page(Page),
    /// Status 429.
    RateLimited,
    /// Anything else, with the reason for the log.
    Failed(String),
}

/// One page of the list.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Page {
    /// The upstreams on it.
    pub entries: Vec<UpstreamEntry>,
    /// Token of the page that follows; none on the last.
    pub next_token: Option<String>,
}

impl Page {
    /// Reads the body of an answer. An entry that lacks what is needed to reach it is left out.
    ///
    /// # Errors
    /// Where it is no page at all, in words for the log.
    pub fn parse(mut body: Vec<u8>) -> Result<Page, String> {
        let value = simd_json::to_owned_value(&mut body).map_err(|error| error.to_string())?;
        let instances = value.get_array("instances").ok_or("no `instances`")?;
        let next_token = match value.get("next_token") {
            Some(token) if token.as_str().is_some() => token.as_str().map(str::to_owned),
            Some(token) if token.as_u64().is_some() => {
                token.as_u64().map(|token| token.to_string())
            }
            _ => None,
        };
        Ok(Page {
            entries: instances.iter().filter_map(entry).collect(),
            next_token,
        })
    }
}

fn entry(value: &simd_json::OwnedValue) -> Option<UpstreamEntry> {
    let text = |field: &str| value.get_str(field).map(str::to_owned);
    let number = |field: &str| {
        let number = value.get(field).and_then(ValueAsScalar::cast_f64)?;
        Some(number.clamp(0.0, f64::from(u32::MAX)) as u32)
    };
    let models = value
        .get_array("models")
        .map(|models| models.iter())
        .into_iter()
        .flatten();
    Some(UpstreamEntry {
        identifier: text("identifier")?,
        service: text("service")?,
        address: text("address")?,
        zone: text("zone").unwrap_or_default(),
        slots: number("slots").unwrap_or(1),
        // Whatever a state is called that is not `ready`: it is not to be sent anything new.
        draining: value.get_str("state").is_some_and(|state| state != "ready"),
        slow_start_remaining_ms: number("cold_remaining_ms").unwrap_or(0),
        time_left_ms: number("time_left_ms"),
        models: models
            .filter_map(|model| model.get_str("name").or(model.as_str()).map(str::to_owned))
            .collect(),
    })
}

/// The state of the current poll. Times are in ms of the monotonic clock.
#[derive(Clone, Debug, Default)]
pub struct EndpointPoller {
    /// Interval between the starts of two polls, in ms; never less than [`MIN_POLL_INTERVAL_MS`].
    interval: Millis,
    /// When the pending call began.
    call_started: Option<Millis>,
    /// When the current poll began; the token of its next page, and how many pages it has.
    poll_started: Option<Millis>,
    token: Option<String>,
    page_count: usize,
    listed: BTreeSet<String>,
    /// Upstreams that the last poll did not show either.
    previously_missing: BTreeSet<String>,
    next_call: Millis,
    backoff: Millis,
    /// Consecutive failures of the current page.
    failures: u32,
}

impl EndpointPoller {
    /// A poller whose interval is short enough for draining to take effect everywhere within `drain_ms`.
    #[must_use]
    pub fn for_drain_bound(drain_ms: Millis) -> EndpointPoller {
        EndpointPoller {
            interval: (drain_ms * POLL_FRACTION_OF_DRAIN_BOUND).min(MAX_POLL_INTERVAL_MS),
            ..EndpointPoller::default()
        }
    }

    /// The next page to call for, if one is due: its token, none for the first. `alone`: it reads for itself, beside the
    /// holder; `rate_per_s`: calls that the platform takes from all together.
    pub fn next_page(
        &mut self,
        now: Millis,
        is_fallback: bool,
        rate_per_s: f64,
    ) -> Option<Option<String>> {
        if self.call_started.is_some() || now < self.next_call {
            return None;
        }
        if self.poll_started.is_none() {
            (self.poll_started, self.token, self.page_count) = (Some(now), None, 0);
            self.listed.clear();
        }
        let share = if is_fallback {
            RATE_LIMIT_FRACTION / 3.0
        } else {
            RATE_LIMIT_FRACTION
        };
        self.call_started = Some(now);
        self.next_call = now + 1000.0 / (share * rate_per_s).max(0.01);
        Some(self.token.clone())
    }

    /// When the next call may be due.
    pub fn next_due(&self) -> Option<Millis> {
        self.call_started.is_none().then_some(self.next_call)
    }

    /// Forgets the current poll: another node polls from now on.
    pub fn reset(&mut self) {
        (self.poll_started, self.token, self.failures) = (None, None, 0);
        self.previously_missing.clear();
    }

    /// The same page is requested again, so that each successful call makes progress.
    fn page_failed(&mut self) {
        self.failures += 1;
        if self.token.is_none() || self.failures >= MAX_PAGE_ATTEMPTS {
            self.reset();
        }
    }

    /// A call ended; returns whether the poll is finished with it.
    pub fn page_fetched(
        &mut self,
        now: Millis,
        is_fallback: bool,
        result: PageResult,
        upstreams: &mut Upstreams,
    ) -> bool {
        let Some(call_started) = self.call_started.take() else {
            return false;
        };
        let Some(poll_started) = self.poll_started else {
            return false;
        };
        let page = match result {
            PageResult::Page(page) if now - call_started <= MAX_PAGE_AGE_MS => page,
            PageResult::Page(_) => {
                log::debug!("a page was {:.0} ms old: left out", now - call_started);
                self.reset();
                return false;
            }
            failed => {
                self.backoff = (self.backoff * 2.0).clamp(MIN_BACKOFF_MS, MAX_BACKOFF_MS);
                self.next_call = self.next_call.max(now + self.backoff);
                if let PageResult::Failed(reason) = failed {
                    log::debug!("the platform's list: {reason}");
                    self.page_failed();
                }
                return false;
            }
        };
        (self.backoff, self.failures) = (0.0, 0);
        self.page_count += 1;
        for entry in page.entries {
            self.listed.insert(entry.identifier.clone());
            upstreams.set(now, entry);
        }
        self.token = page.next_token;
        if self.token.is_some() {
            return false;
        }
        let missing: BTreeSet<String> = upstreams
            .identifiers()
            .filter(|known| !self.listed.contains(*known))
            .map(str::to_owned)
            .collect();
        // With several pages, one that moved from a page to the one before it was in neither: it is gone only when it is
        // missing once more.
        let gone = missing
            .iter()
            .filter(|missing| self.page_count == 1 || self.previously_missing.contains(*missing));
        gone.for_each(|gone| upstreams.remove(gone));
        self.previously_missing = missing;
        upstreams.poll_finished(upstreams.last_poll() + 1);
        let interval = self.interval.max(MIN_POLL_INTERVAL_MS)
            * if is_fallback {
                FALLBACK_INTERVAL_FACTOR
            } else {
                1.0
            };
        self.next_call = self.next_call.max(poll_started + interval);
        (self.poll_started, self.token) = (None, None);
        self.listed.clear();
        true
    }
}
