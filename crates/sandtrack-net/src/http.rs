//! HTTP/1.1: an incremental parser. It is pure: bytes in, parts of a message out; what a message is, and how one is
//! written, is the core's. It owns the rules of framing, and must never read or write a socket, panic on any input, or take
//! a message whose framing can be read in two ways.
use crate::ring::Ring;
pub use sandtrack_sidecar_core::message::*;
use std::borrow::Cow;

/// A message's head may be this long ...
pub const HEAD_MAX: usize = 8 * 1024;
/// ... a body that is kept whole this ...
pub const BODY_MAX: usize = 64 * 1024;
/// ... and one that flows through this: more than any honest one has.
pub const FLOW_MAX: usize = 40 * 1024 * 1024;
/// Bound of a buffer that is read into: a whole head always fits.
pub const READ_RING: usize = 2 * HEAD_MAX;
/// Bound of a buffer that is written from: a whole message always fits.
pub const WRITE_RING: usize = BODY_MAX + 2 * HEAD_MAX;
/// A chunk's size line may be this long, and so may a trailer.
const LINE_MAX: usize = 1024;
/// So many interim responses may come ahead of one that is final: they must not go on for ever.
const INTERIM_MAX: u32 = 16;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Side {
    Request,
    Response,
}

/// Why a message can't be taken.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Bad {
    Malformed,
    HeadTooLong,
    BodyTooLong,
}

impl Bad {
    /// The status that a client is told.
    pub fn status(self) -> u16 {
        match self {
            Bad::Malformed => 400,
            Bad::HeadTooLong => 431,
            Bad::BodyTooLong => 413,
        }
    }
}

#[derive(Debug, PartialEq, Eq)]
pub enum Part {
    Head(Head),
    Data(Vec<u8>),
    End,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    /// Reading a head, of which this much was searched for its end.
    Head {
        searched: usize,
    },
    Length(usize),
    /// The body ends with the connection.
    UntilEnd,
    ChunkSize,
    Chunk(usize),
    /// The line end that closes a chunk's data.
    ChunkEnd,
    Trailer,
    /// The body is over, and `End` is still to be told.
    Over,
}

/// Takes one message after another off a ring buffer, however its bytes are split.
pub struct Parser {
    side: Side,
    state: State,
    trailer: usize,
    interim: u32,
    /// A head may be this long, in bytes.
    head_max: usize,
}

impl Parser {
    pub fn new(side: Side) -> Self {
        Parser::with_head_max(side, HEAD_MAX)
    }

    /// One whose heads may be `head_max` bytes long: the ring that it reads from holds more than that.
    pub fn with_head_max(side: Side, head_max: usize) -> Self {
        Parser {
            side,
            state: State::Head { searched: 0 },
            trailer: 0,
            interim: 0,
            head_max,
        }
    }

    /// From now on heads may be `head_max` bytes long: the ring that it reads from holds more than that.
    pub fn set_head_max(&mut self, head_max: usize) {
        self.head_max = head_max;
    }

    /// Whether a message has begun that is not over.
    pub fn within(&self, ring: &Ring) -> bool {
        !matches!(self.state, State::Head { .. }) || !ring.is_empty()
    }

    /// The other side has ended; yes where that ends a body.
    pub fn ended(&mut self, ring: &Ring) -> bool {
        let ends = matches!(self.state, State::UntilEnd) && ring.is_empty();
        if ends {
            self.state = State::Over;
        }
        ends
    }

