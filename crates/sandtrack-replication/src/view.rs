//! Who may take part: members, and the views that a majority of the former voters agreed upon.
use std::collections::BTreeMap;

use borsh::{BorshDeserialize, BorshSerialize};

/// "ip:port" of a control node's link to its peers.
pub type Address = String;

/// One control node for the life of its disk.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, BorshSerialize, BorshDeserialize)]
pub struct Member {
    pub address: Address,
    /// 0 for the seeds of the very first start, else drawn at random when the disk was found empty.
    pub incarnation: u64,
}

/// An agreed view. There is at most one for each epoch.
#[derive(Clone, Debug, PartialEq, Eq, Hash, BorshSerialize, BorshDeserialize)]
pub struct View {
    pub epoch: u64,
    /// From the head to the tail.
    pub chain: Vec<Member>,
    /// Whose majority agrees on the next view.
    pub voters: Vec<Member>,
    /// For each of `chain`: the epoch since which it has been in the chain without a break.
    pub since: Vec<u64>,
    /// For each of `chain`: its zone; empty where it isn't known (the first view).
    pub zones: Vec<String>,
    /// The same for each of `voters`.
    pub voter_zones: Vec<String>,
}

impl View {
    /// Before any view is known.
    pub(crate) fn none() -> Self {
        Self {
            epoch: 0,
            chain: Vec::new(),
            voters: Vec::new(),
            since: Vec::new(),
            zones: Vec::new(),
            voter_zones: Vec::new(),
        }
    }

    /// The first view of the system: the seeds as they were given, all empty.
    pub(crate) fn first(seeds: &[Address]) -> Self {
        let members: Vec<Member> = seeds
            .iter()
            .map(|seed| Member {
                address: seed.clone(),
                incarnation: 0,
            })
            .collect();
        Self {
            epoch: 1,
            since: vec![1; members.len()],
            zones: vec![String::new(); members.len()],
            voter_zones: vec![String::new(); members.len()],
            voters: members.clone(),
            chain: members,
        }
    }

    pub(crate) fn position(&self, member: &Member) -> Option<usize> {
        self.chain.iter().position(|other| other == member)
    }

    pub(crate) fn is_head(&self, member: &Member) -> bool {
        self.chain.first() == Some(member)
    }

    pub(crate) fn successor(&self, member: &Member) -> Option<&Member> {
        self.chain.get(self.position(member)? + 1)
    }

    pub(crate) fn predecessor(&self, member: &Member) -> Option<&Member> {
        self.chain.get(self.position(member)?.checked_sub(1)?)
    }

    /// How many of the voters decide.
    pub fn majority(&self) -> usize {
        self.voters.len() / 2 + 1
    }

    /// Whether what is on all of the chain's disks outlasts the losses that are to be borne. Members whose
    /// zone isn't known count as in zones of their own.
    pub(crate) fn may_commit(
        &self,
        tolerated_machine_losses: usize,
        tolerated_zone_losses: usize,
    ) -> bool {
        self.chain.len() > tolerated_machine_losses
            && members_per_zone(&self.zones).len() > tolerated_zone_losses
    }

    /// Whether a majority of the voters is left when the most crowded zones that may be lost are.
    pub(crate) fn voters_survive_zone_loss(&self, tolerated_zone_losses: usize) -> bool {
        let lost: usize = members_per_zone(&self.voter_zones)
            .into_iter()
            .take(tolerated_zone_losses)
            .sum();
        self.voters.len() - lost >= self.majority()
    }

    /// Addresses of the chain and of the voters, each once.
    pub(crate) fn addresses(&self) -> Vec<Address> {
        let mut all: Vec<Address> = Vec::new();
        for member in self.chain.iter().chain(&self.voters) {
            if !all.contains(&member.address) {
                all.push(member.address.clone());
            }
        }
        all
    }
}

/// How many are in each zone, most first; who isn't known to be in one is in a zone of its own.
fn members_per_zone(zones: &[String]) -> Vec<usize> {
    let mut known: BTreeMap<&String, usize> = BTreeMap::new();
    for zone in zones.iter().filter(|zone| !zone.is_empty()) {
        *known.entry(zone).or_default() += 1;
    }
    let mut members_per_zone: Vec<usize> = known.into_values().collect();
    members_per_zone.extend(zones.iter().filter(|zone| zone.is_empty()).map(|_| 1));
    members_per_zone.sort_unstable_by(|one, other| other.cmp(one));
    members_per_zone
}
