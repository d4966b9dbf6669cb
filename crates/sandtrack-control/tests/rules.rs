//! Versions of the rules by which commands are decided: a log gives the same state with programs of either version, and a
//! later version comes into force only once all control nodes support it. The files `formats/*-747ceb1.borsh` were written
//! by the program before there were versions.
mod common;
use common::cluster::Cluster;
use common::{configure, valid_configuration};
use sandtrack_control::state_machine::{
    ChangeKind, ControlState, Outcome, Query, QueryResult, RulesVersion,
};
use sandtrack_replication::StateMachine;

/// Version 7 whole, with a tenant; an evacuation; an update to 9 by which two tenants share a key; one to 11 of services; a
/// conflict; a barrier; the agreement on the rules.
const COMMANDS: &[u8] = include_bytes!("formats/commands-747ceb1.borsh");
/// What the earlier program made of each.
const OUTCOMES: &[u8] = include_bytes!("formats/outcomes-747ceb1.borsh");
/// Its state after all of them.
const SNAPSHOT: &[u8] = include_bytes!("formats/snapshot-747ceb1.borsh");
/// The disks of three control nodes of that program that acknowledged such a change.
const WALS: &[u8] = include_bytes!("formats/wals-747ceb1.borsh");
const UPDATE: &str = "/v1/configuration/update";
const REPLACE: &str = "/v1/configuration/replace";
const SHARED: &str =
    r#"{"name":"gamma","api_keys":["key-4"]},{"name":"delta","api_keys":["key-4"]}"#;

fn read(list: &[u8]) -> Vec<Vec<u8>> {
    borsh::from_slice(list).expect("a list")
}

