//! The relay of TCP links: it listens where a machine is reached by others, finds out from the first frame who calls, and
//! passes bytes on as the state of that link allows. It owns those sockets, and never changes a byte.
//!
//! A cut differs from a real one in one thing: the caller's connection comes up and then stays silent, where a real one
//! would hang already while it opens.
use super::links::{End, Passage, SharedLinks};
use crate::tasks::Spawner;
use async_io::{Async, Timer};
use futures_lite::future;
use sandtrack_control::peer_frames::PeerFrame;
use sandtrack_protocol::frames::{self, ToControl};
use std::cell::Cell;
use std::collections::BTreeMap;
use std::io::{self, Read, Write};
use std::net::{Shutdown, SocketAddr, SocketAddrV4, TcpListener, TcpStream};
use std::rc::Rc;
use std::time::{Duration, Instant};

/// Bytes read at a time.
const PIECE: usize = 16 * 1024;
/// Pieces of one direction that may be under way; then its sender is held up.
const UNDER_WAY: usize = 64;
/// How often it is looked whether a held direction is open again.
const LOOK: Duration = Duration::from_millis(3);

/// What is spoken where the relay listens: how it finds out who calls.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Spoken {
    /// Control nodes among themselves.
    Peers,
    /// Proxies with control nodes.
    Sessions,
    /// Operators with control.
    Operators,
}

/// The machine of each process, by node name.
pub type Machines = Rc<BTreeMap<String, usize>>;

/// One place where the relay listens.
#[derive(Clone)]
pub struct Place {
    pub links: SharedLinks,
    pub machines: Machines,
    pub spoken: Spoken,
    /// The machine whose process is behind it, and where that listens.
    pub machine: usize,
    pub behind: SocketAddrV4,
}

/// Serves one place for as long as the run lasts.
///
/// # Errors
/// Where the address can't be listened on.
pub fn open(at: SocketAddrV4, place: Place, spawner: &Spawner<'_>) -> io::Result<()> {
    let listener = Async::<TcpListener>::bind(SocketAddr::V4(at))?;
    let within = spawner.clone();
    spawner.spawn(async move {
        loop {
            match listener.accept().await {
                Ok((stream, _)) => within.spawn(carry(place.clone(), stream)),
                Err(_) => drop(Timer::after(LOOK).await),
            }
        }
    });
    Ok(())
}

async fn carry(place: Place, caller: Async<TcpStream>) {
    let Some((from, first)) = identify(&place, &caller).await else {
        return reset(&caller);
    };
    let to = End::Machine(place.machine);
    let Some(first) = until_passable(&place.links, from, to, &caller, first).await else {
        return;
    };
    let Ok(called) = Async::<TcpStream>::connect(SocketAddr::V4(place.behind)).await else {
        return reset(&caller);
    };
    for stream in [&caller, &called] {
        let _ = stream.get_ref().set_nodelay(true);
    }
    let (connection, ended) = place.links.borrow_mut().opened(from, to);
    let ended = async {
        let _ = ended.recv().await;
        Err(io::ErrorKind::ConnectionReset.into())
    };
    let there = Pipe {
        links: &place.links,
        from,
        to,
        source: &caller,
        sink: &called,
    };
    let back = Pipe {
        links: &place.links,
        from: to,
        to: from,
        source: &called,
        sink: &caller,
    };
    let passed = async {
        future::try_zip(there.run(first), back.run(Vec::new()))
            .await
            .map(drop)
    };
    if future::or(ended, passed).await.is_err() {
        reset(&caller);
        reset(&called);
    }
    place.links.borrow_mut().closed(connection);
}

/// The stream's end is a reset: what is under way is lost.
fn reset(stream: &Async<TcpStream>) {
    let _ = rustix::net::sockopt::set_socket_linger(stream, Some(Duration::ZERO));
}

/// Who calls, and the bytes that told it.
async fn identify(place: &Place, caller: &Async<TcpStream>) -> Option<(End, Vec<u8>)> {
    if place.spoken == Spoken::Operators {
        return Some((End::Operator, Vec::new()));
    }
    let mut bytes = Vec::new();
    loop {
        if let Some(name) = caller_name(place.spoken, &bytes).ok()? {
            return Some((End::Machine(*place.machines.get(&name)?), bytes));
        }
        if read(caller, &mut bytes).await.ok()? == 0 {
            return None;
        }
    }
}

