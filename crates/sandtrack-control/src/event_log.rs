//! A bounded in-memory event log: events are appended, and each reader catches up from the position that it has read to.
use std::collections::VecDeque;

/// The newest events, in order. A reader whose position is no longer kept starts from the complete state.
#[derive(Clone, Debug)]
pub struct EventLog<E> {
    /// Position of the oldest event that is kept.
    first: u64,
    events: VecDeque<E>,
    capacity: usize,
}

impl<E> EventLog<E> {
    /// An empty log that keeps at most `capacity` events.
    pub fn new(capacity: usize) -> EventLog<E> {
        EventLog {
            first: 0,
            events: VecDeque::new(),
            capacity,
        }
    }

    /// Appends an event, and drops the oldest one where the bound is exceeded.
    pub fn append(&mut self, event: E) {
        self.events.push_back(event);
        while self.events.len() > self.capacity {
            self.events.pop_front();
            self.first += 1;
        }
    }

    /// The position after the newest event.
    pub fn end(&self) -> u64 {
        self.first + self.events.len() as u64
    }

    /// The events from a position on; `None` where some of them are no longer kept.
    pub fn since(&self, position: u64) -> Option<impl Iterator<Item = &E>> {
        let skipped = usize::try_from(position.checked_sub(self.first)?).ok()?;
        (skipped <= self.events.len()).then(|| self.events.range(skipped..))
    }
}
