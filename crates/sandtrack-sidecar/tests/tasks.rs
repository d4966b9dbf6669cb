//! The tasks that own a socket, one at a time: what they tell the reducer at the edges of a connection's life.
use async_io::Async;
use futures_lite::future::block_on;
use sandtrack_net::http;
use sandtrack_net::socket::Clock;
use sandtrack_sidecar::net::{Inputs, Order};
use sandtrack_sidecar::{client, upstream};
use sandtrack_sidecar_core::reducer::{Input, Written};
use std::io::{Read, Write};
use std::net::{TcpListener, TcpStream};

type Orders = async_channel::Sender<Order>;
type Received = async_channel::Receiver<Input>;

const REQUEST: &[u8] = b"GET /api HTTP/1.1\r\nX-Call-Id: 1\r\n\r\n";

fn pair() -> (TcpStream, TcpStream) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let near = TcpStream::connect(listener.local_addr().unwrap()).unwrap();
    (near, listener.accept().unwrap().0)
}

fn channels() -> (Orders, async_channel::Receiver<Order>, Inputs, Received) {
    let (orders, receiver) = async_channel::unbounded();
    let (inputs, received) = Inputs::new(Clock::start());
    (orders, receiver, inputs, received)
}

/// What is told next, beside that a message was written.
fn told(received: &Received) -> Input {
    loop {
        match block_on(received.recv()).unwrap() {
            Input::UpstreamWrote { .. } => {}
            other => return other,
        }
    }
}

/// Runs a client's connection on a thread of its own, with these orders given before it starts.
fn client_task(orders_first: Vec<Order>, written: &[u8]) -> (TcpStream, Orders, Received) {
    let (mut near, far) = pair();
    near.write_all(written).unwrap();
    let (orders, receiver, inputs, received) = channels();
    orders_first
        .into_iter()
        .for_each(|order| orders.try_send(order).unwrap());
    std::thread::spawn(move || {
        block_on(client::serve(1, Async::new(far).unwrap(), receiver, inputs));
    });
    (near, orders, received)
}

/// It was read after a half-close and thrown away, and so lost.
#[test]
fn a_request_that_came_before_its_connection_is_retired_is_told_and_answered() {
    let (mut near, orders, received) = client_task(vec![Order::Retire], REQUEST);
    assert!(matches!(
        told(&received),
        Input::ClientRequest { conn: 1, .. }
    ));
    let bytes = http::response(200, std::iter::empty(), b"served", true);
    orders
        .try_send(Order::Answer {
            bytes: bytes.clone(),
            close: true,
            bad: false,
        })
        .unwrap();
    let mut answer = Vec::new();
    near.read_to_end(&mut answer).unwrap();
    assert_eq!(answer, bytes);
    drop(near);
    assert!(matches!(told(&received), Input::ClientClosed { conn: 1 }));
}

#[test]
fn a_connection_with_half_a_request_is_not_retired() {
    let (mut near, orders, received) = client_task(vec![Order::Retire], &REQUEST[..20]);
    orders.try_send(Order::Retire).unwrap();
    near.write_all(&REQUEST[20..]).unwrap();
    assert!(matches!(told(&received), Input::ClientRequest { .. }));
}

#[test]
fn an_idle_connection_is_retired() {
    let (mut near, _orders, received) = client_task(vec![Order::Retire], b"");
    assert!(matches!(told(&received), Input::ClientClosed { .. }));
    assert_eq!(near.read(&mut [0]).unwrap(), 0);
}

#[test]
fn a_client_that_leaves_while_it_waits_is_told() {
    let (near, _orders, received) = client_task(Vec::new(), REQUEST);
    assert!(matches!(told(&received), Input::ClientRequest { .. }));
    drop(near);
    assert!(matches!(told(&received), Input::ClientClosed { .. }));
}

