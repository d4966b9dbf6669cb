//! The status of a control node (`GET /v1/status`).
mod facts;
mod report;

pub use facts::{changed_facts, FactChange, Facts};

use simd_json::prelude::*;
use simd_json::OwnedValue;

/// A proxy: a member of the data plane.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ProxyStatus {
    /// Name of the node.
    pub node: String,
    /// Zone of the node.
    pub zone: String,
    /// Address at which the proxy accepts requests (`front`).
    pub listen_address: String,
    /// Version of the configuration that the proxy has applied.
    pub version: u64,
    /// The proxy accepts requests.
    pub ready: bool,
    /// The proxy is shutting down (`leaving`).
    pub draining: bool,
    /// Requests in flight (`open`).
    pub open_requests: u64,
}

/// Another control node, as the one that responded sees it.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ControlNodeStatus {
    /// Address of its operators' interface.
    pub address: String,
    /// Its name; empty where it is not known.
    pub node: String,
    /// A connection with it is established.
    pub linked: bool,
}

/// The upstreams of a service.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ServiceStatus {
    /// Name of the service.
    pub service: String,
    /// Number of its upstreams.
    pub upstreams: u64,
    /// How many of these are draining.
    pub draining: u64,
}

/// The status of the system, as one control node sees it.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Status {
    /// Name of the control node that responded.
    pub node: String,
    /// Address of the control node that responded.
    pub address: String,
    /// The node hears from a majority of the voters (`attached`).
    pub has_majority: bool,
    /// The node is in the chain and has applied all committed changes that it knows of.
    pub caught_up: bool,
    /// Version of the configuration in force.
    pub version: u64,
    /// Number of committed changes (`configuration_number`).
    pub change_number: u64,
    /// Why the configuration in force is invalid (`configuration_fault`); empty where it is valid.
    pub configuration_fault: String,
    /// Zones that are evacuated (`evacuated`).
    pub evacuated_zones: Vec<String>,
    /// Epoch of the view: the chain's configuration.
    pub epoch: u64,
    /// Names of the replicas, from the head to the tail of the chain.
    pub chain: Vec<String>,
    /// Names of the nodes that vote on the next view.
    pub voters: Vec<String>,
    /// The other control nodes.
    pub control_nodes: Vec<ControlNodeStatus>,
    /// The proxies.
    pub proxies: Vec<ProxyStatus>,
    /// The node that polls the platform's endpoint list (`reader`); empty where there is none yet.
    pub endpoint_poller: String,
    /// The services with their upstreams.
    pub services: Vec<ServiceStatus>,
}

impl Status {
    /// Reads a response body; `None` where it is no status. Missing fields that are not essential are empty.
    pub fn parse(body: &[u8]) -> Option<Status> {
        // The parser works in place and overwrites its input.
        let mut scratch = body.to_vec();
        let value = simd_json::to_owned_value(&mut scratch).ok()?;
        let view = value.get("view")?;
        Some(Status {
            node: text(&value, "node"),
            address: text(&value, "address"),
            has_majority: value.get_bool("attached")?,
            caught_up: value.get_bool("caught_up").unwrap_or(true),
            version: value.get_u64("version_number")?,
            change_number: number(&value, "configuration_number"),
            configuration_fault: text(&value, "configuration_fault"),
            evacuated_zones: texts(&value, "evacuated"),
            epoch: number(view, "epoch"),
            chain: texts(view, "chain"),
            voters: texts(view, "voters"),
            control_nodes: objects(&value, "control_nodes", ControlNodeStatus::from_json),
            proxies: objects(&value, "proxies", ProxyStatus::from_json),
            endpoint_poller: text(&value, "reader"),
            services: objects(&value, "services", ServiceStatus::from_json),
        })
    }

    /// Why the status may be stale; `None` where it is not.
    pub fn staleness_warning(&self) -> Option<&'static str> {
        match (self.has_majority, self.caught_up) {
            (false, _) => Some("the one that answered hears no majority: what it says may be old"),
            (true, false) => Some("the one that answered is not in the chain or still catches up"),
            (true, true) => None,
        }
    }
}

impl ProxyStatus {
    fn from_json(value: &OwnedValue) -> ProxyStatus {
        ProxyStatus {
            node: text(value, "node"),
            zone: text(value, "zone"),
            listen_address: text(value, "front"),
            version: number(value, "version_number"),
            ready: flag(value, "ready"),
            draining: flag(value, "leaving"),
            open_requests: number(value, "open"),
        }
    }
}

impl ControlNodeStatus {
    fn from_json(value: &OwnedValue) -> ControlNodeStatus {
        ControlNodeStatus {
            address: text(value, "address"),
            node: text(value, "node"),
            linked: flag(value, "linked"),
        }
    }
}

impl ServiceStatus {
    fn from_json(value: &OwnedValue) -> ServiceStatus {
        ServiceStatus {
            service: text(value, "service"),
            upstreams: number(value, "upstreams"),
            draining: number(value, "draining"),
        }
    }
}

fn text(value: &OwnedValue, field: &str) -> String {
    value.get_str(field).unwrap_or_default().to_owned()
}

fn number(value: &OwnedValue, field: &str) -> u64 {
    value.get_u64(field).unwrap_or(0)
}

fn flag(value: &OwnedValue, field: &str) -> bool {
    value.get_bool(field).unwrap_or(false)
}

fn objects<T>(value: &OwnedValue, field: &str, read: impl Fn(&OwnedValue) -> T) -> Vec<T> {
    value
        .get_array(field)
        .map(|items| items.iter().map(read).collect())
        .unwrap_or_default()
}

fn texts(value: &OwnedValue, field: &str) -> Vec<String> {
    objects(value, field, |item| {
        item.as_str().unwrap_or_default().to_owned()
    })
}
