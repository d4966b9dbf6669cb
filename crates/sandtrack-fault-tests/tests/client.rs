//! The rig's own client against a process that ends while a request is on its way.
use async_io::Async;
use futures_lite::future;
use sandtrack_fault_tests::client::{exchange, Pool};
use sandtrack_fault_tests::http::Wire;
use sandtrack_fault_tests::scenario::Effect;
use sandtrack_net::http::Side;
use sandtrack_sidecar_core::message::{self, Message};
use std::cell::{Cell, RefCell};
use std::net::{SocketAddr, SocketAddrV4, TcpListener};
use std::time::{Duration, Instant};

/// A process that answers the first request, reads the second and ends its connection, and answers what comes after that.
struct Killed {
    listener: Async<TcpListener>,
    read: Cell<u32>,
}

impl Killed {
    fn new() -> Self {
        let listener = Async::<TcpListener>::bind(([127, 0, 0, 1], 0)).expect("a port on loopback");
        Killed {
            listener,
            read: Cell::new(0),
        }
    }

    fn address(&self) -> SocketAddrV4 {
        match self
            .listener
            .get_ref()
            .local_addr()
            .expect("a bound socket has an address")
        {
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

/// A process that answers one request on each connection, and closes it when the next one comes, unread.
struct Resting(Killed);

impl Resting {
    fn new() -> Self {
        Resting(Killed::new())
    }

    /// Runs for as long as it is polled.
    async fn serve(&self) -> bool {
        let mut open = Vec::new();
        loop {
            let (stream, _) = self.0.listener.accept().await.expect("the listener stands");
            let mut wire = Wire::new(stream, Side::Request);
            wire.read().await.expect("a request");
            let answer = message::response(200, std::iter::empty(), b"done", false);
            assert!(wire.write(&answer).await, "the client reads its answer");
            let crossed = async {
                wire.stream.readable().await.expect("the socket stands");
                false
            };
            let next = async {
                self.0
                    .listener
                    .readable()
                    .await
                    .expect("the listener stands");
                true
            };
            if !future::or(crossed, next).await {
                drop(wire);
                continue;
            }
            open.push(wire);
        }
    }
}

async fn ask(
    process: &Killed,
    effect: Effect,
    pool: &RefCell<Pool>,
    rested: Duration,
) -> Option<Message> {
    let bytes = message::request("POST", "/work", [("Host", "rig")].into_iter(), b"");
    let (answer, wire) = exchange(process.address(), effect, &bytes, pool).await?;
    pool.borrow_mut().keep(wire, Instant::now() - rested);
    Some(answer)
}

/// How often requests were read, and whether the second was answered, where the process ends after it has read the second. The
/// connection of the first had rested for so long by then.
fn second_request(effect: Effect, rested: Duration) -> (u32, bool) {
    let process = Killed::new();
    let pool = RefCell::new(Pool::default());
    let asked = async {
        assert!(
            ask(&process, effect, &pool, rested).await.is_some(),
            "the first is answered"
        );
        ask(&process, effect, &pool, rested).await.is_some()
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
    assert_eq!(second_request(Effect::Unsafe, Duration::ZERO), (2, false));
}

#[test]
fn what_may_be_repeated_goes_once_more_on_a_new_connection() {
    assert_eq!(
        second_request(Effect::Repeatable, Duration::ZERO),
        (3, true)
    );
    assert_eq!(second_request(Effect::Keyed, Duration::ZERO), (3, true));
}

/// A process that closes what has rested for 3 s does not read the request that crosses the close, and ends the connection
/// without an answer: the run held that for a lost request.
#[test]
fn an_unsafe_request_goes_on_no_connection_that_its_process_is_about_to_close() {
    let process = Resting::new();
    let pool = RefCell::new(Pool::default());
    let rested = Duration::from_millis(2990);
    let asked = async {
        assert!(
            ask(&process.0, Effect::Unsafe, &pool, rested)
                .await
                .is_some(),
            "the first is answered"
        );
        ask(&process.0, Effect::Unsafe, &pool, rested)
            .await
            .is_some()
    };
    assert!(
        async_io::block_on(future::or(asked, process.serve())),
        "on a new connection"
    );
}
