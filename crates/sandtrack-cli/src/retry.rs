//! The retry policy of one call, by the callers' rules of PROTOCOL.md: which address is asked next, when, and when the call
//! ends. The caller passes the time in and sends the attempts.
use crate::call::is_definitely_not_applied;
use crate::transport::TransportError;
use crate::Millis;
use sandtrack_sidecar_core::message::Message;
use std::net::SocketAddr;

/// Backoff after the first failed attempt; it doubles up to [`MAX_BACKOFF_MS`].
pub const INITIAL_BACKOFF_MS: Millis = 50.0;
/// Longest backoff between two attempts.
pub const MAX_BACKOFF_MS: Millis = 1000.0;
/// Redirects that are followed before an attempt has failed.
const MAX_REDIRECTS: u32 = 2;
/// The call ends with the response of this attempt that has a 4xx status without a rule of its own.
const MAX_OTHER_4XX: u32 = 3;

/// What the caller does next.
#[derive(Clone, Debug, PartialEq)]
pub enum Step {
    /// Send the call to `address`.
    Attempt {
        /// The control node.
        address: SocketAddr,
        /// The target of a redirect; `None`: that of the call.
        target: Option<String>,
    },
    /// Wait for so long, then ask again.
    Backoff(Millis),
    /// The call ends with this response.
    Responded(Message),
    /// The call ends as its time is over.
    GaveUp {
        /// The result of the last attempt; `None` where none was made.
        last_result: Option<Result<Message, TransportError>>,
        /// One of the attempts may have been applied, or may yet be.
        outcome_unknown: bool,
    },
}

/// The state of one call over its attempts.
#[derive(Clone, Debug)]
pub struct Retry {
    addresses: Vec<SocketAddr>,
    /// Counts the failed attempts; modulo the number of addresses, the index of the address that is asked next.
    next_address: usize,
    /// Address and target of the redirect that is followed next.
    redirect: Option<(SocketAddr, String)>,
    /// Redirects that were followed since the last attempt at one of `addresses`.
    redirects: u32,
    /// No attempt begins after this.
    deadline: Millis,
    /// No attempt begins before this.
    not_before: Millis,
    backoff: Millis,
    other_4xx: u32,
    outcome_unknown: bool,
    response: Option<Message>,
    last_result: Option<Result<Message, TransportError>>,
}

impl Retry {
    /// A call that may be sent until `deadline`; `addresses` are asked in turn.
    pub fn new(addresses: &[SocketAddr], now: Millis, deadline: Millis) -> Retry {
        Retry {
            addresses: addresses.to_vec(),
            next_address: 0,
            redirect: None,
            redirects: 0,
            deadline,
            not_before: now,
            backoff: INITIAL_BACKOFF_MS,
            other_4xx: 0,
            outcome_unknown: false,
            response: None,
            last_result: None,
        }
    }

    /// What to do at `now`.
    pub fn step(&self, now: Millis) -> Step {
        if let Some(response) = &self.response {
            return Step::Responded(response.clone());
        }
        // A wait that would end after the deadline is not begun.
        let is_over = self.not_before.max(now) > self.deadline;
        let address = self.addresses.get(self.next_address()).filter(|_| !is_over);
        let Some(address) = address else {
            return Step::GaveUp {
                last_result: self.last_result.clone(),
                outcome_unknown: self.outcome_unknown,
            };
        };
        if now < self.not_before {
            return Step::Backoff(self.not_before - now);
        }
        match &self.redirect {
            Some((address, target)) => Step::Attempt {
                address: *address,
                target: Some(target.clone()),
            },
            None => Step::Attempt {
                address: *address,
                target: None,
            },
        }
    }

    /// Whether an attempt may have been applied though its result did not say so.
    pub fn is_outcome_unknown(&self) -> bool {
        self.outcome_unknown
    }

    /// Index, in the addresses that were given, of the one to ask next: after a response, still the one of that
    /// attempt.
    pub fn next_address(&self) -> usize {
        self.next_address % self.addresses.len().max(1)
    }

    /// Records the result of the last attempt, which ended at `now`.
    pub fn record_result(&mut self, now: Millis, result: Result<Message, TransportError>) {
        self.redirect = None;
        if let Ok(response) = &result {
            if self.ends_with(response.head.status) {
                self.response = Some(response.clone());
                return;
            }
            if let Some(redirect) = self.redirect_to_follow(response) {
                self.redirects += 1;
                self.redirect = Some(redirect);
                self.last_result = Some(result);
                return;
            }
        }
        self.record_failure(now, result);
    }

    /// Whether a response of this status ends the call; counts those that do so only after some attempts.
    fn ends_with(&mut self, status: u16) -> bool {
        match status {
            200..=299 | 400 | 409 | 412 | 413 | 422 => true,
            408 | 429 => false,
            401..=499 => {
                self.other_4xx += 1;
                self.other_4xx >= MAX_OTHER_4XX
            }
            _ => false,
        }
    }

    fn redirect_to_follow(&self, response: &Message) -> Option<(SocketAddr, String)> {
        if response.head.status != 307 || self.redirects >= MAX_REDIRECTS {
            return None;
        }
        parse_location(response.head.headers.get("location")?)
    }

    /// Moves on to the next address, after a backoff that `Retry-After` may extend.
    fn record_failure(&mut self, now: Millis, result: Result<Message, TransportError>) {
        self.outcome_unknown |= may_be_applied(&result);
        let retry_after = result.as_ref().map_or(0.0, retry_after);
        self.not_before = now + retry_after.clamp(self.backoff, MAX_BACKOFF_MS);
        self.backoff = (self.backoff * 2.0).min(MAX_BACKOFF_MS);
        self.next_address += 1;
        self.redirects = 0;
        self.last_result = Some(result);
    }
}

/// Whether a failed attempt may have been applied all the same.
fn may_be_applied(result: &Result<Message, TransportError>) -> bool {
    match result {
        Ok(response) => !is_definitely_not_applied(response),
        Err(TransportError::NotConnected(_)) => false,
        Err(_) => true,
    }
}

/// The `Retry-After` of a response in ms, 0 where it has none. Fractions of a second are accepted, dates are not (RFC 9110,
/// section 10.2.3).
fn retry_after(response: &Message) -> Millis {
    response
        .head
        .headers
        .get("retry-after")
        .and_then(|value| value.trim().parse::<f64>().ok())
        .filter(|seconds| seconds.is_finite())
        .unwrap_or(0.0)
        * 1000.0
}

/// Address and target of `http://ip:port/path`. Host names are rejected: the client resolves none.
fn parse_location(value: &str) -> Option<(SocketAddr, String)> {
    let rest = value.trim().strip_prefix("http://")?;
    let path_start = rest.find('/').unwrap_or(rest.len());
    let (authority, path) = rest.split_at(path_start);
    let target = if path.is_empty() { "/" } else { path };
    let is_printable = target.bytes().all(|byte| byte.is_ascii_graphic());
    let address = authority.parse().ok()?;
    is_printable.then(|| (address, target.to_owned()))
}
