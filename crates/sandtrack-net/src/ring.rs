//! The ring buffer: each connection has one a direction. It owns the bytes between a socket and a parser or
//! writer, and must never hold more than its bound, nor keep the room of a large message once that is gone.
use std::collections::VecDeque;
use std::io::IoSlice;

/// Room that an empty buffer may keep.
pub const KEPT: usize = 4096;

pub struct Ring {
    bytes: VecDeque<u8>,
    bound: usize,
}

impl Ring {
    pub fn new(bound: usize) -> Self {
        Ring {
            bytes: VecDeque::new(),
            bound,
        }
    }

    pub fn len(&self) -> usize {
        self.bytes.len()
    }

    pub fn is_empty(&self) -> bool {
        self.bytes.is_empty()
    }

    /// Bytes of memory that it keeps.
    pub fn capacity(&self) -> usize {
        self.bytes.capacity()
    }

    /// How many bytes more it may hold.
    pub fn room(&self) -> usize {
        self.bound.saturating_sub(self.bytes.len())
    }

    /// From now on it holds at most this many bytes; what it holds beyond that stays until it is consumed.
    pub fn set_bound(&mut self, bound: usize) {
        self.bound = bound;
    }

    /// Takes the bytes, or none of them and says no when they pass the bound.
    #[must_use]
    pub fn push(&mut self, bytes: &[u8]) -> bool {
        let fits = bytes.len() <= self.room();
        if fits {
            self.bytes.extend(bytes);
        }
        fits
    }

    /// What it holds, in one piece.
    pub fn peek(&mut self) -> &[u8] {
        self.bytes.make_contiguous()
    }

    /// What it holds, for one gathering write.
    pub fn slices(&self) -> [IoSlice<'_>; 2] {
        let (front, back) = self.bytes.as_slices();
        [IoSlice::new(front), IoSlice::new(back)]
    }

    /// Drops that many bytes from the front.
    pub fn consume(&mut self, count: usize) {
        self.bytes.drain(..count.min(self.bytes.len()));
        if self.bytes.is_empty() && self.bytes.capacity() > KEPT {
            self.bytes.shrink_to(KEPT);
        }
    }
}
