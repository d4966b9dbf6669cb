//! The server of a process's figures on a real socket.
use futures_lite::future;
use sandtrack_net::text_server::{listen, serve};
use std::io::{Read, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpStream};

fn ask(address: SocketAddr, target: &str) -> String {
    let mut stream = TcpStream::connect(address).expect("a connection");
    write!(stream, "GET {target} HTTP/1.1\r\nHost: figures\r\n\r\n").expect("written");
    let mut answer = String::new();
    stream
        .read_to_string(&mut answer)
        .expect("an answer up to its end");
    answer
}

#[test]
fn the_text_is_made_anew_for_each_call_and_anything_else_is_not_found() {
    let listener = listen(&format!("{}:0", Ipv4Addr::LOCALHOST)).expect("an address");
    let address = listener.get_ref().local_addr().expect("bound");
    let asking = std::thread::spawn(move || {
        // One that says nothing does not keep the others from being answered.
        let _silent = TcpStream::connect(address).expect("a connection");
        [
            ask(address, "/metrics"),
            ask(address, "/metrics?all"),
            ask(address, "/else"),
        ]
    });
    let calls = std::cell::Cell::new(0);
    let text = || {
        calls.set(calls.get() + 1);
        format!("calls {}\n", calls.get())
    };
    let serving = async {
        serve(listener, "/metrics", text).await;
        unreachable!("it serves for as long as it lives")
    };
    let asked = async {
        while !asking.is_finished() {
            async_io::Timer::after(std::time::Duration::from_millis(5)).await;
        }
    };
    async_io::block_on(future::or(serving, asked));
    let [first, second, other] = asking.join().expect("answers");
    assert!(
        first.starts_with("HTTP/1.1 200") && first.ends_with("calls 1\n"),
        "{first}"
    );
    assert!(second.ends_with("calls 2\n"), "{second}");
    assert!(other.starts_with("HTTP/1.1 404"), "{other}");
}

#[test]
fn what_is_no_address_is_an_error() {
    assert!(listen("nowhere").is_err());
}
