//! What a member is told of itself and its fleet, and the pace of the protocol. It owns the checks, and must never take a
//! figure or a name that the wire can't carry.
use crate::Ms;
use smol_str::SmolStr;
use std::net::SocketAddrV4;

/// Longest name of a member, and of a zone or region, in bytes.
pub const NAME_MOST: usize = 48;
pub const LABEL_MOST: usize = 32;
pub const CLUSTER_MOST: usize = 64;
pub const SEEDS_MOST: usize = 64;
/// The largest datagram that is read, and the least that any member may be bound to: it holds the longest names.
pub const DATAGRAM_MOST: usize = 1200;
pub const DATAGRAM_LEAST: usize = 256;
/// Where it is not told how long one that failed still counts (ms): an hour.
pub const FORGET: Ms = 3_600_000;
const FORGET_LEAST: Ms = 60_000;
const FORGET_MOST: Ms = 7 * 24 * 3_600_000;

/// One member as it is told who it is.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Identity {
    /// Only members of one cluster talk to each other.
    pub cluster: SmolStr,
    pub name: SmolStr,
    /// The address that others are told.
    pub advertise: SocketAddrV4,
    pub zone: SmolStr,
    pub region: SmolStr,
    /// Members to ask first; its own address may be among them.
    pub seeds: Vec<SocketAddrV4>,
    /// Bytes of the largest datagram that it sends.
    pub datagram: usize,
    /// How long one that failed still counts as there, and is remembered.
    pub forget: Ms,
}

/// The key that is at fault, and what is wrong.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Fault {
    pub key: &'static str,
    pub wrong: String,
}

pub(crate) fn valid_name(name: &str) -> bool {
    !name.is_empty() && name.len() <= NAME_MOST && !name.chars().any(char::is_control)
}

pub(crate) fn valid_label(label: &str) -> bool {
    label.len() <= LABEL_MOST && !label.chars().any(char::is_control)
}

/// One that a datagram to one member can be sent to.
pub(crate) fn valid_address(address: SocketAddrV4) -> bool {
    let ip = address.ip();
    address.port() != 0 && !ip.is_unspecified() && !ip.is_multicast() && !ip.is_broadcast()
}

impl Identity {
    pub fn check(&self) -> Result<(), Fault> {
        let fault = |key, wrong: String| Err(Fault { key, wrong });
        if self.cluster.is_empty() || self.cluster.len() > CLUSTER_MOST {
            return fault(
                "cluster",
                format!("{:?} is not 1 to {CLUSTER_MOST} bytes long", self.cluster),
            );
        }
        if !valid_name(&self.name) {
            let wrong = format!(
                "{:?} is not 1 to {NAME_MOST} bytes of plain text: a member needs a name",
                self.name
            );
            return fault("name", wrong);
        }
        if !valid_address(self.advertise) {
            return fault(
                "advertise",
                format!("nobody can be reached at {}", self.advertise),
            );
        }
        for (key, label) in [("zone", &self.zone), ("region", &self.region)] {
            if !valid_label(label) {
                return fault(
                    key,
                    format!("{label:?} is not up to {LABEL_MOST} bytes of plain text"),
                );
            }
        }
        if let Some(seed) = self.seeds.iter().find(|seed| !valid_address(**seed)) {
            return fault("seeds", format!("nobody can be reached at {seed}"));
        }
        if self.seeds.len() > SEEDS_MOST {
            return fault(
                "seeds",
                format!("{} are over {SEEDS_MOST}", self.seeds.len()),
            );
        }
        if !(DATAGRAM_LEAST..=DATAGRAM_MOST).contains(&self.datagram) {
            let wrong = format!(
                "{} is not {DATAGRAM_LEAST} to {DATAGRAM_MOST}",
                self.datagram
            );
            return fault("datagram_bytes", wrong);
        }
        if !(FORGET_LEAST..=FORGET_MOST).contains(&self.forget) {
            let (least, most) = (FORGET_LEAST / 1000, FORGET_MOST / 1000);
            return fault(
                "forget_s",
                format!("{} is not {least} to {most}", self.forget / 1000),
            );
        }
        Ok(())
    }
}
