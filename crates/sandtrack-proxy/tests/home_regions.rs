//! Home regions of a route and a tenant.
use sandtrack_proxy::home_regions::HomeRegions;

#[test]
fn both_sets_of_homes_bind_and_an_empty_one_binds_to_none() {
    let cases: [(&[&str], &[&str], &[&str]); 6] = [
        (&[], &[], &["north", "south", "west"]),
        (&["north"], &[], &["north"]),
        (&[], &["south"], &["south"]),
        (&["north", "south"], &["south", "west"], &["south"]),
        (&["south"], &["south"], &["south"]),
        (&["north"], &["south"], &[]),
    ];
    for (route, tenant, allowed) in cases {
        let names = |names: &[&str]| -> Vec<String> {
            names.iter().map(|name| (*name).to_owned()).collect()
        };
        let homes = HomeRegions::new(&names(route), &names(tenant));
        for region in ["north", "south", "west"] {
            assert_eq!(
                homes.allow(region),
                allowed.contains(&region),
                "{region} of {route:?} and {tenant:?}"
            );
        }
    }
}
