//! Where requests go as control tells: DRAIN, EVAC, HOME, ROUTE, CONFIG.
use crate::control_node::Heard;
use crate::harness::{document, Stage, ROUTES, SERVICES};
use sandtrack_protocol::document::Document;
use sandtrack_protocol::frames::{ItemChange, ToProxy, UpstreamEntry};

const TRIES: usize = 12;

/// So many requests all go to this upstream. Among several, chance would pass another in one of 2^12 runs.
fn all_go_to(stage: &Stage, upstream: &UpstreamEntry, what: &str) {
    let mut client = stage.client();
    for at in 0..TRIES {
        let target = ["/slips/a", "/pay/a", "/letters/a", "/tags/slow/a"][at % 4];
        client.post_with(target, &format!("{what}-{at}"), &[], "body");
        let asked = stage.asked();
        assert_eq!(asked.identifier, upstream.identifier, "{what}");
        asked.answer("here");
        assert_eq!(client.answer().status(), 200);
    }
}

fn none_goes(stage: &Stage, target: &str, id: &str) {
    let mut client = stage.client();
    client.post_with(target, id, &["Deadline-Remaining: 500"], "body");
    assert_eq!(client.answer().status(), 503);
}

/// DRAIN: those that drain or are gone get nothing more, kept connections or not.
#[test]
fn draining_and_gone_upstreams_get_nothing() {
    let stage = Stage::empty("draining_and_gone_upstreams_get_nothing");
    stage.tell_alone();
    let (one, two) = (
        stage.upstream("printer", "a"),
        stage.upstream("printer", "a"),
    );
    stage.list(vec![one.clone()]);
    stage.settle();
    all_go_to(&stage, &one, "alone");
    let draining = UpstreamEntry {
        draining: true,
        ..one.clone()
    };
    stage.relist(vec![draining.clone(), two.clone()], &[]);
    stage.settle();
    all_go_to(&stage, &two, "one-drains");
    stage.relist(vec![one.clone()], &[&two.identifier]);
    stage.settle();
    all_go_to(&stage, &one, "two-is-gone");
    // A whole list has all that there are.
    stage.list(vec![two.clone()]);
    stage.settle();
    all_go_to(&stage, &two, "one-is-not-listed");
    stage.list(vec![draining]);
    stage.settle();
    none_goes(&stage, "/pay/a", "none");
    none_goes(&stage, "/slips/a", "none-either");
    stage.finish_unwritten();
}

/// EVAC: nothing is sent to the upstreams of an evacuated zone until it is taken back; an older word changes nothing.
#[test]
fn evacuated_zones_get_nothing() {
    let stage = Stage::empty("evacuated_zones_get_nothing");
    stage.tell_alone();
    let (near, far) = (
        stage.upstream("printer", "a"),
        stage.upstream("printer", "b"),
    );
    stage.list(vec![near.clone(), far.clone()]);
    let evacuate = |number: u64, zones: &[&str]| {
        let zones = zones.iter().map(|zone| (*zone).to_owned()).collect();
        stage
            .control_node
            .tell(ToProxy::Evacuated { number, zones });
        stage.settle();
    };
    evacuate(5, &["a"]);
    all_go_to(&stage, &far, "a-is-evacuated");
    evacuate(4, &[]);
    all_go_to(&stage, &far, "an-older-word");
    evacuate(6, &["a", "b"]);
    none_goes(&stage, "/slips/a", "both-are");
    evacuate(7, &["b"]);
    all_go_to(&stage, &near, "b-is-evacuated");
    evacuate(8, &[]);
    stage.list(vec![far.clone()]);
    stage.settle();
    all_go_to(&stage, &far, "none-is");
    stage.finish_unwritten();
}

