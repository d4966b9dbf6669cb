//! A connection that carries frames both ways, for links between control nodes and proxies' sessions, with a bounded queue of
//! outgoing frames that never blocks the sender.
use async_io::{Async, Timer};
use borsh::BorshDeserialize;
use futures_lite::future;
use sandtrack_net::socket::ACCEPT_PAUSE;
use sandtrack_protocol::frames;
use std::cell::Cell;
use std::io::{self, Read, Write};
use std::net::{TcpListener, TcpStream};
use std::rc::Rc;
use std::time::Duration;

/// Most bytes that may be queued besides the largest frame, as a complete configuration alone may be longer. Beyond that the
/// receiver is too slow, and the connection is given up.
const MAX_QUEUED_BYTES: usize = 4 << 20;
/// `TCP_USER_TIMEOUT` (RFC 5482): unacknowledged data closes the connection after this, in ms.
const TCP_USER_TIMEOUT_MS: u32 = 1500;
/// Bytes read at a time.
const READ_CHUNK_BYTES: usize = 8192;

/// Sends what is written at once, and breaks a connection whose other end takes nothing. A socket that can't serves all the
/// same.
pub fn prepare(stream: &Async<TcpStream>) {
    if let Err(error) = stream.get_ref().set_nodelay(true) {
        log::debug!("no TCP_NODELAY: {error}");
    }
    if let Err(error) = rustix::net::sockopt::set_tcp_user_timeout(stream, TCP_USER_TIMEOUT_MS) {
        log::debug!("no TCP_USER_TIMEOUT: {error}");
    }
}

/// Queues frames for a connection's task. Dropping it closes the connection after the queue was written.
pub struct FrameSender {
    sender: async_channel::Sender<Rc<[u8]>>,
    waiting: Rc<Cell<usize>>,
    /// Bytes of the largest frame so far.
    largest: Cell<usize>,
}

/// The task's end of the queue of a [`FrameSender`].
pub struct FrameReceiver {
    receiver: async_channel::Receiver<Rc<[u8]>>,
    waiting: Rc<Cell<usize>>,
}

/// A queue for the outgoing frames of one connection.
pub fn frame_channel() -> (FrameSender, FrameReceiver) {
    let (sender, receiver) = async_channel::unbounded();
    let waiting = Rc::new(Cell::new(0));
    (
        FrameSender {
            sender,
            waiting: waiting.clone(),
            largest: Cell::new(0),
        },
        FrameReceiver { receiver, waiting },
    )
}

impl FrameSender {
    /// Queues encoded frames. `false` where the queue is full or the connection closed: the connection is to be given up.
    #[must_use]
    pub fn send(&self, bytes: Rc<[u8]>) -> bool {
        if self.waiting.get() > MAX_QUEUED_BYTES + self.largest.get() {
            return false;
        }
        self.largest.set(self.largest.get().max(bytes.len()));
        self.waiting.set(self.waiting.get() + bytes.len());
        self.sender.try_send(bytes).is_ok()
    }
}

/// Accepts for as long as the task lives.
pub async fn listen(listener: Async<TcpListener>, mut opened: impl FnMut(Async<TcpStream>)) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                prepare(&stream);
                opened(stream);
                future::yield_now().await;
            }
            Err(error) => {
                log::debug!("accept failed: {error}");
                Timer::after(ACCEPT_PAUSE).await;
            }
        }
    }
}

/// Runs the connection until either end closes it; each incoming frame is given to `told`.
pub async fn run<T: BorshDeserialize>(
    stream: &Async<TcpStream>,
    outgoing: &FrameReceiver,
    on_received: impl FnMut(T),
) {
    let read = async {
        match read_frames(stream, on_received).await {
            Ok(()) => {}
            Err(error) => log::debug!("a connection broke: {error}"),
        }
    };
    let write = async {
        if let Err(error) = write_frames(stream, outgoing).await {
            log::debug!("a connection broke: {error}");
        }
    };
    future::or(write, read).await;
}

/// Until the way to it is dropped; then what waits is written, and the other end is told that this is all.
async fn write_frames(stream: &Async<TcpStream>, outgoing: &FrameReceiver) -> io::Result<()> {
    while let Ok(bytes) = outgoing.receiver.recv().await {
        let mut rest = &bytes[..];
        while !rest.is_empty() {
            let count = stream.write_with(|mut socket| socket.write(rest)).await?;
            rest = &rest[count..];
        }
        outgoing
            .waiting
            .set(outgoing.waiting.get().saturating_sub(bytes.len()));
    }
    stream.get_ref().shutdown(std::net::Shutdown::Write)
}

async fn read_frames<T: BorshDeserialize>(
    stream: &Async<TcpStream>,
    mut on_received: impl FnMut(T),
) -> io::Result<()> {
    let mut bytes: Vec<u8> = Vec::new();
    loop {
        let start = bytes.len();
        bytes.resize(start + READ_CHUNK_BYTES, 0);
        let count = stream
            .read_with(|mut socket| socket.read(&mut bytes[start..]))
            .await;
        bytes.truncate(start + count.as_ref().map_or(0, |count| *count));
        if count? == 0 {
            return Ok(());
        }
        let mut taken = 0;
        while let Some((frame, length)) = frames::decode(&bytes[taken..])
            .map_err(|error| io::Error::new(io::ErrorKind::InvalidData, error))?
        {
            on_received(frame);
            taken += length;
        }
        bytes.drain(..taken);
        if bytes.is_empty() && bytes.capacity() > 4 * READ_CHUNK_BYTES {
            bytes.shrink_to(READ_CHUNK_BYTES);
        }
        future::yield_now().await;
    }
}

/// Connects within `patience`.
///
/// # Errors
/// Where the address is none, the connection fails, or the time is over.
pub async fn connect(address: &str, patience: Duration) -> io::Result<Async<TcpStream>> {
    let address: std::net::SocketAddr = address
        .parse()
        .map_err(|error| io::Error::new(io::ErrorKind::InvalidInput, error))?;
    let connect = async {
        let stream = Async::<TcpStream>::connect(address).await?;
        prepare(&stream);
        Ok(stream)
    };
    let late = async {
        Timer::after(patience).await;
        Err(io::ErrorKind::TimedOut.into())
    };
    future::or(connect, late).await
}
