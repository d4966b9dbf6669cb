//! Reads frames of a session.
use async_io::{Async, Timer};
use futures_lite::future;
use sandtrack_protocol::frames::{decode, ToProxy, SESSION_TIMEOUT_MS};
use std::io::Read;
use std::net::TcpStream;
use std::time::{Duration, Instant};

/// A control node that sent nothing for this long counts as failed.
const SILENCE_TIMEOUT: Duration = Duration::from_millis(SESSION_TIMEOUT_MS);
/// A read that took longer than this means that this process was not scheduled: its timers would have gone off before.
const STALL_THRESHOLD: Duration = Duration::from_millis(2 * SESSION_TIMEOUT_MS);
/// Capacity that the buffer of incomplete frames keeps.
const KEPT_BUFFER_BYTES: usize = 64 * 1024;
const READ_BYTES: usize = 16 * 1024;

/// Splits what comes over a session into frames.
pub(super) struct FrameReader {
    /// What came and is no complete frame yet.
    pending: Vec<u8>,
    read_buffer: Vec<u8>,
}

impl FrameReader {
    pub(super) fn new() -> FrameReader {
        FrameReader {
            pending: Vec::new(),
            read_buffer: vec![0; READ_BYTES],
        }
    }

    /// The next frame; `None` where the session is over, silent, or speaks something else.
    pub(super) async fn next(&mut self, stream: &Async<TcpStream>) -> Option<ToProxy> {
        loop {
            match decode::<ToProxy>(&self.pending) {
                Ok(Some((message, length))) => {
                    self.pending.drain(..length);
                    if self.pending.is_empty() {
                        self.pending.shrink_to(KEPT_BUFFER_BYTES);
                    }
                    return Some(message);
                }
                Ok(None) => {}
                Err(error) => {
                    log::error!("session with control: {error}");
                    return None;
                }
            }
            self.read(stream).await?;
        }
    }

    async fn read(&mut self, stream: &Async<TcpStream>) -> Option<()> {
        let timer = async {
            Timer::after(SILENCE_TIMEOUT).await;
            None
        };
        let started_at = Instant::now();
        let buffer = &mut self.read_buffer;
        let read = async { Some(stream.read_with(|mut socket| socket.read(buffer)).await) };
        let result = future::or(read, timer).await;
        if started_at.elapsed() > STALL_THRESHOLD {
            // What lies in the socket was sent before the stall, and says nothing of now.
            return None;
        }
        match result {
            Some(Ok(count)) if count > 0 => {
                self.pending.extend_from_slice(&self.read_buffer[..count]);
                Some(())
            }
            _ => None,
        }
    }
}
