//! What a member thinks of itself: whether it is slow, was stopped, or hears nobody. It owns that score, and must never judge
//! another: who doubts itself accuses nobody (Lifeguard: Dadgar, Phillips and Currey, "Lifeguard: local health awareness for
//! more accurate failure detection", 2018).
use crate::Ms;
use std::collections::VecDeque;

/// The score goes from 0, well, to this.
pub const SCORE_MOST: u32 = 8;
/// What was due this much ago was not done in time: the process was stopped, or its clock jumped.
pub const PAUSE: Ms = 500;
/// Having been stopped, it accuses nobody for this long: what it has not heard waits in its socket or is lost.
const QUIET: Ms = 2_000;
/// Rounds of probes in a row without any answer, after which it is taken for cut off.
const ROUNDS: u32 = 4;

#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Doubt {
    score: u32,
    quiet_until: Ms,
    /// Rounds in a row to which neither the probed one nor any that was asked for help said a word.
    unanswered: u32,
    /// How long answers to its own pings took of late, late ones included.
    times: VecDeque<Ms>,
}

/// So many of them are kept.
const TIMES: usize = 9;

impl Doubt {
    pub fn score(&self) -> u32 {
        self.score
    }

    /// Its patience is so many times the usual.
    pub fn scale(&self) -> Ms {
        1 + u64::from(self.score)
    }

    fn raise(&mut self, by: u32) {
        self.score = (self.score + by).min(SCORE_MOST);
    }

    pub fn answered(&mut self) {
        self.score = self.score.saturating_sub(1);
        self.unanswered = 0;
    }

    /// An answer took so long, whether it was awaited still or not.
    pub fn took(&mut self, time: Ms) {
        self.times.push_back(time);
        if self.times.len() > TIMES {
            self.times.pop_front();
        }
    }

    /// The middle one of these times: where it is long, this member is far from all or slow itself.
    pub fn usual(&self) -> Ms {
        let mut times: Vec<Ms> = self.times.iter().copied().collect();
        times.sort_unstable();
        times.get(times.len() / 2).copied().unwrap_or(0)
    }

    /// A probe failed; `witnessed`: another said that it could not reach that one either.
    pub fn failed(&mut self, witnessed: bool) {
        if witnessed {
            self.unanswered = 0;
        } else {
            self.unanswered = self.unanswered.saturating_add(1);
            self.raise(1);
        }
    }

    /// Others suspected this member.
    pub fn refuted(&mut self) {
        self.raise(1);
    }

    pub fn paused(&mut self, now: Ms) {
        self.raise(2);
        self.quiet_until = now + QUIET;
        self.unanswered = 0;
    }

    /// It was stopped a moment ago.
    pub fn is_quiet(&self, now: Ms) -> bool {
        now < self.quiet_until
    }

    /// Its probes come to nothing, whoever is probed.
    pub fn is_unheard(&self) -> bool {
        self.unanswered >= ROUNDS
    }
}