/// One that sends the same bad request again and again is answered at once, and has its next turn after the others.
#[test]
fn after_a_bad_request_the_connection_is_read_on_a_little_later() {
    let (mut near, orders, received) = client_task(Vec::new(), &REQUEST.repeat(3));
    let began = std::time::Instant::now();
    for round in 0..3 {
        assert!(matches!(
            told(&received),
            Input::ClientRequest { conn: 1, .. }
        ));
        // A lower bound alone: it holds on a busy machine too.
        assert!(began.elapsed() >= std::time::Duration::from_millis(50 * round));
        let bytes = http::response(400, std::iter::empty(), b"", false);
        orders
            .try_send(Order::Answer {
                bytes: bytes.clone(),
                close: false,
                bad: true,
            })
            .unwrap();
        let mut answer = vec![0; bytes.len()];
        near.read_exact(&mut answer).unwrap();
        assert_eq!(answer, bytes);
    }
}

#[test]
fn half_a_request_is_told_once() {
    let (mut near, _orders, received) = client_task(Vec::new(), &REQUEST[..9]);
    assert!(matches!(
        told(&received),
        Input::ClientBegan { conn: 1, .. }
    ));
    near.write_all(&REQUEST[9..20]).unwrap();
    near.write_all(&REQUEST[20..]).unwrap();
    assert!(matches!(
        told(&received),
        Input::ClientRequest { conn: 1, .. }
    ));
}

/// What it sent on was read for as long as it came, and nobody else had a turn; closed at once, the error would be lost.
#[test]
fn one_that_sends_without_end_is_read_no_further_and_gets_its_error() {
    let (mut near, orders, received) = client_task(Vec::new(), b"GET / HTTP/9\r\n\r\n");
    assert!(matches!(
        told(&received),
        Input::ClientBad { status: 400, .. }
    ));
    let bytes = http::response(400, std::iter::empty(), b"", true);
    orders
        .try_send(Order::Answer {
            bytes: bytes.clone(),
            close: true,
            bad: false,
        })
        .unwrap();
    let mut answer = vec![0; bytes.len()];
    near.read_exact(&mut answer).unwrap();
    assert_eq!(answer, bytes);
    near.set_nonblocking(true).unwrap();
    let mut sent = 0;
    while received.is_empty() && sent < 1 << 30 {
        match near.write(&[7; 65536]) {
            Ok(count) => sent += count,
            Err(error) if error.kind() == std::io::ErrorKind::WouldBlock => {
                std::thread::yield_now();
            }
            Err(_) => break,
        }
    }
    assert!(matches!(told(&received), Input::ClientClosed { .. }));
    // What was taken is what the two sockets' buffers hold, and the little that is read on.
    assert!(sent < 32 << 20, "{sent} bytes were taken");
}

/// Runs a connection to an upstream, and gives the upstream's side of it once it is up.
fn upstream_task() -> (TcpStream, Orders, Received) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let (orders, receiver, inputs, received) = channels();
    std::thread::spawn(move || block_on(upstream::run(1, address, receiver, inputs)));
    let far = listener.accept().unwrap().0;
    assert!(matches!(
        told(&received),
        Input::UpstreamConnected { conn: 1 }
    ));
    (far, orders, received)
}

fn ask(orders: &Orders) {
    orders
        .try_send(Order::Ask {
            bytes: REQUEST.to_vec(),
            streamed: false,
            more: false,
        })
        .unwrap();
}

fn written(received: &Received) -> Written {
    match told(received) {
        Input::UpstreamClosed { written, .. } => written,
        other => panic!("{other:?}"),
    }
}

/// Written to, it would end as a reset that may have run.
#[test]
fn nothing_is_begun_on_a_connection_that_its_upstream_has_closed() {
    let (far, orders, received) = upstream_task();
    drop(far);
    // The order may find the task still there or gone: nothing is begun either way.
    let _ = orders.try_send(Order::Ask {
        bytes: REQUEST.to_vec(),
        streamed: false,
        more: false,
    });
    assert_eq!(written(&received), Written { begun: 0, whole: 0 });
}

