//! A sidecar that is upgraded stays one member: its two processes, the one beside the other, as another member sees them.
mod common;
#[path = "../../../examples/toy_server.rs"]
#[allow(dead_code)]
mod toy;

use common::{answer, free_address, listener};
use serde_json::{json, Value};
use std::io::{BufReader, Write};
use std::net::{TcpListener, TcpStream};
use std::os::fd::AsRawFd;
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::AtomicUsize;
use std::sync::Arc;
use std::time::Duration;

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

impl Process {
    fn get(&self, target: &str) -> Option<(u16, String)> {
        let stream = TcpStream::connect(&self.admin).ok()?;
        stream
            .set_read_timeout(Some(Duration::from_secs(20)))
            .ok()?;
        let mut caller = BufReader::new(stream);
        caller
            .get_mut()
            .write_all(format!("GET {target} HTTP/1.1\r\nHost: a\r\n\r\n").as_bytes())
            .ok()?;
        let (status, _, body) = answer(&mut caller)?;
        Some((status, String::from_utf8(body).ok()?))
    }

    fn until(&self, target: &str, wanted: impl Fn(u16, &str) -> bool) {
        for _ in 0..4000 {
            if self
                .get(target)
                .is_some_and(|(status, text)| wanted(status, &text))
            {
                return;
            }
            std::thread::sleep(Duration::from_millis(10));
        }
        panic!("{target} never answered as wanted: {:?}", self.get(target));
    }

    /// How it holds a member: state and incarnation.
    fn holds(&self, name: &str) -> Option<(String, u64)> {
        let told: Value = serde_json::from_str(&self.get("/-/members")?.1).ok()?;
        let members = told["members"].as_array()?.clone();
        let member = members.into_iter().find(|member| member["name"] == name)?;
        Some((
            member["state"].as_str()?.to_owned(),
            member["incarnation"].as_u64()?,
        ))
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

/// What the sidecars have beside their processes, and a socket that two of them inherit.
struct Place {
    folder: PathBuf,
    shared: TcpListener,
    discovery: String,
    /// Addresses of its own: 127.0.NET.N.
    net: u8,
}

impl Drop for Place {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

impl Place {
    fn new(net: u8) -> Self {
        let (upstream, address) = listener();
        toy::upstream(upstream, Arc::new(AtomicUsize::new(0)));
        let (catalog, discovery) = listener();
        toy::discovery(catalog, vec![address]);
        let (shared, _) = listener();
        rustix::io::fcntl_setfd(&shared, rustix::io::FdFlags::empty()).unwrap();
        let folder =
            std::env::temp_dir().join(format!("sandtrack-membership-{}-{net}", std::process::id()));
        std::fs::create_dir_all(&folder).unwrap();
        Place {
            folder,
            shared,
            discovery,
            net,
        }
    }

    fn start(&self, number: u8, listen: &str, inherits: bool) -> Process {
        let known = common::catalog(0, true, Vec::new());
        let at = |number: u8| format!("127.0.{}.{number}:7946", self.net);
        let mut config = common::config(listen, &self.discovery, known);
        config["name"] = format!("n{number}").into();
        config["fleet"] =
            json!({"cluster": "upgrade", "listen": at(number), "seeds": [at(1), at(2)]});
        let path = self.folder.join(format!("{number}.json"));
        std::fs::write(&path, config.to_string()).unwrap();
        let admin = free_address(43);
        let mut command = Command::new(env!("CARGO_BIN_EXE_sandtrack"));
        command
            .env("NODE_CONFIG", path)
            .env("NODE_ADMIN", &admin)
            .env("TMPDIR", &self.folder);
        command
            .env_remove("NODE_LISTEN")
            .env_remove("NODE_DISCOVERY")
            .env_remove("NODE_SOCKET_FD");
        if inherits {
            command.env("NODE_SOCKET_FD", self.shared.as_raw_fd().to_string());
        }
        Process {
            child: command.stderr(Stdio::null()).spawn().unwrap(),
            admin,
        }
    }
}

/// Without the wait for the address the new process ended at once; with a leave at SIGTERM the member had left.
#[test]
fn two_processes_of_one_sidecar_are_one_member() {
    let place = Place::new(41);
    let shared = place.shared.local_addr().unwrap().to_string();
    let other = place.start(2, &free_address(44), false);
    let old = place.start(1, &shared, true);
    let whole = |status: u16, text: &str| status == 200 && text.contains("\"view\":\"whole\"");
    old.until("/-/members", whole);
    other.until("/-/members", whole);
    assert_eq!(other.holds("n1"), Some(("alive".to_owned(), 1)));

    let new = place.start(1, &shared, true);
    new.until("/-/ready", |status, _| status == 200);
    // The old one is the member still: the new one knows of nobody, says so, and has the settings' number of siblings.
    new.until("/-/members", |_, text| {
        text.contains("\"view\":\"doubtful\"") && text.contains("\"siblings\":2")
    });
    assert_eq!(other.holds("n1"), Some(("alive".to_owned(), 1)));
    old.terminate();
    // From now on it is the new one, in its next incarnation; nobody ever missed it.
    for _ in 0..4000 {
        let held = other.holds("n1").expect("it is known");
        assert!(matches!(held.0.as_str(), "alive" | "suspect"), "{held:?}");
        if held.0 == "alive" && held.1 > 1 {
            break;
        }
        std::thread::sleep(Duration::from_millis(10));
    }
    assert!(other
        .holds("n1")
        .is_some_and(|held| held.0 == "alive" && held.1 > 1));
    new.until("/-/members", whole);
    // Alone, it leaves when it ends.
    new.terminate();
    assert_eq!(
        other.holds("n1").map(|held| held.0).as_deref(),
        Some("left")
    );
}

#[test]
fn staff_are_told_who_is_there_and_where_there_is_no_fleet() {
    let place = Place::new(42);
    let mut process = place.start(3, &free_address(44), false);
    process.until("/-/members", |status, text| {
        status == 200 && text.contains("no seed answers")
    });
    let sandtrack = env!("CARGO_BIN_EXE_sandtrack");
    let shown = Command::new(sandtrack)
        .args(["members", &process.admin])
        .output()
        .unwrap();
    let text = String::from_utf8(shown.stdout).unwrap();
    assert!(
        shown.status.success() && text.contains("view cut-off (no seed answers)"),
        "{text}"
    );
    assert!(
        text.lines()
            .any(|line| line.starts_with("n3 ") && line.contains("joining")),
        "{text}"
    );
    process.until("/-/metrics", |_, text| text.contains("node.fleet_view=2"));
    // The address is taken: no second one starts.
    let mut second = place.start(3, &free_address(44), false);
    assert_eq!(second.child.wait().unwrap().code(), Some(1));
    process.child.kill().unwrap();
    process.child.wait().unwrap();
    let shown = Command::new(sandtrack)
        .args(["members", &process.admin])
        .output()
        .unwrap();
    assert_eq!(shown.status.code(), Some(1), "nobody is there");
    let odd = Command::new(sandtrack).args(["member"]).output().unwrap();
    assert_eq!(odd.status.code(), Some(2), "no such word");
}
