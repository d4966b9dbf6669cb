//! The built sidecar on loopback sockets, before the toy server of the examples.
mod common;
#[path = "../../../examples/toy_server.rs"]
#[allow(dead_code)]
mod toy;

use common::{free_address, listener};
use std::io::{BufRead, BufReader, Read, Write};
use std::net::TcpStream;
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;
use std::time::Duration;

struct Sidecar {
    process: Child,
    address: String,
    config: PathBuf,
}

impl Drop for Sidecar {
    fn drop(&mut self) {
        let _ = self.process.kill();
        let _ = self.process.wait();
        let _ = std::fs::remove_file(&self.config);
    }
}

/// Toy upstreams, and the address of a discovery that lists them.
fn fleet(count: usize, served: &Arc<AtomicUsize>) -> (String, Vec<String>) {
    let mut upstreams = Vec::new();
    for _ in 0..count {
        let (listener, address) = listener();
        toy::upstream(listener, served.clone());
        upstreams.push(address);
    }
    let (catalog, discovery) = listener();
    toy::discovery(catalog, upstreams.clone());
    (discovery, upstreams)
}

/// A sidecar before toy upstreams; `served` counts what they answered.
fn start(name: &str) -> (Sidecar, Arc<AtomicUsize>) {
    let served = Arc::new(AtomicUsize::new(0));
    let (discovery, _) = fleet(3, &served);
    let address = free_address(0);
    // What it last knew is out of date: nothing listens there.
    let known = common::catalog(
        0,
        true,
        vec![common::instance(9, &free_address(0), "SERVING")],
    );
    let config = std::env::temp_dir().join(format!("sandtrack-{}-{name}.json", std::process::id()));
    std::fs::write(
        &config,
        common::config(&address, &discovery, known).to_string(),
    )
    .unwrap();
    let process = Command::new(env!("CARGO_BIN_EXE_sandtrack"))
        .env("NODE_CONFIG", &config)
        .env_remove("NODE_LISTEN")
        .env_remove("NODE_DISCOVERY")
        .stderr(Stdio::null())
        .spawn()
        .unwrap();
    let sidecar = Sidecar {
        process,
        address,
        config,
    };
    for _ in 0..500 {
        if TcpStream::connect(&sidecar.address).is_ok() {
            return (sidecar, served);
        }
        std::thread::sleep(Duration::from_millis(20));
    }
    panic!("it never listened");
}

/// One answer: its status, whether the connection closes, its body.
fn answer(reader: &mut BufReader<TcpStream>) -> (u16, bool, String) {
    let (status, close, body) = common::answer(reader).expect("an answer");
    (status, close, String::from_utf8(body).unwrap())
}

fn request(target: &str, class: &str) -> String {
    static NEXT: AtomicUsize = AtomicUsize::new(1);
    let id = NEXT.fetch_add(1, Ordering::Relaxed);
    let (method, body) = if class == "read" {
        ("GET", "\r\n")
    } else {
        ("POST", "Content-Length: 4\r\n\r\nbody")
    };
    format!(
        "{method} {target} HTTP/1.1\r\nHost: backend.local\r\nX-Call-Id: {id:016x}\r\nX-Call-Class: {class}\r\n\
         X-Caller: acme\r\nX-Budget-Ms: 20000\r\n{body}"
    )
}

fn connect(sidecar: &Sidecar) -> BufReader<TcpStream> {
    let stream = TcpStream::connect(&sidecar.address).unwrap();
    stream
        .set_read_timeout(Some(Duration::from_secs(20)))
        .unwrap();
    BufReader::new(stream)
}

/// Asks until it is served: at first the sidecar knows of no upstream that lives.
fn served(client: &mut BufReader<TcpStream>, class: &str) -> String {
    for _ in 0..200 {
        client
            .get_mut()
            .write_all(request("/api", class).as_bytes())
            .unwrap();
        match answer(client) {
            (200, false, body) => return body,
            (502 | 503, ..) => std::thread::sleep(Duration::from_millis(50)),
            other => panic!("{other:?}"),
        }
    }
    panic!("never served");
}