#[test]
fn an_answer_that_ends_early_or_is_no_http_was_asked_for_whole() {
    let long = format!("HTTP/1.1 200 OK\r\nA: {}", "a".repeat(2 * http::HEAD_MAX));
    for (answer, spoilt) in [
        ("", false),
        ("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhalf", false),
        ("HTTP/1.1 200 OK\r\n", false),
        ("SSH-2.0\r\n\r\n", true),
        ("HTTP/1.1 200 OK\r\n\r\nuntil the end", true),
        (
            "HTTP/1.1 200 OK\r\nContent-Length: 3221225472\r\n\r\nand so on",
            true,
        ),
        (long.as_str(), true),
    ] {
        let (mut far, orders, received) = upstream_task();
        ask(&orders);
        let mut request = vec![0; REQUEST.len()];
        far.read_exact(&mut request).unwrap();
        assert_eq!(request, REQUEST);
        far.write_all(answer.as_bytes()).unwrap();
        // A spoilt one is told though its connection stays open.
        let far = Some(far).filter(|_| spoilt);
        let mut told_spoilt = false;
        let ended = loop {
            match told(&received) {
                Input::UpstreamPartly { .. } => {}
                Input::UpstreamSpoilt { .. } => told_spoilt = true,
                Input::UpstreamClosed { written, .. } => break written,
                other => panic!("{other:?}"),
            }
        };
        assert_eq!(
            (ended, told_spoilt),
            (Written { begun: 1, whole: 1 }, spoilt),
            "{answer:?}"
        );
        drop(far);
    }
}

/// Read as the answer to what is asked next, it would serve a client with another's.
#[test]
fn what_comes_behind_an_answer_ends_its_connection() {
    for behind in ["HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nhi", "noise"] {
        let (mut far, orders, received) = upstream_task();
        ask(&orders);
        far.read_exact(&mut vec![0; REQUEST.len()]).unwrap();
        far.write_all(b"HTTP/1.1 103 Hints\r\n\r\n").unwrap();
        far.write_all(
            ("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nhi".to_owned() + behind).as_bytes(),
        )
        .unwrap();
        let Input::UpstreamAnswered { message, .. } = told(&received) else {
            panic!("no answer")
        };
        assert_eq!(
            (message.body.as_slice(), message.head.keep_alive),
            (b"hi".as_slice(), false)
        );
        assert_eq!(written(&received), Written { begun: 1, whole: 1 });
    }
}

#[test]
fn an_answer_is_told_whole_and_the_connection_kept_or_not() {
    let (mut far, orders, received) = upstream_task();
    for (text, kept) in [
        ("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nhi", true),
        (
            "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nConnection: close\r\n\r\nhi",
            false,
        ),
    ] {
        ask(&orders);
        far.read_exact(&mut vec![0; REQUEST.len()]).unwrap();
        far.write_all(text.as_bytes()).unwrap();
        let Input::UpstreamAnswered { message, .. } = told(&received) else {
            panic!("no answer")
        };
        assert_eq!(
            (message.body.as_slice(), message.head.keep_alive),
            (b"hi".as_slice(), kept)
        );
    }
    assert_eq!(written(&received), Written { begun: 2, whole: 2 });
}

#[test]
fn an_order_to_close_ends_a_connection_that_waits() {
    let (mut far, orders, received) = upstream_task();
    ask(&orders);
    far.read_exact(&mut vec![0; REQUEST.len()]).unwrap();
    assert!(matches!(
        block_on(received.recv()).unwrap(),
        Input::UpstreamWrote { conn: 1 }
    ));
    orders.try_send(Order::Close).unwrap();
    assert_eq!(written(&received), Written { begun: 1, whole: 1 });
    assert_eq!(far.read(&mut [0]).unwrap(), 0);
}

