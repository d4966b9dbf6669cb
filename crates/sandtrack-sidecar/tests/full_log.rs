//! A sidecar whose log takes nothing, as on a full disk: it serves all the same.
mod common;
use common::{catalog, config, free_address};
use rustix::process::{kill_process, Pid, Signal};
use std::fs::File;
use std::io::{Read, Write};
use std::net::TcpStream;
use std::process::{Child, Command};
use std::time::{Duration, Instant};

struct Running(Child);

impl Drop for Running {
    fn drop(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

#[test]
fn a_sidecar_whose_log_takes_nothing_serves_and_ends_in_order() {
    let address = free_address(9);
    let path = std::env::temp_dir().join(format!("sandtrack-full-log-{}.json", std::process::id()));
    let nobody = free_address(9);
    std::fs::write(&path, config(&address, &nobody, catalog(0, true, Vec::new())).to_string())
        .expect("a file");
    let full = || File::options().write(true).open("/dev/full").expect("the device that is always full");
    let mut command = Command::new(env!("CARGO_BIN_EXE_sandtrack"));
    command.env("NODE_CONFIG", &path).stdout(full()).stderr(full());
    let mut sidecar = Running(command.spawn().expect("a process"));
    let began = Instant::now();
    let mut stream = loop {
        let ended = sidecar.0.try_wait().expect("its state");
        assert!(ended.is_none() && began.elapsed() < Duration::from_secs(20), "it ended: {ended:?}");
        match TcpStream::connect(&address) {
            Ok(stream) => break stream,
            Err(_) => std::thread::yield_now(),
        }
    };
    stream.set_read_timeout(Some(Duration::from_secs(20))).expect("a time limit");
    stream.write_all(b"GET /_health HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n").expect("written");
    let mut answer = String::new();
    stream.read_to_string(&mut answer).expect("an answer");
    assert!(answer.starts_with("HTTP/1.1 "), "{answer}");
    kill_process(Pid::from_child(&sidecar.0), Signal::TERM).expect("a signal");
    let status = sidecar.0.wait().expect("its end");
    let _ = std::fs::remove_file(&path);
    assert!(status.success(), "{status}");
}
