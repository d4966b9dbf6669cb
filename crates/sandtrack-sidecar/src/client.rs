//! The client side: the listener and one task a client connection. It owns those sockets and their buffers, tells
//! the reducer each request, whole or, if it is large, piece by piece as it is wanted, and must never answer of its own
//! accord nor read a second request while one is unanswered.
use crate::net::{next, Inputs, Next, Order, Orders};
use async_io::{Async, Timer};
use futures_lite::future;
use sandtrack_net::http::{self, Collector, Side, Taken};
use sandtrack_net::ring::Ring;
use sandtrack_net::socket::{has_left, linger, no_delay, read_into, write_within, ACCEPT_PAUSE};
use sandtrack_sidecar_core::reducer::{ConnId, Input};
use std::future::Future;
use std::net::{TcpListener, TcpStream};
use std::time::Duration;

/// A client that takes no bytes for this long is gone.
const WRITE_PATIENCE: Duration = Duration::from_secs(5);
/// After a bad request, which is answered at once, a connection is read on after this long: one that sends the same again
/// without end takes no more turns than others.
const NEXT_TURN: Duration = Duration::from_millis(50);
/// How often it is looked whether a client is still there from which nothing is read.
const LOOK_EVERY: Duration = Duration::from_millis(100);
/// Accepts until told to stop, then takes what is already waiting, unless that is left to another process, and closes its
/// end of the listener.
pub async fn accept(
    listener: Async<TcpListener>,
    stop: Orders,
    inputs: Inputs,
    mut opened: impl FnMut(Async<TcpStream>),
) {
    loop {
        match unless_stopped(&stop, listener.accept()).await {
            Ok(Ok((stream, _))) => {
                opened(stream);
                // Hundreds may come at once: the others have their turn in between.
                future::yield_now().await;
            }
            Ok(Err(error)) => {
                // Out of descriptors, or a connection that broke while it waited: the listener lives on.
                tracing::debug!(%error, "accept failed");
                inputs.send(Input::AcceptFailed);
                Timer::after(ACCEPT_PAUSE).await;
            }
            Err(true) => break,
            Err(false) => {
                take_waiting(&listener, &mut opened).await;
                break;
            }
        }
    }
    drop(listener);
    inputs.send(Input::AcceptStopped);
}

/// The outcome of the work, or, once it is to stop, whether what waits is another process's.
async fn unless_stopped<T>(stop: &Orders, work: impl Future<Output = T>) -> Result<T, bool> {
    let stopped = async { Err(matches!(stop.recv().await, Ok(Order::Retire))) };
    future::or(stopped, async { Ok(work.await) }).await
}

async fn take_waiting(listener: &Async<TcpListener>, opened: &mut impl FnMut(Async<TcpStream>)) {
    while let Some(Ok((stream, _))) = future::poll_once(listener.accept()).await {
        opened(stream);
    }
}

/// Serves one client connection until it ends.
pub async fn serve(conn: ConnId, stream: Async<TcpStream>, orders: Orders, inputs: Inputs) {
    no_delay(&stream);
    exchange(conn, &stream, &orders, &inputs).await;
    drop(stream);
    inputs.send(Input::ClientClosed { conn });
}