    /// The next part, if all of it is there.
    ///
    /// # Errors
    /// Where the bytes are no message, or the message is too long.
    pub fn next(&mut self, ring: &mut Ring) -> Result<Option<Part>, Bad> {
        loop {
            match self.state {
                State::Head { searched } => {
                    let bytes = ring.peek();
                    if searched == 0 && bytes.starts_with(b"\r\n") {
                        ring.consume(2);
                        continue;
                    }
                    if bytes == b"\r" {
                        // The first half of an empty line before the head, when it comes alone.
                        return Ok(None);
                    }
                    let from = searched.saturating_sub(3);
                    let end = bytes[from..]
                        .windows(4)
                        .position(|four| four == b"\r\n\r\n");
                    let Some(end) = end.map(|at| from + at) else {
                        if bytes.len() > self.head_max {
                            return Err(Bad::HeadTooLong);
                        }
                        self.state = State::Head {
                            searched: bytes.len(),
                        };
                        return Ok(None);
                    };
                    if end > self.head_max {
                        return Err(Bad::HeadTooLong);
                    }
                    let head = parse_head(self.side, &bytes[..end])?;
                    if self.side == Side::Response && head.status < 200 {
                        // An interim response: the real one follows. Nothing else was asked for (101).
                        self.interim += 1;
                        if head.status == 101 || self.interim > INTERIM_MAX {
                            return Err(Bad::Malformed);
                        }
                        ring.consume(end + 4);
                        self.state = State::Head { searched: 0 };
                        continue;
                    }
                    self.state = framing(self.side, &head)?;
                    self.interim = 0;
                    ring.consume(end + 4);
                    return Ok(Some(Part::Head(head)));
                }
                State::Length(0) | State::Over => {
                    self.state = State::Head { searched: 0 };
                    return Ok(Some(Part::End));
                }
                State::Length(left) => {
                    let Some(data) = take(ring, left) else {
                        return Ok(None);
                    };
                    self.state = State::Length(left - data.len());
                    return Ok(Some(Part::Data(data)));
                }
                State::UntilEnd => return Ok(take(ring, usize::MAX).map(Part::Data)),
                State::ChunkSize => {
                    let Some(line) = take_line(ring)? else {
                        return Ok(None);
                    };
                    let size = chunk_size(&line)?;
                    self.trailer = 0;
                    self.state = if size == 0 {
                        State::Trailer
                    } else {
                        State::Chunk(size)
                    };
                }
                State::Chunk(left) => {
                    let Some(data) = take(ring, left) else {
                        return Ok(None);
                    };
                    let left = left - data.len();
                    self.state = if left == 0 {
                        State::ChunkEnd
                    } else {
                        State::Chunk(left)
                    };
                    return Ok(Some(Part::Data(data)));
                }
                State::ChunkEnd => match take_line(ring)? {
                    None => return Ok(None),
                    Some(line) if line.is_empty() => self.state = State::ChunkSize,
                    Some(_) => return Err(Bad::Malformed),
                },
                State::Trailer => match take_line(ring)? {
                    None => return Ok(None),
                    Some(line) if line.is_empty() => self.state = State::Over,
                    Some(line) => {
                        self.trailer += line.len();
                        if self.trailer > HEAD_MAX {
                            return Err(Bad::HeadTooLong);
                        }
                    }
                },
            }
        }
    }
}

/// The size on a chunk's first line, without its extensions (RFC 9112, 7.1).
fn chunk_size(line: &[u8]) -> Result<usize, Bad> {
    let digits = line.split(|byte| *byte == b';').next().unwrap_or_default();
    let digits = std::str::from_utf8(digits)
        .map_err(|_| Bad::Malformed)?
        .trim();
    let is_hex = !digits.is_empty() && digits.bytes().all(|byte| byte.is_ascii_hexdigit());
    if !is_hex || digits.trim_start_matches('0').len() > 8 {
        return Err(Bad::Malformed);
    }
    usize::from_str_radix(digits, 16).map_err(|_| Bad::Malformed)
}

/// What a collector has: a message whole, or a streamed one as it comes.
#[derive(Debug, PartialEq, Eq)]
pub enum Taken {
    Whole(Message),
    /// `length`: of the body, where it is told.
    Begun {
        head: Head,
        length: Option<usize>,
    },
    Piece(Vec<u8>),
    /// The end of what was begun.
    Over,
}

