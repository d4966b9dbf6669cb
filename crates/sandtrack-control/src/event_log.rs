//! A journal in memory: events are appended, and views are folded from what came since the place that each has read to.
//! It owns the order of the events; it must never hold more than its bound.
use std::collections::VecDeque;

/// What happened, in order. A reader keeps a place, and one that has fallen behind what is kept starts from the whole.
#[derive(Clone, Debug)]
pub struct EventLog<E> {
    /// Place of the first event that is kept.
    first: u64,
    events: VecDeque<E>,
    kept: usize,
}

impl<E> EventLog<E> {
    /// A journal that keeps so many events.
    pub fn new(kept: usize) -> EventLog<E> {
        EventLog {
            first: 0,
            events: VecDeque::new(),
            kept,
        }
    }

    /// Adds an event; the oldest one goes where more are kept than the bound.
    pub fn append(&mut self, event: E) {
        self.events.push_back(event);
        while self.events.len() > self.kept {
            self.events.pop_front();
            self.first += 1;
        }
    }

    /// The place behind the last event.
    pub fn end(&self) -> u64 {
        self.first + self.events.len() as u64
    }

    /// The events from a place on; `None` where some of them are no longer kept.
    pub fn since(&self, place: u64) -> Option<impl Iterator<Item = &E>> {
        let skipped = usize::try_from(place.checked_sub(self.first)?).ok()?;
        (skipped <= self.events.len()).then(|| self.events.range(skipped..))
    }
}