async fn exchange(conn: ConnId, stream: &Async<TcpStream>, orders: &Orders, inputs: &Inputs) {
    let mut input = Ring::new(http::READ_RING);
    let mut output = Ring::new(http::WRITE_RING);
    let mut collector = Collector::new(Side::Request);
    let mut unanswered = false;
    let mut retired = false;
    // What was told of the next request: that it has begun, and that its head has come.
    let mut told = (false, false);
    // The body of the unanswered request flows, and its next piece is wanted.
    let mut flows = false;
    let mut wanted = false;
    // The client holds that body back until it is told to go on.
    let mut held = false;
    // When something came last: the time of a request that was read with the one before it counts from there.
    let mut at = inputs.clock.now();
    loop {
        if !unanswered || wanted {
            match collector.next(&mut input) {
                Ok(Some(Taken::Whole(message))) => {
                    (unanswered, told) = (true, (false, false));
                    inputs.send(Input::ClientRequest { conn, at, message });
                }
                Ok(Some(Taken::Begun { mut head, length })) => {
                    (unanswered, told, flows) = (true, (false, false), true);
                    held |= http::take_expectation(&mut head);
                    inputs.send(Input::ClientFlows {
                        conn,
                        at,
                        head,
                        length,
                    });
                }
                Ok(Some(Taken::Piece(bytes))) => {
                    wanted = false;
                    let last = collector.finish();
                    flows = !last;
                    inputs.send(Input::ClientPiece {
                        conn,
                        at,
                        bytes,
                        last,
                    });
                }
                Ok(Some(Taken::Over)) => {
                    (wanted, flows) = (false, false);
                    inputs.send(Input::ClientOver { conn, at });
                }
                Ok(None) => {
                    held |= collector.take_expectation();
                    if std::mem::take(&mut held)
                        && !(output.push(http::CONTINUE)
                            && patiently(stream, &mut output, orders, &mut retired).await)
                    {
                        return;
                    }
                    let now = (collector.within(&input), collector.has_head());
                    if !unanswered && now != told && now.0 {
                        told = now;
                        inputs.send(Input::ClientBegan { conn, head: now.1 });
                    }
                }
                Err(bad) => {
                    (unanswered, wanted, flows) = (true, false, false);
                    inputs.send(Input::ClientBad {
                        conn,
                        status: bad.status(),
                    });
                }
            }
        }
        if retired && !unanswered && !collector.within(&input) {
            // What was read of a request must be answered. One still unread when the socket is closed resets the
            // connection, and so tells the client that it may send it once more; a half-close that read on and
            // threw away would not.
            match future::poll_once(read_into(stream, &mut input)).await {
                Some(Ok(count)) if count > 0 => continue,
                _ => return,
            }
        }
        // While a body flows, its pieces wait in the socket until they are wanted: the client is held back by that.
        let reads = (!flows || wanted) && input.room() > 0;
        let came = async {
            let came = next(stream, &mut input, orders, reads).await;
            if matches!(came, Next::Read(_)) {
                at = inputs.clock.now();
            }
            came
        };
        let left = async {
            if reads {
                future::pending::<()>().await;
            }
            while !has_left(stream) {
                Timer::after(LOOK_EVERY).await;
            }
            Next::Broken
        };
        match future::or(came, left).await {
            Next::Order(Order::Answer { bytes, close, bad }) => {
                let wrote = output.push(&bytes)
                    && patiently(stream, &mut output, orders, &mut retired).await;
                if !wrote {
                    return;
                }
                if close {
                    return linger(stream).await;
                }
                let turn = async {
                    Timer::after(NEXT_TURN).await;
                    true
                };
                if bad && !unless_ordered(stream, orders, &mut retired, turn).await {
                    return;
                }
                unanswered = false;
            }
            Next::Order(Order::Piece { bytes }) => {
                if !output.push(&bytes)
                    || !patiently(stream, &mut output, orders, &mut retired).await
                {
                    return;
                }
                inputs.send(Input::ClientWrote { conn });
            }
            Next::Order(Order::More) => wanted = flows,
            Next::Order(Order::Close) => return abort(stream),
            Next::Order(Order::Retire) => retired = true,
            Next::Order(
                Order::Ask { .. } | Order::Pass { .. } | Order::Begin | Order::Withdraw,
            ) => {}
            Next::Read(0) | Next::Broken => {
                // Told at once, while the socket is still held: the request has lost its client.
                return;
            }
            Next::Read(_) => {}
        }
    }
}

/// Writes the buffer; no when the client is gone, takes nothing, or the reducer wants the connection closed.
async fn patiently(
    stream: &Async<TcpStream>,
    output: &mut Ring,
    orders: &Orders,
    retired: &mut bool,
) -> bool {
    unless_ordered(
        stream,
        orders,
        retired,
        write_within(stream, output, WRITE_PATIENCE),
    )
    .await
}

/// The outcome of the work; no when the reducer wants the connection closed. That it is to be retired is kept in mind
/// for the time after the answer.
async fn unless_ordered(
    stream: &Async<TcpStream>,
    orders: &Orders,
    retired: &mut bool,
    work: impl Future<Output = bool>,
) -> bool {
    let closed = async {
        while let Ok(order) = orders.recv().await {
            match order {
                Order::Close => {
                    abort(stream);
                    break;
                }
                Order::Retire => *retired = true,
                _ => {}
            }
        }
        false
    };
    future::or(work, closed).await
}

/// Resets the connection when it is closed: an answer is cut off, and one that would end with its connection must not look
/// whole.
fn abort(stream: &Async<TcpStream>) {
    if let Err(error) = rustix::net::sockopt::set_socket_linger(stream, Some(Duration::ZERO)) {
        tracing::debug!(%error, "no reset");
    }
}
