//! What upstreams have to read before the next long prompt, and which shared prefixes they have read: estimates from this proxy's own
//! sends and from those that other proxies tell of. Pure.
//!
//! A queue counted in requests says little where one prompt has a hundred times the tokens of another; here it is counted in tokens,
//! as time at a rate that is learned from first parts of answers.
use crate::placement::upstreams::Upstream;
use crate::policy::Policy;
use crate::request::ProxyRequest;
use sandtrack_protocol::frames::PromptSent;
use sandtrack_tiers::Millis;
use std::collections::HashMap;

/// Prefixes that are remembered at most; the ones unused longest give way.
const MAX_PREFIXES: usize = 8192;
/// Backlogs that are remembered before those that are over are swept.
const BACKLOG_SWEEP_THRESHOLD: usize = 1024;
/// Sends that wait to be told to control at most; the largest are kept.
const MAX_PENDING_REPORTS: usize = 16;
/// Least weight of a new sample in the rate; the first ones weigh as much as those before them together.
const MIN_RATE_WEIGHT: f64 = 0.1;
/// A sample counts as this many rates at most, and as its inverse at least.
const MAX_RATE_CHANGE: f64 = 2.0;

/// Tokens still to be read at an upstream, as of a time.
#[derive(Clone, Copy, Debug, Default)]
struct Backlog {
    tokens: f64,
    at: Millis,
}

impl Backlog {
    fn left(&self, now: Millis, rate: f64) -> f64 {
        (self.tokens - (now - self.at).max(0.0) * rate).max(0.0)
    }
}

/// Who has read a prefix, and when it was used last.
#[derive(Clone, Debug, Default)]
struct Prefix {
    readers: Vec<Reader>,
    used: Millis,
}

/// An upstream that reads a prefix, and when it is done.
#[derive(Clone, Copy, Debug)]
struct Reader {
    upstream: u32,
    done_at: Millis,
}

/// Tokens a ms that an upstream reads, and of how many samples that was learned.
#[derive(Clone, Copy, Debug)]
struct Rate {
    mean: f64,
    samples: f64,
}

/// What it takes until an upstream has read a prompt.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PrefillEstimate {
    /// Its shared prefix was read there before, or is being read.
    pub kept: bool,
    /// Tokens of it that are to be read.
    pub tokens: f64,
    /// Time until all before it is read, in ms.
    pub ahead: Millis,
    /// Time until all before it and itself are read, in ms.
    pub time: Millis,
}

/// The work of upstreams as far as this proxy knows.
#[derive(Clone, Debug, Default)]
pub struct PrefillQueues {
    backlogs: HashMap<u32, Backlog>,
    prefixes: HashMap<u32, Prefix>,
    /// By service.
    rates: HashMap<String, Rate>,
    /// Own sends that control was not told of yet.
    untold: Vec<PromptSent>,
}

/// The short number by which proxies tell each other of an upstream; the same at all.
#[must_use]
pub fn upstream_key(upstream: &Upstream) -> u32 {
    (upstream.hash >> 32) as u32
}

/// The same of a request's shared prefix.
#[must_use]
pub fn prefix_key(request: &ProxyRequest) -> u32 {
    (request.shared_key() >> 32) as u32
}

/// All tokens of a prompt.
fn prompt_tokens(request: &ProxyRequest) -> f64 {
    let listed: u64 = request.prompt_parts.iter().map(|part| part.tokens).sum();
    request
        .token_counts
        .map_or(listed, |counts| counts.prompt.max(listed)) as f64
}

impl PrefillQueues {
    /// Tokens a ms that upstreams of a service read.
    #[must_use]
    pub fn rate(&self, service: &str, policy: &Policy) -> f64 {
        self.rates
            .get(service)
            .map_or(policy.default_prefill_rate, |rate| rate.mean)
    }

    /// The upstreams that have read the shared prefix of this request, or read it now.
    fn readers(&self, request: &ProxyRequest) -> &[Reader] {
        self.prefixes
            .get(&prefix_key(request))
            .map_or(&[], |prefix| &prefix.readers)
    }