/// HOME: a route with homes is served there and nowhere else.
#[test]
fn routes_with_homes_are_served_there_only() {
    let stage = Stage::empty("routes_with_homes_are_served_there_only");
    stage.tell_alone();
    let (north, south) = (
        stage.upstream("printer", "a"),
        stage.upstream("printer", "c"),
    );
    stage.list(vec![north.clone()]);
    stage.settle();
    none_goes(&stage, "/slips/south/a", "no-home");
    stage.list(vec![north.clone(), south.clone()]);
    stage.settle();
    let mut client = stage.client();
    for at in 0..TRIES {
        client.get_with("/slips/south/a", &format!("home-{at}"), &[]);
        let asked = stage.asked();
        assert_eq!(asked.identifier, south.identifier);
        asked.answer("at home");
        assert_eq!(client.answer().status(), 200);
    }
    // The same upstream fails: the other one is no home.
    client.get_with("/slips/south/a", "home-cut", &["Deadline-Remaining: 2000"]);
    let asked = stage.asked();
    assert_eq!(asked.identifier, south.identifier);
    asked.close();
    let again = stage.asked();
    assert_eq!(again.identifier, south.identifier);
    again.answer("at home");
    assert_eq!(client.answer().status(), 200);
    stage.finish_unwritten();
}