/// The node name in the first frame, once that is there whole.
fn caller_name(spoken: Spoken, bytes: &[u8]) -> Result<Option<String>, frames::FrameError> {
    let other = Err(frames::FrameError::Unreadable);
    match spoken {
        Spoken::Operators => other,
        Spoken::Peers => match frames::decode::<PeerFrame>(bytes)? {
            None => Ok(None),
            Some((PeerFrame::Hello(hello), _)) => Ok(Some(hello.node_name)),
            Some(_) => other,
        },
        Spoken::Sessions => match frames::decode::<ToControl>(bytes)? {
            None => Ok(None),
            Some((ToControl::Hello { info, .. }, _)) => Ok(Some(info.node_name)),
            Some(_) => other,
        },
    }
}

async fn read(stream: &Async<TcpStream>, bytes: &mut Vec<u8>) -> io::Result<usize> {
    let start = bytes.len();
    bytes.resize(start + PIECE, 0);
    let count = stream
        .read_with(|mut socket| socket.read(&mut bytes[start..]))
        .await;
    bytes.truncate(start + count.as_ref().map_or(0, |count| *count));
    count
}

/// Waits until the connection can come up; `None` when its caller gave up before.
async fn until_passable(
    links: &SharedLinks,
    from: End,
    to: End,
    caller: &Async<TcpStream>,
    mut first: Vec<u8>,
) -> Option<Vec<u8>> {
    if links.borrow().is_passable(from, to) {
        return Some(first);
    }
    let passable = async {
        while !links.borrow().is_passable(from, to) {
            Timer::after(LOOK).await;
        }
        true
    };
    let gave_up = async {
        while read(caller, &mut first).await.is_ok_and(|count| count > 0) {}
        false
    };
    future::or(passable, gave_up).await.then_some(first)
}

/// A piece of a direction and when it arrives; `None`: the sender has closed.
type UnderWay = (Instant, Option<Vec<u8>>);

/// One direction of a connection.
struct Pipe<'a> {
    links: &'a SharedLinks,
    from: End,
    to: End,
    source: &'a Async<TcpStream>,
    sink: &'a Async<TcpStream>,
}

impl Pipe<'_> {
    async fn run(&self, first: Vec<u8>) -> io::Result<()> {
        let (sender, receiver) = async_channel::bounded(UNDER_WAY);
        let _ = sender.try_send((Instant::now(), Some(first)));
        let was_reset = Cell::new(false);
        future::try_zip(
            self.take(sender, &was_reset),
            self.give(receiver, &was_reset),
        )
        .await
        .map(drop)
    }

    fn delay(&self) -> Duration {
        self.links.borrow().direction(self.from, self.to).delay
    }

    /// Takes what the sender writes until it closes or resets.
    async fn take(
        &self,
        sender: async_channel::Sender<UnderWay>,
        was_reset: &Cell<bool>,
    ) -> io::Result<()> {
        loop {
            let mut bytes = Vec::new();
            let count = read(self.source, &mut bytes).await;
            was_reset.set(count.is_err());
            let closed = !count.is_ok_and(|count| count > 0);
            let arrives = Instant::now() + self.delay();
            if sender
                .send((arrives, (!closed).then_some(bytes)))
                .await
                .is_err()
                || closed
            {
                return Ok(());
            }
        }
    }

    /// Gives the receiver what is under way, when it arrives and the link lets it pass.
    async fn give(
        &self,
        receiver: async_channel::Receiver<UnderWay>,
        was_reset: &Cell<bool>,
    ) -> io::Result<()> {
        let mut is_lossy = false;
        while let Ok((arrives, bytes)) = receiver.recv().await {
            Timer::at(arrives).await;
            is_lossy |= self.until_not_held().await == Passage::Lost;
            // What a reset overtakes is lost.
            if was_reset.get() && !is_lossy {
                return Err(io::ErrorKind::ConnectionReset.into());
            }
            match bytes {
                _ if is_lossy => {}
                Some(bytes) => self.write(&bytes).await?,
                None => self.sink.get_ref().shutdown(Shutdown::Write)?,
            }
        }
        Ok(())
    }

    async fn until_not_held(&self) -> Passage {
        loop {
            let passage = self.links.borrow().direction(self.from, self.to).passage;
            if passage != Passage::Held {
                return passage;
            }
            Timer::after(LOOK).await;
        }
    }

    async fn write(&self, mut rest: &[u8]) -> io::Result<()> {
        while !rest.is_empty() {
            let count = self
                .sink
                .write_with(|mut socket| socket.write(rest))
                .await?;
            rest = &rest[count..];
        }
        Ok(())
    }
}
