//! Moves between a socket and a ring buffer, and the clock that the tasks of a process share. It owns no connection.
use crate::byte_budget::SHORT;
use crate::http;
use crate::ring::Ring;
use async_io::{Async, Timer};
use futures_lite::future;
use rustix::event::{poll, PollFd, PollFlags, Timespec};
use std::future::Future;
use std::io::{self, Read, Write};
use std::net::{Shutdown, TcpStream};
use std::time::{Duration, Instant};

/// How long the last answer may stay unread before the socket is closed under it, and how much is read on for it: one
/// that sends at full speed then waits for its own buffer, and not the others for this task.
const LINGER: Duration = Duration::from_millis(200);
const LINGER_MOST: usize = 128 * 1024;
/// Pause of the listener when the process is out of descriptors.
pub const ACCEPT_PAUSE: Duration = Duration::from_millis(5);

/// No instant of a clock is later than this, in s: some hundred years.
const LATEST_S: f64 = 3e9;

/// The steady clock: milliseconds since the process began.
#[derive(Clone, Copy)]
pub struct Clock(Instant);

impl Clock {
    /// A clock that shows 0 now.
    pub fn start() -> Self {
        Clock(Instant::now())
    }

    /// Milliseconds since the start.
    pub fn now(&self) -> f64 {
        self.0.elapsed().as_secs_f64() * 1000.0
    }

    /// The instant at which the clock shows this time; of one that no clock tells, one that no process lives to see.
    pub fn at(&self, time: f64) -> Instant {
        self.0 + Duration::from_secs_f64((time / 1000.0).clamp(0.0, LATEST_S))
    }
}

/// Whether the other side has ended, though what it sent before is not read yet. One that can't be asked is there.
pub fn has_left(stream: &Async<TcpStream>) -> bool {
    let mut asked = [PollFd::new(stream, PollFlags::RDHUP)];
    let over = PollFlags::RDHUP | PollFlags::HUP | PollFlags::ERR;
    poll(&mut asked, Some(&Timespec::default())).is_ok() && asked[0].revents().intersects(over)
}

/// Waits for bytes and reads what there is, as much as the buffer has room for; 0: the other side has ended.
///
/// # Errors
/// The socket's error.
pub async fn read_into(stream: &Async<TcpStream>, ring: &mut Ring) -> io::Result<usize> {
    let mut bytes = [0; 8192];
    let room = ring.room().min(bytes.len());
    let count = stream
        .read_with(|mut socket| socket.read(&mut bytes[..room]))
        .await?;
    if !ring.push(&bytes[..count]) {
        return Err(io::ErrorKind::OutOfMemory.into());
    }
    Ok(count)
}

/// Writes all that the buffer holds, in one call where the socket takes it.
///
/// # Errors
/// The socket's error; `WriteZero` where it takes nothing more.
pub async fn write_all(stream: &Async<TcpStream>, ring: &mut Ring) -> io::Result<()> {
    while !ring.is_empty() {
        let count = stream
            .write_with(|mut socket| socket.write_vectored(&ring.slices()))
            .await?;
        if count == 0 {
            return Err(io::ErrorKind::WriteZero.into());
        }
        ring.consume(count);
    }
    Ok(())
}

/// Writes a head and the body behind it: a short one in one call, a long one as it is, without a copy.
///
/// # Errors
/// What the socket said.
pub async fn write_message(stream: &Async<TcpStream>, head: &[u8], body: &[u8]) -> io::Result<()> {
    let (with_head, mut rest) = if body.len() <= SHORT {
        (body, &[][..])
    } else {
        (&[][..], body)
    };
    let mut output = Ring::new(head.len() + with_head.len());
    if !(output.push(head) && output.push(with_head)) {
        return Err(io::ErrorKind::OutOfMemory.into());
    }
    write_all(stream, &mut output).await?;
    while !rest.is_empty() {
        let count = stream.write_with(|mut socket| socket.write(rest)).await?;
        if count == 0 {
            return Err(io::ErrorKind::WriteZero.into());
        }
        rest = &rest[count..];
    }
    Ok(())
}

/// Writes all that the buffer holds; no when the connection broke, or did not take it all within this time.
pub async fn write_within(stream: &Async<TcpStream>, ring: &mut Ring, patience: Duration) -> bool {
    within(patience, async { write_all(stream, ring).await.is_ok() }).await
}

/// The same of [`write_message`].
pub async fn write_message_within(
    stream: &Async<TcpStream>,
    head: &[u8],
    body: &[u8],
    patience: Duration,
) -> bool {
    within(patience, async {
        write_message(stream, head, body).await.is_ok()
    })
    .await
}

async fn within(patience: Duration, write: impl Future<Output = bool>) -> bool {
    let late = async {
        Timer::after(patience).await;
        false
    };
    future::or(write, late).await
}

/// Sends what is written at once. A socket that can't serves all the same.
pub fn no_delay(stream: &Async<TcpStream>) {
    if let Err(error) = stream.get_ref().set_nodelay(true) {
        tracing::debug!(%error, "no TCP_NODELAY");
    }
}

/// Ends the sending side and waits a little for the client to end its own: a socket that is closed with bytes
/// unread resets the connection, and the client could lose the answer that is on its way.
pub async fn linger(stream: &Async<TcpStream>) {
    if stream.get_ref().shutdown(Shutdown::Write).is_err() {
        return;
    }
    let mut scrap = Ring::new(http::READ_RING);
    let ended = async {
        let mut read = 0;
        while read < LINGER_MOST {
            match read_into(stream, &mut scrap).await {
                Ok(count) if count > 0 => read += count,
                _ => return,
            }
            scrap.consume(usize::MAX);
            future::yield_now().await;
        }
        future::pending::<()>().await;
    };
    let enough = async {
        Timer::after(LINGER).await;
    };
    future::or(ended, enough).await;
}
