//! The fleet's socket: one task that owns it and nothing else. It tells the reducer each datagram and sends what it is ordered
//! to, both at a bounded pace; it must never read what a datagram says, nor answer one.
use crate::net::Inputs;
use async_io::{Async, Timer};
use futures_lite::future;
use sandtrack_membership::config::DATAGRAM_MOST;
use sandtrack_sidecar_core::reducer::Input;
use std::io;
use std::net::{SocketAddr, SocketAddrV4, UdpSocket};
use std::time::{Duration, Instant};

pub type Datagrams = async_channel::Receiver<(SocketAddrV4, Vec<u8>)>;

/// Where another process of this sidecar has the address, it is tried again this often: that one gives it up when it ends.
const AGAIN: Duration = Duration::from_millis(40);
/// So many datagrams are told in so much time; what more comes waits in the socket, and is lost when that is full.
const WINDOW: Duration = Duration::from_millis(50);
const MOST: u32 = 100;
/// After an error of the socket.
const PAUSE: Duration = Duration::from_millis(20);

/// The socket, or `None` where another process of this sidecar has the address and may give it up.
pub fn bind(listen: SocketAddrV4, shared: bool) -> io::Result<Option<Async<UdpSocket>>> {
    match Async::<UdpSocket>::bind(SocketAddr::V4(listen)) {
        Ok(socket) => Ok(Some(socket)),
        Err(error) if shared && error.kind() == io::ErrorKind::AddrInUse => Ok(None),
        Err(error) => Err(io::Error::new(
            error.kind(),
            format!("fleet.listen {listen}: {error}"),
        )),
    }
}

/// Serves until the way of the orders is closed; what was ordered by then is sent.
pub async fn run(
    listen: SocketAddrV4,
    first: Option<Async<UdpSocket>>,
    datagrams: Datagrams,
    inputs: Inputs,
) {
    let socket = match first {
        Some(socket) => socket,
        None => match future::or(taken(listen), closed(&datagrams)).await {
            Some(socket) => socket,
            None => return,
        },
    };
    inputs.send(Input::FleetOpened);
    // Whatever the other does not get to: each is one small task of one loop, and neither may hold up the other.
    let receive = async {
        receive(&socket, &inputs).await;
        future::pending::<()>().await;
    };
    future::or(send(&socket, &datagrams), receive).await;
}

async fn taken(listen: SocketAddrV4) -> Option<Async<UdpSocket>> {
    loop {
        Timer::after(AGAIN).await;
        match bind(listen, true) {
            Ok(Some(socket)) => return Some(socket),
            Ok(None) => {}
            Err(error) => {
                tracing::error!(%error, "the fleet's socket can't be had: this process stays out of the fleet");
                return None;
            }
        }
    }
}

/// Waits until the way of the orders is closed.
async fn closed<T>(datagrams: &Datagrams) -> Option<T> {
    while datagrams.recv().await.is_ok() {}
    None
}

async fn send(socket: &Async<UdpSocket>, datagrams: &Datagrams) {
    while let Ok((to, bytes)) = datagrams.recv().await {
        if let Err(error) = socket.send_to(&bytes, to).await {
            // As good as lost on the way, and as little to be done about.
            tracing::debug!(%to, %error, "datagram not sent");
        }
    }
}

async fn receive(socket: &Async<UdpSocket>, inputs: &Inputs) {
    // One byte more than any of ours: a longer one is seen to be none.
    let mut bytes = [0; DATAGRAM_MOST + 1];
    let (mut window, mut told) = (Instant::now(), 0);
    loop {
        let (count, source) = match socket.recv_from(&mut bytes).await {
            Ok((count, SocketAddr::V4(source))) => (count, source),
            Ok(_) => continue,
            Err(error) => {
                tracing::debug!(%error, "the fleet's socket");
                Timer::after(PAUSE).await;
                continue;
            }
        };
        inputs.send(Input::Datagram {
            source,
            bytes: bytes[..count].to_vec(),
        });
        told += 1;
        let lasted = window.elapsed();
        if lasted >= WINDOW {
            (window, told) = (Instant::now(), 0);
        } else if told >= MOST {
            Timer::after(WINDOW - lasted).await;
            (window, told) = (Instant::now(), 0);
        } else if told % 8 == 0 {
            // A socket that never runs dry must not keep the others' tasks from their turns.
            future::yield_now().await;
        }
    }
}
