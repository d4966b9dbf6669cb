//! Case 2. An upstream crashes in the middle of an event of an answer that has no length and ends with its connection.
//! With the arguments `upstream ADDRESS IDENTIFIER` it is that upstream.
use review_standins::*;
use std::collections::BTreeMap;
use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::process::{Child, Command, ExitCode, Stdio};
use std::sync::mpsc;
use std::sync::{Arc, Mutex};
use std::time::Duration;

const UPSTREAMS: usize = 6;
/// One of them is answered without a length; the upstream that has it answers 34 or more, so that its share is under 0.03.
const STREAMS: usize = 300;
/// Largest share of answers without a length of one upstream, as in the site file (garble).
const UNFRAMED_SHARE: f64 = 0.03;
const PIECES: u32 = 20;
/// The rest of an event follows its first half after so long.
const HALF: Duration = Duration::from_millis(60);

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    if let [role, address, identifier] = arguments.as_slice() {
        if role == "upstream" {
            return run_upstream(address, identifier);
        }
    }
    let record = Record::new();
    play(&record).unwrap_or_else(|| record.end(2, "the case could not run"))
}

fn run_upstream(address: &str, identifier: &str) -> ExitCode {
    let Ok(listener) = TcpListener::bind(address) else {
        return ExitCode::from(2);
    };
    println!("listening");
    for stream in listener.incoming().flatten() {
        let identifier = identifier.to_owned();
        std::thread::spawn(move || serve(&stream, &identifier));
    }
    ExitCode::SUCCESS
}

fn serve(stream: &TcpStream, identifier: &str) -> Option<()> {
    let mut writer = stream.try_clone().ok()?;
    let _ = stream.set_nodelay(true);
    let mut reader = BufReader::new(stream);
    while let Some(request) = read_message(&mut reader) {
        if request.target() == "/health" {
            let answer = format!("HTTP/1.1 200 OK\r\nContent-Length: 2\r\nInstance-Id: {identifier}\r\n\r\nok");
            writer.write_all(answer.as_bytes()).ok()?;
            continue;
        }
        let id = request.header("request-id");
        if request.header("expected-instance") != identifier {
            let answer = format!("HTTP/1.1 421 Misdirected\r\nRequest-Id: {id}\r\nContent-Length: 0\r\n\r\n");
            writer.write_all(answer.as_bytes()).ok()?;
            continue;
        }
        let after: u32 = request.header("last-event-id").parse().unwrap_or(0);
        println!("run {id} {after}");
        let unframed = id == "digest-00";
        let framing = if unframed {
            "Connection: close"
        } else {
            "Transfer-Encoding: chunked"
        };
        let head = format!(
            "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nRequest-Id: {id}\r\nServer-Seal: seal-{identifier}-{id}\r\n{framing}\r\n\r\n"
        );
        writer.write_all(head.as_bytes()).ok()?;
        let framed = |text: &str| match unframed {
            true => text.to_owned(),
            false => format!("{:x}\r\n{text}\r\n", text.len()),
        };
        for piece in after + 1..=PIECES {
            writer
                .write_all(framed(&format!("id: {piece}\ndata: piece {piece} of")).as_bytes())
                .ok()?;
            println!("half {id} {piece}");
            std::thread::sleep(HALF);
            writer.write_all(framed(&format!(" {id}\n\n")).as_bytes()).ok()?;
        }
        println!("whole {id}");
        if unframed {
            return None;
        }
        writer.write_all(framed("").as_bytes()).ok()?;
    }
    None
}

fn route(name: &str, prefix: &str, attempts: u32, resumable: bool) -> String {
    format!(
        "{{\"name\":\"{name}\",\"host\":\"stall.example\",\"path_prefix\":\"{prefix}\",\"kind\":\"streaming\",\"timeout_ms\":8000,\"target_latency_ms\":1000,\"priority\":1,\"service\":\"marche-lm\",\"attempts\":{attempts},\"sticky_sessions\":true,\"resumable\":{resumable},\"gap_aim_ms\":400,\"home_regions\":[]}}"
    )
}

/// What a client got: the status, the bytes of the body, and whether the answer ended as complete.
struct Got {
    status: u16,
    body: String,
    complete: bool,
}

fn stream(address: &str, path: &str, id: &str) -> Option<Got> {
    let address: SocketAddr = address.parse().ok()?;
    let mut stream = TcpStream::connect_timeout(&address, Duration::from_secs(1)).ok()?;
    stream.set_read_timeout(Some(Duration::from_secs(9))).ok()?;
    let request = format!(
        "POST {path} HTTP/1.1\r\nHost: stall.example\r\nRequest-Id: {id}\r\nDeadline-Remaining: 8000\r\nConnection: close\r\nContent-Length: 6\r\n\r\nprompt"
    );
    stream.write_all(request.as_bytes()).ok()?;
    let mut reader = BufReader::new(stream);
    let head = read_head(&mut reader)?;
    let mut body = Vec::new();
    let mut complete = false;
    if head.header("transfer-encoding") == "chunked" {
        loop {
            let mut line = String::new();
            if reader.read_line(&mut line).unwrap_or(0) == 0 {
                break;
            }
            let Ok(size) = usize::from_str_radix(line.trim(), 16) else {
                break;
            };
            let mut chunk = vec![0; size + 2];
            if std::io::Read::read_exact(&mut reader, &mut chunk).is_err() {
                break;
            }
            if size == 0 {
                complete = true;
                break;
            }
            body.extend_from_slice(&chunk[..size]);
        }
    } else if !head.header("content-length").is_empty() {
        let length: usize = head.header("content-length").parse().ok()?;
        body = vec![0; length];
        complete = std::io::Read::read_exact(&mut reader, &mut body).is_ok();
    } else {
        complete = read_rest(&mut reader, &mut body);
    }
    Some(Got {
        status: head.status(),
        body: String::from_utf8_lossy(&body).into_owned(),
        complete,
    })
}

