//! The built sidecar as its staff run it: upgrades with two real processes on one listening socket, orders by hand that
//! hold in both, large bodies, and what it says of a faulty start.
mod common;
#[path = "../../../examples/toy_server.rs"]
#[allow(dead_code)]
mod toy;

use common::{answer, free_address, listener};
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{TcpListener, TcpStream};
use std::os::fd::AsRawFd;
use std::path::PathBuf;
use std::process::{Child, Command, Output, Stdio};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::Arc;
use std::time::Duration;

/// What one sidecar has beside its processes.
struct Place {
    folder: PathBuf,
    listener: TcpListener,
    served: Arc<AtomicUsize>,
}

impl Drop for Place {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

struct Process {
    child: Child,
    admin: String,
}

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

impl Place {
    /// A listening socket that processes inherit, three toy upstreams, and the discovery that lists them.
    fn new(name: &str) -> Self {
        let served = Arc::new(AtomicUsize::new(0));
        let upstreams = (0..3).map(|_| {
            let (listener, address) = listener();
            toy::upstream(listener, served.clone());
            address
        });
        let upstreams = upstreams.collect();
        let (catalog, discovery) = listener();
        toy::discovery(catalog, upstreams);
        let (listener, address) = listener();
        rustix::io::fcntl_setfd(&listener, rustix::io::FdFlags::empty()).unwrap();
        let folder =
            std::env::temp_dir().join(format!("sandtrack-ops-{}-{name}", std::process::id()));
        std::fs::create_dir_all(&folder).unwrap();
        let known = common::catalog(0, true, Vec::new());
        let config = common::config(&address, &discovery, known);
        std::fs::write(folder.join("config.json"), config.to_string()).unwrap();
        Place {
            folder,
            listener,
            served,
        }
    }

    fn command(&self) -> Command {
        let mut command = Command::new(env!("CARGO_BIN_EXE_sandtrack"));
        command
            .env("NODE_CONFIG", self.folder.join("config.json"))
            .env("TMPDIR", &self.folder);
        command
            .env_remove("NODE_LISTEN")
            .env_remove("NODE_DISCOVERY");
        command.env("NODE_SOCKET_FD", self.listener.as_raw_fd().to_string());
        command
    }

    /// One more process, once it says that it is ready.
    fn start(&self) -> Process {
        let admin = free_address(1);
        let child = self
            .command()
            .env("NODE_ADMIN", &admin)
            .stderr(Stdio::null())
            .spawn()
            .unwrap();
        let process = Process { child, admin };
        process.until("GET", "/-/ready", |status, _| status == 200);
        process
    }

    fn connect(&self) -> BufReader<TcpStream> {
        connect(&self.listener.local_addr().unwrap().to_string())
            .expect("the socket is always there")
    }
}

fn connect(address: &str) -> Option<BufReader<TcpStream>> {
    let stream = TcpStream::connect(address).ok()?;
    stream
        .set_read_timeout(Some(Duration::from_secs(20)))
        .unwrap();
    Some(BufReader::new(stream))
}

fn head(target: &str, class: &str) -> String {
    static NEXT: AtomicUsize = AtomicUsize::new(1);
    let id = NEXT.fetch_add(1, Ordering::Relaxed);
    let method = if class == "read" { "GET" } else { "POST" };
    format!(
        "{method} {target} HTTP/1.1\r\nHost: backend.local\r\nX-Call-Id: {id:016x}\r\nX-Call-Class: {class}\r\n\
         X-Caller: acme\r\nX-Budget-Ms: 20000\r\n"
    )
}

impl Process {
    fn call(&self, method: &str, target: &str) -> Option<(u16, String)> {
        let mut caller = connect(&self.admin)?;
        let text = format!("{method} {target} HTTP/1.1\r\nHost: here\r\nContent-Length: 0\r\n\r\n");
        caller.get_mut().write_all(text.as_bytes()).ok()?;
        let (status, close, body) = answer(&mut caller)?;
        assert!(close, "one call a connection");
        Some((status, String::from_utf8(body).unwrap()))
    }

    fn order(&self, target: &str) {
        assert_eq!(self.call("POST", target).unwrap().0, 200, "{target}");
    }

    /// Asks until the answer is as wanted.
    fn until(&self, method: &str, target: &str, wanted: impl Fn(u16, &str) -> bool) {
        for _ in 0..2000 {
            if self
                .call(method, target)
                .is_some_and(|(status, text)| wanted(status, &text))
            {
                return;
            }
            std::thread::sleep(Duration::from_millis(10));
        }
        panic!("{target} never answered as wanted");
    }

    fn shows(&self, line: &str) {
        self.until("GET", "/-/metrics", |_, text| {
            text.lines().any(|shown| shown == line)
        });
    }

