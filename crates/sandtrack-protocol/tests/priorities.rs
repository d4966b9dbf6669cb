//! The priorities that upstreams are told.
use sandtrack_protocol::document::Document;
use sandtrack_protocol::priorities::Priorities;

fn priorities(routes: &[u32], tenants: &[u32]) -> Priorities {
    let items = |values: &[u32]| {
        let item = |(at, value): (usize, &u32)| format!(r#"{{"name":"{at}","priority":{value}}}"#);
        let items: Vec<String> = values.iter().enumerate().map(item).collect();
        items.join(",")
    };
    let text = format!(
        r#"{{"version_number":1,"routes":[{}],"services":[],"tenants":[{}]}}"#,
        items(routes),
        items(tenants)
    );
    Priorities::read(&Document::parse(text.as_bytes()).expect("a document"))
}

#[test]
fn without_tenants_it_is_the_routes_and_nine_at_most() {
    let priorities = priorities(&[0, 3, 40], &[]);
    for (route, told) in [(0, 0), (3, 3), (40, 9)] {
        assert_eq!(priorities.of_request(None, route), told);
    }
}

#[test]
fn the_tenants_priority_comes_before_the_routes() {
    let priorities = priorities(&[2, 0, 2], &[7, 1, 1]);
    let told = [(Some(1), 0), (Some(1), 2), (Some(7), 0), (Some(7), 2)]
        .map(|(tenant, route)| priorities.of_request(tenant, route));
    assert_eq!(told, [0, 1, 2, 3]);
    assert_eq!(
        priorities.of_request(None, 0),
        2,
        "who has no tenant is last"
    );
}

#[test]
fn more_than_ten_pairs_keep_their_order_within_what_upstreams_know() {
    let (routes, tenants) = ([0, 1, 2, 3], [0, 1, 2, 3, 4]);
    let priorities = priorities(&routes, &tenants);
    let told: Vec<u32> = tenants
        .iter()
        .flat_map(|tenant| routes.map(|route| priorities.of_request(Some(*tenant), route)))
        .collect();
    assert!(told.is_sorted(), "{told:?}");
    assert_eq!((told[0], told[19]), (0, 9));
}
