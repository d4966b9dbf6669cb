//! A minimal HTTP/1.1 connection for tests with full control of the bytes; it does not use the proxy's own parser.
use std::io::{ErrorKind, Read, Write};
use std::net::TcpStream;
use std::time::Duration;

/// Time within which an expected event must occur, also on a slow machine.
pub const TEST_TIMEOUT: Duration = Duration::from_secs(25);

/// A received message.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Message {
    /// Start line and headers, without the empty line.
    pub head: String,
    pub body: Vec<u8>,
    /// Whether all of it was received.
    pub complete: bool,
}

impl Message {
    pub fn status(&self) -> u16 {
        self.head
            .split(' ')
            .nth(1)
            .and_then(|status| status.parse().ok())
            .unwrap_or(0)
    }

    pub fn header(&self, name: &str) -> Option<&str> {
        header(&self.head, name)
    }

    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }
}

pub fn header<'a>(head: &'a str, name: &str) -> Option<&'a str> {
    head.lines().skip(1).find_map(|line| {
        let (known, value) = line.split_once(':')?;
        known.eq_ignore_ascii_case(name).then(|| value.trim())
    })
}

/// A chunk of a chunked body.
#[derive(Debug, PartialEq, Eq)]
pub enum Chunk {
    Data(Vec<u8>),
    Last,
    /// The connection ended before the end of the body.
    Truncated,
}

/// One end of a connection.
pub struct HttpConnection {
    pub stream: TcpStream,
    buffer: Vec<u8>,
}

impl HttpConnection {
    pub fn new(stream: TcpStream) -> Self {
        stream.set_nodelay(true).unwrap();
        HttpConnection {
            stream,
            buffer: Vec::new(),
        }
    }

    /// Sets the timeout of a read; `None`: no timeout.
    pub fn set_read_timeout(&self, timeout: Option<Duration>) {
        self.stream.set_read_timeout(timeout).unwrap();
    }

    /// Writes bytes. Errors are ignored: a closed connection is detected on the next read.
    pub fn send(&mut self, bytes: &[u8]) {
        let _ = self.stream.write_all(bytes);
    }

    /// Reads more bytes into the buffer; returns false at the end of the connection.
    fn fill(&mut self) -> bool {
        let mut bytes = [0; 16 * 1024];
        loop {
            match self.stream.read(&mut bytes) {
                Ok(0) => return false,
                Ok(count) => {
                    self.buffer.extend_from_slice(&bytes[..count]);
                    return true;
                }
                Err(error) if error.kind() == ErrorKind::Interrupted => {}
                Err(error)
                    if matches!(error.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) =>
                {
                    panic!(
                        "read timed out; buffered: {:?}",
                        String::from_utf8_lossy(&self.buffer)
                    )
                }
                Err(_) => return false,
            }
        }
    }

    /// Reads up to and including `delimiter`; `None` if the connection ends before it.
    fn read_until(&mut self, delimiter: &[u8]) -> Option<Vec<u8>> {
        loop {
            if let Some(at) = self
                .buffer
                .windows(delimiter.len())
                .position(|bytes| bytes == delimiter)
            {
                return Some(self.buffer.drain(..at + delimiter.len()).collect());
            }
            if !self.fill() {
                return None;
            }
        }
    }

    fn read_exact(&mut self, count: usize) -> Option<Vec<u8>> {
        while self.buffer.len() < count {
            if !self.fill() {
                return None;
            }
        }
        Some(self.buffer.drain(..count).collect())
    }

    /// Reads a head, without its empty line; `None` if the connection ends before its end.
    pub fn read_head(&mut self) -> Option<String> {
        let bytes = self.read_until(b"\r\n\r\n")?;
        Some(String::from_utf8_lossy(&bytes[..bytes.len() - 4]).replace("\r\n", "\n"))
    }

    pub fn read_chunk(&mut self) -> Chunk {
        let Some(line) = self.read_until(b"\r\n") else {
            return Chunk::Truncated;
        };
        let digits = String::from_utf8_lossy(&line).trim().to_owned();
        let size = usize::from_str_radix(&digits, 16)
            .unwrap_or_else(|_| panic!("`{digits}` is not a chunk size"));
        let Some(data) = self.read_exact(size + 2) else {
            return Chunk::Truncated;
        };
        assert!(data.ends_with(b"\r\n"), "a chunk ends with CRLF");
        if size == 0 {
            return Chunk::Last;
        }
        Chunk::Data(data[..size].to_vec())
    }

    /// Reads the next message; `None` if the connection ends before the end of its head.
    pub fn read_message(&mut self) -> Option<Message> {
        let head = self.read_head()?;
        let is_response = head.starts_with("HTTP/");
        let mut message = Message {
            head,
            body: Vec::new(),
            complete: true,
        };
        if message.header("transfer-encoding").is_some() {
            loop {
                match self.read_chunk() {
                    Chunk::Data(data) => message.body.extend(data),
                    Chunk::Last => break,
                    Chunk::Truncated => {
                        message.complete = false;
                        break;
                    }
                }
            }
        } else if let Some(length) = message.header("content-length") {
            let length: usize = length.parse().expect("a length");
            while self.buffer.len() < length {
                if !self.fill() {
                    message.complete = false;
                    break;
                }
            }
            let count = length.min(self.buffer.len());
            message.body = self.buffer.drain(..count).collect();
        } else if is_response && message.status() >= 200 {
            while self.fill() {}
            message.body = std::mem::take(&mut self.buffer);
        }
        Some(message)
    }

    /// Waits for the end of the connection; returns the remaining bytes.
    pub fn read_to_end(&mut self) -> Vec<u8> {
        while self.fill() {}
        std::mem::take(&mut self.buffer)
    }

    /// Closes the connection with a reset.
    pub fn reset(self) {
        rustix::net::sockopt::set_socket_linger(&self.stream, Some(Duration::ZERO)).unwrap();
    }
}
