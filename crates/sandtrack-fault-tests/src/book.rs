//! The observer's books: every request with its end, every effect that ran, second by second. It owns the counts and what is
//! wrong, and must never touch what it observes.
use crate::scenario::Effect;
use serde::Serialize;
use std::collections::HashMap;
use std::time::Instant;

/// How a request ended for its client.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum End {
    /// 200 within its class's aim, or after it.
    Served,
    Late,
    Refused,
    Failed,
    /// Its process was killed or stood still meanwhile, or its connection ended with it.
    Gone,
    /// No answer though its process lived: that must not be.
    Lost,
}

/// A request as it was sent.
#[derive(Clone, Copy, Debug)]
pub struct Asked<'a> {
    /// The process that was asked, counted from 0.
    pub process: usize,
    pub class: &'a str,
    pub id: u64,
    /// Seconds since the run began.
    pub sent: f64,
}

#[derive(Clone, Copy, Debug, Default, Serialize)]
pub struct Second {
    pub asked: u32,
    pub served: u32,
    pub late: u32,
    pub refused: u32,
    pub failed: u32,
    pub gone: u32,
    pub lost: u32,
    /// Attempts that reached upstreams, and what they turned away.
    pub attempts: u32,
    pub turned_away: u32,
}

pub struct Book {
    start: Instant,
    pub seconds: Vec<Second>,
    pub total: Second,
    /// By id: how often an effect that must not be repeated ran, and when last (s).
    ran: HashMap<u64, (u32, f64)>,
    pub effects: u64,
    /// What must not be, as it was seen.
    pub wrong: Vec<String>,
    /// Milliseconds to a served answer.
    pub times: hdrhistogram::Histogram<u32>,
    next: u64,
    /// When the last 200 came at each process (s).
    pub served_at: Vec<f64>,
}

/// More lines of the same would tell nothing new.
const WRONG_MOST: usize = 100;

impl Book {
    pub fn new(processes: usize) -> Self {
        // The bounds are fixed, so this can't fail; without a histogram there are no times.
        let times = hdrhistogram::Histogram::new_with_bounds(1, 120_000, 3);
        let times = times
            .unwrap_or_else(|_| hdrhistogram::Histogram::new(3).expect("three digits are allowed"));
        Book {
            start: Instant::now(),
            seconds: Vec::new(),
            total: Second::default(),
            ran: HashMap::new(),
            effects: 0,
            wrong: Vec::new(),
            times,
            next: 0,
            served_at: vec![f64::NEG_INFINITY; processes],
        }
    }

    pub fn now(&self) -> f64 {
        self.start.elapsed().as_secs_f64()
    }

    /// A number that no other request has.
    pub fn id(&mut self) -> u64 {
        self.next += 1;
        self.next
    }

    fn count(&mut self, at: f64, count: impl Fn(&mut Second)) {
        let second = at.max(0.0) as usize;
        if self.seconds.len() <= second {
            self.seconds.resize(second + 1, Second::default());
        }
        count(&mut self.seconds[second]);
        count(&mut self.total);
    }

    pub fn asked(&mut self) {
        self.count(self.now(), |second| second.asked += 1);
    }

    /// A request that was sent at this time has ended: it counts in the second in which it was sent.
    pub fn ended(&mut self, asked: &Asked<'_>, end: End, took_ms: f64) {
        self.count(asked.sent, |second| match end {
            End::Served => second.served += 1,
            End::Late => second.late += 1,
            End::Refused => second.refused += 1,
            End::Failed => second.failed += 1,
            End::Gone => second.gone += 1,
            End::Lost => second.lost += 1,
        });
        if matches!(end, End::Served | End::Late) {
            let _ = self.times.record(took_ms.max(1.0) as u64);
            self.served_at[asked.process] = self.now();
        }
        if end == End::Lost {
            let Asked {
                process,
                class,
                id,
                sent,
            } = asked;
            let ran = if self.ran.contains_key(id) {
                "its effect ran"
            } else {
                "no effect of it was noted"
            };
            self.amiss(format!(
                "a request of process n{} that was sent at {sent:.2} s got no answer ({class}, over after {took_ms:.0} ms, {ran})",
                process + 1
            ));
        }
    }

    pub fn attempt(&mut self, turned_away: bool) {
        self.count(self.now(), |second| {
            second.attempts += 1;
            second.turned_away += u32::from(turned_away);
        });
    }

    /// An effect runs now; yes if it is a repeat that is discarded.
    pub fn runs(&mut self, id: u64, effect: Effect, window_s: f64) -> bool {
        let now = self.now();
        if effect == Effect::Repeatable {
            return false;
        }
        self.effects += 1;
        let (times, last) = self.ran.entry(id).or_insert((0, now));
        if *times > 0 && effect == Effect::Keyed && now <= *last + window_s {
            return true;
        }
        *times += 1;
        *last = now;
        if *times > 1 {
            let line = format!("the effect of request {id} ran {times} times, at {now:.2} s again");
            self.amiss(line);
        }
        false
    }

    pub fn amiss(&mut self, line: String) {
        if self.wrong.len() < WRONG_MOST {
            self.wrong.push(line);
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    /// A check that can't fail is none: each kind of break is seen.
    #[test]
    fn what_must_not_be_is_noted() {
        let mut book = Book::new(1);
        assert!(!book.runs(1, Effect::Unsafe, 0.0) && !book.runs(2, Effect::Keyed, 60.0));
        assert!(
            book.runs(2, Effect::Keyed, 60.0),
            "a repeat within the window is discarded"
        );
        assert!(!book.runs(3, Effect::Repeatable, 0.0) && !book.runs(3, Effect::Repeatable, 0.0));
        assert!(book.wrong.is_empty());
        book.runs(1, Effect::Unsafe, 0.0);
        book.ended(
            &Asked {
                process: 0,
                class: "pay",
                id: 5,
                sent: 0.0,
            },
            End::Lost,
            0.0,
        );
        assert!(
            book.wrong.len() == 2 && book.total.lost == 1,
            "{:?}",
            book.wrong
        );
        book.runs(4, Effect::Keyed, -1.0);
        book.runs(4, Effect::Keyed, -1.0);
        assert_eq!(book.wrong.len(), 3, "past its window a repeat runs again");
    }
}
