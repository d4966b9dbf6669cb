//! A proxy whose log takes nothing, as on a full disk or where its reader stands still: it serves all the same.
use rustix::process::{kill_process, Pid, Signal};
use std::fs::File;
use std::io::{PipeReader, Read, Write};
use std::net::TcpStream;
use std::path::Path;
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

struct Running(Child);

impl Drop for Running {
    fn drop(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

/// A log that is written to disk that is full.
fn full() -> Stdio {
    File::options()
        .write(true)
        .open("/dev/full")
        .expect("the device that is always full")
        .into()
}

/// A log whose reader stands still: what it has not read fills the pipe. The reader has to be kept.
fn stuck() -> (PipeReader, Stdio) {
    let (reader, mut writer) = std::io::pipe().expect("a pipe");
    rustix::io::ioctl_fionbio(&writer, true).expect("a pipe that does not wait");
    while writer.write(&[b'\n'; 1024]).is_ok() {}
    rustix::io::ioctl_fionbio(&writer, false).expect("a pipe that waits");
    (reader, writer.into())
}

#[test]
fn a_proxy_with_a_full_log_device_serves_and_stops_cleanly() {
    serves_and_ends("127.0.7.30", full());
}

#[test]
fn a_proxy_with_an_unread_log_pipe_serves_and_stops_cleanly() {
    let (_reader, log) = stuck();
    serves_and_ends("127.0.7.31", log);
}

fn serves_and_ends(ip: &str, log: Stdio) {
    let path = Path::new(env!("CARGO_TARGET_TMPDIR"))
        .join(format!("full-log-{ip}-{}.json", std::process::id()));
    let settings = format!(
        r#"{{"node_name":"front-odori-hall-2","ip_address":"{ip}","zone":"odori-hall","region":"ishikari",
        "zones":{{"odori-hall":"ishikari"}},"listen_addresses":{{"front":"{ip}:8161","readiness":"{ip}:8167"}},
        "internal_port_range":[7720,7735],"seed_nodes":["{ip}:8166"],"bounds":{{"grace_s":1}}}}"#
    );
    std::fs::write(&path, settings).expect("a file");
    let mut command = Command::new(env!("CARGO_BIN_EXE_sandtrack-proxy"));
    command
        .env("SANDTRACK_BOOT", &path)
        .stdout(Stdio::null())
        .stderr(log);
    let mut proxy = Running(command.spawn().expect("a process"));
    let began = Instant::now();
    let mut stream = loop {
        let ended = proxy.0.try_wait().expect("its state");
        assert!(
            ended.is_none() && began.elapsed() < Duration::from_secs(20),
            "it ended: {ended:?}"
        );
        match TcpStream::connect((ip, 8167)) {
            Ok(stream) => break stream,
            Err(_) => std::thread::yield_now(),
        }
    };
    stream
        .set_read_timeout(Some(Duration::from_secs(20)))
        .expect("a time limit");
    stream
        .write_all(b"GET /v1/readiness HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
        .expect("written");
    let mut answer = String::new();
    stream.read_to_string(&mut answer).expect("an answer");
    assert!(answer.starts_with("HTTP/1.1 503"), "{answer}");
    kill_process(Pid::from_child(&proxy.0), Signal::TERM).expect("a signal");
    let status = proxy.0.wait().expect("its end");
    let _ = std::fs::remove_file(&path);
    assert!(status.success(), "{status}");
}
