//! Case 3. A control node stands still for a moment while two operators' changes are under way, the second built on the first. The second
//! gives a tenant a key that the first has given to another one.
use review_standins::*;
use std::io::{BufReader, Write};
use std::net::{TcpListener, TcpStream};
use std::process::ExitCode;
use std::thread;
use std::time::{Duration, Instant};

const ROUNDS: u64 = 3;
/// How long the control node stands still: 50 ms before the first change, then these.
const BEFORE: Duration = Duration::from_millis(50);
const BETWEEN: Duration = Duration::from_millis(80);
const AFTER: Duration = Duration::from_millis(270);
/// An operator repeats a call without a clear answer for so long.
const PATIENCE: Duration = Duration::from_millis(6000);

fn main() -> ExitCode {
    let record = Record::new();
    play(&record).unwrap_or_else(|| record.end(2, "the case could not run"))
}

fn serve(stream: &TcpStream) -> Option<()> {
    let mut writer = stream.try_clone().ok()?;
    let mut reader = BufReader::new(stream);
    while let Some(request) = read_message(&mut reader) {
        let id = request.header("request-id");
        let answer = if request.target() == "/health" {
            "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nInstance-Id: i-slip-0\r\n\r\nok".to_owned()
        } else {
            let body = format!("tenant {}", request.header("tenant-name"));
            let length = body.len();
            format!(
                "HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nServer-Seal: seal-{id}\r\nContent-Length: {length}\r\n\r\n{body}"
            )
        };
        writer.write_all(answer.as_bytes()).ok()?;
    }
    None
}

fn start_upstream(listener: TcpListener) {
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            thread::spawn(move || serve(&stream));
        }
    });
}

fn route() -> String {
    "{\"name\":\"slip\",\"host\":\"stall.example\",\"path_prefix\":\"/slip/\",\"kind\":\"read_only\",\"timeout_ms\":8000,\"target_latency_ms\":500,\"priority\":2,\"service\":\"slip-print\",\"attempts\":2,\"sticky_sessions\":false,\"resumable\":false,\"home_regions\":[]}".to_owned()
}

/// A change that adds one tenant with one key.
fn change(version: u64, tenant: &str, key: &str) -> String {
    format!(
        "{{\"version_number\":{version},\"set_items\":{{\"tenants\":[{{\"name\":\"{tenant}\",\"api_keys\":[\"{key}\"]}}]}}}}"
    )
}

