//! What members tell of themselves beside that they live: typed facts, each of a kind with a number that is never used again
//! for another. It owns the kinds and their forms, and must never act on one. A kind that is not known here is kept and told on
//! as it came, so that members of a later version hear each other through this one.
//!
//! Kinds 1 to 15 are this file's; 16 to 31 are for what members saw of zones.
use serde::{Deserialize, Serialize};

pub const LOAD: u16 = 1;
pub const HEALTH: u16 = 2;

/// What a member has to do.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Load {
    /// Requests that have no final answer yet.
    pub open: u32,
    /// Requests that came in the last full second.
    pub per_second: u32,
}

/// What it thinks of its own view.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Health {
    /// 0 whole, 1 doubtful, 2 cut off.
    pub view: u8,
    /// Its doubt about itself, 0 to 8.
    pub score: u8,
    /// How long it waits for answers to its own pings, in the middle (ms): to one that is far or slow itself everybody is.
    pub rtt: u16,
}

#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Fact {
    Load(Load),
    Health(Health),
    /// Of a later version, or one that can't be read.
    Other(u16, Vec<u8>),
}

impl Fact {
    pub fn kind(&self) -> u16 {
        match self {
            Fact::Load(_) => LOAD,
            Fact::Health(_) => HEALTH,
            Fact::Other(kind, _) => *kind,
        }
    }

    /// Its bytes on the wire.
    pub fn bytes(&self) -> Vec<u8> {
        match self {
            Fact::Load(load) => postcard::to_allocvec(load).unwrap_or_default(),
            Fact::Health(health) => postcard::to_allocvec(health).unwrap_or_default(),
            Fact::Other(_, bytes) => bytes.clone(),
        }
    }

    /// Reads one. What a later version put behind what is known here is passed over.
    pub fn read(kind: u16, bytes: &[u8]) -> Fact {
        let read = match kind {
            LOAD => postcard::take_from_bytes(bytes)
                .map(|(load, _)| Fact::Load(load))
                .ok(),
            HEALTH => postcard::take_from_bytes(bytes)
                .map(|(health, _)| Fact::Health(health))
                .ok(),
            _ => None,
        };
        read.unwrap_or_else(|| Fact::Other(kind, bytes.to_vec()))
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn facts_of_a_later_version_are_read_as_far_as_they_are_known() {
        let mut bytes = Fact::Load(Load {
            open: 300,
            per_second: 7,
        })
        .bytes();
        bytes.extend([1, 2, 3]);
        assert_eq!(
            Fact::read(LOAD, &bytes),
            Fact::Load(Load {
                open: 300,
                per_second: 7
            })
        );
        assert_eq!(
            Fact::read(LOAD, &[0x80]),
            Fact::Other(LOAD, vec![0x80]),
            "cut short"
        );
        assert_eq!(Fact::read(999, &[4]), Fact::Other(999, vec![4]));
    }
}
