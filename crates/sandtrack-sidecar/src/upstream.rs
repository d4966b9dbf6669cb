//! Upstream connections: one task each. It owns its socket and buffers, writes what it is ordered to and tells the
//! whole answer; it must never write a message twice, and says of each break whether the last byte was written.
use crate::http::{self, Collector, Side, Taken};
use crate::net::{
    next, no_delay, ordered_closed, read_into, unless_closed, write_all, Inputs, Next, Order, Orders,
};
use crate::reducer::{ConnId, Input};
use crate::ring::Ring;
use async_io::Async;
use futures_lite::future;
use std::net::{SocketAddr, TcpStream};

/// How many messages a connection began to write, and how many it wrote to the last byte.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Written {
    pub begun: u32,
    pub whole: u32,
}

/// Connects, and carries one message after another until the connection ends or is ordered closed.
pub async fn run(conn: ConnId, address: SocketAddr, orders: Orders, inputs: Inputs) {
    let mut written = Written::default();
    if let Some(Ok(stream)) = unless_closed(&orders, Async::<TcpStream>::connect(address)).await {
        carry(conn, stream, &orders, &inputs, &mut written).await;
    }
    inputs.send(Input::UpstreamClosed { conn, written });
}

/// The socket is closed when it returns.
async fn carry(
    conn: ConnId, stream: Async<TcpStream>, orders: &Orders, inputs: &Inputs, written: &mut Written,
) {
    no_delay(&stream);
    inputs.send(Input::UpstreamConnected { conn });
    let mut input = Ring::new(http::READ_RING);
    let mut output = Ring::new(http::WRITE_RING);
    let mut collector = Collector::new(Side::Response);
    let mut awaiting = false;
    // A part of the answer has come, and the rest is due.
    let mut begun = false;
    // A piece of a streamed answer was told, and the next is not wanted yet.
    let mut paused = false;
    loop {
        let count = match next(&stream, &mut input, orders, !paused).await {
            Next::Order(Order::Ask { bytes, streamed }) => {
                // The other side may have closed it while it stood idle: nothing is written then, and the
                // attempt may still go out on another connection.
                if future::poll_once(read_into(&stream, &mut input)).await.is_some() {
                    return;
                }
                if !output.push(&bytes) {
                    return;
                }
                written.begun += 1;
                let write = async { write_all(&stream, &mut output).await.is_ok() };
                let closed = async {
                    ordered_closed(orders).await;
                    false
                };
                if !future::or(write, closed).await {
                    return;
                }
                written.whole += 1;
                inputs.send(Input::UpstreamWrote { conn });
                (awaiting, begun) = (true, false);
                collector.streamed = streamed;
                continue;
            }
            // What was read before may hold the next piece already.
            Next::Order(Order::More) if paused => {
                paused = false;
                None
            }
            Next::Order(Order::Close) | Next::Broken => return,
            Next::Order(_) => continue,
            Next::Read(count) => Some(count),
        };
        let at = inputs.clock.now();
        if count == Some(0) || !awaiting {
            // The end, or nothing that was asked for: it would be read as the answer to what is asked next.
            return;
        }
        match collector.next(&mut input) {
            // An interim response is no part of the answer: that may still take its time.
            Ok(None) => {
                if !begun && !collector.streamed && collector.within(&input) {
                    begun = true;
                    inputs.send(Input::UpstreamPartly { conn });
                }
            }
            Ok(Some(taken)) => {
                // What came behind the answer belongs to nothing: the connection is of no further use.
                let open = collector.keep_alive() && !collector.within(&input);
                match taken {
                    Taken::Begun(head) => {
                        paused = true;
                        inputs.send(Input::UpstreamBegan { conn, head });
                        continue;
                    }
                    Taken::Piece(bytes) => {
                        paused = true;
                        inputs.send(Input::UpstreamPiece { conn, bytes });
                        continue;
                    }
                    Taken::Whole(mut message) => {
                        message.head.keep_alive = open;
                        inputs.send(Input::UpstreamAnswered { conn, at, message });
                    }
                    Taken::Over => inputs.send(Input::UpstreamOver { conn, at, keep_alive: open }),
                }
                if !open {
                    return;
                }
                awaiting = false;
            }
            // Not HTTP, or too long: the upstream is there, and what was asked may have run.
            Err(bad) => {
                tracing::debug!(conn, ?bad, "answer spoilt");
                inputs.send(Input::UpstreamSpoilt { conn });
                return;
            }
        }
    }
}
