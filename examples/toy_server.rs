//! A toy to try the sidecar with: one program that plays a few upstreams and the discovery that lists them, on
//! loopback addresses, with the standard library alone. It serves, and measures or simulates nothing.
//!
//!     cargo run --release --example toy_server -- 127.0.0.1:8500 127.0.0.1:9001 127.0.0.1:9002
//!
//! The first address is discovery's, the others are upstreams'. Each answers `200` with its own address;
//! a request whose target holds `fail` gets 500, `slow` is answered after half a second, `large` by a megabyte.
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{TcpListener, TcpStream};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;
use std::time::Duration;

/// The length of a large answer.
pub const LARGE: usize = 1_000_000;

/// What a request asks for: its target, its id if it has one, and whether the connection stays open.
pub struct Asked {
    pub target: String,
    pub call: Option<String>,
    pub keep_alive: bool,
}

/// Reads one request with its body; `None` at the end of the connection or at anything odd.
fn read(reader: &mut BufReader<TcpStream>) -> Option<Asked> {
    let mut line = String::new();
    reader
        .read_line(&mut line)
        .ok()
        .filter(|count| *count > 0)?;
    let target = line.split(' ').nth(1)?.to_owned();
    let mut asked = Asked {
        target,
        call: None,
        keep_alive: true,
    };
    let mut length = 0;
    loop {
        line.clear();
        reader
            .read_line(&mut line)
            .ok()
            .filter(|count| *count > 0)?;
        let Some((name, value)) = line.trim_end().split_once(':') else {
            break;
        };
        match name.to_ascii_lowercase().as_str() {
            "content-length" => length = value.trim().parse().ok()?,
            "connection" => asked.keep_alive = !value.trim().eq_ignore_ascii_case("close"),
            "x-call-id" => asked.call = Some(value.trim().to_owned()),
            _ => {}
        }
    }
    let mut body = vec![0; length];
    reader.read_exact(&mut body).ok()?;
    Some(asked)
}

fn answer(stream: &mut TcpStream, status: u16, body: &str) -> std::io::Result<()> {
    let length = body.len();
    stream.write_all(
        format!("HTTP/1.1 {status} Toy\r\nContent-Length: {length}\r\n\r\n{body}").as_bytes(),
    )
}

/// Serves each connection on a thread of its own.
fn listen(listener: TcpListener, serve: impl Fn(TcpStream) + Send + Sync + 'static) {
    let serve = Arc::new(serve);
    std::thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let serve = serve.clone();
            std::thread::spawn(move || serve(stream));
        }
    });
}

/// One upstream: requests, and probes with a load report. `served` counts what it answered, probes aside.
pub fn upstream(listener: TcpListener, served: Arc<AtomicUsize>) {
    let name = listener
        .local_addr()
        .map(|address| address.to_string())
        .unwrap_or_default();
    let held = AtomicUsize::new(0);
    listen(listener, move |mut stream| {
        let Ok(copy) = stream.try_clone() else { return };
        let mut reader = BufReader::new(copy);
        while let Some(asked) = read(&mut reader) {
            let done = match asked.target.as_str() {
                "/ping" => answer(&mut stream, 200, ""),
                "/_load" => {
                    let held = held.load(Ordering::Relaxed);
                    answer(&mut stream, 200, &format!("inflight={held},queue=0"))
                }
                _ if asked.call.is_none() => answer(&mut stream, 404, "no X-Call-Id"),
                target => {
                    held.fetch_add(1, Ordering::Relaxed);
                    if target.contains("slow") {
                        std::thread::sleep(Duration::from_millis(500));
                    }
                    served.fetch_add(1, Ordering::Relaxed);
                    held.fetch_sub(1, Ordering::Relaxed);
                    let status = if target.contains("fail") { 500 } else { 200 };
                    let large = target.contains("large");
                    answer(
                        &mut stream,
                        status,
                        &if large {
                            "x".repeat(LARGE)
                        } else {
                            name.clone()
                        },
                    )
                }
            };
            if done.is_err() || !asked.keep_alive {
                break;
            }
        }
    });
}

/// Discovery: always the same list, whole at the start of a watch, then an empty line every 2 s.
pub fn discovery(listener: TcpListener, upstreams: Vec<String>) {
    let instances = upstreams.iter().enumerate().map(|(n, address)| {
        format!(
            r#"{{"instanceId":"toy-{n}","hostPort":"{address}","zone":"here","machineType":"toy","cell":0,"lifecycle":"SERVING","weight":1.0,"startedAtMs":0}}"#
        )
    });
    let instances: Vec<String> = instances.collect();
    let list = format!(
        r#"{{"generation":1,"reset":true,"instances":[{}]}}"#,
        instances.join(",")
    );
    listen(listener, move |mut stream| {
        let Ok(copy) = stream.try_clone() else { return };
        let Some(asked) = read(&mut BufReader::new(copy)) else {
            return;
        };
        if !asked.target.contains("watch=1") {
            // The connection ends after it: a toy has few callers.
            let _ = answer(&mut stream, 200, &list);
            return;
        }
        let head = "HTTP/1.1 200 Toy\r\nTransfer-Encoding: chunked\r\n\r\n";
        let mut line = format!("{head}{:x}\r\n{list}\n\r\n", list.len() + 1);
        while stream.write_all(line.as_bytes()).is_ok() {
            std::thread::sleep(Duration::from_secs(2));
            line = "1\r\n\n\r\n".to_owned();
        }
    });
}

#[allow(dead_code)]
fn main() -> std::io::Result<()> {
    let mut addresses = std::env::args().skip(1);
    let Some(list) = addresses.next() else {
        eprintln!("usage: toy_server DISCOVERY_ADDRESS UPSTREAM_ADDRESS...");
        std::process::exit(2);
    };
    let upstreams: Vec<String> = addresses.collect();
    for address in &upstreams {
        upstream(TcpListener::bind(address)?, Arc::default());
    }
    discovery(TcpListener::bind(&list)?, upstreams.clone());
    println!("discovery at {list}, upstreams at {}", upstreams.join(", "));
    loop {
        std::thread::park();
    }
}
