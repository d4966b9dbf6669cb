//! A proxy whose log takes nothing, as on a full disk: it serves all the same.
use rustix::process::{kill_process, Pid, Signal};
use std::fs::File;
use std::io::{Read, Write};
use std::net::TcpStream;
use std::path::Path;
use std::process::{Child, Command};
use std::time::{Duration, Instant};

const IP: &str = "127.0.7.30";

struct Running(Child);

impl Drop for Running {
    fn drop(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

#[test]
fn a_proxy_whose_log_takes_nothing_serves_and_ends_in_order() {
    let path = Path::new(env!("CARGO_TARGET_TMPDIR")).join(format!("full-log-{}.json", std::process::id()));
    let settings = format!(
        r#"{{"node_name":"front-odori-hall-2","ip_address":"{IP}","zone":"odori-hall","region":"ishikari",
        "zones":{{"odori-hall":"ishikari"}},"listen_addresses":{{"front":"{IP}:8161","readiness":"{IP}:8167"}},
        "internal_port_range":[7720,7735],"seed_nodes":["{IP}:8166"],"bounds":{{"grace_s":1}}}}"#
    );
    std::fs::write(&path, settings).expect("a file");
    let full = || File::options().write(true).open("/dev/full").expect("the device that is always full");
    let mut command = Command::new(env!("CARGO_BIN_EXE_sandtrack-proxy"));
    command.env("SANDTRACK_BOOT", &path).stdout(full()).stderr(full());
    let mut proxy = Running(command.spawn().expect("a process"));
    let began = Instant::now();
    let mut stream = loop {
        let ended = proxy.0.try_wait().expect("its state");
        assert!(ended.is_none() && began.elapsed() < Duration::from_secs(20), "it ended: {ended:?}");
        match TcpStream::connect((IP, 8167)) {
            Ok(stream) => break stream,
            Err(_) => std::thread::yield_now(),
        }
    };
    stream.set_read_timeout(Some(Duration::from_secs(20))).expect("a time limit");
    stream.write_all(b"GET /v1/readiness HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n").expect("written");
    let mut answer = String::new();
    stream.read_to_string(&mut answer).expect("an answer");
    assert!(answer.starts_with("HTTP/1.1 503"), "{answer}");
    kill_process(Pid::from_child(&proxy.0), Signal::TERM).expect("a signal");
    let status = proxy.0.wait().expect("its end");
    let _ = std::fs::remove_file(&path);
    assert!(status.success(), "{status}");
}
