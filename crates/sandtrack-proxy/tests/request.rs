//! Decoding of requests.
mod common;
use common::{balancer, head, request};
use sandtrack_proxy::request::ProxyRequest;

#[test]
fn the_longest_prefix_of_the_host_picks_the_route_and_none_is_404() {
    let balancer = balancer(Vec::new());
    assert_eq!(request(&balancer, "/slips/1?x=1", &[]).route.name, "slips");
    assert_eq!(request(&balancer, "/slips/deep/1", &[]).route.name, "deep");
    let configuration = balancer.configuration.clone().expect("there is one");
    for target in ["/slips", "/other/1", "/"] {
        let refused = ProxyRequest::decode(&configuration, head(target, &[]), Vec::new(), 0.0, 0.0);
        assert_eq!(
            refused.err().map(|rejection| rejection.status),
            Some(404),
            "{target}"
        );
    }
}

#[test]
fn the_service_is_drawn_by_weight() {
    let balancer = balancer(Vec::new());
    let configuration = balancer.configuration.clone().expect("there is one");
    let picked = |draw: f64| {
        ProxyRequest::decode(&configuration, head("/slips/1", &[]), Vec::new(), 0.0, draw)
            .map(|request| request.service)
    };
    assert_eq!(picked(0.0).as_deref(), Ok("printer"));
    assert_eq!(picked(0.899).as_deref(), Ok("printer"));
    assert_eq!(picked(0.901).as_deref(), Ok("model"));
    assert_eq!(picked(1.0).as_deref(), Ok("model"));
}

#[test]
fn the_deadline_is_the_clients_and_not_over_the_routes_time_out() {
    let balancer = balancer(Vec::new());
    assert_eq!(
        request(&balancer, "/tags/1", &[("Deadline-Remaining", "2500")]).time_left(500.0),
        2000.0
    );
    assert_eq!(
        request(&balancer, "/tags/1", &[("Deadline-Remaining", "60000")]).time_left(0.0),
        4000.0
    );
    assert_eq!(
        request(&balancer, "/tags/1", &[("Deadline-Remaining", "soon")]).time_left(0.0),
        4000.0
    );
}

#[test]
fn all_parts_of_a_prompt_but_the_last_are_shared() {
    let balancer = balancer(Vec::new());
    let prefix = ("Prompt-Prefix", "5c1e07a2:800,91bd3f06:410,e4402b7d:250");
    let one = request(&balancer, "/letters/1", &[prefix]);
    assert_eq!(one.shared_tokens(), 1210);
    let other = request(
        &balancer,
        "/letters/2",
        &[("Prompt-Prefix", "5c1e07a2:800,91bd3f06:410,0badcafe:99")],
    );
    assert_eq!(one.shared_key(), other.shared_key());
    let third = request(
        &balancer,
        "/letters/2",
        &[("Prompt-Prefix", "91bd3f06:410,5c1e07a2:800,0badcafe:99")],
    );
    assert_ne!(
        one.shared_key(),
        third.shared_key(),
        "the order of the parts counts"
    );
}