#[test]
fn a_streamed_answer_is_told_one_piece_at_a_time() {
    let (mut far, orders, received) = upstream_task();
    orders
        .try_send(Order::Ask {
            bytes: REQUEST.to_vec(),
            streamed: true,
            more: false,
        })
        .unwrap();
    far.read_exact(&mut vec![0; REQUEST.len()]).unwrap();
    far.write_all(&http::response_head(
        200,
        std::iter::empty(),
        http::Flow::Chunks,
        false,
    ))
    .unwrap();
    for piece in [b"one".as_slice(), b"two", b""] {
        far.write_all(&http::chunk(piece)).unwrap();
    }
    assert!(matches!(told(&received), Input::UpstreamBegan { .. }));
    for piece in [b"one".as_slice(), b"two"] {
        assert!(received.is_empty(), "the next is told when it is wanted");
        orders.try_send(Order::More).unwrap();
        let Input::UpstreamPiece { bytes, .. } = told(&received) else {
            panic!("no piece")
        };
        assert_eq!(bytes, piece);
    }
    orders.try_send(Order::More).unwrap();
    assert!(matches!(
        told(&received),
        Input::UpstreamOver {
            keep_alive: true,
            ..
        }
    ));
}

#[test]
fn a_streamed_answer_is_written_piece_by_piece() {
    let (mut near, orders, received) = client_task(Vec::new(), REQUEST);
    assert!(matches!(told(&received), Input::ClientRequest { .. }));
    let mut whole = http::response_head(200, std::iter::empty(), http::Flow::Chunks, true);
    orders
        .try_send(Order::Piece {
            bytes: whole.clone(),
        })
        .unwrap();
    assert!(matches!(told(&received), Input::ClientWrote { conn: 1 }));
    let (piece, last) = (http::chunk(b"piece"), http::chunk(b""));
    orders
        .try_send(Order::Piece {
            bytes: piece.clone(),
        })
        .unwrap();
    assert!(matches!(told(&received), Input::ClientWrote { conn: 1 }));
    orders
        .try_send(Order::Answer {
            bytes: last.clone(),
            close: true,
            bad: false,
        })
        .unwrap();
    let mut answer = Vec::new();
    near.read_to_end(&mut answer).unwrap();
    whole.extend(piece);
    whole.extend(last);
    assert_eq!(answer, whole);
}

#[test]
fn a_client_that_holds_its_body_back_is_told_to_go_on() {
    let head = b"POST / HTTP/1.1\r\nExpect: 100-continue\r\nContent-Length: 4\r\n\r\n";
    let (mut near, _orders, received) = client_task(Vec::new(), head);
    let mut told_to = vec![0; http::CONTINUE.len()];
    near.read_exact(&mut told_to).unwrap();
    assert_eq!(told_to, http::CONTINUE);
    assert!(matches!(
        told(&received),
        Input::ClientBegan { conn: 1, .. }
    ));
    near.write_all(b"body").unwrap();
    let Input::ClientRequest { message, .. } = told(&received) else {
        panic!("no request")
    };
    assert_eq!(
        (message.body.as_slice(), message.head.headers.get("Expect")),
        (b"body".as_slice(), None)
    );
}

/// Its pieces wait in the socket until they are wanted: a slow upstream holds back its own client.
#[test]
fn a_large_request_is_told_piece_by_piece_as_it_is_wanted() {
    let head = b"POST / HTTP/1.1\r\nExpect: 100-continue\r\nContent-Length: 100000\r\n\r\n";
    let (mut near, orders, received) = client_task(Vec::new(), head);
    let Input::ClientFlows {
        head,
        length: Some(100_000),
        ..
    } = told(&received)
    else {
        panic!("no head")
    };
    assert_eq!(head.headers.get("Expect"), None);
    orders.try_send(Order::More).unwrap();
    let mut told_to = vec![0; http::CONTINUE.len()];
    near.read_exact(&mut told_to).unwrap();
    assert_eq!(told_to, http::CONTINUE);
    let body: Vec<u8> = (0..100_000u32).map(|n| (n % 251) as u8).collect();
    near.write_all(&body).unwrap();
    // Behind it comes the next request, which is none of its body.
    near.write_all(REQUEST).unwrap();
    let mut got = Vec::new();
    loop {
        let Input::ClientPiece { bytes, last, .. } = told(&received) else {
            panic!("no piece")
        };
        got.extend(bytes);
        assert!(received.is_empty(), "one at a time");
        if last {
            break;
        }
        orders.try_send(Order::More).unwrap();
    }
    assert_eq!(got, body);
    let bytes = http::response(200, std::iter::empty(), b"", false);
    orders
        .try_send(Order::Answer {
            bytes: bytes.clone(),
            close: false,
            bad: false,
        })
        .unwrap();
    near.read_exact(&mut vec![0; bytes.len()]).unwrap();
    assert!(matches!(
        told(&received),
        Input::ClientRequest { conn: 1, .. }
    ));
}

