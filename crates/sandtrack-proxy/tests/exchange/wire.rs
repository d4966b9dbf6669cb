//! HTTP/1.1 by hand: what is read and written is seen byte by byte, and nothing of the proxy's own parser is used.
use std::io::{ErrorKind, Read, Write};
use std::net::TcpStream;
use std::time::Duration;

/// What must come, comes within this time on any machine.
pub const PATIENCE: Duration = Duration::from_secs(25);

/// A message as it came.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Message {
    /// Start line and headers, without the empty line.
    pub head: String,
    pub body: Vec<u8>,
    /// All of it came.
    pub whole: bool,
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

/// A piece of a chunked body.
#[derive(Debug, PartialEq, Eq)]
pub enum Chunk {
    Data(Vec<u8>),
    Last,
    /// The connection ended within the body.
    Cut,
}

/// One end of a connection.
pub struct Wire {
    pub stream: TcpStream,
    held: Vec<u8>,
}

impl Wire {
    pub fn new(stream: TcpStream) -> Self {
        stream.set_nodelay(true).unwrap();
        Wire {
            stream,
            held: Vec::new(),
        }
    }

    /// Reading takes this long at most; `None`: it waits for ever.
    pub fn patience(&self, patience: Option<Duration>) {
        self.stream.set_read_timeout(patience).unwrap();
    }

    /// Writes; the other side may be gone, which shows in what is read.
    pub fn send(&mut self, bytes: &[u8]) {
        let _ = self.stream.write_all(bytes);
    }

    /// Reads more; no when the other side has ended.
    fn fill(&mut self) -> bool {
        let mut bytes = [0; 16 * 1024];
        loop {
            match self.stream.read(&mut bytes) {
                Ok(0) => return false,
                Ok(count) => {
                    self.held.extend_from_slice(&bytes[..count]);
                    return true;
                }
                Err(error) if error.kind() == ErrorKind::Interrupted => {}
                Err(error)
                    if matches!(error.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) =>
                {
                    panic!(
                        "nothing came in time; held: {:?}",
                        String::from_utf8_lossy(&self.held)
                    )
                }
                Err(_) => return false,
            }
        }
    }

    /// All up to and with `mark`; `None` when the connection ends before.
    fn read_until(&mut self, mark: &[u8]) -> Option<Vec<u8>> {
        loop {
            if let Some(at) = self
                .held
                .windows(mark.len())
                .position(|bytes| bytes == mark)
            {
                return Some(self.held.drain(..at + mark.len()).collect());
            }
            if !self.fill() {
                return None;
            }
        }
    }

    fn exactly(&mut self, count: usize) -> Option<Vec<u8>> {
        while self.held.len() < count {
            if !self.fill() {
                return None;
            }
        }
        Some(self.held.drain(..count).collect())
    }

    /// A head without its empty line; `None` when the connection ends before all of it came.
    pub fn head(&mut self) -> Option<String> {
        let bytes = self.read_until(b"\r\n\r\n")?;
        Some(String::from_utf8_lossy(&bytes[..bytes.len() - 4]).replace("\r\n", "\n"))
    }

    pub fn read_chunk(&mut self) -> Chunk {
        let Some(line) = self.read_until(b"\r\n") else {
            return Chunk::Cut;
        };
        let digits = String::from_utf8_lossy(&line).trim().to_owned();
        let size =
            usize::from_str_radix(&digits, 16).unwrap_or_else(|_| panic!("`{digits}` is no size"));
        let Some(data) = self.exactly(size + 2) else {
            return Chunk::Cut;
        };
        assert!(data.ends_with(b"\r\n"), "a chunk ends with its line");
        if size == 0 {
            return Chunk::Last;
        }
        Chunk::Data(data[..size].to_vec())
    }

    /// The next message; `None` when the connection ends before one has its head.
    pub fn message(&mut self) -> Option<Message> {
        let head = self.head()?;
        let answer = head.starts_with("HTTP/");
        let mut message = Message {
            head,
            body: Vec::new(),
            whole: true,
        };
        if message.header("transfer-encoding").is_some() {
            loop {
                match self.read_chunk() {
                    Chunk::Data(data) => message.body.extend(data),
                    Chunk::Last => break,
                    Chunk::Cut => {
                        message.whole = false;
                        break;
                    }
                }
            }
        } else if let Some(length) = message.header("content-length") {
            let length: usize = length.parse().expect("a length");
            while self.held.len() < length {
                if !self.fill() {
                    message.whole = false;
                    break;
                }
            }
            let count = length.min(self.held.len());
            message.body = self.held.drain(..count).collect();
        } else if answer && message.status() >= 200 {
            while self.fill() {}
            message.body = std::mem::take(&mut self.held);
        }
        Some(message)
    }

    /// Waits until the other side has ended; what still came before.
    pub fn rest(&mut self) -> Vec<u8> {
        while self.fill() {}
        std::mem::take(&mut self.held)
    }

    /// Closes so that the other side sees a reset.
    pub fn reset(self) {
        rustix::net::sockopt::set_socket_linger(&self.stream, Some(Duration::ZERO)).unwrap();
    }
}