#[test]
fn requests_are_served_refused_and_failed_over_one_connection() {
    let (sidecar, count) = start("serve");
    let mut client = connect(&sidecar);
    client
        .get_mut()
        .write_all(b"GET /_health HTTP/1.1\r\n\r\n")
        .unwrap();
    assert_eq!(answer(&mut client).0, 200);
    assert!(served(&mut client, "pay").starts_with("127.0.0.1:"));
    // An error may have run: an unsafe request fails, and only once.
    let before = count.load(Ordering::Relaxed);
    client
        .get_mut()
        .write_all(request("/fail", "pay").as_bytes())
        .unwrap();
    assert_eq!(answer(&mut client).0, 502);
    assert_eq!(count.load(Ordering::Relaxed), before + 1);
    // Byte by byte, and two at once.
    for byte in request("/api", "read").into_bytes() {
        client.get_mut().write_all(&[byte]).unwrap();
    }
    assert_eq!(answer(&mut client).0, 200);
    let two = request("/api", "read") + &request("/api", "read");
    client.get_mut().write_all(two.as_bytes()).unwrap();
    assert_eq!((answer(&mut client).0, answer(&mut client).0), (200, 200));
    client
        .get_mut()
        .write_all(request("/api", "unheard-of").as_bytes())
        .unwrap();
    assert_eq!(answer(&mut client).0, 400);
    client
        .get_mut()
        .write_all(b"POST / HTTP/1.1\r\nContent-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n")
        .unwrap();
    let (status, close, _) = answer(&mut client);
    assert_eq!((status, close), (400, true));
    assert_eq!(client.read(&mut [0]).unwrap(), 0, "closed");
}

#[test]
fn sigterm_answers_what_was_taken_and_exits_with_0() {
    let (mut sidecar, _) = start("term");
    let mut client = connect(&sidecar);
    served(&mut client, "read");
    let mut idle = connect(&sidecar);
    served(&mut idle, "read");
    client
        .get_mut()
        .write_all(request("/slow", "pay").as_bytes())
        .unwrap();
    sidecar.signal("-TERM");
    assert_eq!(
        answer(&mut client).0,
        200,
        "the toy answers it after half a second"
    );
    for mut client in [client, idle] {
        assert_eq!(client.read(&mut [0]).unwrap(), 0, "closed between requests");
    }
    assert_eq!(sidecar.process.wait().unwrap().code(), Some(0));
}

impl Sidecar {
    fn signal(&self, signal: &str) {
        let pid = self.process.id().to_string();
        assert!(Command::new("kill")
            .args([signal, &pid])
            .status()
            .unwrap()
            .success());
    }

    /// Edits the configuration and has it reloaded.
    fn reload(&self, edit: impl FnOnce(&mut serde_json::Value)) {
        let text = std::fs::read(&self.config).unwrap();
        let mut value: serde_json::Value = serde_json::from_slice(&text).unwrap();
        edit(&mut value);
        std::fs::write(&self.config, value.to_string()).unwrap();
        self.signal("-HUP");
    }
}

/// SIGHUP ended the process, and discovery was fixed at the start.
#[test]
fn sighup_moves_to_the_new_discovery_twice_under_load_and_sigterm_still_ends_it() {
    let (mut sidecar, count) = start("reload");
    let mut client = connect(&sidecar);
    served(&mut client, "read");
    // A faulty file changes nothing.
    sidecar.reload(|config| config["settings"]["classes"][0]["aim"] = "soon".into());
    served(&mut client, "read");
    for _ in 0..2 {
        let (discovery, upstreams) = fleet(1, &count);
        sidecar.reload(|config| {
            config["settings"]["classes"][0]["aim"] = 200.0.into();
            config["discovery"] = discovery.into();
        });
        // Its one upstream serves all once its list is told; till then the old ones go on serving.
        while served(&mut client, "read") != upstreams[0] {
            std::thread::sleep(Duration::from_millis(5));
        }
    }
    sidecar.signal("-HUP");
    sidecar.signal("-TERM");
    assert_eq!(sidecar.process.wait().unwrap().code(), Some(0));
}

