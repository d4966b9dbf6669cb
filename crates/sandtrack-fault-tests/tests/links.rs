//! The relay of TCP links by itself: what each state of a link does to bytes and connections.
use async_executor::LocalExecutor;
use async_io::Async;
use futures_lite::{AsyncReadExt, AsyncWriteExt};
use sandtrack_fault_tests::plan::Plan;
use sandtrack_fault_tests::system::links::{End, Links, Passage, SharedLinks};
use sandtrack_fault_tests::system::relay::{open, Place, Spoken};
use sandtrack_fault_tests::tasks::Spawner;
use std::future::Future;
use std::io::ErrorKind;
use std::net::{Shutdown, SocketAddr, SocketAddrV4, TcpListener, TcpStream};
use std::rc::Rc;
use std::time::{Duration, Instant};

const MACHINE: End = End::Machine(0);

/// A relay before a listener, by which an operator reaches machine 0.
struct Stage {
    links: SharedLinks,
    at: SocketAddrV4,
    behind: Async<TcpListener>,
    _plan: Plan,
}

impl Stage {
    async fn connect(&self) -> Async<TcpStream> {
        Async::<TcpStream>::connect(SocketAddr::V4(self.at))
            .await
            .expect("a connection")
    }

    /// Both ends of a connection through the relay.
    async fn pair(&self) -> (Async<TcpStream>, Async<TcpStream>) {
        let caller = self.connect().await;
        let (called, _) = self.behind.accept().await.expect("the other end");
        (caller, called)
    }

    fn set(&self, from: End, to: End, passage: Passage) {
        self.links.borrow_mut().set(from, to, passage);
    }
}

fn play<F: Future<Output = ()>>(scene: impl FnOnce(Stage) -> F) {
    let executor = Rc::new(LocalExecutor::new());
    let plan = Plan::take().expect("addresses");
    let (at, behind) = (plan.announced(0, 8166), plan.behind(0, 8166));
    let links = Links::shared();
    let listener = Async::<TcpListener>::bind(SocketAddr::V4(behind)).expect("an address");
    let place = Place {
        links: links.clone(),
        machines: Rc::default(),
        spoken: Spoken::Operators,
        machine: 0,
        behind,
    };
    open(at, place, &Spawner::of(&executor)).expect("a relay");
    let stage = Stage {
        links,
        at,
        behind: listener,
        _plan: plan,
    };
    async_io::block_on(executor.run(scene(stage)));
}

async fn send(stream: &mut Async<TcpStream>, text: &str) {
    stream.write_all(text.as_bytes()).await.expect("written");
}

async fn expect(stream: &mut Async<TcpStream>, text: &str) {
    let mut bytes = vec![0; text.len()];
    stream.read_exact(&mut bytes).await.expect("bytes");
    assert_eq!(String::from_utf8_lossy(&bytes), text);
}

fn has_nothing(stream: &Async<TcpStream>) -> bool {
    stream
        .get_ref()
        .peek(&mut [0])
        .is_err_and(|error| error.kind() == ErrorKind::WouldBlock)
}

#[test]
fn a_cut_one_way_holds_bytes_that_come_when_it_is_mended() {
    play(|stage| async move {
        let (mut caller, mut called) = stage.pair().await;
        stage.set(End::Operator, MACHINE, Passage::Held);
        send(&mut caller, "held").await;
        for _ in 0..20 {
            // The other way is open all the while.
            send(&mut called, "back").await;
            expect(&mut caller, "back").await;
            assert!(has_nothing(&called));
        }
        stage.links.borrow_mut().mend();
        expect(&mut called, "held").await;
    });
}

#[test]
fn a_connection_that_is_given_up_during_a_cut_never_comes_up() {
    play(|stage| async move {
        stage.set(MACHINE, End::Operator, Passage::Held);
        let mut given_up = stage.connect().await;
        send(&mut given_up, "late").await;
        given_up
            .get_ref()
            .shutdown(Shutdown::Write)
            .expect("closed");
        assert!(
            matches!(given_up.read(&mut [0]).await, Ok(0) | Err(_)),
            "the relay has given it up too"
        );
        let mut kept = stage.connect().await;
        send(&mut kept, "in time").await;
        stage.links.borrow_mut().mend();
        let (mut called, _) = stage.behind.accept().await.expect("the other end");
        expect(&mut called, "in time").await;
    });
}

#[test]
fn bytes_are_lost_one_way_and_the_other_way_goes_on() {
    play(|stage| async move {
        let (mut caller, mut called) = stage.pair().await;
        stage.set(MACHINE, End::Operator, Passage::Lost);
        send(&mut called, "answer").await;
        for _ in 0..20 {
            send(&mut caller, "there").await;
            expect(&mut called, "there").await;
        }
        assert!(has_nothing(&caller));
        // What was lost does not come any more, nor does what follows on that connection.
        stage.links.borrow_mut().mend();
        send(&mut called, "more").await;
        send(&mut caller, "there").await;
        expect(&mut called, "there").await;
        assert!(has_nothing(&caller));
        let (mut caller, mut called) = stage.pair().await;
        send(&mut called, "answer").await;
        expect(&mut caller, "answer").await;
    });
}

#[test]
fn a_delay_keeps_bytes_under_way_and_their_order() {
    play(|stage| async move {
        let (mut caller, mut called) = stage.pair().await;
        let delay = Duration::from_millis(30);
        stage
            .links
            .borrow_mut()
            .delay(End::Operator, MACHINE, delay);
        let began = Instant::now();
        for text in ["one ", "two ", "three"] {
            send(&mut caller, text).await;
        }
        expect(&mut called, "one two three").await;
        assert!(began.elapsed() >= delay);
        send(&mut called, "back").await;
        expect(&mut caller, "back").await;
        assert!(began.elapsed() >= 2 * delay);
    });
}

#[test]
fn a_reset_is_seen_at_both_ends_and_a_close_stays_a_close() {
    play(|stage| async move {
        let (mut caller, mut called) = stage.pair().await;
        send(&mut caller, "there").await;
        expect(&mut called, "there").await;
        stage.links.borrow_mut().reset(MACHINE, End::Operator);
        for end in [&mut caller, &mut called] {
            let read = end.read(&mut [0]).await;
            assert_eq!(
                read.expect_err("a reset").kind(),
                ErrorKind::ConnectionReset
            );
        }
        let (mut caller, mut called) = stage.pair().await;
        send(&mut caller, "last").await;
        caller.get_ref().shutdown(Shutdown::Write).expect("closed");
        expect(&mut called, "last").await;
        assert_eq!(called.read(&mut [0]).await.expect("its end"), 0);
    });
}
