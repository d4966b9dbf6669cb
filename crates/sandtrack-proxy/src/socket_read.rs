//! Reads from a socket into a ring buffer. A task that waits for bytes holds no read buffer of its own, which saves memory with
//! thousands of idle connections.
use async_io::Async;
use sandtrack_net::ring::Ring;
use std::io::{self, ErrorKind, Read};
use std::net::TcpStream;

/// Maximum number of bytes per read.
const MAX_READ_BYTES: usize = 8192;

/// Waits for bytes and reads as many as are available and fit into the buffer. Returns their number; 0 at the end of the stream.
///
/// # Errors
/// An error of the socket, or `OutOfMemory` if the buffer can't take the bytes.
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