    fn terminate(mut self) {
        let pid = self.child.id().to_string();
        assert!(Command::new("kill")
            .args(["-TERM", &pid])
            .status()
            .unwrap()
            .success());
        assert_eq!(self.child.wait().unwrap().code(), Some(0));
    }
}

/// Asks on until told to stop; gives how many answers came. Each request is answered, or crossed the close of an idle
/// connection and is asked again on a new one.
fn keep_asking(address: String, stop: Arc<AtomicBool>) -> usize {
    let (mut client, mut answers) = (None, 0);
    while !stop.load(Ordering::Relaxed) {
        let mut connected: BufReader<TcpStream> =
            client.take().unwrap_or_else(|| connect(&address).unwrap());
        std::thread::sleep(Duration::from_millis(1));
        let asked = connected
            .get_mut()
            .write_all((head("/api", "read") + "\r\n").as_bytes());
        let answered = asked.ok().and_then(|()| answer(&mut connected));
        if let Some((status, close, _)) = answered {
            assert!(matches!(status, 200 | 502 | 503), "{status}");
            answers += 1;
            client = Some(connected).filter(|_| !close);
        }
    }
    answers
}

/// Two upgrades in a row: the second process served a listener of its own, ended at once for want of the address, and
/// knew nothing of what was ordered before.
#[test]
fn upgrades_under_load_lose_nothing_and_what_was_ordered_holds() {
    let place = Place::new("upgrade");
    let address = place.listener.local_addr().unwrap().to_string();
    let mut process = place.start();
    let stop = Arc::new(AtomicBool::new(false));
    let clients: Vec<_> = (0..4)
        .map(|_| {
            let (address, stop) = (address.clone(), stop.clone());
            std::thread::spawn(move || keep_asking(address, stop))
        })
        .collect();
    process.order("/-/upstreams/toy-0/disable");
    for back in ["toy-1", "toy-2"] {
        let next = place.start();
        next.shows("node.members_unavailable=1");
        // Ordered at either it holds at both.
        next.order(&format!("/-/upstreams/{back}/disable"));
        process.shows("node.members_unavailable=2");
        process.order(&format!("/-/upstreams/{back}/enable"));
        next.shows("node.members_unavailable=1");
        let before = place.served.load(Ordering::Relaxed);
        process.terminate();
        while place.served.load(Ordering::Relaxed) < before + 50 {
            std::thread::sleep(Duration::from_millis(1));
        }
        process = next;
    }
    process.order("/-/upstreams/toy-0/enable");
    process.shows("node.members_unavailable=0");
    // Sent away: what comes is told to go, and is served; the next process comes up so, too.
    process.order("/-/drain");
    let mut client = place.connect();
    let health = |client: &mut BufReader<TcpStream>| {
        client
            .get_mut()
            .write_all(b"GET /_health HTTP/1.1\r\nHost: a\r\n\r\n")
            .unwrap();
        answer(client).unwrap().0
    };
    assert_eq!(health(&mut client), 503);
    let next = place.start();
    process.terminate();
    assert_eq!(health(&mut place.connect()), 503);
    next.order("/-/resume");
    assert_eq!(health(&mut place.connect()), 200);
    stop.store(true, Ordering::Relaxed);
    for client in clients {
        assert!(client.join().unwrap() > 0);
    }
    next.shows("node.pending=0");
}

/// Bodies over 64 KiB were refused, and such answers were errors.
#[test]
fn large_bodies_flow_both_ways() {
    let place = Place::new("large");
    let process = place.start();
    let mut client = place.connect();
    for framing in ["Content-Length: 3000000", "Transfer-Encoding: chunked"] {
        let text = head("/large", "pay") + framing + "\r\n\r\n";
        client.get_mut().write_all(text.as_bytes()).unwrap();
        for _ in 0..30 {
            let piece = [b'a'; 100_000];
            if framing.starts_with('C') {
                client.get_mut().write_all(&piece).unwrap();
            } else {
                client.get_mut().write_all(b"186A0;x=\"y\"\r\n").unwrap();
                client.get_mut().write_all(&piece).unwrap();
                client.get_mut().write_all(b"\r\n").unwrap();
            }
        }
        if !framing.starts_with('C') {
            client
                .get_mut()
                .write_all(b"0\r\nDigest: none\r\n\r\n")
                .unwrap();
            // The toy reads no chunks: it answers nothing that could be passed on, and the client is told.
            assert!(answer(&mut client).is_some_and(|(status, ..)| status != 200));
            break;
        }
        let (status, close, body) = answer(&mut client).unwrap();
        assert_eq!((status, close, body.len()), (200, false, toy::LARGE));
        assert!(body.iter().all(|byte| *byte == b'x'));
    }
    process.shows("node.completed.pay=1");
    process.shows("node.pending=0");
}

/// Each flow holds a piece or two of its own: clients that do not read take nothing from those that do.
#[test]
fn slow_readers_hold_back_nobody_else() {
    let place = Place::new("slow");
    let process = place.start();
    let slow: Vec<_> = (0..10)
        .map(|_| {
            let mut client = place.connect();
            client
                .get_mut()
                .write_all((head("/large", "read") + "\r\n").as_bytes())
                .unwrap();
            // It reads nothing but the beginning.
            assert!(!client.fill_buf().unwrap().is_empty());
            client
        })
        .collect();
    let mut quick = place.connect();
    for _ in 0..50 {
        quick
            .get_mut()
            .write_all((head("/api", "read") + "\r\n").as_bytes())
            .unwrap();
        assert_eq!(answer(&mut quick).unwrap().0, 200);
    }
    for mut client in slow {
        assert_eq!(answer(&mut client).unwrap().2.len(), toy::LARGE);
    }
    process.shows("node.completed.read=60");
}

/// Callers that say nothing, or half a call, keep nobody out.
#[test]
fn the_second_address_answers_beside_callers_that_say_nothing() {
    let place = Place::new("silent");
    let process = place.start();
    let silent: Vec<_> = (0..40).map(|_| connect(&process.admin).unwrap()).collect();
    let mut half: Vec<_> = (0..40).map(|_| connect(&process.admin).unwrap()).collect();
    for caller in &mut half {
        // One that was closed for another may not take it any more.
        let _ = caller.get_mut().write_all(b"GET /-/met");
    }
    process.shows("node.members=3");
    for mut caller in silent.into_iter().chain(half) {
        // Told that its time is over, or closed for another: it ends well before it would leave.
        let mut text = Vec::new();
        let _ = caller.read_to_end(&mut text);
        assert!(
            text.is_empty() || text.starts_with(b"HTTP/1.1 408"),
            "{}",
            String::from_utf8_lossy(&text)
        );
    }
    assert_eq!(process.call("GET", "/-/nothing").unwrap().0, 404);
}

#[test]
fn a_faulty_start_is_named_by_its_key_and_leaves_the_others_alone() {
    let place = Place::new("faulty");
    let process = place.start();
    let file = std::fs::File::open("/dev/null").unwrap();
    let no_socket = file.as_raw_fd().to_string();
    rustix::io::fcntl_setfd(&file, rustix::io::FdFlags::empty()).unwrap();
    for (key, value, status) in [
        ("NODE_SOCKET_FD", "seven", 2),
        ("NODE_SOCKET_FD", "-1", 2),
        ("NODE_SOCKET_FD", "98765", 2),
        ("NODE_SOCKET_FD", no_socket.as_str(), 2),
        ("NODE_ADMIN", "localhost", 2),
        ("NODE_ADMIN", process.admin.as_str(), 1),
    ] {
        let Output {
            status: ended,
            stdout,
            stderr,
        } = place.command().env(key, value).output().unwrap();
        let log = String::from_utf8(stdout).unwrap() + &String::from_utf8(stderr).unwrap();
        assert_eq!(ended.code(), Some(status), "{key}={value}: {log}");
        assert!(status == 1 || log.contains(key), "{log}");
    }
    process.shows("node.members=3");
    let mut client = place.connect();
    client
        .get_mut()
        .write_all(b"GET /_health HTTP/1.1\r\nHost: a\r\n\r\n")
        .unwrap();
    assert_eq!(answer(&mut client).unwrap().0, 200);
}

/// A call has no use for a body of megabytes; without an answer it waited until its time was over.
#[test]
fn a_call_that_cant_be_read_gets_its_no_at_once() {
    let place = Place::new("unreadable");
    let process = place.start();
    let long = "a".repeat(20_000);
    for (text, status) in [
        (
            "POST /-/drain HTTP/1.1\r\nContent-Length: 9000000\r\n\r\n".to_owned(),
            413,
        ),
        (
            "POST /-/drain HTTP/1.1\r\nContent-Length: -1\r\n\r\n".to_owned(),
            400,
        ),
        ("noise\r\n\r\n".to_owned(), 400),
        (
            format!("GET /-/ready HTTP/1.1\r\nLong: {long}\r\n\r\n"),
            431,
        ),
        (
            format!(
                "POST /-/upstreams/{}/disable HTTP/1.1\r\n\r\n",
                &long[..5000]
            ),
            404,
        ),
        (
            "PUT /-/ready HTTP/1.1\r\nContent-Length: 0\r\n\r\n".to_owned(),
            405,
        ),
    ] {
        let mut caller = connect(&process.admin).unwrap();
        caller.get_mut().write_all(text.as_bytes()).unwrap();
        let (told, close, _) = answer(&mut caller).expect("an answer");
        assert_eq!(
            (told, close),
            (status, true),
            "{}",
            &text[..40.min(text.len())]
        );
    }
    process.shows("node.pending=0");
}
