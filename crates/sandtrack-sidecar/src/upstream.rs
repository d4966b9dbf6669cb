//! Upstream connections: one task each. It owns its socket and buffers, writes what it is ordered to and tells the
//! whole answer; it must never write a message twice, and says of each break whether the last byte was written.
use crate::net::{next, ordered_closed, unless_closed, Inputs, Next, Order, Orders};
use async_io::Async;
use futures_lite::future;
use sandtrack_net::http::{self, Collector, Side, Taken};
use sandtrack_net::ring::Ring;
use sandtrack_net::socket::{no_delay, read_into, write_within};
use sandtrack_sidecar_core::reducer::{ConnId, Input, Written};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

/// An upstream that takes no bytes for this long is broken.
const WRITE_PATIENCE: Duration = Duration::from_secs(5);

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
    conn: ConnId,
    stream: Async<TcpStream>,
    orders: &Orders,
    inputs: &Inputs,
    written: &mut Written,
) {
    no_delay(&stream);
    inputs.send(Input::UpstreamConnected { conn });
    let mut input = Ring::new(http::READ_RING);
    let mut output = Ring::new(http::WRITE_RING);
    let mut collector = Collector::new(Side::Response);
    let mut awaiting = false;
    // A part of the request's body is still to come.
    let mut asking = false;
    // Its answer flows ...
    let mut flows = false;
    // ... and a piece of it was told, and the next is not wanted yet.
    let mut paused = false;
    loop {
        let count = match next(&stream, &mut input, orders, !paused).await {
            Next::Order(Order::Ask {
                bytes,
                streamed,
                more,
            }) => {
                // Its client had left before that was read, or leaves in this moment: nothing is written. No other order
                // follows this one before something of it is told.
                if matches!(orders.try_recv(), Ok(Order::Withdraw | Order::Close)) {
                    return;
                }
                // The other side may have closed it while it stood idle: nothing is written then, and the
                // attempt may still go out on another connection.
                if future::poll_once(read_into(&stream, &mut input))
                    .await
                    .is_some()
                {
                    return;
                }
                written.begun += 1;
                if !write(conn, &stream, &mut output, &bytes, orders, inputs, !more).await {
                    return;
                }
                written.whole += u32::from(!more);
                (awaiting, asking) = (true, more);
                collector.streamed = streamed;
                continue;
            }
            Next::Order(Order::Pass { bytes, last }) if asking => {
                if !write(conn, &stream, &mut output, &bytes, orders, inputs, last).await {
                    return;
                }
                written.whole += u32::from(last);
                asking = !last;
                continue;
            }
            // What was read before may hold the next piece already.
            Next::Order(Order::More) if paused => {
                paused = false;
                None
            }
            Next::Order(Order::Begin) if awaiting => {
                if let Some(Taken::Begun { head, length }) = collector.pass_on() {
                    (paused, flows) = (true, true);
                    let at = inputs.clock.now();
                    inputs.send(Input::UpstreamBegan {
                        conn,
                        at,
                        head,
                        length,
                    });
                }
                continue;
            }
            Next::Order(Order::Close) | Next::Broken => return,
            Next::Order(_) => continue,
            Next::Read(count) => Some(count),
        };
        let at = inputs.clock.now();
        if !awaiting {
            // Nothing was asked for: it would be read as the answer to what is asked next.
            return;
        }
        let taken = match count {
            Some(0) => match collector.ended(&mut input) {
                Some(taken) => Ok(Some(taken)),
                None => return,
            },
            _ => collector.next(&mut input),
        };
        match taken {
            // An interim response is no part of the answer: that may still take its time.
            Ok(None) => {
                if !flows && collector.within(&input) {
                    inputs.send(Input::UpstreamPartly {
                        conn,
                        open: collector.is_open(),
                    });
                }
            }
            Ok(Some(taken)) => {
                // A body of a told length is over with its last piece, which its client may leave right behind.
                let last = matches!(taken, Taken::Piece(_)) && collector.finish();
                // What came behind the answer belongs to nothing, and one that came ahead of the request's end leaves the
                // rest of that behind: the connection is of no further use.
                let open = collector.keep_alive() && !collector.within(&input) && !asking;
                match taken {
                    Taken::Begun { head, length } => {
                        (paused, flows) = (true, true);
                        inputs.send(Input::UpstreamBegan {
                            conn,
                            at,
                            head,
                            length,
                        });
                        continue;
                    }
                    Taken::Piece(bytes) => {
                        paused = !last;
                        inputs.send(Input::UpstreamPiece { conn, bytes });
                        if !last {
                            continue;
                        }
                        inputs.send(Input::UpstreamOver {
                            conn,
                            at,
                            keep_alive: open,
                        });
                    }
                    Taken::Whole(mut message) => {
                        message.head.keep_alive = open;
                        inputs.send(Input::UpstreamAnswered { conn, at, message });
                    }
                    Taken::Over => inputs.send(Input::UpstreamOver {
                        conn,
                        at,
                        keep_alive: open,
                    }),
                }
                if !open {
                    return;
                }
                (awaiting, flows) = (false, false);
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

/// Writes a request, or a part of it, and tells so; no when the connection broke, takes nothing, or is ordered closed.
async fn write(
    conn: ConnId,
    stream: &Async<TcpStream>,
    output: &mut Ring,
    bytes: &[u8],
    orders: &Orders,
    inputs: &Inputs,
    last: bool,
) -> bool {
    if !output.push(bytes) {
        return false;
    }
    let closed = async {
        ordered_closed(orders).await;
        false
    };
    let wrote = future::or(write_within(stream, output, WRITE_PATIENCE), closed).await;
    if wrote {
        inputs.send(if last {
            Input::UpstreamWrote { conn }
        } else {
            Input::UpstreamTook { conn }
        });
    }
    wrote
}
