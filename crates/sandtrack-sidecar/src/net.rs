//! What the connection tasks share: the way to the reducer and the orders that come back. It owns no connection and keeps
//! no state.
use async_io::Async;
use futures_lite::future;
use sandtrack_net::ring::Ring;
use sandtrack_net::socket::{read_into, Clock};
use sandtrack_sidecar_core::reducer::Input;
use std::future::Future;
use std::net::TcpStream;

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
pub async fn next(
    stream: &Async<TcpStream>,
    ring: &mut Ring,
    orders: &Orders,
    wanted: bool,
) -> Next {
    let order = async { orders.recv().await.map_or(Next::Broken, Next::Order) };
    if !wanted || ring.room() == 0 {
        return order.await;
    }
    let read = async {
        read_into(stream, ring)
            .await
            .map_or(Next::Broken, Next::Read)
    };
    future::or(order, read).await
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
