//! Pieces of a stream of events (`text/event-stream`): only whole events are passed on, so that a stream that breaks can be
//! taken up elsewhere, and none comes twice or out of order. Pure.

/// What a line with an event's id begins with.
const ID: &[u8] = b"id:";

/// An event may be so long, in bytes: many times what one of these services has. What is held of one is bounded by it.
const EVENT_MAX: usize = 1 << 20;

/// Splits a stream into whole events.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct Scanner {
    held: Vec<u8>,
    /// Of the held bytes so many were searched for the end of the event.
    searched: usize,
    /// Id of the last event that was passed on and had one.
    last: Option<u64>,
    /// Data without an id was passed on behind it: a run that goes on behind the id would bring it again.
    unnumbered: bool,
}

/// What a piece of a stream came to.
#[derive(Debug, PartialEq, Eq)]
pub enum Scanned {
    /// Whole events, to be passed on as they are; may be empty.
    Events(Vec<u8>),
    /// An id did not rise, or an event has no end: the stream is spoilt from here on.
    Spoilt(Vec<u8>),
}

impl Scanner {
    /// Takes bytes as they came.
    pub fn push(&mut self, bytes: &[u8]) -> Scanned {
        self.held.extend_from_slice(bytes);
        let mut whole = 0;
        let mut searched = std::mem::take(&mut self.searched);
        while let Some(end) = end_of_event(&self.held[whole..], searched) {
            searched = 0;
            let event = &self.held[whole..whole + end];
            if let Some(id) = id_of(event) {
                // One that goes on from another upstream's has the next id, whatever step they take.
                if self.last.is_some_and(|last| id <= last) {
                    return self.spoilt(whole);
                }
                self.last = Some(id);
                self.unnumbered = false;
            } else if has_data(event) {
                self.unnumbered = true;
            }
            whole += end;
        }
        let left = self.held.len() - whole;
        if left > EVENT_MAX {
            return self.spoilt(whole);
        }
        // The two line breaks that end an event may come in two pieces.
        self.searched = left.saturating_sub(2);
        Scanned::Events(self.held.drain(..whole).collect())
    }

    /// The events up to `whole` count; nothing behind them is held.
    fn spoilt(&mut self, whole: usize) -> Scanned {
        let events = self.held.drain(..whole).collect();
        self.held = Vec::new();
        Scanned::Spoilt(events)
    }

    /// Bytes that are no whole event yet.
    pub fn held(&self) -> usize {
        self.held.len()
    }

    /// What is left at the end of the body.
    pub fn rest(&mut self) -> Vec<u8> {
        self.searched = 0;
        std::mem::take(&mut self.held)
    }

    /// The stream goes on from another upstream: what was begun is dropped.
    pub fn resume(&mut self) {
        self.held.clear();
        self.searched = 0;
    }

    /// Id of the last event that was passed on and had one.
    pub fn last_id(&self) -> Option<u64> {
        self.last
    }

    /// The event behind which another run may go on without a piece that comes twice or is missing.
    pub fn resume_point(&self) -> Option<u64> {
        self.last.filter(|_| !self.unnumbered)
    }
}

/// The ids of the events that a client was given, to check that they rise.
#[derive(Clone, Copy, Debug, Default)]
pub struct GivenIds {
    last: Option<u64>,
}

impl GivenIds {
    /// Takes note of bytes of whole events; no where an id does not rise. As for the [`Scanner`], an event's id is that of its first line
    /// with one.
    pub fn note(&mut self, mut bytes: &[u8]) -> bool {
        let mut rises = true;
        while let Some(end) = end_of_event(bytes, 0) {
            if let Some(id) = id_of(&bytes[..end]) {
                rises &= self.last.is_none_or(|last| last < id);
                self.last = Some(id);
            }
            bytes = &bytes[end..];
        }
        rises
    }
}

/// Length of the first event with the empty line that ends it; that line begins at `from` at the earliest.
fn end_of_event(bytes: &[u8], mut from: usize) -> Option<usize> {
    while let Some(at) = bytes[from..].iter().position(|byte| *byte == b'\n') {
        let line_end = from + at + 1;
        match bytes[line_end..] {
            [b'\n', ..] => return Some(line_end + 1),
            [b'\r', b'\n', ..] => return Some(line_end + 2),
            _ => from = line_end,
        }
    }
    None
}

fn has_data(event: &[u8]) -> bool {
    event
        .split(|byte| *byte == b'\n')
        .any(|line| line.starts_with(b"data"))
}

fn id_of(event: &[u8]) -> Option<u64> {
    event
        .split(|byte| *byte == b'\n')
        .find(|line| line.starts_with(ID))
        .and_then(id_of_line)
}

fn id_of_line(line: &[u8]) -> Option<u64> {
    let value = line.strip_prefix(ID)?;
    std::str::from_utf8(value).ok()?.trim().parse().ok()
}
