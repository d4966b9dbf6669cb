//! What is tried next, and when a call ends: the callers' rules of PROTOCOL.md. Pure; the time comes in.
use crate::call::surely_not;
use crate::transport::TransportError;
use crate::Millis;
use sandtrack_sidecar_core::message::Message;
use std::net::SocketAddr;

/// Pause before the second try; it doubles up to the most (ours).
pub const PAUSE_FIRST_MS: Millis = 50.0;
pub const PAUSE_MOST_MS: Millis = 1000.0;
/// 307 is followed so often.
const REDIRECTS_MOST: u32 = 2;
/// The call ends at this try that is answered with a 4xx of no other meaning.
const OTHER_4XX_MOST: u32 = 3;

/// What to do now.
#[derive(Clone, Debug, PartialEq)]
pub enum Step {
    /// Send the call; `target` where control sent it on.
    Try {
        address: SocketAddr,
        target: Option<String>,
    },
    Pause(Millis),
    /// The call has its answer.
    Answered(Message),
    /// Its time is over. `last`: what the last try came to; `unclear`: one of them may be in force.
    GivenUp {
        last: Option<Result<Message, TransportError>>,
        unclear: bool,
    },
}

/// The tries of one call.
#[derive(Clone, Debug)]
pub struct Retry {
    addresses: Vec<SocketAddr>,
    /// Place of the address whose turn it is.
    turn: usize,
    /// Where control sent the call on.
    redirect: Option<(SocketAddr, String)>,
    redirects: u32,
    /// Nothing is sent after this.
    until: Millis,
    /// No try before this.
    not_before: Millis,
    pause: Millis,
    other_4xx: u32,
    unclear: bool,
    answered: Option<Message>,
    last: Option<Result<Message, TransportError>>,
}

impl Retry {
    /// A call that may be sent until `until`; `addresses` are asked in turn.
    pub fn new(addresses: &[SocketAddr], now: Millis, until: Millis) -> Retry {
        Retry {
            addresses: addresses.to_vec(),
            turn: 0,
            redirect: None,
            redirects: 0,
            until,
            not_before: now,
            pause: PAUSE_FIRST_MS,
            other_4xx: 0,
            unclear: false,
            answered: None,
            last: None,
        }
    }

    /// What to do at `now`.
    pub fn step(&self, now: Millis) -> Step {
        if let Some(answer) = &self.answered {
            return Step::Answered(answer.clone());
        }
        let over = self.not_before.max(now) > self.until;
        let address = self
            .addresses
            .get(self.turn % self.addresses.len().max(1))
            .filter(|_| !over);
        let Some(address) = address else {
            return Step::GivenUp {
                last: self.last.clone(),
                unclear: self.unclear,
            };
        };
        if now < self.not_before {
            return Step::Pause(self.not_before - now);
        }
        match &self.redirect {
            Some((address, target)) => Step::Try {
                address: *address,
                target: Some(target.clone()),
            },
            None => Step::Try {
                address: *address,
                target: None,
            },
        }
    }

    /// Whether an earlier try may be in force though its answer did not say so.
    pub fn is_unclear(&self) -> bool {
        self.unclear
    }

    /// The address that would be asked next, first of those that were given: where the next call begins.
    pub fn turn(&self) -> usize {
        self.turn % self.addresses.len().max(1)
    }

    /// A try came to this at `now`.
    pub fn came(&mut self, now: Millis, result: Result<Message, TransportError>) {
        self.redirect = None;
        if let Ok(answer) = &result {
            match answer.head.status {
                200..=299 | 400 | 409 | 412 | 413 | 422 => {
                    self.answered = Some(answer.clone());
                    return;
                }
                307 if self.redirects < REDIRECTS_MOST => {
                    if let Some(redirect) = answer.head.headers.get("location").and_then(location) {
                        self.redirects += 1;
                        (self.redirect, self.last) = (Some(redirect), Some(result));
                        return;
                    }
                }
                408 | 429 => {}
                401..=499 => {
                    self.other_4xx += 1;
                    if self.other_4xx >= OTHER_4XX_MOST {
                        self.answered = Some(answer.clone());
                        return;
                    }
                }
                _ => {}
            }
        }
        self.unclear |= match &result {
            Ok(answer) => !surely_not(answer),
            Err(TransportError::NotConnected(_)) => false,
            Err(_) => true,
        };
        let again = result
            .as_ref()
            .ok()
            .and_then(|answer| answer.head.headers.get("retry-after"));
        let again = again.and_then(|seconds| seconds.trim().parse::<f64>().ok());
        let again = again.filter(|seconds| seconds.is_finite()).unwrap_or(0.0) * 1000.0;
        self.not_before = now + again.clamp(self.pause, PAUSE_MOST_MS);
        self.pause = (self.pause * 2.0).min(PAUSE_MOST_MS);
        (self.turn, self.redirects) = (self.turn + 1, 0);
        self.last = Some(result);
    }
}

/// `http://ip:port/path`: the address and the target. No names: nothing is looked up.
fn location(value: &str) -> Option<(SocketAddr, String)> {
    let rest = value.trim().strip_prefix("http://")?;
    let at = rest.find('/').unwrap_or(rest.len());
    let target = if at < rest.len() { &rest[at..] } else { "/" };
    let visible = target.bytes().all(|byte| byte.is_ascii_graphic());
    Some((rest[..at].parse().ok()?, target.to_owned())).filter(|_| visible)
}
