//! The client of the platform's API and what comes on its kept connection.
use futures_lite::future;
use sandtrack_control::endpoint_poller::PageResult;
use sandtrack_control::platform_client::{self, Fetch};
use std::io::{Read, Write};
use std::net::{TcpListener, TcpStream};

/// The response to a call: a page without upstreams, with this token of the next.
fn page(next_token: &str) -> Vec<u8> {
    let body = format!("{{\"instances\":[],\"next_token\":\"{next_token}\"}}");
    let length = body.len();
    format!("HTTP/1.1 200 OK\r\nContent-Length: {length}\r\n\r\n{body}").into_bytes()
}

fn read_call(stream: &mut TcpStream) {
    let mut bytes = Vec::new();
    let mut byte = [0];
    while !bytes.ends_with(b"\r\n\r\n") {
        stream.read_exact(&mut byte).expect("a whole call");
        bytes.push(byte[0]);
    }
}

/// Guards against a surplus response on the idle connection that is taken for the response to the next call.
#[test]
fn a_surplus_page_on_the_idle_connection_is_no_response_to_the_next_call() {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a listener");
    let address = listener.local_addr().expect("an address").to_string();
    let (surplus_wanted, wanted) = std::sync::mpsc::channel::<()>();
    let (sent, surplus_sent) = std::sync::mpsc::channel::<()>();
    let platform = std::thread::spawn(move || {
        let (mut first, _) = listener.accept().expect("a connection");
        read_call(&mut first);
        first.write_all(&page("first")).expect("written");
        wanted.recv().expect("the first page was received");
        first.write_all(&page("first")).expect("written");
        sent.send(()).expect("the test waits");
        let (mut second, _) = listener.accept().expect("another connection");
        read_call(&mut second);
        second.write_all(&page("second")).expect("written");
    });
    let (fetches, wanted_pages) = async_channel::unbounded();
    let (results, received) = async_channel::unbounded();
    let client = platform_client::run(wanted_pages, move |result| {
        results.try_send(result).expect("the test waits");
    });
    let fetch = || Fetch {
        address: address.clone(),
        token: None,
    };
    let calls = async {
        let mut tokens = Vec::new();
        for _ in 0..2 {
            fetches.try_send(fetch()).expect("the client runs");
            let Ok(PageResult::Page(page)) = received.recv().await else {
                panic!("no page");
            };
            tokens.extend(page.next_token);
            if tokens.len() == 1 {
                surplus_wanted.send(()).expect("the platform waits");
                surplus_sent.recv().expect("the surplus page was sent");
            }
        }
        tokens
    };
    let tokens = future::block_on(future::or(calls, async {
        client.await;
        Vec::new()
    }));
    assert_eq!(tokens, ["first", "second"]);
    platform.join().expect("the platform does not panic");
}
