//! One call over one connection, with a listener on loopback at the other end.
use assert_matches::assert_matches;
use sandtrack_cli::transport::{exchange, TransportError};
use sandtrack_sidecar_core::message::Message;
use std::io::{Read, Write};
use std::net::TcpListener;

const CALL: &[u8] = b"GET /v1/status HTTP/1.1\r\nHost: a\r\n\r\n";

/// Calls a listener that takes the call and answers with these pieces.
fn answered_with(pieces: &[&[u8]]) -> Result<Message, TransportError> {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port of loopback");
    let address = listener.local_addr().expect("its address");
    std::thread::scope(|scope| {
        scope.spawn(move || {
            let (mut stream, _) = listener.accept().expect("a connection");
            let mut call = [0; CALL.len()];
            stream.read_exact(&mut call).expect("the call");
            assert_eq!(call, CALL);
            for piece in pieces {
                // The other end may have seen enough.
                if stream.write_all(piece).is_err() {
                    return;
                }
            }
        });
        exchange(address, CALL, 10_000.0)
    })
}

#[test]
fn a_long_answer_comes_whole() {
    let body = vec![b'x'; 3 << 20];
    let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", body.len());
    assert_matches!(answered_with(&[head.as_bytes(), &body]), Ok(answer) if answer.body == body);
}

#[test]
fn an_answer_in_chunks_or_up_to_the_end_of_its_connection_comes_whole() {
    let chunks: [&[u8]; 3] = [
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r",
        b"\nabc\r\n2\r\nde\r\n",
        b"0\r\n\r\n",
    ];
    assert_matches!(answered_with(&chunks), Ok(answer) if answer.body == b"abcde");
    let open: [&[u8]; 2] = [b"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nab", b"cde"];
    assert_matches!(answered_with(&open), Ok(answer) if answer.body == b"abcde");
}

#[test]
fn an_answer_that_is_cut_is_none() {
    let whole: &[u8] = b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nabcde";
    for end in 0..whole.len() {
        assert_matches!(
            answered_with(&[&whole[..end]]),
            Err(TransportError::Broken),
            "cut at {end}"
        );
    }
    assert_matches!(answered_with(&[whole]), Ok(answer) if answer.body == b"abcde");
}

#[test]
fn bytes_that_are_no_answer_are_told() {
    let cases: [&[u8]; 4] = [
        b"SSH-2.0-other\r\n\r\n",
        b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\nContent-Length: 6\r\n\r\nabcdef",
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n",
        b"HTTP/1.1 101 Switching\r\n\r\n",
    ];
    for case in cases {
        assert_matches!(
            answered_with(&[case]),
            Err(TransportError::Garbled),
            "{case:?}"
        );
    }
    let endless = vec![b'a'; 64 * 1024];
    assert_matches!(
        answered_with(&[b"HTTP/1.1 200 OK\r\nX: ", &endless]),
        Err(TransportError::Garbled)
    );
}

#[test]
fn one_that_takes_a_connection_and_says_nothing_is_silent() {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port of loopback");
    let address = listener.local_addr().expect("its address");
    assert_matches!(exchange(address, CALL, 5.0), Err(TransportError::Silent));
}

#[test]
fn where_nobody_listens_nothing_is_sent() {
    let nobody = "127.0.0.1:1".parse().expect("an address");
    let refused = TransportError::NotConnected(std::io::ErrorKind::ConnectionRefused);
    assert_eq!(exchange(nobody, CALL, 10_000.0), Err(refused));
}
