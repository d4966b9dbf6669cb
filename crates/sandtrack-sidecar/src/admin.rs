//! The second address, for staff: its listener and one task a call. It owns those sockets, tells the reducer each call
//! whole and writes the one answer; it must never answer of its own accord, nor take a second call on a connection.
use crate::net::{next, unless_closed, Inputs, Next, Order, Orders};
use async_io::{Async, Timer};
use futures_lite::future;
use sandtrack_net::http::{self, Bad, Collector, Side, Taken};
use sandtrack_net::ring::Ring;
use sandtrack_net::socket::{linger, ACCEPT_PAUSE};
use sandtrack_net::socket::{no_delay, write_within};
use sandtrack_sidecar_core::reducer::{ConnId, Input};
use std::net::{TcpListener, TcpStream};
use std::time::Duration;

/// A caller that takes no bytes for this long is gone.
const WRITE_PATIENCE: Duration = Duration::from_secs(1);

/// Accepts for as long as the process lives: staff may ask while it ends.
pub async fn listen(listener: Async<TcpListener>, mut opened: impl FnMut(Async<TcpStream>)) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                opened(stream);
                future::yield_now().await;
            }
            Err(error) => {
                tracing::debug!(%error, "accept failed at the second address");
                Timer::after(ACCEPT_PAUSE).await;
            }
        }
    }
}

/// Carries one call, until it is answered, its caller leaves, or it is ordered closed.
pub async fn serve(conn: ConnId, stream: Async<TcpStream>, orders: Orders, inputs: Inputs) {
    no_delay(&stream);
    exchange(conn, &stream, &orders, &inputs).await;
    drop(stream);
    inputs.send(Input::AdminClosed { conn });
}

async fn exchange(conn: ConnId, stream: &Async<TcpStream>, orders: &Orders, inputs: &Inputs) {
    let mut input = Ring::new(http::READ_RING);
    let mut collector = Collector::new(Side::Request);
    let mut asked = false;
    loop {
        if !asked {
            let told = match collector.next(&mut input) {
                Ok(Some(Taken::Whole(message))) => Some(Input::AdminCall { conn, message }),
                Ok(Some(Taken::Begun { .. })) => Some(Input::AdminBad {
                    conn,
                    status: Bad::BodyTooLong.status(),
                }),
                Ok(_) => None,
                Err(bad) => Some(Input::AdminBad {
                    conn,
                    status: bad.status(),
                }),
            };
            asked = told.is_some();
            told.into_iter().for_each(|input| inputs.send(input));
        }
        match next(stream, &mut input, orders, !asked).await {
            Next::Order(Order::Answer { bytes, .. }) => {
                return answer(stream, orders, &bytes).await
            }
            Next::Order(Order::Close) | Next::Read(0) | Next::Broken => return,
            Next::Order(_) | Next::Read(_) => {}
        }
    }
}

async fn answer(stream: &Async<TcpStream>, orders: &Orders, bytes: &[u8]) {
    let mut output = Ring::new(http::WRITE_RING);
    let write =
        async { output.push(bytes) && write_within(stream, &mut output, WRITE_PATIENCE).await };
    if unless_closed(orders, write).await == Some(true) {
        unless_closed(orders, linger(stream)).await;
    }
}