/// Collects the parts of a message whose body is not too long. A request or a response with status 200 that is longer is
/// told as it comes; where it is told so, any response with status 200 is, however long.
pub struct Collector {
    parser: Parser,
    pub streamed: bool,
    side: Side,
    head: Option<Head>,
    body: Vec<u8>,
    /// What was told of a body that is told as it comes.
    told: usize,
    /// The connection stays open after the message that is being told.
    keep_alive: bool,
}

impl Collector {
    pub fn new(side: Side) -> Self {
        let parser = Parser::new(side);
        Collector {
            parser,
            streamed: false,
            side,
            head: None,
            body: Vec::new(),
            told: 0,
            keep_alive: false,
        }
    }

    /// The next message, or what there is of a long or streamed one.
    ///
    /// # Errors
    /// Where the bytes are no message, or the message is too long.
    pub fn next(&mut self, ring: &mut Ring) -> Result<Option<Taken>, Bad> {
        if self.head.is_none() && !self.body.is_empty() {
            // What had come before it was too long to be kept.
            return Ok(Some(Taken::Piece(std::mem::take(&mut self.body))));
        }
        while let Some(part) = self.parser.next(ring)? {
            match part {
                Part::Head(head) => {
                    let length = match self.parser.state {
                        State::Length(length) => Some(length),
                        _ => None,
                    };
                    (self.keep_alive, self.told) = (head.keep_alive, 0);
                    let flows = self.side == Side::Request || head.status == 200;
                    let long = length.is_some_and(|length| length > BODY_MAX);
                    if long && !flows || length.is_some_and(|length| length > FLOW_MAX) {
                        return Err(Bad::BodyTooLong);
                    }
                    if long || self.streamed && head.status == 200 {
                        return Ok(Some(Taken::Begun { head, length }));
                    }
                    self.head = Some(head);
                }
                Part::Data(data) => {
                    self.told += data.len();
                    if self.head.is_none() {
                        if self.told > FLOW_MAX && !self.streamed {
                            return Err(Bad::BodyTooLong);
                        }
                        return Ok(Some(Taken::Piece(data)));
                    }
                    self.body.extend(data);
                    if self.body.len() > BODY_MAX {
                        // Its length was not told, and it is not to be kept.
                        let flows = |head: &Head| self.side == Side::Request || head.status == 200;
                        let head = self.head.take().filter(flows).ok_or(Bad::BodyTooLong)?;
                        return Ok(Some(Taken::Begun { head, length: None }));
                    }
                }
                Part::End => return Ok(Some(self.whole())),
            }
        }
        Ok(None)
    }

    /// The other side has ended: the end of a body, where that is how it ends.
    pub fn ended(&mut self, ring: &mut Ring) -> Option<Taken> {
        self.parser
            .ended(ring)
            .then(|| self.next(ring).ok().flatten())
            .flatten()
    }

    /// A body of a told length that is told as it comes has all been told: its end is taken here, and not told again.
    pub fn finish(&mut self) -> bool {
        let over =
            self.head.is_none() && self.body.is_empty() && self.parser.state == State::Length(0);
        if over {
            self.parser.state = State::Head { searched: 0 };
        }
        over
    }

    /// What is collected is a good answer whose length is not told.
    pub fn is_open(&self) -> bool {
        let told = matches!(self.parser.state, State::Length(_) | State::Over);
        !told
            && self.side == Side::Response
            && self.head.as_ref().is_some_and(|head| head.status == 200)
    }

    /// It is told as it comes from now on, and not collected: its head first, if it is open.
    pub fn pass_on(&mut self) -> Option<Taken> {
        self.is_open().then(|| {
            self.head
                .take()
                .map(|head| Taken::Begun { head, length: None })
        })?
    }

    /// The head has come, and not all of the body.
    pub fn has_head(&self) -> bool {
        self.head.is_some()
    }