fn set_tenants(version: u64, tenants: &str) -> String {
    format!(r#"{{"version_number":{version},"set_items":{{"tenants":[{tenants}]}}}}"#)
}

fn update(state: &mut ControlState, number: u64, based_on: u64, body: &str) -> Outcome {
    configure(state, number, ChangeKind::Update, based_on, body)
}

/// CONFIG: a log with an invalid change, from before the check, must be decided as the earlier program decides it.
#[test]
fn a_log_of_the_earlier_program_gives_its_outcomes_and_its_state() {
    let mut state = ControlState::default();
    for (number, (command, outcome)) in (1..).zip(read(COMMANDS).iter().zip(read(OUTCOMES))) {
        assert_eq!(state.apply(number, command), outcome, "{number}");
    }
    assert_eq!(state.snapshot(), SNAPSHOT);
    let mut restored = ControlState::default();
    assert!(restored.restore(SNAPSHOT));
    for state in [&state, &restored] {
        assert_eq!(state.rules(), RulesVersion::CHECKED_TENANTS);
        let fault = state.fault().expect("a shared key");
        assert_eq!(fault.code.to_string(), "E209");
    }
    assert_eq!(restored.snapshot(), SNAPSHOT);
}

/// An invalid configuration that an earlier program accepted holds up no other change, and can be mended.
#[test]
fn an_invalid_configuration_can_be_mended() {
    let mut state = ControlState::default();
    assert!(state.restore(SNAPSHOT));
    let services = r#"{"version_number":13,"remove_names":{"services":["print"]}}"#;
    let taken = |version| Outcome::Accepted { version };
    // The route of the example names that service: this is another fault, and the one that is told.
    assert!(matches!(
        update(&mut state, 8, 11, services),
        Outcome::Invalid { code: 203, .. }
    ));
    let limits = r#"{"version_number":13,"limits":{"idle_timeout_ms":9000}}"#;
    assert_eq!(update(&mut state, 9, 11, limits), taken(13));
    assert!(state.fault().is_some());
    let other = set_tenants(15, r#"{"name":"gamma","api_keys":["key-4"]}"#);
    assert!(matches!(
        update(&mut state, 10, 13, &other),
        Outcome::Invalid { code: 209, .. }
    ));
    let mended = set_tenants(15, r#"{"name":"beta","api_keys":["key-2"]}"#);
    assert_eq!(update(&mut state, 11, 13, &mended), taken(15));
    assert_eq!(state.fault(), None);
    assert_eq!(update(&mut state, 12, 15, &set_tenants(17, SHARED)), {
        let code = 209;
        let place = "tenants `delta`".to_owned();
        let what = "two items share a key".to_owned();
        Outcome::Invalid { code, place, what }
    });
}

/// The rule holds for the commands behind the agreement, and for none ahead of it.
#[test]
fn tenants_are_checked_behind_the_agreement() {
    let commands = read(COMMANDS);
    let mut state = ControlState::default();
    state.apply(1, &commands[0]);
    let agreement = borsh::to_vec(&RulesVersion::LATEST.agreement()).expect("a command");
    assert_eq!(&agreement, commands.last().expect("the agreement"));
    state.apply(2, &agreement);
    assert!(matches!(
        borsh::from_slice(&state.apply(3, &commands[2])),
        Ok(Outcome::Invalid { code: 209, .. })
    ));
    assert_eq!((state.version(), state.fault()), (7, None));
    let query = borsh::to_vec(&Query::Configuration).expect("a query");
    let read: QueryResult = borsh::from_slice(&state.query(&query)).expect("a result");
    assert!(read.is_some_and(|document| !document.contains("beta")));
}

/// Three control nodes of this program in place of earlier ones, on their disks: with a change by which two tenants share a
/// key, which the earlier ones acknowledged (review/3).
fn upgraded_cluster() -> Cluster {
    let mut cluster = Cluster::start(0);
    let wals: Vec<Vec<Vec<u8>>> = borsh::from_slice(WALS).expect("three disks");
    for (machine, wal) in (1..).zip(wals) {
        cluster.boot_on(machine, wal);
    }
    cluster.run(5000.0);
    cluster
}

/// A folder that holds an invalid configuration opens; its operators are told, and can mend it.
#[test]
fn operators_are_told_of_an_invalid_configuration_and_mend_it() {
    let mut cluster = upgraded_cluster();
    let now = cluster.now;
    for machine in 1..=3 {
        let metrics = cluster.control_node(machine).metrics_text(now);
        assert!(metrics.contains("\nsandtrack_control_configuration_invalid 1\n"));
        assert_eq!(rules_of(&mut cluster, machine), 2);
    }
    let status = cluster.call(2, "GET", "/v1/status", 0, "");
    let other = r#"{"name":"gamma","api_keys":["key-5"]}"#;
    let held_up = cluster.call(1, "POST", UPDATE, 13, &set_tenants(15, other));
    cluster.run(1500.0);
    let (_, reply) = cluster.answer(status).expect("a status");
    assert!(
        reply.body.contains(r#""configuration_fault":"E209 "#),
        "{reply:?}"
    );
    assert_eq!(cluster.status(held_up), Some(400));
    let limits = r#"{"version_number":15,"limits":{"idle_timeout_ms":9000}}"#;
    cluster.submit_until_accepted(&[2], UPDATE, 13, limits);
    let mended = set_tenants(17, r#"{"name":"beta","api_keys":["key-3"]}"#);
    cluster.submit_until_accepted(&[3], UPDATE, 15, &mended);
    cluster.run(1000.0);
    for machine in 1..=3 {
        let state = cluster.control_node(machine).control_state();
        assert_eq!((state.version(), state.fault()), (17, None));
    }
}

fn rules_of(cluster: &mut Cluster, machine: usize) -> u16 {
    let state = cluster.control_node(machine).control_state();
    state.rules().number()
}

/// Three control nodes whose configuration has a tenant; the third is of the earlier program.
fn mixed_cluster() -> Cluster {
    let mut cluster = Cluster::start(3);
    cluster.earlier_programs.insert(3);
    cluster.run(1000.0);
    cluster.submit_until_accepted(&[1, 2], REPLACE, 0, &valid_configuration(7));
    let tenant = set_tenants(9, r#"{"name":"alpha","api_keys":["key-1"]}"#);
    cluster.submit_until_accepted(&[1, 2], UPDATE, 7, &tenant);
    cluster.run(3000.0);
    cluster
}

/// The program of a machine is replaced by the earlier or the later one, in place.
fn restart(cluster: &mut Cluster, machine: usize, is_earlier: bool) {
    cluster.kill(machine, false);
    cluster.earlier_programs.remove(&machine);
    if is_earlier {
        cluster.earlier_programs.insert(machine);
    }
    cluster.boot(machine, false);
}

#[test]
fn rules_come_into_force_once_all_control_nodes_support_them() {
    let mut cluster = mixed_cluster();
    assert_eq!(
        [1, 2, 3].map(|machine| rules_of(&mut cluster, machine)),
        [1; 3]
    );
    restart(&mut cluster, 3, false);
    cluster.run(6000.0);
    assert_eq!(
        [1, 2, 3].map(|machine| rules_of(&mut cluster, machine)),
        [2; 3]
    );
    let shared = cluster.call(2, "POST", UPDATE, 9, &set_tenants(11, SHARED));
    cluster.run(1500.0);
    assert_eq!(cluster.status(shared), Some(400));
}

/// A control node that goes back to the earlier program would decide the log otherwise: it is kept out, and the others go on.
#[test]
fn a_control_node_of_the_earlier_program_is_kept_out_once_the_rules_are_in_force() {
    let mut cluster = mixed_cluster();
    restart(&mut cluster, 3, false);
    cluster.run(6000.0);
    restart(&mut cluster, 3, true);
    cluster.run(5000.0);
    let tenant = set_tenants(11, r#"{"name":"beta","api_keys":["key-2"]}"#);
    cluster.submit_until_accepted(&[1, 2], UPDATE, 9, &tenant);
    let now = cluster.now;
    assert!(
        !cluster.control_node(3).has_quorum(now),
        "no link with the others"
    );
    assert_eq!(cluster.control_node(3).control_state().version(), 9);
    restart(&mut cluster, 3, false);
    cluster.run(8000.0);
    assert_eq!(cluster.control_node(3).control_state().version(), 11);
}

/// Without tenants the rules decide nothing otherwise: no entry is written for them.
#[test]
fn rules_are_not_agreed_on_without_need() {
    let mut cluster = Cluster::configured(3);
    cluster.run(5000.0);
    assert_eq!(
        [1, 2, 3].map(|machine| rules_of(&mut cluster, machine)),
        [1; 3]
    );
}