/// Ends the upstreams when dropped.
struct Upstreams(Vec<Child>);

impl Drop for Upstreams {
    fn drop(&mut self) {
        for child in &mut self.0 {
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}

fn play(record: &Record) -> Option<ExitCode> {
    let mut deployment = Deployment::new(record)?;
    let program = std::env::current_exe().ok()?;
    let (sender, lines) = mpsc::channel();
    let mut upstreams = Upstreams(Vec::new());
    for number in 0..UPSTREAMS {
        let (zone, _) = ZONES[number % 3];
        let identifier = format!("i-lm-{number}");
        let (listener, address) = deployment.listen(50 + number)?;
        drop(listener);
        let mut child = Command::new(&program)
            .args(["upstream", &address, &identifier])
            .stdin(Stdio::null())
            .stdout(Stdio::piped())
            .spawn()
            .ok()?;
        let output = BufReader::new(child.stdout.take()?);
        let sender = sender.clone();
        std::thread::spawn(move || {
            for line in output.lines().map_while(Result::ok) {
                let _ = sender.send((number, line));
            }
        });
        upstreams.0.push(child);
        deployment.instances.lock().unwrap().push(Instance {
            identifier,
            service: "marche-lm".to_owned(),
            address,
            zone: zone.to_owned(),
            slots: 64,
        });
    }
    deployment.start_programs()?;
    let routes = [
        route("digest", "/digest/", 1, false),
        route("suggest", "/suggest/", 2, true),
    ];
    deployment.configure(&document(&routes, &[service("marche-lm", 390)]))?;
    let got: Arc<Mutex<BTreeMap<String, Option<Got>>>> = Arc::default();
    let mut clients = Vec::new();
    for number in 0..STREAMS {
        let kind = ["digest", "suggest"][number % 2];
        let id = format!("{kind}-{:02}", number / 2);
        let (address, got, record) = (deployment.front(1 + number / 2 % 3), got.clone(), record.clone());
        clients.push(std::thread::spawn(move || {
            record.add(format!("client sends {id}"));
            let answer = stream(&address, &format!("/{kind}/x"), &id);
            got.lock().unwrap().insert(id, answer);
        }));
        std::thread::sleep(Duration::from_millis(1));
    }
    // The upstream that is at piece 8 of the first stream crashes; its operating system closes its connections.
    let mut runs: BTreeMap<String, Vec<String>> = BTreeMap::new();
    let mut crashed = None;
    let mut share = 0.0;
    while clients.iter().any(|client| !client.is_finished()) {
        let Ok((upstream, line)) = lines.recv_timeout(Duration::from_millis(100)) else {
            continue;
        };
        let words: Vec<&str> = line.split(' ').collect();
        if let ["run", id, after] = words.as_slice() {
            record.add(format!("upstream {upstream} runs {id} behind piece {after}"));
            runs.entry((*id).to_owned()).or_default().push(format!("{upstream}"));
        }
        if crashed.is_none() && trouble() && line == "half digest-00 8" {
            upstreams.0[upstream].kill().ok()?;
            record.add(format!(
                "upstream {upstream} crashes (SIGKILL) in the middle of piece 8 of digest-00"
            ));
            let begun = runs
                .values()
                .flatten()
                .filter(|at| **at == upstream.to_string())
                .count();
            share = 1.0 / begun.max(1) as f64;
            record.add(format!(
                "it has begun {begun} answers, 1 of them without a length: a share of {share:.4}"
            ));
            crashed = Some(upstream);
            // The list shows it for some seconds more.
            let instances = deployment.instances.clone();
            std::thread::spawn(move || {
                std::thread::sleep(Duration::from_secs(3));
                instances
                    .lock()
                    .unwrap()
                    .retain(|entry| entry.identifier != format!("i-lm-{upstream}"));
            });
        }
    }
    for client in clients {
        client.join().ok()?;
    }
    if trouble() && (crashed.is_none() || share > UNFRAMED_SHARE) {
        return None;
    }
    let mut broken = Vec::new();
    for (id, got) in got.lock().unwrap().iter() {
        let Some(got) = got else {
            record.add(format!("{id}: no answer"));
            continue;
        };
        let wanted: String = (1..=PIECES)
            .map(|piece| format!("id: {piece}\ndata: piece {piece} of {id}\n\n"))
            .collect();
        let whole = got.body == wanted;
        let last: String = got
            .body
            .chars()
            .rev()
            .take(28)
            .collect::<Vec<_>>()
            .into_iter()
            .rev()
            .collect();
        let at = runs.get(id).map_or(String::new(), |at| at.join(", "));
        let end = if got.complete {
            "ended as complete"
        } else {
            "was cut off"
        };
        record.add(format!(
            "{id}: answer {}, run at {at}, {} bytes, whole: {whole}, {end}, last bytes {last:?}",
            got.status,
            got.body.len()
        ));
        if got.status == 200 && got.complete && !whole {
            broken.push(format!("ORDER: {id} ended as complete before its last piece"));
        }
    }
    for line in &broken {
        record.add(line.clone());
    }
    Some(match broken.is_empty() {
        true => record.end(0, "held"),
        false => record.end(1, "broken: a stream ended as complete before its last piece"),
    })
}