#[test]
fn a_request_in_pieces_is_written_and_said_to_be_whole_at_its_last_byte() {
    let (mut far, orders, received) = upstream_task();
    let head = b"POST / HTTP/1.1\r\nContent-Length: 9\r\n\r\n";
    orders
        .try_send(Order::Ask {
            bytes: head.to_vec(),
            streamed: false,
            more: true,
        })
        .unwrap();
    assert!(matches!(told(&received), Input::UpstreamTook { conn: 1 }));
    for (piece, last) in [(b"piece".to_vec(), false), (b"last".to_vec(), true)] {
        orders.try_send(Order::Pass { bytes: piece, last }).unwrap();
        let input = block_on(received.recv()).unwrap();
        assert!(matches!(
            (input, last),
            (Input::UpstreamTook { .. }, false) | (Input::UpstreamWrote { .. }, true)
        ));
    }
    let mut request = vec![0; head.len() + 9];
    far.read_exact(&mut request).unwrap();
    assert!(request.ends_with(b"\r\n\r\npiecelast"));
    far.write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nhi")
        .unwrap();
    let Input::UpstreamAnswered { message, .. } = told(&received) else {
        panic!("no answer")
    };
    assert!(message.head.keep_alive);
    // One that ends in the midst of a body was not asked for whole.
    orders
        .try_send(Order::Ask {
            bytes: head.to_vec(),
            streamed: false,
            more: true,
        })
        .unwrap();
    assert!(matches!(told(&received), Input::UpstreamTook { conn: 1 }));
    drop(far);
    assert_eq!(written(&received), Written { begun: 2, whole: 1 });
}

#[test]
fn an_answer_that_ends_with_its_connection_is_told_whole_or_as_it_comes() {
    for size in [10, 200_000] {
        let (mut far, orders, received) = upstream_task();
        ask(&orders);
        far.read_exact(&mut vec![0; REQUEST.len()]).unwrap();
        let body = vec![7; size];
        std::thread::spawn(move || {
            far.write_all(b"HTTP/1.0 200 OK\r\n\r\n").unwrap();
            far.write_all(&vec![7; size]).unwrap();
        });
        let mut got = Vec::new();
        loop {
            match told(&received) {
                Input::UpstreamPartly { .. } => continue,
                Input::UpstreamAnswered { message, .. } => {
                    assert!(!message.head.keep_alive && size < 100);
                    got = message.body;
                    break;
                }
                Input::UpstreamBegan { length: None, .. } => {}
                Input::UpstreamPiece { bytes, .. } => got.extend(bytes),
                Input::UpstreamOver {
                    keep_alive: false, ..
                } => break,
                other => panic!("{other:?}"),
            }
            orders.try_send(Order::More).unwrap();
        }
        assert_eq!(got, body);
    }
}

