//! Case 1. One upstream in trouble sends a second copy of its refusals late, in the place where the next answer is due.
use review_standins::*;
use std::collections::{BTreeMap, HashMap};
use std::io::{BufReader, Write};
use std::net::{TcpListener, TcpStream};
use std::process::ExitCode;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// How long the upstream is full after the driver has filled it with other callers' work.
const FULL: Duration = Duration::from_millis(100);
/// Work of one request, as that of slip-print.
const WORK: Duration = Duration::from_millis(60);
const PER_ROUTE: usize = 2;
/// At most this share of the upstream's answers is followed by a surplus one, as in the site file (garble, how = "extra late").
const SURPLUS_SHARE: f64 = 0.03;
/// Ordinary requests before each one that finds the upstream full.
const ORDINARY: usize = 40;

/// What all connections of one upstream share.
struct Upstream {
    identifier: String,
    record: Record,
    full_until: Mutex<Instant>,
    /// Runs by request id.
    runs: Arc<Mutex<HashMap<String, u32>>>,
    /// Answers and surplus ones that were sent, without those to health checks.
    sent: Mutex<(u32, u32)>,
}

impl Upstream {
    /// Counts an answer; yes where a surplus one may follow it.
    fn may_follow(&self, is_refusal: bool) -> bool {
        let mut sent = self.sent.lock().unwrap();
        sent.0 += 1;
        let follows = is_refusal && f64::from(sent.1 + 1) <= SURPLUS_SHARE * f64::from(sent.0);
        sent.1 += u32::from(follows);
        follows
    }
}

fn serve(upstream: &Upstream, stream: &TcpStream, number: usize) {
    let Ok(mut writer) = stream.try_clone() else { return };
    let _ = stream.set_nodelay(true);
    let mut reader = BufReader::new(stream);
    let mut surplus: Option<Vec<u8>> = None;
    while let Some(request) = read_message(&mut reader) {
        let name = &upstream.identifier;
        if request.target() == "/health" {
            let answer = format!("HTTP/1.1 200 OK\r\nContent-Length: 2\r\nInstance-Id: {name}\r\n\r\nok");
            if writer.write_all(answer.as_bytes()).is_err() {
                return;
            }
            continue;
        }
        let id = request.header("request-id").to_owned();
        let is_ordinary = id.starts_with("ordinary");
        let note = |line: String| {
            if !is_ordinary {
                upstream.record.add(line);
            }
        };
        note(format!("{id} reaches {name} on connection {number}"));
        if let Some(bytes) = surplus.take() {
            upstream.record.add(format!(
                "{name} sends its earlier refusal once more on connection {number} (surplus, late)"
            ));
            if writer.write_all(&bytes).is_err() {
                return;
            }
        }
        let answer = if request.header("expected-instance") != name.as_str() {
            format!("HTTP/1.1 421 Misdirected\r\nRequest-Id: {id}\r\nContent-Length: 0\r\n\r\n")
        } else if Instant::now() < *upstream.full_until.lock().unwrap() {
            let refusal =
                format!("HTTP/1.1 503 Full\r\nRequest-Id: {id}\r\nNot-Executed: full\r\nContent-Length: 0\r\n\r\n");
            upstream
                .record
                .add(format!("{name} is full and does not run {id}: 503 with Not-Executed"));
            surplus = (upstream.may_follow(true) && trouble()).then(|| refusal.clone().into_bytes());
            refusal
        } else {
            *upstream.runs.lock().unwrap().entry(id.clone()).or_default() += 1;
            note(format!("{name} runs {id}"));
            upstream.may_follow(false);
            std::thread::sleep(WORK);
            let body = format!("slip of {id}");
            format!(
                "HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nServer-Seal: seal-{id}\r\nContent-Length: {}\r\n\r\n{body}",
                body.len()
            )
        };
        if writer.write_all(answer.as_bytes()).is_err() {
            return;
        }
    }
}

fn start(upstream: Arc<Upstream>, listener: TcpListener) {
    std::thread::spawn(move || {
        for (number, stream) in listener.incoming().flatten().enumerate() {
            let upstream = upstream.clone();
            std::thread::spawn(move || serve(&upstream, &stream, number + 1));
        }
    });
}

fn route(name: &str, prefix: &str, attempts: u32, target_ms: u32) -> String {
    format!(
        "{{\"name\":\"{name}\",\"host\":\"stall.example\",\"path_prefix\":\"{prefix}\",\"kind\":\"mutating\",\"timeout_ms\":8000,\"target_latency_ms\":{target_ms},\"priority\":1,\"service\":\"slip-print\",\"attempts\":{attempts},\"sticky_sessions\":false,\"resumable\":false,\"home_regions\":[\"kamikawa\"]}}"
    )
}

