//! Server-sent events (`text/event-stream`, WHATWG HTML, 9.2). Only complete events are relayed, so that an interrupted stream
//! can be resumed at another upstream and no event is delivered twice or out of order. No I/O.

/// The event field with the event's id.
const ID_FIELD: &[u8] = b"id:";

/// Longest event, in bytes: many times the longest that these services send. Bounds the memory for each stream.
const MAX_EVENT_BYTES: usize = 1 << 20;

/// Splits a stream into complete events.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct EventScanner {
    /// The beginning of an incomplete event.
    buffer: Vec<u8>,
    /// Bytes of the buffer that were already searched for the end of the event.
    searched_bytes: usize,
    /// Id of the last relayed event that had one.
    last_id: Option<u64>,
    /// Whether data without an id was relayed after `last_id`; a stream resumed after that id would deliver it again.
    has_unnumbered_tail: bool,
    /// Whether the stream is known to have an event that has not been completed: its first one, or one of which a part was
    /// discarded.
    expects_event: bool,
}

/// The result of scanning a chunk of a stream.
#[derive(Debug, PartialEq, Eq)]
pub enum ScanResult {
    /// Complete events, to be relayed unchanged; may be empty.
    Events(Vec<u8>),
    /// An id did not increase, or an event is too long: the stream is malformed after these events.
    Malformed(Vec<u8>),
}

impl EventScanner {
    /// A scanner at the start of a stream; `expects_event`: it has at least one event.
    #[must_use]
    pub fn new(expects_event: bool) -> EventScanner {
        EventScanner {
            expects_event,
            ..EventScanner::default()
        }
    }

    /// Takes a chunk; returns the events that it completes.
    pub fn push(&mut self, bytes: &[u8]) -> ScanResult {
        self.buffer.extend_from_slice(bytes);
        let mut complete = 0;
        let mut searched = std::mem::take(&mut self.searched_bytes);
        while let Some(end) = end_of_event(&self.buffer[complete..], searched) {
            searched = 0;
            let event = &self.buffer[complete..complete + end];
            if let Some(id) = id_of(event) {
                // Ids may have gaps, but must increase, also where the stream was resumed.
                if self.last_id.is_some_and(|last| id <= last) {
                    return self.malformed(complete);
                }
                self.last_id = Some(id);
                self.has_unnumbered_tail = false;
                self.expects_event = false;
            } else if has_data(event) {
                self.has_unnumbered_tail = true;
                self.expects_event = false;
            }
            complete += end;
        }
        let left = self.buffer.len() - complete;
        if left > MAX_EVENT_BYTES {
            return self.malformed(complete);
        }
        // The two line breaks that end an event may be in different chunks.
        self.searched_bytes = left.saturating_sub(2);
        ScanResult::Events(self.buffer.drain(..complete).collect())
    }

    /// Returns the events up to `complete` and discards the rest of the buffer.
    fn malformed(&mut self, complete: usize) -> ScanResult {
        let events = self.buffer.drain(..complete).collect();
        self.buffer = Vec::new();
        ScanResult::Malformed(events)
    }

    /// Number of bytes buffered of an incomplete event.
    #[must_use]
    pub fn buffered(&self) -> usize {
        self.buffer.len()
    }

    /// Takes the bytes that remain at the end of the body.
    pub fn take_remainder(&mut self) -> Vec<u8> {
        self.searched_bytes = 0;
        std::mem::take(&mut self.buffer)
    }

    /// Whether a stream that ends here was truncated: within an event, or before one that it is known to have.
    #[must_use]
    pub fn is_truncated(&self) -> bool {
        // A carriage return alone ends a line too. The events of such a stream are not told apart, but its end is one of them.
        let ends_with_event = self.buffer.ends_with(b"\r\r");
        !ends_with_event && (self.expects_event || has_incomplete_event(&self.buffer))
    }

    /// Discards an incomplete event, as the stream is resumed at another upstream.
    pub fn restart(&mut self) {
        self.expects_event |= has_incomplete_event(&self.buffer);
        self.buffer.clear();
        self.searched_bytes = 0;
    }

    /// Id of the last relayed event that had one.
    #[must_use]
    pub fn last_id(&self) -> Option<u64> {
        self.last_id
    }

    /// Id of the event after which another upstream can resume the stream without repeating or losing data; `None` if there is
    /// no such point.
    #[must_use]
    pub fn resume_point(&self) -> Option<u64> {
        self.last_id.filter(|_| !self.has_unnumbered_tail)
    }
}

/// Checks that the ids of the events delivered to a client increase.
#[derive(Clone, Copy, Debug, Default)]
pub struct DeliveredEventIds {
    last_id: Option<u64>,
}

impl DeliveredEventIds {
    /// Records complete events; returns whether their ids increase. As in [`EventScanner`], the first `id` line of an event
    /// counts.
    pub fn record(&mut self, mut bytes: &[u8]) -> bool {
        let mut increasing = true;
        while let Some(end) = end_of_event(bytes, 0) {
            if let Some(id) = id_of(&bytes[..end]) {
                increasing &= self.last_id.is_none_or(|last| last < id);
                self.last_id = Some(id);
            }
            bytes = &bytes[end..];
        }
        increasing
    }
}

/// Length of the first event, including the empty line that ends it. The search starts at `from`.
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

/// Whether a whole body of this type, collected, ends within an event.
#[must_use]
pub fn ends_within_event(body: &[u8]) -> bool {
    let mut scanner = EventScanner::default();
    // A malformed stream is not truncated.
    matches!(scanner.push(body), ScanResult::Events(_)) && scanner.is_truncated()
}

/// Whether the bytes behind the last complete event begin another one: with a field, or with a line that is not complete.
/// Comments and empty lines belong to no event.
fn has_incomplete_event(bytes: &[u8]) -> bool {
    bytes
        .split_inclusive(|byte| *byte == b'\n')
        .any(|line| !line.ends_with(b"\n") || is_field(line))
}

fn is_field(line: &[u8]) -> bool {
    !matches!(line, [b':', ..] | b"\n" | b"\r\n")
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