/// An operator's call of PROTOCOL.md: unchanged to one control node after the other, until a clear answer.
fn update(controls: &[String; 3], first: usize, based_on: u64, body: &str, record: &Record, who: &str) -> u16 {
    let request = format!(
        "POST /v1/configuration/update HTTP/1.1\r\nHost: control\r\nBased-On-Version: {based_on}\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    );
    let (since, mut machine, mut pause) = (Instant::now(), first, 50);
    loop {
        record.add(format!(
            "{who} sends to control of machine {machine}, based on {based_on}: {body}"
        ));
        let answer = call(&controls[machine - 1], &request, Duration::from_secs(1));
        let status = answer.as_ref().map_or(0, Message::status);
        let text = answer
            .map(|answer| String::from_utf8_lossy(&answer.body).into_owned())
            .unwrap_or_default();
        record.add(format!("{who} gets {status} {text}"));
        if matches!(status, 200 | 400 | 409 | 412 | 413 | 422) || since.elapsed() > PATIENCE {
            return status;
        }
        thread::sleep(Duration::from_millis(pause));
        pause = (pause * 2).min(1000);
        machine = machine % 3 + 1;
    }
}

/// The configuration as a control node reads it out.
fn read(control: &str) -> Option<String> {
    let request = "GET /v1/configuration/read HTTP/1.1\r\nHost: control\r\n\r\n";
    let answer = call(control, request, Duration::from_secs(1))?;
    (answer.status() == 200).then(|| String::from_utf8_lossy(&answer.body).into_owned())
}

fn version_of(document: &str) -> Option<u64> {
    let rest = document.split("\"version_number\":").nth(1)?;
    rest.split(|letter: char| !letter.is_ascii_digit()).next()?.parse().ok()
}

/// A client's request with a key: status and body.
fn ask(front: &str, id: &str, key: &str) -> (u16, String) {
    let request = format!(
        "POST /slip/x HTTP/1.1\r\nHost: stall.example\r\nRequest-Id: {id}\r\nAuthorization: Bearer {key}\r\nDeadline-Remaining: 8000\r\nConnection: close\r\nContent-Length: 5\r\n\r\nprint"
    );
    let answer = call(front, &request, Duration::from_secs(9));
    let status = answer.as_ref().map_or(0, Message::status);
    (
        status,
        answer
            .map(|answer| String::from_utf8_lossy(&answer.body).into_owned())
            .unwrap_or_default(),
    )
}

fn play(record: &Record) -> Option<ExitCode> {
    let mut deployment = Deployment::new(record)?;
    let (listener, address) = deployment.listen(50)?;
    start_upstream(listener);
    deployment.instances.lock().unwrap().push(Instance {
        identifier: "i-slip-0".to_owned(),
        service: "slip-print".to_owned(),
        address,
        zone: ZONES[0].0.to_owned(),
        slots: 6,
    });
    deployment.start_programs()?;
    let first = document(&[route()], &[service("slip-print", 130)]);
    let tenants = "\"tenants\":[{\"name\":\"stalls\",\"api_keys\":[\"key-stalls\"]}]";
    deployment.configure(&format!("{},{tenants}}}", &first[..first.len() - 1]))?;
    let controls: [String; 3] = std::array::from_fn(|at| deployment.control(at + 1));
    for round in 1..=ROUNDS {
        let version = version_of(&read(&controls[0])?)?;
        let (one, two) = (format!("hall-{round}"), format!("kiosk-{round}"));
        let key = format!("key-{round}");
        // The last of the chain of the first view: the seeds in their order.
        if trouble() {
            deployment.signal("control", 3, "STOP")?;
            record.add("control of machine 3 stands still (SIGSTOP)");
            thread::sleep(BEFORE);
        }
        let send = |who: &'static str, machine: usize, based_on: u64, tenant: &str| {
            let (controls, record) = (controls.clone(), record.clone());
            let body = change(based_on + 2, tenant, &key);
            thread::spawn(move || update(&controls, machine, based_on, &body, &record, who))
        };
        let operator_one = send("operator one", 1, version, &one);
        thread::sleep(BETWEEN);
        let operator_two = send("operator two", 2, version + 2, &two);
        thread::sleep(AFTER);
        if trouble() {
            deployment.signal("control", 3, "CONT")?;
            record.add("control of machine 3 goes on (SIGCONT)");
        }
        let (valid, invalid) = (operator_one.join().ok()?, operator_two.join().ok()?);
        thread::sleep(Duration::from_millis(3500));
        let documents: Vec<Option<String>> = controls.iter().map(|control| read(control)).collect();
        let mut shared = false;
        for (at, document) in documents.iter().enumerate() {
            let tenants = document
                .as_deref()
                .and_then(|document| document.split("\"tenants\":").nth(1))
                .unwrap_or("");
            let holders = tenants.matches(&format!("\"{key}\"")).count();
            shared |= holders > 1;
            record.add(format!(
                "control of machine {} reads out {holders} tenants with {key}",
                at + 1
            ));
        }
        for machine in 1..=3 {
            let (status, text) = ask(&deployment.front(machine), &format!("r{round}-{machine}"), &key);
            record.add(format!(
                "a client with {key} gets {status} at machine {machine}: {text}"
            ));
        }
        if invalid == 200 && valid == 200 && shared {
            let now = version + 4;
            let body = change(now + 2, "depot", "key-depot");
            let status = update(&controls, 1, now, &body, record, "operator one, with a valid change,");
            record.add(format!("a valid change on top of version {now} gets {status}"));
            return Some(record.end(
                1,
                "broken: an invalid configuration (two tenants share a key) was acknowledged and is in force",
            ));
        }
        // All are in touch again before the next.
        thread::sleep(Duration::from_millis(6000));
    }
    Some(record.end(0, "held"))
}
