//! One attempt over one connection, against a listener on loopback.
use assert_matches::assert_matches;
use sandtrack_cli::transport::{exchange, TransportError};
use sandtrack_sidecar_core::message::Message;
use std::io::{Read, Write};
use std::net::TcpListener;

const REQUEST: &[u8] = b"GET /v1/status HTTP/1.1\r\nHost: a\r\n\r\n";

/// Sends [`REQUEST`] to a server that responds with these chunks and closes the connection.
fn exchange_with_server(chunks: &[&[u8]]) -> Result<Message, TransportError> {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port of loopback");
    let address = listener.local_addr().expect("its address");
    std::thread::scope(|scope| {
        scope.spawn(move || {
            let (mut stream, _) = listener.accept().expect("a connection");
            let mut request = [0; REQUEST.len()];
            stream.read_exact(&mut request).expect("the request");
            assert_eq!(request, REQUEST);
            for chunk in chunks {
                // The client may have closed the connection.
                if stream.write_all(chunk).is_err() {
                    return;
                }
            }
        });
        exchange(address, REQUEST, 10_000.0)
    })
}

#[test]
fn long_responses_are_read_completely() {
    let body = vec![b'x'; 3 << 20];
    let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", body.len());
    assert_matches!(exchange_with_server(&[head.as_bytes(), &body]), Ok(response) if response.body == body);
}

#[test]
fn chunked_and_close_delimited_responses_are_read_completely() {
    let chunked: [&[u8]; 3] = [
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r",
        b"\nabc\r\n2\r\nde\r\n",
        b"0\r\n\r\n",
    ];
    assert_matches!(exchange_with_server(&chunked), Ok(response) if response.body == b"abcde");
    let close_delimited: [&[u8]; 2] = [b"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nab", b"cde"];
    assert_matches!(exchange_with_server(&close_delimited), Ok(response) if response.body == b"abcde");
}

#[test]
fn truncated_responses_are_errors() {
    let complete: &[u8] = b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nabcde";
    for end in 0..complete.len() {
        assert_matches!(
            exchange_with_server(&[&complete[..end]]),
            Err(TransportError::ConnectionClosed),
            "cut at {end}"
        );
    }
    assert_matches!(exchange_with_server(&[complete]), Ok(response) if response.body == b"abcde");
}

#[test]
fn invalid_responses_are_rejected() {
    let cases: [&[u8]; 4] = [
        b"SSH-2.0-other\r\n\r\n",
        b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\nContent-Length: 6\r\n\r\nabcdef",
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n",
        b"HTTP/1.1 101 Switching\r\n\r\n",
    ];
    for case in cases {
        assert_matches!(
            exchange_with_server(&[case]),
            Err(TransportError::InvalidResponse),
            "{case:?}"
        );
    }
    let endless = vec![b'a'; 64 * 1024];
    assert_matches!(
        exchange_with_server(&[b"HTTP/1.1 200 OK\r\nX: ", &endless]),
        Err(TransportError::InvalidResponse)
    );
}

#[test]
fn servers_that_accept_and_send_nothing_time_out() {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port of loopback");
    let address = listener.local_addr().expect("its address");
    assert_matches!(
        exchange(address, REQUEST, 5.0),
        Err(TransportError::TimedOut)
    );
}

#[test]
fn refused_connections_are_reported_as_not_connected() {
    let unused = "127.0.0.1:1".parse().expect("an address");
    let refused = TransportError::NotConnected(std::io::ErrorKind::ConnectionRefused);
    assert_eq!(exchange(unused, REQUEST, 10_000.0), Err(refused));
}