    /// Tells of each upstream whether it is known to have read the shared prefix of this request; the prefix is looked up once.
    pub fn keeps<'a>(&'a self, request: &ProxyRequest) -> impl Fn(&Upstream) -> bool + 'a {
        let readers = self.readers(request);
        move |upstream| {
            let key = upstream_key(upstream);
            readers.iter().any(|reader| reader.upstream == key)
        }
    }

    /// What it takes until this upstream has read the request's prompt.
    #[must_use]
    pub fn estimate(
        &self,
        now: Millis,
        request: &ProxyRequest,
        upstream: &Upstream,
        policy: &Policy,
    ) -> PrefillEstimate {
        let key = upstream_key(upstream);
        let reader = self
            .readers(request)
            .iter()
            .find(|reader| reader.upstream == key);
        // While one reads it, a second request that it takes up beside the first reads it as well.
        let is_read = reader.is_some_and(|reader| now >= reader.done_at);
        let shared = if is_read {
            request.shared_tokens() as f64
        } else {
            0.0
        };
        let tokens = (prompt_tokens(request) - shared).max(0.0);
        let kept = reader.is_some();
        let rate = self.rate(&request.service, policy);
        let ahead = self
            .backlogs
            .get(&key)
            .map_or(0.0, |backlog| backlog.left(now, rate))
            / rate;
        PrefillEstimate {
            kept,
            tokens,
            ahead,
            time: ahead + tokens / rate,
        }
    }

    /// This proxy sends a request with a long prompt to the upstream. What was estimated for it.
    pub fn sent(
        &mut self,
        now: Millis,
        request: &ProxyRequest,
        upstream: &Upstream,
        policy: &Policy,
    ) -> PrefillEstimate {
        let estimate = self.estimate(now, request, upstream, policy);
        let sent = PromptSent {
            upstream: upstream_key(upstream),
            prefix: prefix_key(request),
            tokens: estimate.tokens as u32,
        };
        self.note(now, &sent, self.rate(&request.service, policy));
        self.untold.push(sent);
        if self.untold.len() > MAX_PENDING_REPORTS {
            self.untold
                .sort_unstable_by_key(|sent| std::cmp::Reverse(sent.tokens));
            self.untold.truncate(MAX_PENDING_REPORTS);
        }
        estimate
    }

    /// Other proxies sent long prompts.
    pub fn told(&mut self, now: Millis, sent: &[PromptSent], policy: &Policy) {
        // Whose service it is is not told: services of long prompts are few and alike enough.
        let rate = self
            .rates
            .values()
            .map(|rate| rate.mean)
            .fold(f64::NAN, f64::min);
        let rate = if rate.is_nan() {
            policy.default_prefill_rate
        } else {
            rate
        };
        for sent in sent {
            self.note(now, sent, rate);
        }
    }

    fn note(&mut self, now: Millis, sent: &PromptSent, rate: f64) {
        if self.backlogs.len() >= BACKLOG_SWEEP_THRESHOLD {
            self.backlogs
                .retain(|_, backlog| backlog.left(now, rate) > 0.0);
        }
        let backlog = self.backlogs.entry(sent.upstream).or_default();
        *backlog = Backlog {
            tokens: backlog.left(now, rate) + f64::from(sent.tokens),
            at: now,
        };
        let done_at = now + backlog.tokens / rate;
        self.make_room();
        let prefix = self.prefixes.entry(sent.prefix).or_default();
        prefix.used = now;
        if !prefix
            .readers
            .iter()
            .any(|reader| reader.upstream == sent.upstream)
        {
            prefix.readers.push(Reader {
                upstream: sent.upstream,
                done_at,
            });
        }
    }

    /// Forgets the half of the prefixes that was unused longest once there are too many.
    fn make_room(&mut self) {
        if self.prefixes.len() < MAX_PREFIXES {
            return;
        }
        let mut used: Vec<Millis> = self.prefixes.values().map(|prefix| prefix.used).collect();
        used.sort_unstable_by(f64::total_cmp);
        let median = used[used.len() / 2];
        self.prefixes.retain(|_, prefix| prefix.used > median);
    }

    /// The first part of an answer came `elapsed` ms after its request was written, the way there and back left out, and
    /// this was estimated when it was sent.
    pub fn answered(
        &mut self,
        service: &str,
        estimate: &PrefillEstimate,
        elapsed: Millis,
        policy: &Policy,
    ) {
        let before = self.rate(service, policy);
        let tokens = estimate.time * before;
        if tokens < policy.long_prompt_tokens as f64 || elapsed <= 0.0 {
            return;
        }
        let sample = (tokens / elapsed).clamp(before / MAX_RATE_CHANGE, before * MAX_RATE_CHANGE);
        let rate = self.rates.entry(service.to_owned()).or_insert(Rate {
            mean: before,
            samples: 1.0,
        });
        rate.samples += 1.0;
        rate.mean += (sample - rate.mean) * (1.0 / rate.samples).max(MIN_RATE_WEIGHT);
    }

    /// What control is to be told of own sends.
    pub fn take_untold(&mut self) -> Vec<PromptSent> {
        std::mem::take(&mut self.untold)
    }

    /// Keeps only the rates of these services.
    pub fn retain_services(&mut self, is_configured: impl Fn(&str) -> bool) {
        self.rates.retain(|service, _| is_configured(service));
    }
}
