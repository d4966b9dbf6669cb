//! A configuration in which two tenants share a key is invalid, however it comes about.
mod common;
use common::cluster::Cluster;
use common::{valid_configuration, LIMITS};

const REPLACE: &str = "/v1/configuration/replace";
const UPDATE: &str = "/v1/configuration/update";

fn with_tenants(version: u64, tenants: &str) -> String {
    valid_configuration(version).replacen(
        &format!("\"limits\":{LIMITS}"),
        &format!("\"limits\":{LIMITS},\"tenants\":[{tenants}]"),
        1,
    )
}

fn set_tenants(version: u64, tenants: &str) -> String {
    format!(r#"{{"version_number":{version},"set_items":{{"tenants":[{tenants}]}}}}"#)
}

const ALPHA: &str = r#"{"name":"alpha","api_keys":["key-1","key-2"]}"#;
const BETA: &str = r#"{"name":"beta","api_keys":["key-3","key-2"]}"#;
const BETA_ALONE: &str = r#"{"name":"beta","api_keys":["key-3"]}"#;

/// Sends the call to a machine, and gives its status after some time.
fn status(cluster: &mut Cluster, machine: usize, target: &str, based_on: u64, body: &str) -> u16 {
    let call = cluster.call(machine, "POST", target, based_on, body);
    cluster.run(1500.0);
    cluster.status(call).expect("it is answered")
}

/// CONFIG: an invalid configuration was acknowledged.
#[test]
fn tenants_that_share_a_key_are_refused_in_a_replacement_and_in_an_update() {
    let mut cluster = Cluster::configured(3);
    let both = with_tenants(9, &format!("{ALPHA},{BETA}"));
    assert_eq!(status(&mut cluster, 1, REPLACE, 7, &both), 400);
    let alpha = with_tenants(10, ALPHA);
    assert_eq!(status(&mut cluster, 1, REPLACE, 7, &alpha), 200);
    for machine in 1..=3 {
        let shared = set_tenants(12, BETA);
        assert_eq!(status(&mut cluster, machine, UPDATE, 10, &shared), 400);
        let together = set_tenants(12, &format!("{BETA_ALONE},{BETA}"));
        assert_eq!(status(&mut cluster, machine, UPDATE, 10, &together), 400);
    }
    assert_eq!(
        status(&mut cluster, 2, UPDATE, 10, &set_tenants(12, BETA_ALONE)),
        200
    );
    // A key moves from one tenant to the other in one change.
    let moved = set_tenants(
        14,
        &format!(r#"{{"name":"alpha","api_keys":["key-1"]}},{BETA}"#),
    );
    assert_eq!(status(&mut cluster, 3, UPDATE, 12, &moved), 200);
}

/// A control node that has not applied the version that an update is based on has to learn it first.
#[test]
fn tenants_that_share_a_key_are_refused_by_a_control_node_that_lags_behind() {
    let mut cluster = Cluster::configured(3);
    let alpha = with_tenants(10, ALPHA);
    // The update goes to all as soon as its basis is acknowledged, and not all have applied that by then.
    let replaced = cluster.call(2, "POST", REPLACE, 7, &alpha);
    let mut shared = None;
    for _ in 0..400 {
        cluster.run(0.5);
        if cluster.status(replaced).is_some() && shared.is_none() {
            let update = set_tenants(12, BETA);
            shared = Some(
                (1..=3)
                    .map(|machine| cluster.call(machine, "POST", UPDATE, 10, &update))
                    .collect::<Vec<_>>(),
            );
        }
    }
    assert_eq!(cluster.status(replaced), Some(200));
    cluster.run(1500.0);
    for call in shared.expect("the replacement is answered") {
        assert_eq!(cluster.status(call), Some(400));
    }
}
