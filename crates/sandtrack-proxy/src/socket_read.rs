//! Reading from a socket into a ring buffer with a small future: a task that waits for bytes holds no buffer of its own,
//! which counts where thousands of connections are idle.
use async_io::Async;
use sandtrack_net::ring::Ring;
use std::io::{self, ErrorKind, Read};
use std::net::TcpStream;

/// Bytes that are read at once.
const MAX_READ_BYTES: usize = 8192;

/// Waits for bytes and reads what there is, as much as the buffer has room for; 0: the other side has ended.
///
/// # Errors
/// The socket's error.
pub async fn read_available(stream: &Async<TcpStream>, ring: &mut Ring) -> io::Result<usize> {
    loop {
        match read_now(stream.get_ref(), ring) {
            Err(error) if error.kind() == ErrorKind::WouldBlock => stream.readable().await?,
            Err(error) if error.kind() == ErrorKind::Interrupted => {}
            read => return read,
        }
    }
}

fn read_now(mut stream: &TcpStream, ring: &mut Ring) -> io::Result<usize> {
    let mut bytes = [0; MAX_READ_BYTES];
    let room = ring.room().min(bytes.len());
    let count = stream.read(&mut bytes[..room])?;
    if ring.push(&bytes[..count]) {
        Ok(count)
    } else {
        Err(ErrorKind::OutOfMemory.into())
    }
}