    pub fn within(&self, ring: &Ring) -> bool {
        self.parser.within(ring)
    }

    /// Whether the other side holds the body back until it is told to go on; told once a message.
    pub fn take_expectation(&mut self) -> bool {
        self.head
            .as_mut()
            .filter(|_| self.body.is_empty())
            .is_some_and(take_expectation)
    }

    /// Whether the connection stays open after the message that was begun last.
    pub fn keep_alive(&self) -> bool {
        self.keep_alive
    }

    fn whole(&mut self) -> Taken {
        let body = std::mem::take(&mut self.body);
        match self.head.take() {
            Some(head) => Taken::Whole(Message { head, body }),
            None => Taken::Over,
        }
    }
}

/// Takes out of a request's head that its client waits to be told to go on; yes if it does.
pub fn take_expectation(head: &mut Head) -> bool {
    let before = head.headers.0.len();
    let expects = |(name, value): &(String, String)| {
        name.eq_ignore_ascii_case("expect") && value.eq_ignore_ascii_case("100-continue")
    };
    head.headers.0.retain(|header| !expects(header));
    head.headers.0.len() < before
}

fn take(ring: &mut Ring, most: usize) -> Option<Vec<u8>> {
    let bytes = ring.peek();
    let count = bytes.len().min(most);
    if count == 0 {
        return None;
    }
    let data = bytes[..count].to_vec();
    ring.consume(count);
    Some(data)
}

fn take_line(ring: &mut Ring) -> Result<Option<Vec<u8>>, Bad> {
    let bytes = ring.peek();
    let Some(end) = bytes
        .iter()
        .take(LINE_MAX + 1)
        .position(|byte| *byte == b'\n')
    else {
        return if bytes.len() > LINE_MAX {
            Err(Bad::Malformed)
        } else {
            Ok(None)
        };
    };
    let Some(line) = bytes[..end].strip_suffix(b"\r") else {
        return Err(Bad::Malformed);
    };
    let line = line.to_vec();
    ring.consume(end + 1);
    Ok(Some(line))
}

fn is_token(text: &str) -> bool {
    !text.is_empty()
        && text
            .bytes()
            .all(|byte| byte.is_ascii_alphanumeric() || b"!#$%&'*+-.^_`|~".contains(&byte))
}

/// Whether a header says where a message ends.
fn frames(name: &str) -> bool {
    ["content-length", "transfer-encoding", "connection"]
        .iter()
        .any(|frame| name.eq_ignore_ascii_case(frame))
}

