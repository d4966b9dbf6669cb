//! A configuration for tests, with invented figures.
#![allow(dead_code)]
use serde_json::{json, Value};
use std::io::{BufRead, BufReader, Read};
use std::net::{TcpListener, TcpStream};
use std::sync::atomic::{AtomicUsize, Ordering};

pub fn settings() -> Value {
    json!({
        "azs": ["north", "south"], "locality": "north", "me": 0, "siblings": 2, "step": 1.0,
        "classes": [
            {"name": "read", "aim": 200.0, "deadline": 900.0, "effect": "repeatable", "value": 1.0},
            {"name": "set", "aim": 200.0, "deadline": 900.0, "effect": "by_key", "key-scope": "all",
             "window": 700.0, "value": 2.0},
            {"name": "pay", "aim": 200.0, "deadline": 900.0, "effect": "once", "value": 3.0, "late-worth": 0.5},
            {"name": "feed", "aim": 200.0, "deadline": 900.0, "effect": "repeatable", "value": 1.0, "stream": true},
        ],
        "orgs": [{"name": "acme", "portion": 0.5, "quota-rps": 50.0}, {"name": "blue", "portion": 0.5, "quota-rps": 50.0}],
        "over-share-worth": 0.1,
        "discovery": "on_request",
        "feedback": {"how": "on_probe", "columns": ["active", "waiting"]},
        "weights": "off",
        "limits": {"cancel": true, "probes": true, "peers": false, "parallel-tries": true, "max-attempts": 4,
                   "retry-after": true, "max-retry-after": 400.0, "connect-timeout": 100.0, "conn-idle": 4000.0},
        "penalties": {"probe": 0.01, "cross-zone": 0.1, "waste": 0.02, "late-fail": 0.03},
        "rules": {"answer-slack": 5.0, "ask-within": 8000.0, "cold": 5000.0, "cold-share": 0.4,
                  "drain-grace": 300.0, "fall": 1000.0, "fall-multiple": 3.0},
    })
}

pub fn instance(number: usize, address: &str, lifecycle: &str) -> Value {
    json!({"instanceId": format!("s-{number}"), "hostPort": address, "zone": "north", "machineType": "m",
           "cell": number, "lifecycle": lifecycle, "weight": 1.0, "startedAtMs": 0})
}

pub fn catalog(generation: u64, reset: bool, instances: Vec<Value>) -> Value {
    json!({"generation": generation, "reset": reset, "instances": instances})
}

pub fn config(listen: &str, discovery: &str, known: Value) -> Value {
    json!({"name": "n0", "listen": listen, "discovery": discovery, "seed": "8c1f30d27a5be964",
           "limits": {"cores": 1.0, "memory_mb": 64, "sockets": 256}, "known": known, "settings": settings()})
}

pub fn listener() -> (TcpListener, String) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap().to_string();
    (listener, address)
}

/// Nobody listens there, and nobody will: each has a loopback address to itself, as a port given back on the common one
/// may be the next that another test is given. `net`: another for each test program.
pub fn free_address(net: u8) -> String {
    static NEXT: AtomicUsize = AtomicUsize::new(1);
    let own = format!("127.{net}.{}.1:0", NEXT.fetch_add(1, Ordering::Relaxed));
    TcpListener::bind(own)
        .unwrap()
        .local_addr()
        .unwrap()
        .to_string()
}

/// One answer: its status, whether the connection closes, its body; `None` if the connection ended with none.
pub fn answer(reader: &mut BufReader<TcpStream>) -> Option<(u16, bool, Vec<u8>)> {
    let mut line = String::new();
    reader
        .read_line(&mut line)
        .ok()
        .filter(|count| *count > 0)?;
    let status = line
        .split(' ')
        .nth(1)
        .unwrap_or_else(|| panic!("no answer: {line:?}"))
        .parse()
        .unwrap();
    let (mut length, mut close) = (0, false);
    loop {
        line.clear();
        reader.read_line(&mut line).unwrap();
        match line.trim_end().split_once(": ") {
            Some(("Content-Length", value)) => length = value.parse().unwrap(),
            Some(("Connection", value)) => close = value == "close",
            Some(_) => {}
            None => break,
        }
    }
    let mut body = vec![0; length];
    reader.read_exact(&mut body).unwrap();
    Some((status, close, body))
}
