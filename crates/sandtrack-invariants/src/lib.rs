//! Invariants of the system, checked where they could break. A check that fails is counted and logged; in builds with debug
//! assertions, which are those of the tests, it ends the process.
//!
//! A check is cheap and has no effect on what the program does: it never takes the place of handling a case. Which promise
//! each stands for, and where it is checked, is told in `docs/system/promises.md`.
use std::sync::atomic::{AtomicU64, Ordering};

/// Violations of one invariant that are logged in full; the rest are only counted.
const LOGGED_MOST: u64 = 20;

macro_rules! invariants {
    ($($(#[doc = $promise:literal])+ $variant:ident = $name:literal,)*) => {
        /// Something that must hold whatever happens.
        #[derive(Clone, Copy, Debug, PartialEq, Eq)]
        pub enum Invariant {
            $($(#[doc = $promise])+ $variant,)*
        }

        impl Invariant {
            /// All of them, in the order of their counters.
            pub const ALL: &'static [Invariant] = &[$(Invariant::$variant),*];

            /// Its name in logs, metrics and pages.
            #[must_use]
            pub fn name(self) -> &'static str {
                match self {
                    $(Invariant::$variant => $name,)*
                }
            }
        }
    };
}

invariants! {
    /// An exchange has one final answer, and does nothing behind it.
    OneFinalAnswer = "one_final_answer",
    /// What may run once is sent only where no other send of it may have run.
    RunsOnce = "runs_once",
    /// 408, 421, 429 and 503 are told only for what has not run and is at no upstream.
    PromiseIsTrue = "promise_is_true",
    /// A request is at no more upstreams than its route's `attempts`.
    AttemptsBounded = "attempts_bounded",
    /// An upstream's answer that is passed on bears the request's id, and a success its seal.
    AnswerIsItsRequests = "answer_is_its_requests",
    /// The ids of the events that a client gets rise.
    EventsRise = "events_rise",
    /// A connection that is kept for the next request has nothing of the last one's answer left.
    PooledConnectionIsQuiet = "pooled_connection_is_quiet",
    /// As many sends end as were begun.
    SendsAreCounted = "sends_are_counted",
    /// In one life, a process goes forward only: configurations and orders for zones.
    GoesForward = "goes_forward",
    /// Committed entries are applied in their order, each once.
    AppliedInOrder = "applied_in_order",
    /// What is committed is on this member's disk.
    CommittedIsDurable = "committed_is_durable",
    /// No write takes a committed entry out of the log.
    CommittedStays = "committed_stays",
    /// A log has no gaps.
    LogHasNoGaps = "log_has_no_gaps",
    /// The epoch on the disk and, within one epoch, the ballot that a voter promised only rise.
    BallotRises = "ballot_rises",
    /// Each configuration that is taken has a higher version than the one before.
    VersionRises = "version_rises",
    /// Under rules that check it, no change makes a valid configuration invalid.
    ConfigurationIsValid = "configuration_is_valid",
    /// The term of the reader of the list only rises.
    PollerTermRises = "reader_term_rises",
    /// Each call of an operator is answered once.
    CallAnsweredOnce = "call_answered_once",
}

/// How often each invariant was violated in this process.
static VIOLATIONS: [AtomicU64; Invariant::ALL.len()] =
    [const { AtomicU64::new(0) }; Invariant::ALL.len()];

impl Invariant {
    /// How often it was violated in this process.
    #[must_use]
    pub fn violations(self) -> u64 {
        VIOLATIONS[self as usize].load(Ordering::Relaxed)
    }
}

/// Checks that an invariant holds; `seen` tells what was seen where it does not.
///
/// # Panics
/// In builds with debug assertions, where it does not hold.
pub fn check(invariant: Invariant, holds: bool, seen: impl FnOnce() -> String) {
    if holds {
        return;
    }
    let before = VIOLATIONS[invariant as usize].fetch_add(1, Ordering::Relaxed);
    let seen = seen();
    if before < LOGGED_MOST {
        log::error!("invariant {} violated: {seen}", invariant.name());
    }
    if cfg!(debug_assertions) {
        panic!("invariant {} violated: {seen}", invariant.name());
    }
}