/// New settings used to wait for the next start. There and back by the same step, under load, a slow unsafe request
/// open all the while: it runs once and is answered once, and a faulty file in between changes nothing.
#[test]
fn sighup_brings_new_settings_and_takes_them_back_and_loses_nothing() {
    let (sidecar, count) = start("settings");
    let (mut client, mut slow) = (connect(&sidecar), connect(&sidecar));
    served(&mut client, "read");
    let mut known = |class: &str| {
        client
            .get_mut()
            .write_all(request("/api", class).as_bytes())
            .unwrap();
        match answer(&mut client).0 {
            200 => true,
            400 => false,
            status => panic!("{status}"),
        }
    };
    for _ in 0..2 {
        let before = count.load(Ordering::Relaxed);
        slow.get_mut()
            .write_all(request("/slow", "pay").as_bytes())
            .unwrap();
        std::thread::sleep(Duration::from_millis(100));
        let mut asked = 0;
        for (name, there) in [("charge", true), ("pay", false)] {
            sidecar.reload(|config| config["settings"]["classes"][2]["effect"] = "twice".into());
            sidecar.reload(|config| {
                let class = &mut config["settings"]["classes"][2];
                (class["name"], class["effect"]) = (name.into(), "once".into());
                let keys = serde_json::json!({"warm-keys": there});
                config["settings"]["domain"] = keys;
            });
            for _ in 0..400 {
                asked += usize::from(known("read"));
                if known("charge") == there {
                    break;
                }
                asked += usize::from(!there);
                std::thread::sleep(Duration::from_millis(5));
            }
            assert_eq!(known("charge"), there);
            asked += usize::from(there) * 2;
        }
        assert_eq!(answer(&mut slow).0, 200);
        assert_eq!(
            count.load(Ordering::Relaxed),
            before + asked + 1,
            "each ran once"
        );
    }
}

/// One request on the connection: its status, or `None` when it ended with not a byte of an answer.
fn ask(client: &mut BufReader<TcpStream>) -> Option<(u16, bool)> {
    client
        .get_mut()
        .write_all(request("/api", "read").as_bytes())
        .ok()?;
    if client.fill_buf().map_or(true, <[u8]>::is_empty) {
        return None;
    }
    let (status, close, _) = answer(client);
    Some((status, close))
}

/// Clients that keep asking through the end of their sidecar: each request is answered whole, or crossed the
/// close of an idle connection and is answered on a new one for as long as new ones are taken.
#[test]
fn clients_that_keep_asking_lose_nothing_at_sigterm() {
    let (mut sidecar, _) = start("load");
    served(&mut connect(&sidecar), "read");
    let clients: Vec<_> = (0..6)
        .map(|_| {
            let address = sidecar.address.clone();
            std::thread::spawn(move || {
                let (mut client, mut answers) = (None, 0);
                loop {
                    let mut connected = match client.take() {
                        Some(connected) => connected,
                        None => match TcpStream::connect(&address) {
                            Ok(stream) => BufReader::new(stream),
                            // The end: it takes no more.
                            Err(_) => return answers,
                        },
                    };
                    // Half of a millisecond between two requests leaves connections idle when the signal comes.
                    std::thread::sleep(Duration::from_micros(500));
                    if let Some((status, close)) = ask(&mut connected) {
                        assert!(matches!(status, 200 | 503), "{status}");
                        answers += 1;
                        client = Some(connected).filter(|_| !close);
                    }
                }
            })
        })
        .collect();
    std::thread::sleep(Duration::from_millis(100));
    sidecar.signal("-TERM");
    // They come as long as it accepts; it may not wait for a pause that never comes.
    assert_eq!(sidecar.process.wait().unwrap().code(), Some(0));
    for client in clients {
        assert!(client.join().unwrap() > 0);
    }
}

#[test]
fn a_faulty_configuration_is_named_by_its_key() {
    let path = std::env::temp_dir().join(format!("sandtrack-{}-faulty.json", std::process::id()));
    let mut config = common::config(
        "127.0.0.1:1",
        "127.0.0.1:2",
        common::catalog(0, true, Vec::new()),
    );
    config["settings"]["classes"][1]["deadline"] = "soon".into();
    std::fs::write(&path, config.to_string()).unwrap();
    let run = Command::new(env!("CARGO_BIN_EXE_sandtrack"))
        .env("NODE_CONFIG", &path)
        .output()
        .unwrap();
    std::fs::remove_file(&path).unwrap();
    assert_eq!(run.status.code(), Some(2));
    let log = String::from_utf8(run.stdout).unwrap() + &String::from_utf8(run.stderr).unwrap();
    assert!(log.contains("settings.classes[1].deadline"), "{log}");
}
