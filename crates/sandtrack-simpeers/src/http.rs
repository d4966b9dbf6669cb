//! As much of HTTP/1.1 as stand-ins and an operator on loopback need: whole messages with `Content-Length`.
use async_io::{Async, Timer};
use futures_lite::{future, AsyncReadExt, AsyncWriteExt};
use sandtrack_core::message;
use std::io;
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

/// One message: its first line and its body. `None` at the end of the connection.
///
/// # Errors
/// Where the socket fails or the message is none.
pub async fn read(
    stream: &mut Async<TcpStream>, held: &mut Vec<u8>,
) -> io::Result<Option<(String, Vec<u8>)>> {
    Ok(read_sized(stream, held).await?.map(|(_, line, body)| (line, body)))
}

/// The same, with its length on the wire.
///
/// # Errors
/// As there.
pub async fn read_sized(
    stream: &mut Async<TcpStream>, held: &mut Vec<u8>,
) -> io::Result<Option<(usize, String, Vec<u8>)>> {
    let mut piece = [0; 16 * 1024];
    loop {
        if let Some(end) = held.windows(4).position(|four| four == b"\r\n\r\n") {
            let head = String::from_utf8_lossy(&held[..end]).into_owned();
            let length = head.lines().filter_map(|line| line.split_once(':'));
            let length = length.filter(|(name, _)| name.eq_ignore_ascii_case("content-length"));
            let length: usize = length.filter_map(|(_, value)| value.trim().parse().ok()).next().unwrap_or(0);
            while held.len() < end + 4 + length {
                match stream.read(&mut piece).await? {
                    0 => return Err(io::ErrorKind::UnexpectedEof.into()),
                    count => held.extend_from_slice(&piece[..count]),
                }
            }
            let body = held[end + 4..end + 4 + length].to_vec();
            held.drain(..end + 4 + length);
            let line = head.lines().next().unwrap_or_default().to_owned();
            return Ok(Some((end + 4 + length, line, body)));
        }
        match stream.read(&mut piece).await? {
            0 => return Ok(None),
            count => held.extend_from_slice(&piece[..count]),
        }
    }
}

/// Status of one call on a connection of its own; `None` where no answer came in time.
pub async fn call(address: &str, method: &str, target: &str, based_on: u64, body: &str) -> Option<u16> {
    let based_on = based_on.to_string();
    let headers = [("Host", address), ("Based-On-Version", &based_on), ("Content-Type", "application/json")];
    let request = message::request(method, target, headers.into_iter(), body.as_bytes());
    let called = async {
        let address: SocketAddr = address.parse().ok()?;
        let mut stream = Async::<TcpStream>::connect(address).await.ok()?;
        stream.write_all(&request).await.ok()?;
        let (line, _) = read(&mut stream, &mut Vec::new()).await.ok()??;
        line.split(' ').nth(1)?.parse().ok()
    };
    let late = async {
        Timer::after(Duration::from_secs(5)).await;
        None
    };
    future::or(called, late).await
}
