//! Where requests go as control tells: DRAIN, EVAC, HOME, ROUTE, CONFIG.
use crate::control_node::ReceivedFrame;
use crate::harness::{document, Harness, ROUTES, SERVICES};
use sandtrack_protocol::document::Document;
use sandtrack_protocol::frames::{ItemChange, ToProxy, UpstreamEntry};

const REQUESTS: usize = 12;

/// So many requests all go to this upstream. Among several, chance would pass another in one of 2^12 runs.
fn assert_all_go_to(harness: &Harness, upstream: &UpstreamEntry, what: &str) {
    let mut client = harness.client();
    for at in 0..REQUESTS {
        let target = ["/slips/a", "/pay/a", "/letters/a", "/tags/slow/a"][at % 4];
        client.post_with(target, &format!("{what}-{at}"), &[], "body");
        let upstream_request = harness.next_upstream_request();
        assert_eq!(upstream_request.identifier, upstream.identifier, "{what}");
        upstream_request.respond("here");
        assert_eq!(client.response().status(), 200);
    }
}

fn assert_unavailable(harness: &Harness, target: &str, id: &str) {
    let mut client = harness.client();
    client.post_with(target, id, &["Deadline-Remaining: 500"], "body");
    assert_eq!(client.response().status(), 503);
}

/// DRAIN: those that drain or are gone get nothing more, kept connections or not.
#[test]
fn draining_and_removed_upstreams_get_no_requests() {
    let harness = Harness::unconfigured("draining_and_removed_upstreams_get_no_requests");
    harness.send_single_proxy_census();
    let (one, two) = (
        harness.add_upstream("printer", "a"),
        harness.add_upstream("printer", "a"),
    );
    harness.send_upstream_list(vec![one.clone()]);
    harness.wait_until_applied();
    assert_all_go_to(&harness, &one, "alone");
    let draining = UpstreamEntry {
        draining: true,
        ..one.clone()
    };
    harness.send_upstream_changes(vec![draining.clone(), two.clone()], &[]);
    harness.wait_until_applied();
    assert_all_go_to(&harness, &two, "one-drains");
    harness.send_upstream_changes(vec![one.clone()], &[&two.identifier]);
    harness.wait_until_applied();
    assert_all_go_to(&harness, &one, "two-is-gone");
    // A whole list has all that there are.
    harness.send_upstream_list(vec![two.clone()]);
    harness.wait_until_applied();
    assert_all_go_to(&harness, &two, "one-is-not-listed");
    harness.send_upstream_list(vec![draining]);
    harness.wait_until_applied();
    assert_unavailable(&harness, "/pay/a", "none");
    assert_unavailable(&harness, "/slips/a", "none-either");
    harness.finish();
}

/// EVAC: nothing is sent to the upstreams of an evacuated zone until it is taken back; an older word changes nothing.
#[test]
fn evacuated_zones_get_no_requests() {
    let harness = Harness::unconfigured("evacuated_zones_get_no_requests");
    harness.send_single_proxy_census();
    let (zone_a, zone_b) = (
        harness.add_upstream("printer", "a"),
        harness.add_upstream("printer", "b"),
    );
    harness.send_upstream_list(vec![zone_a.clone(), zone_b.clone()]);
    let evacuate = |number: u64, zones: &[&str]| {
        let zones = zones.iter().map(|zone| (*zone).to_owned()).collect();
        harness
            .control_node
            .send(ToProxy::Evacuated { number, zones });
        harness.wait_until_applied();
    };
    evacuate(5, &["a"]);
    assert_all_go_to(&harness, &zone_b, "a-is-evacuated");
    evacuate(4, &[]);
    assert_all_go_to(&harness, &zone_b, "an-older-word");
    evacuate(6, &["a", "b"]);
    assert_unavailable(&harness, "/slips/a", "both-are");
    evacuate(7, &["b"]);
    assert_all_go_to(&harness, &zone_a, "b-is-evacuated");
    evacuate(8, &[]);
    harness.send_upstream_list(vec![zone_b.clone()]);
    harness.wait_until_applied();
    assert_all_go_to(&harness, &zone_b, "none-is");
    harness.finish();
}

