//! What is logged of operators' calls: each once, with why it was not taken.
use sandtrack_control::operator_api::call_age::Arrival;
use sandtrack_control::operator_api::call_log::CallLog;
use sandtrack_control::operator_api::responses::{too_old, Reply};
use sandtrack_protocol::metrics::MetricsText;
use sandtrack_sidecar_core::message::{Head, Headers, Message};

fn call(method: &str, target: &str) -> Message {
    let head = Head {
        method: method.to_owned(),
        target: target.to_owned(),
        status: 0,
        headers: Headers::default(),
        keep_alive: true,
        chunks: true,
    };
    Message {
        head,
        body: Vec::new(),
    }
}

#[test]
fn a_rejected_call_is_logged_once_with_its_code_and_its_age() {
    let mut log = CallLog::default();
    let begin = call("POST", "/v1/evacuation/kita-hall/begin");
    log.record_read(1500.0, 4, &begin, Some(Arrival::at(1000.0)));
    let logged = log
        .record_response(1502.0, 4, &too_old())
        .expect("a log line");
    let expected = "call 4 (POST /v1/evacuation/kita-hall/begin, 0 bytes; read 500 ms after it was accepted) answered 503 \
        E308 the call may have waited for too long in this process: it was not carried out after 2 ms";
    assert_eq!(logged.text, expected);
    assert!(logged.is_notable);
    assert_eq!(
        log.record_response(1503.0, 4, &too_old()),
        None,
        "a call is told once"
    );
}

#[test]
fn a_successful_read_is_not_notable_and_all_calls_are_counted() {
    let mut log = CallLog::default();
    log.record_read(0.0, 1, &call("GET", "/v1/configuration/read"), None);
    assert!(
        !log.record_response(3.0, 1, &Reply::success("{}".to_owned()))
            .expect("a log line")
            .is_notable
    );
    log.record_read(
        5.0,
        2,
        &call("POST", "/v1/evacuation/kita-hall/begin"),
        None,
    );
    log.record_abandoned();
    let mut text = MetricsText::default();
    log.write_metrics(&mut text);
    let text = text.into_text();
    for line in [
        "sandtrack_control_calls_total{status=\"200\",code=\"\"} 1",
        "sandtrack_control_calls_left_total 1",
        "sandtrack_control_calls_open 1",
    ] {
        assert!(text.contains(line), "{line} in {text}");
    }
}
