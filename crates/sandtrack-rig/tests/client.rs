//! The rig's own client against a process that ends while a request is on its way.
use async_io::Async;
use futures_lite::future;
use sandtrack_core::message::{self, Message};
use sandtrack_net::http::Side;
use sandtrack_rig::client::exchange;
use sandtrack_rig::http::Wire;
use sandtrack_rig::scenario::Effect;
use std::cell::{Cell, RefCell};
use std::net::{SocketAddr, SocketAddrV4, TcpListener};

/// A process that answers the first request, reads the second and ends its connection, and answers what comes after that.
struct Killed {
    listener: Async<TcpListener>,
    read: Cell<u32>,
}

impl Killed {
    fn new() -> Self {
        let listener = Async::<TcpListener>::bind(([127, 0, 0, 1], 0)).expect("a port on loopback");
        Killed { listener, read: Cell::new(0) }
    }

    fn address(&self) -> SocketAddrV4 {
        match self.listener.get_ref().local_addr().expect("a bound socket has an address") {
            SocketAddr::V4(address) => address,
            SocketAddr::V6(_) => unreachable!("it was bound to an address of IPv4"),
        }
    }

    /// Runs for as long as it is polled.
    async fn serve(&self) {
        loop {
            let (stream, _) = self.listener.accept().await.expect("the listener stands");
            let mut wire = Wire::new(stream, Side::Request);
            while wire.read().await.is_some() {
                self.read.set(self.read.get() + 1);
                if self.read.get() == 2 {
                    break;
                }
                let answer = message::response(200, std::iter::empty(), b"done", false);
                assert!(wire.write(&answer).await, "the client reads its answer");
            }
        }
    }
}

async fn ask(process: &Killed, effect: Effect, pool: &RefCell<Vec<Wire>>) -> Option<Message> {
    let bytes = message::request("POST", "/work", [("Host", "rig")].into_iter(), b"");
    let (answer, wire) = exchange(process.address(), effect, &bytes, pool).await?;
    pool.borrow_mut().push(wire);
    Some(answer)
}

/// How often requests were read, and whether the second was answered, where the process ends after it has read the second.
fn second_request(effect: Effect) -> (u32, bool) {
    let process = Killed::new();
    let pool = RefCell::new(Vec::new());
    let asked = async {
        assert!(ask(&process, effect, &pool).await.is_some(), "the first is answered");
        ask(&process, effect, &pool).await.is_some()
    };
    let served = async {
        process.serve().await;
        unreachable!("it serves for as long as it is polled")
    };
    let answered = async_io::block_on(future::or(asked, served));
    (process.read.get(), answered)
}

#[test]
fn an_unsafe_request_is_not_sent_again_when_its_connection_ends() {
    assert_eq!(second_request(Effect::Unsafe), (2, false));
}

#[test]
fn what_may_be_repeated_goes_once_more_on_a_new_connection() {
    assert_eq!(second_request(Effect::Repeatable), (3, true));
    assert_eq!(second_request(Effect::Keyed), (3, true));
}
