//! A slot for an attempt in flight. A step of an attempt is a future that owns the attempt and returns it together with the
//! step's event, so that steps of two attempts can be awaited concurrently.
use crate::exchange::attempt::Attempt;
use crate::exchange::state::AttemptEvent;
use futures_lite::future;
use std::future::Future;
use std::pin::Pin;

/// A step of an attempt, which resolves to the attempt and its next event.
type Step<'a> = Pin<Box<dyn Future<Output = (Box<Attempt<'a>>, AttemptEvent)> + 'a>>;

pub(super) enum AttemptSlot<'a> {
    Empty,
    /// The exchange is handling the attempt's last event.
    Paused(Box<Attempt<'a>>),
    Stepping(Step<'a>),
}

impl<'a> AttemptSlot<'a> {
    /// Starts the next step of a paused attempt.
    pub(super) fn start_step(&mut self) {
        *self = match std::mem::replace(self, AttemptSlot::Empty) {
            AttemptSlot::Paused(mut attempt) => AttemptSlot::Stepping(Box::pin(async move {
                let event = attempt.step().await;
                (attempt, event)
            })),
            other => other,
        };
    }

    /// Empties the slot; returns the attempt if it was paused.
    pub(super) fn take(&mut self) -> Option<Box<Attempt<'a>>> {
        match std::mem::replace(self, AttemptSlot::Empty) {
            AttemptSlot::Paused(attempt) => Some(attempt),
            // Dropping a step in progress closes the attempt's connection.
            AttemptSlot::Empty | AttemptSlot::Stepping(_) => None,
        }
    }

    /// The attempt, while it is paused.
    pub(super) fn attempt(&self) -> Option<&Attempt<'a>> {
        match self {
            AttemptSlot::Paused(attempt) => Some(attempt),
            AttemptSlot::Empty | AttemptSlot::Stepping(_) => None,
        }
    }

    /// Waits for the end of the step, and pauses the attempt. Cancel-safe: a pending step stays in the slot.
    pub(super) async fn next_event(&mut self) -> AttemptEvent {
        let AttemptSlot::Stepping(step) = self else {
            return future::pending().await;
        };
        let (attempt, event) = step.await;
        *self = AttemptSlot::Paused(attempt);
        event
    }
}
