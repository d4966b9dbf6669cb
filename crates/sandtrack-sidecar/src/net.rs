//! What the connection tasks share: the way to the reducer, the orders that come back, the clock, and the two
//! moves between a socket and a ring buffer. It owns no connection and keeps no state.
use crate::ring::Ring;
use async_io::{Async, Timer};
use futures_lite::future;
use rustix::event::{poll, PollFd, PollFlags, Timespec};
use sandtrack::interface::Millis;
use sandtrack_core::reducer::Input;
use std::future::Future;
use std::io::{self, Read, Write};
use std::net::TcpStream;
use std::time::{Duration, Instant};

/// What the reducer tells the task that owns a connection.
pub enum Order {
    /// To a client: write the answer or its last piece; `close`: it is the connection's last; `bad`: so was the request.
    Answer {
        bytes: Vec<u8>,
        close: bool,
        bad: bool,
    },
    /// To a client: write a piece of a streamed answer and tell when it is written.
    Piece {
        bytes: Vec<u8>,
    },
    /// To a client: close, unless a request has begun to come; that is told then, and served.
    Retire,
    /// To an upstream: write the request; `streamed`: tell its answer as it comes; `more`: its body follows in pieces.
    Ask {
        bytes: Vec<u8>,
        streamed: bool,
        more: bool,
    },
    /// To an upstream: write a piece of the request's body and tell when it is written.
    Pass {
        bytes: Vec<u8>,
        last: bool,
    },
    /// To an upstream: an answer whose length is not told is not to be collected any longer, but told as it comes.
    Begin,
    /// The next piece of a body that flows is wanted: to an upstream of its answer, to a client of its request.
    More,
    /// To an upstream: what was asked last is not to be begun, if it has not been yet.
    Withdraw,
    Close,
}

pub type Orders = async_channel::Receiver<Order>;

/// Milliseconds since the process began.
#[derive(Clone, Copy)]
pub struct Clock(Instant);

impl Clock {
    pub fn start() -> Self {
        Clock(Instant::now())
    }

    pub fn now(&self) -> Millis {
        self.0.elapsed().as_secs_f64() * 1000.0
    }

    /// The instant at which the clock shows this time.
    pub fn at(&self, time: Millis) -> Instant {
        self.0 + Duration::from_secs_f64((time / 1000.0).max(0.0))
    }
}

/// The way to the reducer: never full, as all that is sent is bounded by the connections that are open.
#[derive(Clone)]
pub struct Inputs {
    sender: async_channel::Sender<Input>,
    pub clock: Clock,
}

impl Inputs {
    pub fn new(clock: Clock) -> (Self, async_channel::Receiver<Input>) {
        let (sender, receiver) = async_channel::unbounded();
        (Inputs { sender, clock }, receiver)
    }

    pub fn send(&self, input: Input) {
        // It fails only when the process is on its way out.
        let _ = self.sender.try_send(input);
    }
}

/// What came first at a connection.
pub enum Next {
    Order(Order),
    /// So many bytes were read; 0: the other side has ended.
    Read(usize),
    Broken,
}

/// Waits for an order, or for bytes where they are wanted and the buffer has room. Orders go first.
pub async fn next(stream: &Async<TcpStream>, ring: &mut Ring, orders: &Orders, wanted: bool) -> Next {
    let order = async { orders.recv().await.map_or(Next::Broken, Next::Order) };
    if !wanted || ring.room() == 0 {
        return order.await;
    }
    let read = async { read_into(stream, ring).await.map_or(Next::Broken, Next::Read) };
    future::or(order, read).await
}

/// Whether the other side has ended, though what it sent before is not read yet. One that can't be asked is there.
pub fn has_left(stream: &Async<TcpStream>) -> bool {
    let mut asked = [PollFd::new(stream, PollFlags::RDHUP)];
    let over = PollFlags::RDHUP | PollFlags::HUP | PollFlags::ERR;
    poll(&mut asked, Some(&Timespec::default())).is_ok() && asked[0].revents().intersects(over)
}

/// Reads what there is, as much as the buffer has room for.
pub async fn read_into(stream: &Async<TcpStream>, ring: &mut Ring) -> io::Result<usize> {
    let mut bytes = [0; 8192];
    let room = ring.room().min(bytes.len());
    let count = stream.read_with(|mut socket| socket.read(&mut bytes[..room])).await?;
    if !ring.push(&bytes[..count]) {
        return Err(io::ErrorKind::OutOfMemory.into());
    }
    Ok(count)
}

/// Writes all that the buffer holds, in one call where the socket takes it.
pub async fn write_all(stream: &Async<TcpStream>, ring: &mut Ring) -> io::Result<()> {
    while !ring.is_empty() {
        let count = stream.write_with(|mut socket| socket.write_vectored(&ring.slices())).await?;
        if count == 0 {
            return Err(io::ErrorKind::WriteZero.into());
        }
        ring.consume(count);
    }
    Ok(())
}

/// The same; no when the connection broke, or did not take it all within this time.
pub async fn write_within(stream: &Async<TcpStream>, ring: &mut Ring, patience: Duration) -> bool {
    let write = async { write_all(stream, ring).await.is_ok() };
    let patience = async {
        Timer::after(patience).await;
        false
    };
    future::or(write, patience).await
}

/// Sends what is written at once. A socket that can't serves all the same.
pub fn no_delay(stream: &Async<TcpStream>) {
    if let Err(error) = stream.get_ref().set_nodelay(true) {
        tracing::debug!(%error, "no TCP_NODELAY");
    }
}

/// The outcome of the work, or `None` once it is ordered closed; the order goes first.
pub async fn unless_closed<T>(orders: &Orders, work: impl Future<Output = T>) -> Option<T> {
    let closed = async {
        ordered_closed(orders).await;
        None
    };
    future::or(closed, async { Some(work.await) }).await
}

/// Waits until the connection is ordered closed, or its reducer is gone.
pub async fn ordered_closed(orders: &Orders) {
    while let Ok(order) = orders.recv().await {
        if matches!(order, Order::Close) {
            break;
        }
    }
}
