//! Case 3. An operator sends an invalid configuration: a route names an unknown service, and a field is nested deeply.
use review_standins::*;
use std::process::ExitCode;
use std::time::{Duration, Instant};

/// Levels of the nested field; without the trouble it has but a few.
const DEPTH: usize = 100_000;
const SHALLOW: usize = 10;
/// The operator repeats the call without a clear answer for so long (acknowledge_ms).
const PATIENCE: Duration = Duration::from_millis(6000);

fn main() -> ExitCode {
    let record = Record::new();
    play(&record).unwrap_or_else(|| record.end(2, "the case could not run"))
}

fn route(service: &str) -> String {
    format!(
        "{{\"name\":\"slip\",\"host\":\"stall.example\",\"path_prefix\":\"/slip/\",\"kind\":\"read_only\",\"timeout_ms\":8000,\"target_latency_ms\":500,\"priority\":2,\"service\":\"{service}\",\"attempts\":2,\"sticky_sessions\":false,\"resumable\":false,\"home_regions\":[]}}"
    )
}

fn play(record: &Record) -> Option<ExitCode> {
    let mut deployment = Deployment::new(record)?;
    deployment.instances.lock().unwrap().push(Instance {
        identifier: "i-slip-0".to_owned(),
        service: "slip-print".to_owned(),
        address: format!("{}:9", deployment.machine(50)),
        zone: ZONES[0].0.to_owned(),
        slots: 6,
    });
    deployment.start_programs()?;
    deployment.configure(&document(&[route("slip-print")], &[service("slip-print", 130)]))?;
    let depth = if trouble() { DEPTH } else { SHALLOW };
    let valid = document(&[route("no-such-service")], &[service("slip-print", 130)])
        .replace("\"version_number\":3", "\"version_number\":5");
    let body = format!(
        "{},\"note\":{}{}}}",
        &valid[..valid.len() - 1],
        "[".repeat(depth),
        "]".repeat(depth)
    );
    let request = format!(
        "POST /v1/configuration/replace HTTP/1.1\r\nHost: control\r\nBased-On-Version: 3\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    );
    // As PROTOCOL.md has it: after a failure the same call goes to another control node, with a pause that grows.
    let (since, mut pause, mut ends, mut status) = (Instant::now(), 50, 0, 0);
    let mut machine = 0;
    while since.elapsed() < PATIENCE {
        machine = machine % 3 + 1;
        record.add(format!(
            "operator sends the invalid configuration ({} bytes) to control of machine {machine}",
            body.len()
        ));
        status =
            call(&deployment.control(machine), &request, Duration::from_secs(1)).map_or(0, |answer| answer.status());
        record.add(match status {
            0 => "operator gets no answer".to_owned(),
            status => format!("operator gets {status}"),
        });
        if matches!(status, 200 | 400 | 409 | 412 | 413 | 422) {
            break;
        }
        std::thread::sleep(Duration::from_millis(pause));
        pause = (pause * 2).min(1000);
        for end in deployment.restart_ended() {
            record.add(format!("ended by itself: {end}; the platform starts it again"));
            ends += 1;
        }
    }
    std::thread::sleep(Duration::from_millis(500));
    for end in deployment.restart_ended() {
        record.add(format!("ended by itself: {end}; the platform starts it again"));
        ends += 1;
    }
    record.add(format!("{ends} ends of processes of the core, last answer {status}"));
    Some(match (ends, status) {
        (3.., _) => record.end(
            1,
            "broken: processes of the core ended by themselves three times or more",
        ),
        (_, 400..=499) => record.end(0, "held"),
        _ => record.end(0, "held: fewer than three ends"),
    })
}