/// A request that names a model goes where it is loaded.
#[test]
fn a_model_is_asked_where_it_is_loaded() {
    let stage = Stage::empty("a_model_is_asked_where_it_is_loaded");
    stage.tell_alone();
    let loaded = |entry: UpstreamEntry, model: &str| UpstreamEntry {
        models: vec![model.to_owned()],
        ..entry
    };
    let one = loaded(stage.upstream("printer", "a"), "m");
    let two = loaded(stage.upstream("printer", "a"), "n");
    stage.list(vec![one.clone(), two.clone()]);
    stage.settle();
    let mut client = stage.client();
    for at in 0..TRIES {
        let (model, entry) = if at % 2 == 0 {
            ("Model: m", &one)
        } else {
            ("Model: n", &two)
        };
        client.post_with("/pay/a", &format!("r{at}"), &[model], "body");
        let asked = stage.asked();
        assert_eq!(asked.identifier, entry.identifier);
        asked.answer("loaded");
        assert_eq!(client.answer().status(), 200);
    }
    stage.finish_unwritten();
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
fn moved() -> String {
    ROUTES.replace(
        r#""priority":2,"service":"printer","attempts":2},
{"name":"pay-once""#,
        r#""priority":2,"service":"binder","attempts":2},
{"name":"pay-once""#,
    )
}

/// CONFIG: a change moves a route, adds one and removes one; requests that come later go by it.
#[test]
fn a_change_of_items_is_in_force() {
    let stage = Stage::empty("a_change_of_items_is_in_force");
    stage.tell_alone();
    let (printer, binder) = (
        stage.upstream("printer", "a"),
        stage.upstream("binder", "a"),
    );
    stage.list(vec![printer.clone(), binder.clone()]);
    let number = stage.configure(ROUTES);
    let mut client = stage.client();
    client.post("/pay/a", "r1", "body");
    let asked = stage.asked();
    assert_eq!(asked.identifier, printer.identifier);
    asked.answer("paid");
    client.answer();

    let added = r#"{"name":"new","host":"post.example","path_prefix":"/new/","kind":"read_only","timeout_ms":60000,
"target_latency_ms":60000,"priority":2,"service":"binder","attempts":1}"#;
    let before = Document::parse(document(1, ROUTES).as_bytes()).unwrap();
    let routes = format!(
        "{},{added}",
        moved().replace(r#""path_prefix":"/letters/""#, r#""path_prefix":"/mail/""#)
    );
    let after = Document::parse(document(77, &routes).as_bytes()).unwrap();
    let (mut items, fields) = before.changes(&after);
    assert_eq!((items.len(), fields.len()), (3, 0));
    items.push(ItemChange {
        list: "routes".to_owned(),
        name: "once".to_owned(),
        json: None,
    });
    stage
        .control_node
        .tell(changes(number, number + 1, 77, items));
    stage.serves_by(77);

    for (id, target) in [("r2", "/pay/a"), ("r3", "/new/a")] {
        client.post(target, id, "body");
        let asked = stage.asked();
        assert_eq!(asked.identifier, binder.identifier, "{target}");
        asked.answer("bound");
        assert_eq!(client.answer().status(), 200);
    }
    client.post("/letters/a", "r4", "body");
    assert_eq!(client.answer().status(), 404);
    // The removed route's paths are another's now.
    client.get("/slips/once/a", "r5");
    stage.asked().answer("slip");
    assert_eq!(client.answer().status(), 200);
    stage.finish();
}

/// A change on top of another number is not taken: the whole configuration is wanted, and what was in force stays so.
#[test]
fn a_change_that_does_not_fit_is_not_taken() {
    let stage = Stage::serving("a_change_that_does_not_fit_is_not_taken", 1);
    let binder = stage.upstream("binder", "a");
    stage.relist(vec![binder.clone()], &[]);
    let number = stage.configure(ROUTES);
    let gone = vec![ItemChange {
        list: "routes".to_owned(),
        name: "pay".to_owned(),
        json: None,
    }];
    stage
        .control_node
        .tell(changes(number + 1, number + 2, 900, gone));
    stage.control_node.until("the whole is wanted", |heard| {
        *heard == Heard::WantConfiguration
    });
    let mut client = stage.client();
    client.post("/pay/a", "r1", "body");
    let asked = stage.asked();
    assert_ne!(asked.identifier, binder.identifier);
    asked.answer("paid");
    assert_eq!(client.answer().status(), 200);
    let document = document(900, &moved());
    stage.control_node.tell(ToProxy::Configuration {
        number: number + 2,
        version: 900,
        document,
    });
    stage.serves_by(900);
    client.post("/pay/a", "r2", "body");
    let asked = stage.asked();
    assert_eq!(asked.identifier, binder.identifier);
    asked.answer("bound");
    assert_eq!(client.answer().status(), 200);
    stage.finish();
}

/// CONFIG, "a machine goes back": a lower or the same number changes nothing, whatever its version; nor does one that is
/// invalid or can't be read.
#[test]
fn it_never_goes_back() {
    let stage = Stage::serving("it_never_goes_back", 1);
    let number = stage.configure(ROUTES);
    let other = r#"{"name":"x","host":"post.example","path_prefix":"/x/","kind":"read_only","timeout_ms":60000,"service":"printer"}"#;
    let tell = |number: u64, document: String| {
        stage.control_node.tell(ToProxy::Configuration {
            number,
            version: 5000,
            document,
        });
    };
    tell(number - 1, document(5000, other));
    tell(number, document(5000, other));
    let gone = vec![ItemChange {
        list: "routes".to_owned(),
        name: "pay".to_owned(),
        json: None,
    }];
    stage
        .control_node
        .tell(changes(number - 1, number, 5000, gone));
    tell(number + 1, "{\"version_number\":5000".to_owned());
    tell(
        number + 1,
        document(5000, &other.replace("printer", "unknown")),
    );
    tell(number + 1, document(5000, &other.replace("60000", "0")));
    tell(
        number + 1,
        format!(r#"{{"version_number":5000,"services":[{SERVICES}]}}"#),
    );
    let after = vec![ItemChange {
        list: "routes".to_owned(),
        name: "letters".to_owned(),
        json: None,
    }];
    stage
        .control_node
        .tell(changes(number, number + 1, 6000, after));
    stage.serves_by(6000);
    let mut client = stage.client();
    client.post("/pay/a", "r1", "body");
    stage.asked().answer("paid");
    assert_eq!(client.answer().status(), 200);
    client.get("/x/a", "r2");
    assert_eq!(client.answer().status(), 404);
    client.get("/letters/a", "r3");
    assert_eq!(client.answer().status(), 404);
    stage.finish();
}

/// ROUTE: another service's upstream at the address of one that is gone is not asked for the old one's.
#[test]
fn a_reused_address_is_asked_for_its_new_service_only() {
    let stage = Stage::empty("a_reused_address_is_asked_for_its_new_service_only");
    stage.tell_alone();
    let one = stage.upstream("printer", "a");
    stage.list(vec![one.clone()]);
    stage.settle();
    let mut client = stage.client();
    client.get("/slips/a", "r1");
    stage.asked().answer("one");
    client.answer();
    let other = UpstreamEntry {
        service: "binder".to_owned(),
        identifier: "i-new".to_owned(),
        ..one.clone()
    };
    stage.relist(vec![other], &[&one.identifier]);
    stage.configure(&moved());
    none_goes(&stage, "/slips/a", "old");
    client.post("/pay/a", "r2", "body");
    let asked = stage.asked();
    assert_eq!(asked.request.header("expected-instance"), Some("i-new"));
    assert_eq!(
        asked.earlier, 0,
        "not on a connection to the one that is gone"
    );
    asked.answer("bound");
    assert_eq!(client.answer().text(), "bound");
    stage.finish();
}