/// HOME: a route with homes is served there and nowhere else.
#[test]
fn routes_with_home_regions_are_served_there_only() {
    let harness = Harness::unconfigured("routes_with_home_regions_are_served_there_only");
    harness.send_single_proxy_census();
    let (north, south) = (
        harness.add_upstream("printer", "a"),
        harness.add_upstream("printer", "c"),
    );
    harness.send_upstream_list(vec![north.clone()]);
    harness.wait_until_applied();
    assert_unavailable(&harness, "/slips/south/a", "no-home");
    harness.send_upstream_list(vec![north.clone(), south.clone()]);
    harness.wait_until_applied();
    let mut client = harness.client();
    for at in 0..REQUESTS {
        client.get_with("/slips/south/a", &format!("home-{at}"), &[]);
        let upstream_request = harness.next_upstream_request();
        assert_eq!(upstream_request.identifier, south.identifier);
        upstream_request.respond("at home");
        assert_eq!(client.response().status(), 200);
    }
    // The same upstream fails: the other one is no home.
    client.get_with("/slips/south/a", "home-cut", &["Deadline-Remaining: 2000"]);
    let upstream_request = harness.next_upstream_request();
    assert_eq!(upstream_request.identifier, south.identifier);
    upstream_request.close();
    let again = harness.next_upstream_request();
    assert_eq!(again.identifier, south.identifier);
    again.respond("at home");
    assert_eq!(client.response().status(), 200);
    harness.finish();
}

/// A request that names a model goes where it is loaded.
#[test]
fn a_request_for_a_model_goes_where_it_is_loaded() {
    let harness = Harness::unconfigured("a_request_for_a_model_goes_where_it_is_loaded");
    harness.send_single_proxy_census();
    let loaded = |entry: UpstreamEntry, model: &str| UpstreamEntry {
        models: vec![model.to_owned()],
        ..entry
    };
    let one = loaded(harness.add_upstream("printer", "a"), "m");
    let two = loaded(harness.add_upstream("printer", "a"), "n");
    harness.send_upstream_list(vec![one.clone(), two.clone()]);
    harness.wait_until_applied();
    let mut client = harness.client();
    for at in 0..REQUESTS {
        let (model, entry) = if at % 2 == 0 {
            ("Model: m", &one)
        } else {
            ("Model: n", &two)
        };
        client.post_with("/pay/a", &format!("r{at}"), &[model], "body");
        let upstream_request = harness.next_upstream_request();
        assert_eq!(upstream_request.identifier, entry.identifier);
        upstream_request.respond("loaded");
        assert_eq!(client.response().status(), 200);
    }
    harness.finish();
}

fn changes(from_number: u64, number: u64, version: u64, items: Vec<ItemChange>) -> ToProxy {
    ToProxy::Changes {
        from_number,
        number,
        version,
        items,
        fields: Vec::new(),
    }
}

