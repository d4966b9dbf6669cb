//! One call over one connection: blocking sockets of the standard library. It owns that socket.
use crate::Millis;
use sandtrack_net::http::{Parser, Part, Side, READ_RING};
use sandtrack_net::ring::Ring;
use sandtrack_sidecar_core::message::Message;
use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

/// An answer may be this long: more than the configuration of the largest deployment.
const ANSWER_MAX: usize = 64 << 20;

/// Why there is no answer.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum TransportError {
    /// Nothing was sent.
    #[error("no connection: {0}")]
    NotConnected(ErrorKind),
    #[error("silence")]
    Silent,
    #[error("the connection ended before the whole answer")]
    Broken,
    #[error("what came is no answer")]
    Garbled,
}

/// Sends `request` to `address` and reads the answer; `silence` is the longest time without a byte.
///
/// # Errors
/// Where no whole answer came.
pub fn exchange(
    address: SocketAddr,
    request: &[u8],
    silence: Millis,
) -> Result<Message, TransportError> {
    let silence = Duration::from_secs_f64(silence.max(1.0) / 1000.0);
    let not_connected = |error: std::io::Error| TransportError::NotConnected(error.kind());
    let mut stream = TcpStream::connect_timeout(&address, silence).map_err(not_connected)?;
    stream
        .set_read_timeout(Some(silence))
        .map_err(not_connected)?;
    stream
        .set_write_timeout(Some(silence))
        .map_err(not_connected)?;
    // An answer may come before the request was taken whole (413), and is read all the same.
    let written = stream.write_all(request);
    let mut answer = Answer::default();
    let (mut parser, mut ring) = (Parser::new(Side::Response), Ring::new(READ_RING));
    let mut bytes = vec![0; READ_RING];
    loop {
        if let Some(message) = answer.take(&mut parser, &mut ring)? {
            return Ok(message);
        }
        let room = ring.room().min(bytes.len());
        let count = match stream.read(&mut bytes[..room]) {
            Ok(count) => count,
            Err(error) if error.kind() == ErrorKind::Interrupted => continue,
            Err(error) if matches!(error.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => {
                return Err(TransportError::Silent);
            }
            Err(_) => return Err(TransportError::Broken),
        };
        if count == 0 {
            let over = written.is_ok() && parser.ended(&ring);
            let message = if over {
                answer.take(&mut parser, &mut ring)?
            } else {
                None
            };
            return message.ok_or(TransportError::Broken);
        }
        if !ring.push(&bytes[..count]) {
            return Err(TransportError::Garbled);
        }
    }
}

/// An answer as it comes.
#[derive(Default)]
struct Answer {
    message: Option<Message>,
}

impl Answer {
    /// Takes what has come; the whole answer once it is there.
    fn take(
        &mut self,
        parser: &mut Parser,
        ring: &mut Ring,
    ) -> Result<Option<Message>, TransportError> {
        while let Some(part) = parser.next(ring).map_err(|_| TransportError::Garbled)? {
            match (part, &mut self.message) {
                (Part::Head(head), _) => {
                    self.message = Some(Message {
                        head,
                        body: Vec::new(),
                    });
                }
                (Part::Data(data), Some(message))
                    if message.body.len() + data.len() <= ANSWER_MAX =>
                {
                    message.body.extend(data);
                }
                (Part::Data(_), _) => return Err(TransportError::Garbled),
                (Part::End, message) => return Ok(message.take()),
            }
        }
        Ok(None)
    }
}
