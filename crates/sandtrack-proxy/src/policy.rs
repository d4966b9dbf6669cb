//! Every constant of the decisions on a request's way, in one place: what it is, its unit, and where it comes from ("design":
//! the source's own figure; an RFC; "ours"). A release build runs with the defaults. With the feature `ablation` the program
//! takes `--policy NAME=VALUE,...`, so that one build measures what each constant and each mechanism is worth
//! (`docs/system/decisions.md`). The constants of the ordinary path itself are in `sandtrack_tiers`. Pure.
use sandtrack_tiers::{Millis, GAP_MOST};
use thiserror::Error;

/// A policy that can't be read.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
pub enum PolicyError {
    /// Not `NAME=VALUE`.
    #[error("`{0}` is no NAME=VALUE")]
    Malformed(String),
    /// No constant has this name.
    #[error("no constant is called `{0}`")]
    Unknown(String),
    /// The value does not fit the constant.
    #[error("`{1}` is no value of `{0}`")]
    Value(String, String),
}

macro_rules! policy {
    ($($(#[$doc:meta])* $name:ident: $kind:ty = $default:expr,)*) => {
        /// The constants; `Policy::default()` is what release builds run with.
        #[derive(Clone, Debug, PartialEq)]
        pub struct Policy {
            $($(#[$doc])* pub $name: $kind,)*
        }

        impl Default for Policy {
            fn default() -> Policy {
                Policy { $($name: $default,)* }
            }
        }

        impl Policy {
            /// Names and values of all constants, in the order of their definition.
            #[must_use]
            pub fn constants(&self) -> Vec<(&'static str, String)> {
                vec![$((stringify!($name), self.$name.to_string()),)*]
            }

            fn set(&mut self, name: &str, value: &str) -> Result<(), PolicyError> {
                let wrong = || PolicyError::Value(name.to_owned(), value.to_owned());
                match name {
                    $(stringify!($name) => self.$name = value.parse().map_err(|_| wrong())?,)*
                    _ => return Err(PolicyError::Unknown(name.to_owned())),
                }
                Ok(())
            }
        }
    };
}

policy! {
    // Which upstreams a proxy uses.
    /// Upstreams of a service that a proxy uses and probes in its own region, where there are more (ours): enough for tiers,
    /// for a random pick and for the loss of some.
    circle_near: usize = 6,
    /// The same in each other region (ours).
    circle_far: usize = 4,
    /// Upstreams of another region are probed for so long after a request of this proxy went to that region by its circle, in
    /// ms (ours).
    far_used_ms: f64 = 10_000.0,
    /// An upstream takes this many times its slots beyond them in its queue before it counts as full (ours).
    queue: f64 = 0.5,
    /// Of those that may take a send the lowest tier is taken (design). Off: all of the nearest region are one tier.
    tiers: bool = true,
    /// One far above the mean of own requests is skipped (design).
    skip: bool = true,
    /// An upstream that turned a request away or failed one rests for so long, in ms (ours).
    rest_ms: f64 = 150.0,
    /// After so many ms the part of a told load that is not this proxy's own is down to a third (ours).
    load_memory_ms: f64 = 400.0,

    /// A zone of which several upstreams failed, with none heard in between, is left out where others can serve (ours).
    zone_outlook: bool = true,
    /// Upstreams of a zone that must fail before it is left out (ours): one alone is more likely a fault of its own.
    zone_failures: usize = 2,
    /// A failure counts for so long, in ms (design: two probes are no further apart): one that is still listed has been probed
    /// again by then, one that is gone says no more.
    zone_failure_ms: f64 = GAP_MOST,

    // Long prompts.
    /// A prompt with this many shared tokens goes where they are kept (ours).
    kept_tokens: u64 = 1000,
    /// Of each prompt so many upstreams are compared, by rendezvous hashing over all and over the own region (ours).
    keeper_choices: usize = 3,
    /// One that has this much to read, in ms, counts as idle: the first by rank is taken (ours).
    busy_ms: f64 = 300.0,
    /// A first token that is estimated within this part of the aim counts as in time (ours).
    in_time: f64 = 1.2,
    /// Tokens a ms that an upstream reads, before it was learned (ours).
    prefill_rate: f64 = 50.0,
    /// Proxies tell each other of long prompts that they sent.
    tells_prompts: bool = true,
    /// Weight, as a keeper, of an upstream in a region with requests bound to it, before enough was seen of what there is to
    /// read (ours) ...
    bound_weight: f64 = 0.5,
    /// ... as if it had been seen of so many requests (ours) ...
    bound_weight_requests: f64 = 20.0,
    /// ... and the least that counts as seen: a region that has its part to do besides reads long prompts all the same (ours).
    bound_weight_least: f64 = 0.35,
    /// Round trips that a request on a new connection takes: one for the connection, one for the answer.
    trips: f64 = 2.0,
    /// What was seen of prompts counts for a third after this time, in ms (ours): some dozens of requests even at a proxy with
    /// few.
    prompt_memory_ms: f64 = 30_000.0,
    /// Where long prompts have to be read beside requests bound to a region, one upstream in so many reads them (ours).
    readers: usize = 2,
    /// That is so for this long after the last long prompt, in ms (ours).
    reading_ms: f64 = 4000.0,

    // Time.
    /// A request is offered to an upstream or refused within this part of its aim (RULES.md: a quarter).
    hold: f64 = 0.2,
    /// While no upstream has room it is looked again this often, in ms (ours).
    look_again_ms: f64 = 10.0,
    /// An answer is overdue after its mean and so many deviations (RFC 6298) ...
    deviations: f64 = 4.0,
    /// ... but not before this, in ms (ours) ...
    patience_least_ms: f64 = 80.0,
    /// ... and after this part of its aim in any case (ours).
    patience_most: f64 = 0.35,
    /// A pause of this part of the longest that is in time makes an upstream suspect in the middle of a stream (ours).
    pause: f64 = 0.6,
    /// A silent send is raced by another where the request may run twice (ours).
    races: bool = true,
    /// While an upstream is suspected it is looked this often whether it was found dead, in ms (ours).
    suspect_look_ms: f64 = 100.0,

    // Connections.
    /// A connection that does not come up within this, and two round trips to its region, is given up, in ms (ours). While the
    /// round trip is not known this doubles with each failure (RFC 6298, 5.5).
    connect_patience_ms: f64 = 150.0,
    /// Where all failed for so long, a region's round trip is measured anew, in ms (ours).
    trip_forgotten_ms: f64 = 10_000.0,
    /// An idle connection is used again within this time, in ms, unless its upstream names a shorter one (ours): longer than
    /// two probes are apart.
    idle_most_ms: f64 = 12_000.0,
    /// It is not used in the last part of the time that its upstream named, in ms: the close may be on its way (ours).
    idle_margin_ms: f64 = 700.0,
    /// What may run only once goes on an idle connection where its upstream was heard within so many ms, else on a fresh one
    /// (ours).
    proven_alive_ms: f64 = 4000.0,
    /// After an idle connection broke without a word, its service's are not used so for this long, in ms (ours).
    idle_distrust_ms: f64 = 30_000.0,

    // Probes.
    /// One in use is probed this often at most, in ms; the design's bound is five seconds, less what timers run late.
    probe_every_ms: f64 = 4800.0,
    /// One that is suspected or unhealthy is probed this often, in ms (ours: two probes tell within a second).
    suspect_every_ms: f64 = 300.0,
    /// The pause between probes of one that goes on failing doubles up to this, in ms (ours).
    suspect_most_ms: f64 = 1200.0,
    /// A probe that takes longer, besides three times the upstream's average, has failed, in ms (ours).
    probe_patience_ms: f64 = 400.0,
    /// The same while the round trip to its region is not known, in ms (RFC 6298, 2.1: one second); it doubles with each
    /// failure ...
    first_probe_patience_ms: f64 = 1000.0,
    /// ... up to this, in ms (ours).
    probe_patience_most_ms: f64 = 4000.0,

    // What a request tells upstreams.
    /// The route's priority is told as urgency.
    urgency: bool = true,
}

/// Failed probes in a row from which on the pause between them grows (design: two make an upstream unhealthy).
const STEADY_PROBES: u32 = 2;

/// Doublings beyond which every time has reached its bound.
const DOUBLINGS_MOST: u32 = 16;

/// `first` doubled so many times, in ms; the caller bounds it.
#[must_use]
pub fn doubled(first: Millis, times: u32) -> Millis {
    first * f64::from(1u32 << times.min(DOUBLINGS_MOST))
}

impl Policy {
    /// The pause before the next probe of an upstream of which so many in a row failed, in ms.
    #[must_use]
    pub fn suspect_gap(&self, failed_probes: u32) -> f64 {
        let doublings = failed_probes.saturating_sub(STEADY_PROBES);
        doubled(self.suspect_every_ms, doublings)
            .min(self.suspect_most_ms.max(self.suspect_every_ms))
    }

    /// The default with some constants set anew: `NAME=VALUE`, joined by commas.
    ///
    /// # Errors
    /// Where a name or a value is wrong.
    pub fn with(changes: &str) -> Result<Policy, PolicyError> {
        let mut policy = Policy::default();
        for change in changes.split(',').filter(|change| !change.is_empty()) {
            let (name, value) = change
                .split_once('=')
                .ok_or(PolicyError::Malformed(change.to_owned()))?;
            policy.set(name.trim(), value.trim())?;
        }
        Ok(policy)
    }
}