/// The routes with `/pay/` moved to another service.
fn routes_with_pay_moved() -> String {
    ROUTES.replace(
        r#""priority":2,"service":"printer","attempts":2},
{"name":"pay-once""#,
        r#""priority":2,"service":"binder","attempts":2},
{"name":"pay-once""#,
    )
}

/// CONFIG: a change moves a route, adds one and removes one; requests that come later go by it.
#[test]
fn a_configuration_change_is_applied() {
    let harness = Harness::unconfigured("a_configuration_change_is_applied");
    harness.send_single_proxy_census();
    let (printer, binder) = (
        harness.add_upstream("printer", "a"),
        harness.add_upstream("binder", "a"),
    );
    harness.send_upstream_list(vec![printer.clone(), binder.clone()]);
    let number = harness.configure(ROUTES);
    let mut client = harness.client();
    client.post("/pay/a", "r1", "body");
    let upstream_request = harness.next_upstream_request();
    assert_eq!(upstream_request.identifier, printer.identifier);
    upstream_request.respond("paid");
    client.response();

    let added = r#"{"name":"new","host":"post.example","path_prefix":"/new/","kind":"read_only","timeout_ms":60000,
"target_latency_ms":60000,"priority":2,"service":"binder","attempts":1}"#;
    let before = Document::parse(document(1, ROUTES).as_bytes()).unwrap();
    let routes = format!(
        "{},{added}",
        routes_with_pay_moved()
            .replace(r#""path_prefix":"/letters/""#, r#""path_prefix":"/mail/""#)
    );
    let after = Document::parse(document(77, &routes).as_bytes()).unwrap();
    let (mut items, fields) = before.changes(&after);
    assert_eq!((items.len(), fields.len()), (3, 0));
    items.push(ItemChange {
        list: "routes".to_owned(),
        name: "once".to_owned(),
        json: None,
    });
    harness
        .control_node
        .send(changes(number, number + 1, 77, items));
    harness.wait_for_version(77);

    for (id, target) in [("r2", "/pay/a"), ("r3", "/new/a")] {
        client.post(target, id, "body");
        let upstream_request = harness.next_upstream_request();
        assert_eq!(upstream_request.identifier, binder.identifier, "{target}");
        upstream_request.respond("bound");
        assert_eq!(client.response().status(), 200);
    }
    client.post("/letters/a", "r4", "body");
    assert_eq!(client.response().status(), 404);
    // The removed route's paths are another's now.
    client.get("/slips/once/a", "r5");
    harness.next_upstream_request().respond("slip");
    assert_eq!(client.response().status(), 200);
    harness.finish_with_transcript();
}

/// A change on top of another number is not taken: the whole configuration is wanted, and what was in force stays so.
#[test]
fn a_configuration_change_on_another_base_is_not_applied() {
    let harness =
        Harness::with_upstreams("a_configuration_change_on_another_base_is_not_applied", 1);
    let binder = harness.add_upstream("binder", "a");
    harness.send_upstream_changes(vec![binder.clone()], &[]);
    let number = harness.configure(ROUTES);
    let removal = vec![ItemChange {
        list: "routes".to_owned(),
        name: "pay".to_owned(),
        json: None,
    }];
    harness
        .control_node
        .send(changes(number + 1, number + 2, 900, removal));
    harness
        .control_node
        .wait_for("the whole is wanted", |heard| {
            *heard == ReceivedFrame::WantConfiguration
        });
    let mut client = harness.client();
    client.post("/pay/a", "r1", "body");
    let upstream_request = harness.next_upstream_request();
    assert_ne!(upstream_request.identifier, binder.identifier);
    upstream_request.respond("paid");
    assert_eq!(client.response().status(), 200);
    let document = document(900, &routes_with_pay_moved());
    harness.control_node.send(ToProxy::Configuration {
        number: number + 2,
        version: 900,
        document,
    });
    harness.wait_for_version(900);
    client.post("/pay/a", "r2", "body");
    let upstream_request = harness.next_upstream_request();
    assert_eq!(upstream_request.identifier, binder.identifier);
    upstream_request.respond("bound");
    assert_eq!(client.response().status(), 200);
    harness.finish_with_transcript();
}

/// CONFIG, "a machine goes back": a lower or the same number changes nothing, whatever its version; nor does one that is
/// invalid or can't be read.
#[test]
fn an_older_configuration_is_not_applied() {
    let harness = Harness::with_upstreams("an_older_configuration_is_not_applied", 1);
    let number = harness.configure(ROUTES);
    let other = r#"{"name":"x","host":"post.example","path_prefix":"/x/","kind":"read_only","timeout_ms":60000,"service":"printer"}"#;
    let send_configuration = |number: u64, document: String| {
        harness.control_node.send(ToProxy::Configuration {
            number,
            version: 5000,
            document,
        });
    };
    send_configuration(number - 1, document(5000, other));
    send_configuration(number, document(5000, other));
    let removal = vec![ItemChange {
        list: "routes".to_owned(),
        name: "pay".to_owned(),
        json: None,
    }];
    harness
        .control_node
        .send(changes(number - 1, number, 5000, removal));
    send_configuration(number + 1, "{\"version_number\":5000".to_owned());
    send_configuration(
        number + 1,
        document(5000, &other.replace("printer", "unknown")),
    );
    send_configuration(number + 1, document(5000, &other.replace("60000", "0")));
    send_configuration(
        number + 1,
        format!(r#"{{"version_number":5000,"services":[{SERVICES}]}}"#),
    );
    let after = vec![ItemChange {
        list: "routes".to_owned(),
        name: "letters".to_owned(),
        json: None,
    }];
    harness
        .control_node
        .send(changes(number, number + 1, 6000, after));
    harness.wait_for_version(6000);
    let mut client = harness.client();
    client.post("/pay/a", "r1", "body");
    harness.next_upstream_request().respond("paid");
    assert_eq!(client.response().status(), 200);
    client.get("/x/a", "r2");
    assert_eq!(client.response().status(), 404);
    client.get("/letters/a", "r3");
    assert_eq!(client.response().status(), 404);
    harness.finish_with_transcript();
}

/// ROUTE: another service's upstream at the address of one that is gone is not asked for the old one's.
#[test]
fn a_reused_address_gets_requests_for_its_new_service_only() {
    let harness = Harness::unconfigured("a_reused_address_gets_requests_for_its_new_service_only");
    harness.send_single_proxy_census();
    let one = harness.add_upstream("printer", "a");
    harness.send_upstream_list(vec![one.clone()]);
    harness.wait_until_applied();
    let mut client = harness.client();
    client.get("/slips/a", "r1");
    harness.next_upstream_request().respond("one");
    client.response();
    let other = UpstreamEntry {
        service: "binder".to_owned(),
        identifier: "i-new".to_owned(),
        ..one.clone()
    };
    harness.send_upstream_changes(vec![other], &[&one.identifier]);
    harness.configure(&routes_with_pay_moved());
    assert_unavailable(&harness, "/slips/a", "old");
    client.post("/pay/a", "r2", "body");
    let upstream_request = harness.next_upstream_request();
    assert_eq!(
        upstream_request.message.header("expected-instance"),
        Some("i-new")
    );
    assert_eq!(
        upstream_request.earlier_requests, 0,
        "not on a connection to the one that is gone"
    );
    upstream_request.respond("bound");
    assert_eq!(client.response().text(), "bound");
    harness.finish_with_transcript();
}
