//! Frames between proxies and control nodes keep their bytes: processes of different builds exchange them.
#[path = "common/fixtures.rs"]
mod fixtures;
#[path = "common/frame_fixtures.rs"]
mod frame_fixtures;

use sandtrack_protocol::frames::{
    ItemChange, PromptSent, ProxyInfo, ProxyState, ToControl, ToProxy, UpstreamEntry, FORMAT,
};

const PACKAGE: &str = env!("CARGO_MANIFEST_DIR");

fn proxy_state() -> ProxyState {
    ProxyState {
        ready: true,
        draining: false,
        version: 0x0102_0304_0506_0708,
        requests_in_flight: 0x090a_0b0c,
    }
}

fn prompts() -> Vec<PromptSent> {
    vec![
        PromptSent {
            upstream: 1,
            prefix: 2,
            tokens: 3,
        },
        PromptSent {
            upstream: 4,
            prefix: 5,
            tokens: 6,
        },
    ]
}

#[test]
fn frames_to_a_control_node_keep_their_bytes() {
    let info = ProxyInfo {
        node_name: "front-odori-hall-1".to_owned(),
        incarnation: 0x1112_1314_1516_1718,
        zone: "odori-hall".to_owned(),
        region: "ishikari".to_owned(),
        client_address: "10.1.0.9:8161".to_owned(),
    };
    let values = [
        (
            "hello",
            ToControl::Hello {
                format: FORMAT,
                info,
                state: proxy_state(),
            },
        ),
        ("state", ToControl::State(proxy_state())),
        ("want_configuration", ToControl::WantConfiguration),
        ("prompts_sent", ToControl::PromptsSent(prompts())),
    ];
    frame_fixtures::compare(PACKAGE, "to-control.hex", &values);
}

#[test]
fn frames_to_a_proxy_keep_their_bytes() {
    let entry = UpstreamEntry {
        identifier: "i-7f3a91c2".to_owned(),
        service: "lm".to_owned(),
        address: "10.1.2.3:8080".to_owned(),
        zone: "kita-hall".to_owned(),
        slots: 64,
        draining: true,
        slow_start_remaining_ms: 1500,
        time_left_ms: Some(2500),
        models: vec!["m-1".to_owned(), "m-2".to_owned()],
    };
    let on_demand = UpstreamEntry {
        draining: false,
        time_left_ms: None,
        models: Vec::new(),
        ..entry.clone()
    };
    let item = |name: &str, json: Option<&str>| ItemChange {
        list: "routes".to_owned(),
        name: name.to_owned(),
        json: json.map(str::to_owned),
    };
    let values = [
        (
            "welcome",
            ToProxy::Welcome {
                format: FORMAT,
                control_node: "n-1".to_owned(),
                attached: true,
            },
        ),
        (
            "configuration",
            ToProxy::Configuration {
                number: 1,
                version: 7,
                document: "{}".to_owned(),
            },
        ),
        (
            "changes",
            ToProxy::Changes {
                from_number: 1,
                number: 2,
                version: 9,
                items: vec![item("r-1", Some("{\"name\":\"r-1\"}")), item("r-2", None)],
                fields: vec![("limits".to_owned(), "{}".to_owned())],
            },
        ),
        (
            "evacuated",
            ToProxy::Evacuated {
                number: 3,
                zones: vec!["odori-hall".to_owned()],
            },
        ),
        (
            "upstreams",
            ToProxy::Upstreams {
                is_complete: true,
                poll: 4,
                entries: vec![entry, on_demand],
                removed: vec!["i-1".to_owned()],
            },
        ),
        (
            "census",
            ToProxy::Census {
                control_nodes: vec!["10.1.0.1:7721".to_owned()],
                proxies: 12,
                rank: 3,
            },
        ),
        ("beat", ToProxy::Heartbeat { attached: true }),
        ("prompts_sent", ToProxy::PromptsSent(prompts())),
    ];
    frame_fixtures::compare(PACKAGE, "to-proxy.hex", &values);
}