/// One try of a client: the answer's status (0 where none came) and body.
fn send(deployment: &Deployment, prefix: &str, id: &str) -> (u16, String) {
    let request = format!(
        "POST /{prefix}/slip HTTP/1.1\r\nHost: stall.example\r\nRequest-Id: {id}\r\nDeadline-Remaining: 8000\r\nConnection: close\r\nContent-Length: 5\r\n\r\nprint"
    );
    let answer = call(&deployment.front(2), &request, Duration::from_secs(10));
    let status = answer.as_ref().map_or(0, Message::status);
    let body = answer.map(|answer| String::from_utf8_lossy(&answer.body).into_owned());
    (status, body.unwrap_or_default())
}

fn main() -> ExitCode {
    let record = Record::new();
    let Some(result) = play(&record) else {
        return record.end(2, "the case could not run");
    };
    result
}

fn play(record: &Record) -> Option<ExitCode> {
    let mut deployment = Deployment::new(record)?;
    let runs: Arc<Mutex<HashMap<String, u32>>> = Arc::default();
    let mut upstreams = Vec::new();
    // One upstream of slip-print in each zone; only asahi-hall is in kamikawa.
    for (at, (zone, _)) in ZONES.iter().enumerate() {
        let (listener, address) = deployment.listen(50 + at)?;
        let upstream = Arc::new(Upstream {
            identifier: format!("i-slip-{zone}"),
            record: record.clone(),
            full_until: Mutex::new(Instant::now()),
            runs: runs.clone(),
            sent: Mutex::default(),
        });
        start(upstream.clone(), listener);
        deployment.instances.lock().unwrap().push(Instance {
            identifier: upstream.identifier.clone(),
            service: "slip-print".to_owned(),
            address,
            zone: (*zone).to_owned(),
            slots: 6,
        });
        upstreams.push(upstream);
    }
    deployment.start_programs()?;
    let routes = [
        route("two-attempts", "/two/", 2, 1000),
        route("three-attempts", "/three/", 3, 2000),
    ];
    deployment.configure(&document(&routes, &[service("slip-print", 130)]))?;
    let mut answers: BTreeMap<String, u16> = BTreeMap::new();
    for round in 0..PER_ROUTE {
        for prefix in ["two", "three"] {
            let mut served = 0;
            for number in 0..ORDINARY {
                let id = format!("ordinary-{prefix}-{round}-{number}");
                served += usize::from(send(&deployment, prefix, &id).0 == 200);
            }
            record.add(format!(
                "{ORDINARY} ordinary requests on /{prefix}/: {served} answered 200"
            ));
            let id = format!("{prefix}-{round}");
            // Other callers fill the upstream of kamikawa for a moment.
            *upstreams[1].full_until.lock().unwrap() = Instant::now() + FULL;
            record.add(format!("client sends {id}"));
            let (status, text) = send(&deployment, prefix, &id);
            record.add(format!("client gets {status} for {id}: {text}"));
            answers.insert(id, status);
            std::thread::sleep(Duration::from_millis(1200));
        }
    }
    let (sent, extra) = *upstreams[1].sent.lock().unwrap();
    if trouble() {
        record.add(format!(
            "the upstream of asahi-hall sent {sent} answers and {extra} surplus ones"
        ));
    }
    let runs = runs.lock().unwrap().clone();
    let mut broken = Vec::new();
    for (id, runs) in runs.iter().filter(|(id, _)| id.starts_with("ordinary")) {
        if *runs > 1 {
            broken.push(format!("TWICE: {id} ran {runs} times"));
        }
    }
    for (id, status) in &answers {
        let runs = runs.get(id).copied().unwrap_or(0);
        record.add(format!("{id}: answer {status}, runs {runs}"));
        if runs > 1 {
            broken.push(format!("TWICE: {id} ran {runs} times"));
        }
        if matches!(status, 408 | 421 | 429 | 503) && runs > 0 {
            broken.push(format!("REFUSED: {id} got {status} and ran"));
        }
    }
    if answers.values().all(|status| *status != 200) && !trouble() {
        return None;
    }
    for line in &broken {
        record.add(line.clone());
    }
    Some(match broken.iter().any(|line| line.starts_with("TWICE")) {
        true => record.end(1, "broken: a request that is not idempotent ran more than once"),
        false => record.end(0, "held"),
    })
}
