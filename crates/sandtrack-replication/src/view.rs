//! Members and views: which processes form the chain, and which vote on the next view.
use std::collections::BTreeMap;

use borsh::{BorshDeserialize, BorshSerialize};

/// The "ip:port" under which a control node listens for its peers.
pub type Address = String;

/// One control node for the life of its disk.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, BorshSerialize, BorshDeserialize)]
pub struct Member {
    /// The address of its process.
    pub address: Address,
    /// 0 for the seeds of the very first start, else drawn at random when the disk was found empty.
    pub incarnation: u64,
}

/// A decided view. There is at most one for each epoch.
#[derive(Clone, Debug, PartialEq, Eq, Hash, BorshSerialize, BorshDeserialize)]
pub struct View {
    /// Increases by 1 with each view; 0 is no view.
    pub epoch: u64,
    /// From the head to the tail.
    pub chain: Vec<Member>,
    /// The voters, a majority of which decides the next view.
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

    /// How many voters are a majority.
    pub fn majority(&self) -> usize {
        self.voters.len() / 2 + 1
    }

    /// Whether entries on the disks of the whole chain survive the losses that have to be tolerated. A member whose
    /// zone isn't known counts as a zone of its own.
    pub(crate) fn may_commit(
        &self,
        tolerated_machine_losses: usize,
        tolerated_zone_losses: usize,
    ) -> bool {
        self.chain.len() > tolerated_machine_losses
            && members_per_zone(&self.zones).len() > tolerated_zone_losses
    }

    /// Whether a majority of the voters survives the loss of the zones with the most voters, as many as are tolerated.
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

/// The number of members in each zone, in descending order. A member whose zone isn't known is in a zone of its own.
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
