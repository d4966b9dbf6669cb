//! Serves one text at one path, made anew for each call: the figures of a process. One connection after the other, each for one
//! call and for a bounded time, so that whoever scrapes costs next to nothing.
use crate::http::{Parser, Part, Side, READ_RING};
use crate::ring::Ring;
use crate::socket::{linger, read_into, write_within, ACCEPT_PAUSE};
use async_io::{Async, Timer};
use futures_lite::future;
use sandtrack_sidecar_core::message;
use std::io;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::time::Duration;

/// A call that is not there whole within this time is dropped, and an answer that is not taken.
const PATIENCE: Duration = Duration::from_millis(500);

/// Listens at `address`, an `IP:PORT`.
///
/// # Errors
/// Where it is no address, or can't be listened on.
pub fn listen(address: &str) -> io::Result<Async<TcpListener>> {
    let address: SocketAddr = address
        .parse()
        .map_err(|error| io::Error::new(io::ErrorKind::InvalidInput, error))?;
    Async::<TcpListener>::bind(address)
}

/// Serves for as long as the task lives.
pub async fn serve(listener: Async<TcpListener>, path: &str, text: impl Fn() -> String) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => answer(&stream, path, &text).await,
            Err(_) => drop(Timer::after(ACCEPT_PAUSE).await),
        }
    }
}

async fn answer(stream: &Async<TcpStream>, path: &str, text: &impl Fn() -> String) {
    let late = async {
        Timer::after(PATIENCE).await;
        None
    };
    let Some(target) = future::or(read_target(stream), late).await else {
        return;
    };
    let kind = [("Content-Type", "text/plain; version=0.0.4")].into_iter();
    let bytes = match target.split('?').next() == Some(path) {
        true => message::response(200, kind, text().as_bytes(), true),
        false => message::response(404, kind, b"", true),
    };
    let mut output = Ring::new(bytes.len());
    if output.push(&bytes) && write_within(stream, &mut output, PATIENCE).await {
        linger(stream).await;
    }
}

/// The target of a call, once it is there whole.
async fn read_target(stream: &Async<TcpStream>) -> Option<String> {
    let (mut input, mut parser) = (Ring::new(READ_RING), Parser::new(Side::Request));
    let mut target = None;
    loop {
        match parser.next(&mut input).ok()? {
            Some(Part::Head(head)) => target = Some(head.target),
            Some(Part::Data(_)) => {}
            Some(Part::End) => return target,
            None => {
                if read_into(stream, &mut input).await.ok()? == 0 {
                    return None;
                }
            }
        }
    }
}
