//! Server-sent events (`text/event-stream`, WHATWG HTML, 9.2): only complete events are relayed, so that a stream that breaks
//! can be resumed at another upstream, and none is delivered twice or out of order. Pure.

/// The field of an event that holds its id.
const ID_FIELD: &[u8] = b"id:";

/// Longest event, in bytes: many times the longest of these services. It bounds what is buffered of a stream.
const MAX_EVENT_BYTES: usize = 1 << 20;

/// Splits a stream into complete events.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct EventScanner {
    /// The begin of an event that is not complete.
    buffer: Vec<u8>,
    /// Bytes of the buffer that were searched for the end of the event.
    searched_bytes: usize,
    /// Id of the last event that was relayed and had one.
    last_id: Option<u64>,
    /// Data without an id was relayed behind it: a stream that resumes behind the id would deliver it again.
    has_unnumbered_tail: bool,
}

/// What a chunk of a stream came to.
#[derive(Debug, PartialEq, Eq)]
pub enum ScanResult {
    /// Complete events, to be relayed as they are; may be empty.
    Events(Vec<u8>),
    /// An id did not rise, or an event is too long: the stream is malformed behind these events.
    Malformed(Vec<u8>),
}

impl EventScanner {
    /// Takes a chunk; returns the events that it completes.
    pub fn push(&mut self, bytes: &[u8]) -> ScanResult {
        self.buffer.extend_from_slice(bytes);
        let mut complete = 0;
        let mut searched = std::mem::take(&mut self.searched_bytes);
        while let Some(end) = end_of_event(&self.buffer[complete..], searched) {
            searched = 0;
            let event = &self.buffer[complete..complete + end];
            if let Some(id) = id_of(event) {
                // A resumed stream has the next id, whatever step the ids take.
                if self.last_id.is_some_and(|last| id <= last) {
                    return self.malformed(complete);
                }
                self.last_id = Some(id);
                self.has_unnumbered_tail = false;
            } else if has_data(event) {
                self.has_unnumbered_tail = true;
            }
            complete += end;
        }
        let left = self.buffer.len() - complete;
        if left > MAX_EVENT_BYTES {
            return self.malformed(complete);
        }
        // The two line breaks that end an event may come in two chunks.
        self.searched_bytes = left.saturating_sub(2);
        ScanResult::Events(self.buffer.drain(..complete).collect())
    }

    /// The events up to `complete` count; nothing behind them is kept.
    fn malformed(&mut self, complete: usize) -> ScanResult {
        let events = self.buffer.drain(..complete).collect();
        self.buffer = Vec::new();
        ScanResult::Malformed(events)
    }

    /// Number of bytes that are no complete event yet.
    #[must_use]
    pub fn buffered(&self) -> usize {
        self.buffer.len()
    }

    /// Takes what is left at the end of the body.
    pub fn take_remainder(&mut self) -> Vec<u8> {
        self.searched_bytes = 0;
        std::mem::take(&mut self.buffer)
    }

    /// The stream is resumed at another upstream: an event that is not complete is dropped.
    pub fn restart(&mut self) {
        self.buffer.clear();
        self.searched_bytes = 0;
    }

    /// Id of the last event that was relayed and had one.
    #[must_use]
    pub fn last_id(&self) -> Option<u64> {
        self.last_id
    }

    /// Id of the event behind which another upstream can resume the stream without data that comes twice or is missing.
    #[must_use]
    pub fn resume_point(&self) -> Option<u64> {
        self.last_id.filter(|_| !self.has_unnumbered_tail)
    }
}

/// The ids of the events that a client got, to check that they rise.
#[derive(Clone, Copy, Debug, Default)]
pub struct DeliveredEventIds {
    last_id: Option<u64>,
}

impl DeliveredEventIds {
    /// Records complete events; returns whether their ids rise. As for the [`EventScanner`], an event's id is that of its
    /// first line with one.
    pub fn record(&mut self, mut bytes: &[u8]) -> bool {
        let mut rises = true;
        while let Some(end) = end_of_event(bytes, 0) {
            if let Some(id) = id_of(&bytes[..end]) {
                rises &= self.last_id.is_none_or(|last| last < id);
                self.last_id = Some(id);
            }
            bytes = &bytes[end..];
        }
        rises
    }
}

/// Length of the first event, including the empty line that ends it; that line begins at `from` at the earliest.
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
        .find(|line| line.starts_with(ID_FIELD))
        .and_then(id_of_line)
}

fn id_of_line(line: &[u8]) -> Option<u64> {
    let value = line.strip_prefix(ID_FIELD)?;
    std::str::from_utf8(value).ok()?.trim().parse().ok()
}
