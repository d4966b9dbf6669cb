//! The reading of the platform's list: whose duty it is, and the pace and the pages of a reading. It is pure: what it wants
//! is called elsewhere.
pub use crate::peer_frames::Claim;
use crate::upstreams::Upstreams;
use crate::Millis;
use sandtrack_protocol::frames::UpstreamEntry;
use sandtrack_replication::Address;
use simd_json::prelude::*;
use std::collections::{BTreeMap, BTreeSet};

/// Pause from the begin of one whole reading to the next, in ms.
const EVERY_MS: Millis = 400.0;
/// The same of one that reads for itself, as it hears nobody who reads.
const ALONE_EVERY_MS: Millis = 800.0;
/// The share of the platform's rate that calls may take; the rest is for the moment in which two read.
const SHARE: f64 = 0.6;
/// A page whose call began longer ago, in ms, tells of a time that is over: this process did not run meanwhile.
const STALE_MS: Millis = 1500.0;
/// After a 429 or a failure, in ms: at first, and at most.
const BACK_OFF_MS: Millis = 200.0;
const BACK_OFF_MOST_MS: Millis = 800.0;
/// A holder that says nothing for so long, in ms, has lost the duty.
pub const HOLDER_SILENT_MS: Millis = 800.0;
/// One that hears no holder for so long, in ms, and can't get a majority reads for itself.
const ALONE_MS: Millis = 1600.0;

/// What another control node said last of the duty.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct PeerReport {
    pub claim: Claim,
    /// It does not hear the holder either.
    pub silent: bool,
}

/// Whose duty it is to read. The holder names its successor when it can; when it can't, a majority of those who agree on
/// the view does, by saying that they do not hear it.
#[derive(Clone, Debug)]
pub struct Duty {
    me: Address,
    claim: Claim,
    /// When the holder was heard last.
    heard: Millis,
}

impl Duty {
    pub fn new(me: &str, now: Millis) -> Duty {
        Duty { me: me.to_owned(), claim: Claim::default(), heard: now }
    }

    pub fn claim(&self) -> &Claim {
        &self.claim
    }

    pub fn is_holder(&self) -> bool {
        self.claim.holder == self.me
    }

    /// Whether the holder was not heard for long.
    pub fn is_silent(&self, now: Millis) -> bool {
        !self.is_holder() && now - self.heard > HOLDER_SILENT_MS
    }

    /// Whether this one is to read: as the holder, or for itself, as it hears nobody who does.
    pub fn reads(&self, now: Millis) -> bool {
        self.is_holder() || now - self.heard > ALONE_MS
    }

    /// Another control node says who holds.
    pub fn told(&mut self, now: Millis, from: &str, claim: &Claim) {
        if *claim > self.claim {
            self.claim = claim.clone();
            // One that was named by another is given its time to begin.
            self.heard = now;
        }
        if *claim == self.claim && self.claim.holder == from {
            self.heard = now;
        }
    }

    /// This process did not run for a while: what it holds may be another's by now, who has to be heard first.
    pub fn woke(&mut self, now: Millis) {
        if self.is_holder() {
            self.claim.holder = Address::new();
        }
        self.heard = now;
    }

    /// Takes the duty where it is this one's turn: `order` is who may, in turn; `live` what those heard of said last;
    /// `voters` whose majority it needs, all where there are none.
    pub fn tick(
        &mut self, now: Millis, order: &[Address], live: &BTreeMap<Address, PeerReport>, voters: &[Address],
    ) -> bool {
        let begins = self.claim.term == 0 && order.first() == Some(&self.me);
        if !self.is_silent(now) && !begins {
            return false;
        }
        if self.is_holder() || self.successor(order, |one| live.contains_key(one)) != Some(&self.me) {
            return false;
        }
        let agrees = |one: &&Address| {
            **one == self.me
                || live.get(*one).is_some_and(|report| report.silent && report.claim <= self.claim)
        };
        let agreed = voters.iter().filter(agrees).count();
        let first = self.claim.term == 0;
        if !first && 2 * agreed <= voters.len() {
            return false;
        }
        self.claim = Claim { term: self.claim.term + 1, holder: self.me.clone() };
        true
    }

    /// The next after the holder that is there; it may be this one.
    fn successor<'a>(&self, order: &'a [Address], is_live: impl Fn(&str) -> bool) -> Option<&'a Address> {
        let after = order.iter().position(|one| *one == self.claim.holder).map_or(0, |at| at + 1);
        let turn = order.iter().cycle().skip(after).take(order.len());
        turn.into_iter().find(|one| **one != self.claim.holder && (**one == self.me || is_live(one)))
    }

    /// Names the successor of one that leaves; yes where there is one.
    pub fn leave(&mut self, order: &[Address], live: &BTreeMap<Address, PeerReport>) -> bool {
        let next =
            self.successor(order, |one| live.contains_key(one)).filter(|next| **next != self.me).cloned();
        match next {
            Some(holder) if self.is_holder() => {
                self.claim = Claim { term: self.claim.term + 1, holder };
                true
            }
            _ => false,
        }
    }
}

