//! A sidecar whose log takes nothing, as on a full disk or where its reader stands still: it serves all the same.
mod common;
use common::{catalog, config, free_address};
use rustix::process::{kill_process, Pid, Signal};
use std::fs::File;
use std::io::{PipeReader, Read, Write};
use std::net::TcpStream;
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
fn a_sidecar_whose_log_takes_nothing_serves_and_ends_in_order() {
    serves_and_ends("full", full());
}

#[test]
fn a_sidecar_whose_log_nobody_reads_serves_and_ends_in_order() {
    let (_reader, log) = stuck();
    serves_and_ends("stuck", log);
}

fn serves_and_ends(name: &str, log: Stdio) {
    let address = free_address(9);
    let path =
        std::env::temp_dir().join(format!("sandtrack-{name}-log-{}.json", std::process::id()));
    let nobody = free_address(9);
    std::fs::write(
        &path,
        config(&address, &nobody, catalog(0, true, Vec::new())).to_string(),
    )
    .expect("a file");
    let mut command = Command::new(env!("CARGO_BIN_EXE_sandtrack"));
    command
        .env("NODE_CONFIG", &path)
        .stdout(Stdio::null())
        .stderr(log);
    let mut sidecar = Running(command.spawn().expect("a process"));
    let began = Instant::now();
    let mut stream = loop {
        let ended = sidecar.0.try_wait().expect("its state");
        assert!(
            ended.is_none() && began.elapsed() < Duration::from_secs(20),
            "it ended: {ended:?}"
        );
        match TcpStream::connect(&address) {
            Ok(stream) => break stream,
            Err(_) => std::thread::yield_now(),
        }
    };
    stream
        .set_read_timeout(Some(Duration::from_secs(20)))
        .expect("a time limit");
    stream
        .write_all(b"GET /_health HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
        .expect("written");
    let mut answer = String::new();
    stream.read_to_string(&mut answer).expect("an answer");
    assert!(answer.starts_with("HTTP/1.1 "), "{answer}");
    kill_process(Pid::from_child(&sidecar.0), Signal::TERM).expect("a signal");
    let status = sidecar.0.wait().expect("its end");
    let _ = std::fs::remove_file(&path);
    assert!(status.success(), "{status}");
}