/// A large answer in chunks was collected until 64 KiB had come, long after its first bytes were due.
#[test]
fn an_answer_whose_length_is_not_told_is_passed_on_when_it_is_wanted() {
    let (mut far, orders, received) = upstream_task();
    ask(&orders);
    far.read_exact(&mut vec![0; REQUEST.len()]).unwrap();
    // There is nothing to pass on yet.
    orders.try_send(Order::Begin).unwrap();
    far.write_all(&http::response_head(
        200,
        [("Kind", "a")].into_iter(),
        http::Flow::Chunks,
        false,
    ))
    .unwrap();
    assert!(matches!(
        told(&received),
        Input::UpstreamPartly { open: true, .. }
    ));
    far.write_all(&http::chunk(b"first")).unwrap();
    assert!(matches!(
        told(&received),
        Input::UpstreamPartly { open: true, .. }
    ));
    orders.try_send(Order::Begin).unwrap();
    let Input::UpstreamBegan {
        head, length: None, ..
    } = told(&received)
    else {
        panic!("not begun")
    };
    assert_eq!(head.headers.get("Kind"), Some("a"));
    orders.try_send(Order::More).unwrap();
    let Input::UpstreamPiece { bytes, .. } = told(&received) else {
        panic!("no piece")
    };
    assert_eq!(bytes, b"first");
    orders.try_send(Order::More).unwrap();
    far.write_all(b"9\r\nsec").unwrap();
    let Input::UpstreamPiece { bytes, .. } = told(&received) else {
        panic!("no piece")
    };
    assert_eq!(
        bytes, b"sec",
        "a part of a chunk is told, and its silence is no end"
    );
    orders.try_send(Order::More).unwrap();
    far.write_all(b"ond...\r\n0\r\n\r\n").unwrap();
    let Input::UpstreamPiece { bytes, .. } = told(&received) else {
        panic!("no piece")
    };
    assert_eq!(bytes, b"ond...");
    orders.try_send(Order::More).unwrap();
    assert!(matches!(
        told(&received),
        Input::UpstreamOver {
            keep_alive: true,
            ..
        }
    ));
    // One whose length is told is kept whole.
    ask(&orders);
    far.read_exact(&mut vec![0; REQUEST.len()]).unwrap();
    far.write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nhi")
        .unwrap();
    assert!(matches!(
        told(&received),
        Input::UpstreamPartly { open: false, .. }
    ));
    orders.try_send(Order::Begin).unwrap();
    far.write_all(b"hi").unwrap();
    assert!(matches!(told(&received), Input::UpstreamAnswered { .. }));
}

/// An answer that ends with its connection looked whole to its client when it was cut off.
#[test]
fn an_answer_that_is_cut_off_is_reset() {
    let (mut near, orders, received) = client_task(Vec::new(), REQUEST);
    assert!(matches!(told(&received), Input::ClientRequest { .. }));
    let bytes = b"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nhalf of it".to_vec();
    orders.try_send(Order::Piece { bytes }).unwrap();
    assert!(matches!(told(&received), Input::ClientWrote { conn: 1 }));
    orders.try_send(Order::Close).unwrap();
    assert!(
        near.read_to_end(&mut Vec::new()).is_err(),
        "it ended as if it were whole"
    );
}

/// A client that left with its last byte was not counted as served, and the connection to its upstream was closed.
#[test]
fn an_answer_of_a_told_length_is_over_with_its_last_piece() {
    let (mut far, orders, received) = upstream_task();
    for _ in 0..2 {
        ask(&orders);
        far.read_exact(&mut vec![0; REQUEST.len()]).unwrap();
        far.write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 70000\r\n\r\n")
            .unwrap();
        assert!(matches!(
            told(&received),
            Input::UpstreamBegan {
                length: Some(70_000),
                ..
            }
        ));
        let mut rest = far.try_clone().unwrap();
        std::thread::spawn(move || rest.write_all(&[7; 70_000]).unwrap());
        let mut got = 0;
        while got < 70_000 {
            orders.try_send(Order::More).unwrap();
            let Input::UpstreamPiece { bytes, .. } = told(&received) else {
                panic!("no piece")
            };
            got += bytes.len();
        }
        assert!(
            matches!(
                told(&received),
                Input::UpstreamOver {
                    keep_alive: true,
                    ..
                }
            ),
            "without being asked"
        );
    }
}
