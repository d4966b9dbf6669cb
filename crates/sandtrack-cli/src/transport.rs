//! One attempt over one connection, with blocking sockets of the standard library.
use crate::Millis;
use sandtrack_net::http::{Parser, Part, Side, READ_RING};
use sandtrack_net::ring::Ring;
use sandtrack_sidecar_core::message::Message;
use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

/// Longest response body: more than the configuration of the largest deployment.
const MAX_RESPONSE_BYTES: usize = 64 << 20;
/// Shortest time-out that is passed to a socket, which accepts no time-out of zero.
const MIN_TIMEOUT_MS: Millis = 1.0;

/// Why an attempt got no response.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum TransportError {
    /// There was no connection, so nothing was sent.
    #[error("no connection: {0}")]
    NotConnected(ErrorKind),
    /// No byte arrived for as long as the time-out.
    #[error("silence")]
    TimedOut,
    /// The connection was closed or reset within the response.
    #[error("the connection ended before the whole answer")]
    ConnectionClosed,
    /// What arrived is no HTTP response, or is too long.
    #[error("what came is no answer")]
    InvalidResponse,
}

/// Sends `request` to `address` and reads the response. `timeout` is the longest time without a byte.
///
/// # Errors
/// Where no complete response arrived.
pub fn exchange(
    address: SocketAddr,
    request: &[u8],
    timeout: Millis,
) -> Result<Message, TransportError> {
    let mut stream =
        connect(address, timeout).map_err(|error| TransportError::NotConnected(error.kind()))?;
    // The server may respond before it has read the complete request (413), and that response counts.
    let written = stream.write_all(request);
    let mut reader = ResponseReader::new();
    let mut buffer = vec![0; READ_RING];
    loop {
        if let Some(response) = reader.parse()? {
            return Ok(response);
        }
        let capacity = reader.ring.room().min(buffer.len());
        let count = match stream.read(&mut buffer[..capacity]) {
            Ok(count) => count,
            Err(error) if error.kind() == ErrorKind::Interrupted => continue,
            Err(error) if matches!(error.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => {
                return Err(TransportError::TimedOut);
            }
            Err(_) => return Err(TransportError::ConnectionClosed),
        };
        if count == 0 {
            let response = if written.is_ok() {
                reader.finish()?
            } else {
                None
            };
            return response.ok_or(TransportError::ConnectionClosed);
        }
        if !reader.ring.push(&buffer[..count]) {
            return Err(TransportError::InvalidResponse);
        }
    }
}

fn connect(address: SocketAddr, timeout: Millis) -> std::io::Result<TcpStream> {
    let timeout = Duration::from_secs_f64(timeout.max(MIN_TIMEOUT_MS) / 1000.0);
    let stream = TcpStream::connect_timeout(&address, timeout)?;
    stream.set_read_timeout(Some(timeout))?;
    stream.set_write_timeout(Some(timeout))?;
    Ok(stream)
}

/// Assembles a response from the bytes that arrive.
struct ResponseReader {
    parser: Parser,
    ring: Ring,
    response: Option<Message>,
}

impl ResponseReader {
    fn new() -> ResponseReader {
        ResponseReader {
            parser: Parser::new(Side::Response),
            ring: Ring::new(READ_RING),
            response: None,
        }
    }

    /// Parses the bytes in the ring; the response once it is complete.
    fn parse(&mut self) -> Result<Option<Message>, TransportError> {
        loop {
            let part = self
                .parser
                .next(&mut self.ring)
                .map_err(|_| TransportError::InvalidResponse)?;
            let Some(part) = part else {
                return Ok(None);
            };
            match (part, &mut self.response) {
                (Part::Head(head), _) => {
                    let body = Vec::new();
                    self.response = Some(Message { head, body });
                }
                (Part::Data(data), Some(response))
                    if response.body.len() + data.len() <= MAX_RESPONSE_BYTES =>
                {
                    response.body.extend(data);
                }
                (Part::Data(_), _) => return Err(TransportError::InvalidResponse),
                (Part::End, response) => return Ok(response.take()),
            }
        }
    }

    /// The response where the end of the connection completes it.
    fn finish(&mut self) -> Result<Option<Message>, TransportError> {
        if self.parser.ended(&self.ring) {
            self.parse()
        } else {
            Ok(None)
        }
    }
}