/// What a call to the platform brought.
#[derive(Clone, Debug, PartialEq)]
pub enum Call {
    Page(Page),
    /// 429.
    TooMany,
    Failed(String),
}

/// One page of the list.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Page {
    pub entries: Vec<UpstreamEntry>,
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
            Some(token) if token.as_u64().is_some() => token.as_u64().map(|token| token.to_string()),
            _ => None,
        };
        Ok(Page { entries: instances.iter().filter_map(entry).collect(), next_token })
    }
}

fn entry(value: &simd_json::OwnedValue) -> Option<UpstreamEntry> {
    let text = |field: &str| value.get_str(field).map(str::to_owned);
    let number = |field: &str| {
        let number = value.get(field).and_then(ValueAsScalar::cast_f64)?;
        Some(number.clamp(0.0, f64::from(u32::MAX)) as u32)
    };
    let models = value.get_array("models").map(|models| models.iter()).into_iter().flatten();
    Some(UpstreamEntry {
        identifier: text("identifier")?,
        service: text("service")?,
        address: text("address")?,
        zone: text("zone").unwrap_or_default(),
        slots: number("slots").unwrap_or(1),
        // Whatever a state is called that is not `ready`: it is not to be sent anything new.
        draining: value.get_str("state").is_some_and(|state| state != "ready"),
        cold_remaining_ms: number("cold_remaining_ms").unwrap_or(0),
        time_left_ms: number("time_left_ms"),
        models: models
            .filter_map(|model| model.get_str("name").or(model.as_str()).map(str::to_owned))
            .collect(),
    })
}

/// The readings: one page after another, and one reading after another.
#[derive(Clone, Debug, Default)]
pub struct Reader {
    /// When the call under way began.
    calling: Option<Millis>,
    /// When the reading under way began; the token of its next page, and how many it has had.
    began: Option<Millis>,
    token: Option<String>,
    pages: usize,
    seen: BTreeSet<String>,
    /// What the reading before did not show either.
    missed: BTreeSet<String>,
    next_call: Millis,
    back_off: Millis,
}

impl Reader {
    /// The next page to call for, if one is due: its token, none for the first.
    pub fn due(&mut self, now: Millis, alone: bool, rate_per_s: f64) -> Option<Option<String>> {
        if self.calling.is_some() || now < self.next_call {
            return None;
        }
        if self.began.is_none() {
            (self.began, self.token, self.pages) = (Some(now), None, 0);
            self.seen.clear();
        }
        let share = if alone { SHARE / 3.0 } else { SHARE };
        self.calling = Some(now);
        self.next_call = now + 1000.0 / (share * rate_per_s).max(0.01);
        Some(self.token.clone())
    }

    /// When a call may be due.
    pub fn next_due(&self) -> Option<Millis> {
        self.calling.is_none().then_some(self.next_call)
    }

    /// It is not this one's duty any more.
    pub fn stop(&mut self) {
        (self.began, self.token) = (None, None);
        self.missed.clear();
    }

    /// A call is over. Yes where a whole reading ended with it.
    pub fn done(&mut self, now: Millis, alone: bool, call: Call, upstreams: &mut Upstreams) -> bool {
        let Some(called) = self.calling.take() else { return false };
        let Some(began) = self.began else { return false };
        let page = match call {
            Call::Page(page) if now - called <= STALE_MS => page,
            Call::Page(_) => {
                log::debug!("a page was {:.0} ms old: left out", now - called);
                self.stop();
                return false;
            }
            failed => {
                self.back_off = (self.back_off * 2.0).clamp(BACK_OFF_MS, BACK_OFF_MOST_MS);
                self.next_call = self.next_call.max(now + self.back_off);
                if let Call::Failed(why) = failed {
                    log::debug!("the platform's list: {why}");
                    self.stop();
                }
                return false;
            }
        };
        self.back_off = 0.0;
        self.pages += 1;
        for entry in page.entries {
            self.seen.insert(entry.identifier.clone());
            upstreams.set(now, entry);
        }
        self.token = page.next_token;
        if self.token.is_some() {
            return false;
        }
        let missing: BTreeSet<String> =
            upstreams.identifiers().filter(|known| !self.seen.contains(*known)).map(str::to_owned).collect();
        // With several pages, one that moved from a page to the one before it was in neither: it is gone only when it is
        // missing once more.
        let gone = missing.iter().filter(|missing| self.pages == 1 || self.missed.contains(*missing));
        gone.for_each(|gone| upstreams.remove(gone));
        self.missed = missing;
        upstreams.turn(upstreams.round() + 1);
        let every = if alone { ALONE_EVERY_MS } else { EVERY_MS };
        self.next_call = self.next_call.max(began + every);
        (self.began, self.token) = (None, None);
        self.seen.clear();
        true
    }
}
