//! Messages of HTTP/1.1 as plain data, and their written form. It owns the framing of what is written, and must never read
//! bytes, hold a connection or judge a message: the front's parser does.
use std::borrow::Cow;

#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Headers(pub Vec<(String, String)>);

impl Headers {
    pub fn get(&self, name: &str) -> Option<&str> {
        self.0
            .iter()
            .find(|(key, _)| key.eq_ignore_ascii_case(name))
            .map(|(_, value)| value.as_str())
    }

    pub fn all<'a>(&'a self, name: &'a str) -> impl Iterator<Item = &'a str> {
        let same = move |entry: &&(String, String)| entry.0.eq_ignore_ascii_case(name);
        self.0.iter().filter(same).map(|(_, value)| value.as_str())
    }

    pub fn has_token(&self, name: &str, token: &str) -> bool {
        self.all(name)
            .flat_map(|value| value.split(','))
            .any(|word| word.trim().eq_ignore_ascii_case(token))
    }

    /// Those that concern the two ends and not one connection, in their order.
    pub fn end_to_end(&self) -> impl Iterator<Item = (&str, &str)> {
        const HOP: [&str; 10] = [
            "connection",
            "keep-alive",
            "proxy-connection",
            "proxy-authenticate",
            "proxy-authorization",
            "te",
            "trailer",
            "transfer-encoding",
            "upgrade",
            "content-length",
        ];
        let hop = |name: &str| HOP.iter().any(|hop| name.eq_ignore_ascii_case(hop));
        let named = |name: &str| self.has_token("connection", name);
        let kept = self
            .0
            .iter()
            .filter(move |(name, _)| !hop(name) && !named(name));
        kept.map(|(name, value)| (name.as_str(), value.as_str()))
    }
}

#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Head {
    /// A request's method and target; empty in a response.
    pub method: String,
    pub target: String,
    /// A response's status; 0 in a request.
    pub status: u16,
    pub headers: Headers,
    /// The connection stays open after this message.
    pub keep_alive: bool,
    /// HTTP/1.1: the other side understands chunks.
    pub chunks: bool,
}

#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Message {
    pub head: Head,
    pub body: Vec<u8>,
}

/// A target in the origin form: the absolute form names the scheme and the address as well (RFC 9112, 3.2.2).
pub fn origin_form(target: &str) -> Cow<'_, str> {
    let scheme = target
        .get(..7)
        .filter(|scheme| scheme.eq_ignore_ascii_case("http://"));
    let Some(rest) = scheme.map(|_| &target[7..]) else {
        return Cow::Borrowed(target);
    };
    match rest.find(['/', '?']) {
        Some(at) if rest[at..].starts_with('/') => Cow::Borrowed(&rest[at..]),
        Some(at) => Cow::Owned(format!("/{}", &rest[at..])),
        None => Cow::Borrowed("/"),
    }
}

pub fn request<'a>(
    method: &str,
    target: &str,
    headers: impl Iterator<Item = (&'a str, &'a str)>,
    body: &[u8],
) -> Vec<u8> {
    let mut bytes = request_head_of(method, target, headers, body.len());
    bytes.extend_from_slice(body);
    bytes
}

/// The head of a request whose body of this length follows whole.
pub fn request_head_of<'a>(
    method: &str,
    target: &str,
    headers: impl Iterator<Item = (&'a str, &'a str)>,
    length: usize,
) -> Vec<u8> {
    // A method that takes no body says nothing of its length.
    let length = (length > 0 || !matches!(method, "GET" | "DELETE")).then_some(length);
    write(format!("{method} {target} HTTP/1.1\r\n"), headers, length)
}

pub fn response<'a>(
    status: u16,
    headers: impl Iterator<Item = (&'a str, &'a str)>,
    body: &[u8],
    close: bool,
) -> Vec<u8> {
    let mut bytes = response_head(status, headers, Flow::Length(body.len()), close);
    bytes.extend_from_slice(body);
    bytes
}

fn reason(status: u16) -> &'static str {
    match status {
        200 => "OK",
        400 => "Bad Request",
        405 => "Method Not Allowed",
        408 => "Request Timeout",
        409 => "Conflict",
        413 => "Content Too Large",
        431 => "Request Header Fields Too Large",
        502 => "Bad Gateway",
        503 => "Service Unavailable",
        504 => "Gateway Timeout",
        _ => "",
    }
}

/// How a body that follows its head is framed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Flow {
    Length(usize),
    Chunks,
    /// It ends with the connection.
    UntilEnd,
}

impl Flow {
    /// A piece of the body as it is written.
    pub fn piece(self, data: &[u8]) -> Vec<u8> {
        match self {
            Flow::Chunks => chunk(data),
            Flow::Length(_) | Flow::UntilEnd => data.to_vec(),
        }
    }

    /// What ends the body.
    pub fn end(self) -> Vec<u8> {
        match self {
            Flow::Chunks => chunk(b""),
            Flow::Length(_) | Flow::UntilEnd => Vec::new(),
        }
    }

    fn headers(self) -> (Option<usize>, Option<(&'static str, &'static str)>) {
        match self {
            Flow::Length(length) => (Some(length), None),
            Flow::Chunks => (None, Some(("Transfer-Encoding", "chunked"))),
            Flow::UntilEnd => (None, None),
        }
    }
}

/// The head of a response whose body follows.
pub fn response_head<'a>(
    status: u16,
    headers: impl Iterator<Item = (&'a str, &'a str)>,
    flow: Flow,
    close: bool,
) -> Vec<u8> {
    let (length, coding) = flow.headers();
    let headers = headers
        .chain(coding)
        .chain(close.then_some(("Connection", "close")));
    write(
        format!("HTTP/1.1 {status} {}\r\n", reason(status)),
        headers,
        length,
    )
}

/// The head of a request whose body follows.
pub fn request_head<'a>(
    method: &str,
    target: &str,
    headers: impl Iterator<Item = (&'a str, &'a str)>,
    flow: Flow,
) -> Vec<u8> {
    let (length, coding) = flow.headers();
    write(
        format!("{method} {target} HTTP/1.1\r\n"),
        headers.chain(coding),
        length,
    )
}

/// One chunk; an empty one ends the body.
pub fn chunk(data: &[u8]) -> Vec<u8> {
    let mut bytes = format!("{:x}\r\n", data.len()).into_bytes();
    bytes.extend_from_slice(data);
    bytes.extend_from_slice(b"\r\n");
    bytes
}

fn write<'a>(
    start: String,
    headers: impl Iterator<Item = (&'a str, &'a str)>,
    length: Option<usize>,
) -> Vec<u8> {
    let mut text = start;
    for (name, value) in headers {
        for piece in [name, ": ", value, "\r\n"] {
            text.push_str(piece);
        }
    }
    if let Some(length) = length {
        text.push_str(&format!("Content-Length: {length}\r\n"));
    }
    text.push_str("\r\n");
    text.into_bytes()
}
