//! A bound on the bytes that a process holds of messages, all of them together. It holds no bytes itself: who keeps a message
//! keeps a [`Held`] beside it, which gives its room back when it is dropped.
use std::cell::Cell;
use std::rc::Rc;

/// A message up to this long may use the whole budget, in bytes; longer ones leave `RESERVED` of it.
pub const SHORT: usize = 64 * 1024;
/// This part of the budget is for short messages alone: they are served while long ones fill the rest.
const RESERVED: f64 = 0.25;

/// The budget; clones share it.
#[derive(Clone, Debug)]
pub struct ByteBudget {
    bound: usize,
    held: Rc<Cell<usize>>,
}

impl ByteBudget {
    /// A budget of so many bytes.
    #[must_use]
    pub fn new(bound: usize) -> ByteBudget {
        ByteBudget {
            bound,
            held: Rc::default(),
        }
    }

    /// Room for a message of which nothing is held yet.
    #[must_use]
    pub fn message(&self) -> Held {
        Held {
            budget: self.clone(),
            bytes: 0,
        }
    }

    /// Bytes that are held now.
    #[must_use]
    pub fn held(&self) -> usize {
        self.held.get()
    }
}

/// What one message takes of a budget.
#[derive(Debug)]
pub struct Held {
    budget: ByteBudget,
    bytes: usize,
}

impl Held {
    /// Takes room for a message of `length` bytes in all. No where there is none: the message keeps what it had.
    #[must_use]
    pub fn grow_to(&mut self, length: usize) -> bool {
        let more = length.saturating_sub(self.bytes);
        let reserved = if length > SHORT {
            (self.budget.bound as f64 * RESERVED) as usize
        } else {
            0
        };
        let room = self
            .budget
            .bound
            .saturating_sub(self.budget.held() + reserved);
        if more > room {
            return false;
        }
        self.budget.held.set(self.budget.held() + more);
        self.bytes += more;
        true
    }

    /// Takes `bytes` behind `message`, which grows in steps that are paid for beforehand. No where there is no room for them.
    #[must_use]
    pub fn extend(&mut self, message: &mut Vec<u8>, bytes: &[u8]) -> bool {
        let length = message.len() + bytes.len();
        if length > message.capacity() {
            let capacity = if length > SHORT {
                length.next_multiple_of(SHORT)
            } else {
                length
            };
            if !self.grow_to(capacity) {
                return false;
            }
            message.reserve_exact(capacity - message.len());
        }
        message.extend_from_slice(bytes);
        true
    }
}

impl Drop for Held {
    fn drop(&mut self) {
        self.budget
            .held
            .set(self.budget.held().saturating_sub(self.bytes));
    }
}