fn parse_head(side: Side, bytes: &[u8]) -> Result<Head, Bad> {
    // A value that can't be read must not spoil a good response: what is odd of it is skipped below.
    let text = match side {
        Side::Request => Cow::Borrowed(std::str::from_utf8(bytes).map_err(|_| Bad::Malformed)?),
        Side::Response => String::from_utf8_lossy(bytes),
    };
    let mut lines = text.split("\r\n");
    let start = lines.next().unwrap_or_default();
    let mut headers = Headers::default();
    let mut kept = false;
    for line in lines {
        if side == Side::Response && line.starts_with([' ', '\t']) {
            // A folded line goes on with the value before it (RFC 9112, 5.2). What frames a message is never folded.
            let (name, value) = headers.0.last_mut().ok_or(Bad::Malformed)?;
            if frames(name) {
                return Err(Bad::Malformed);
            }
            if kept {
                value.push(' ');
                value.push_str(line.trim_matches([' ', '\t']));
            }
            continue;
        }
        let (name, value) = line.split_once(':').ok_or(Bad::Malformed)?;
        // Blanks between a name and its colon are removed from a response, and make a request bad (RFC 9112, 5.1).
        let name = if side == Side::Response {
            name.trim_end_matches([' ', '\t'])
        } else {
            name
        };
        let value = value.trim_matches([' ', '\t']);
        if !is_token(name) {
            return Err(Bad::Malformed);
        }
        kept = false;
        if value
            .chars()
            .any(|c| c.is_control() && c != '\t' || c == char::REPLACEMENT_CHARACTER)
        {
            // What frames the message must be read, on either side.
            if side == Side::Request || frames(name) {
                return Err(Bad::Malformed);
            }
            continue;
        }
        headers.0.push((name.to_owned(), value.to_owned()));
        kept = true;
    }
    let mut words = start.splitn(3, ' ');
    let mut word = || words.next().ok_or(Bad::Malformed);
    let mut head = Head {
        method: String::new(),
        target: String::new(),
        status: 0,
        headers,
        keep_alive: false,
        chunks: false,
    };
    let version = match side {
        Side::Request => {
            let (method, target, version) = (word()?, word()?, word()?);
            let visible = target.bytes().all(|byte| byte.is_ascii_graphic());
            if !is_token(method) || target.is_empty() || !visible {
                return Err(Bad::Malformed);
            }
            head.method = method.to_owned();
            head.target = target.to_owned();
            version
        }
        Side::Response => {
            let (version, status) = (word()?, word()?);
            let digits = status.len() == 3 && status.bytes().all(|byte| byte.is_ascii_digit());
            head.status = status
                .parse()
                .ok()
                .filter(|code| digits && *code >= 100)
                .ok_or(Bad::Malformed)?;
            version
        }
    };
    head.keep_alive = match version {
        "HTTP/1.1" => !head.headers.has_token("connection", "close"),
        "HTTP/1.0" => false,
        _ => return Err(Bad::Malformed),
    };
    head.chunks = version == "HTTP/1.1";
    Ok(head)
}

/// How the body is framed; a head that says it in two ways is malformed, and so is a request that says it twice. A
/// response that says nothing of it ends with its connection, if it says that this one does; else it is spoilt.
fn framing(side: Side, head: &Head) -> Result<State, Bad> {
    let mut length = None;
    for value in head.headers.all("content-length") {
        let digits = !value.is_empty() && value.bytes().all(|byte| byte.is_ascii_digit());
        let value: usize = value
            .parse()
            .ok()
            .filter(|_| digits)
            .ok_or(Bad::Malformed)?;
        if length.is_some_and(|earlier| earlier != value || side == Side::Request) {
            return Err(Bad::Malformed);
        }
        length = Some(value);
    }
    let mut codings = head.headers.all("transfer-encoding");
    match (codings.next(), codings.next(), length) {
        (Some(coding), None, None) if coding.eq_ignore_ascii_case("chunked") => {
            Ok(State::ChunkSize)
        }
        (Some(_), ..) => Err(Bad::Malformed),
        (None, _, _) if head.status == 204 || head.status == 304 => Ok(State::Length(0)),
        (None, _, Some(length)) => Ok(State::Length(length)),
        (None, _, None) if side == Side::Request => Ok(State::Length(0)),
        (None, _, None) if !head.keep_alive => Ok(State::UntilEnd),
        (None, _, None) => Err(Bad::Malformed),
    }
}

/// What ends the body of a response (RFC 9112, 6.3).
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum BodyDelimiter {
    /// Its length or its last chunk.
    Framing,
    /// Only the end of the connection, so that HTTP does not tell a truncated body from a complete one.
    ConnectionClose,
}

impl BodyDelimiter {
    /// What ends the body of the response with this head.
    #[must_use]
    pub fn of(head: &Head) -> BodyDelimiter {
        match framing(Side::Response, head) {
            Ok(State::UntilEnd) => BodyDelimiter::ConnectionClose,
            _ => BodyDelimiter::Framing,
        }
    }
}

/// Tells a client that holds its body back to go on.
pub const CONTINUE: &[u8] = b"HTTP/1.1 100 Continue\r\n\r\n";
