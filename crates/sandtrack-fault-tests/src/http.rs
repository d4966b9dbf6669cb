//! Messages on the rig's own connections, by the sidecar's parser: one whole message at a time, with a limit on the wait. It
//! owns no connection, and must never judge what it reads.
use async_io::{Async, Timer};
use futures_lite::future;
use sandtrack_net::http::{Collector, Side, Taken, READ_RING, WRITE_RING};
use sandtrack_net::ring::Ring;
use sandtrack_net::socket::{no_delay, read_into, write_all};
use sandtrack_sidecar_core::message::{self, Message};
use std::net::{SocketAddr, SocketAddrV4, TcpStream};
use std::time::Duration;

pub struct Wire {
    pub stream: Async<TcpStream>,
    input: Ring,
    collector: Collector,
    /// A part of the message that is read now has come.
    has_begun: bool,
}

impl Wire {
    pub fn new(stream: Async<TcpStream>, side: Side) -> Self {
        no_delay(&stream);
        Wire {
            stream,
            input: Ring::new(READ_RING),
            collector: Collector::new(side),
            has_begun: false,
        }
    }

    pub async fn connect(to: SocketAddrV4) -> Option<Self> {
        let stream = Async::<TcpStream>::connect(SocketAddr::V4(to)).await.ok()?;
        Some(Wire::new(stream, Side::Response))
    }

    /// The next whole message; `None` at the end of the connection, or where what came is none. A long body is put together.
    pub async fn read(&mut self) -> Option<Message> {
        let mut begun: Option<Message> = None;
        self.has_begun = false;
        loop {
            match self.collector.next(&mut self.input).ok()? {
                Some(Taken::Whole(message)) => return Some(message),
                Some(Taken::Begun { head, .. }) => {
                    begun = Some(Message {
                        head,
                        body: Vec::new(),
                    });
                }
                Some(Taken::Piece(bytes)) => {
                    begun.as_mut()?.body.extend(bytes);
                    if self.collector.finish() {
                        return begun;
                    }
                }
                Some(Taken::Over) => return begun,
                None => {
                    let read = read_into(&self.stream, &mut self.input).await;
                    self.has_begun |= begun.is_some() || !self.input.is_empty();
                    if read.ok()? == 0 {
                        return self.collector.ended(&mut self.input).and(begun);
                    }
                }
            }
        }
    }

    /// Whether a part of the message had come that was read last, and was not whole.
    pub fn has_begun(&self) -> bool {
        self.has_begun
    }

    /// Bytes have come that were not read as part of a message.
    pub fn has_surplus(&self) -> bool {
        !self.input.is_empty()
            || self
                .stream
                .get_ref()
                .peek(&mut [0])
                .is_ok_and(|count| count > 0)
    }

    /// The other end has closed.
    pub fn is_over(&self) -> bool {
        match self.stream.get_ref().peek(&mut [0]) {
            Ok(count) => count == 0,
            Err(error) => error.kind() != std::io::ErrorKind::WouldBlock,
        }
    }

    pub async fn write(&self, bytes: &[u8]) -> bool {
        let mut output = Ring::new(WRITE_RING.max(bytes.len()));
        output.push(bytes) && write_all(&self.stream, &mut output).await.is_ok()
    }
}

pub async fn within<T>(
    time: Duration,
    work: impl std::future::Future<Output = Option<T>>,
) -> Option<T> {
    let late = async {
        Timer::after(time).await;
        None
    };
    future::or(work, late).await
}

/// One call on a connection of its own.
pub async fn call(
    to: SocketAddrV4,
    method: &str,
    target: &str,
    time: Duration,
) -> Option<(u16, Vec<u8>)> {
    let host = to.to_string();
    let bytes = message::request(method, target, [("Host", host.as_str())].into_iter(), b"");
    let call = async {
        let mut wire = Wire::connect(to).await?;
        if !wire.write(&bytes).await {
            return None;
        }
        let answer = wire.read().await?;
        Some((answer.head.status, answer.body))
    };
    within(time, call).await
}
