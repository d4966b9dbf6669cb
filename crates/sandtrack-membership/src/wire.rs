//! The datagram: its form, its bounds, and the one place where bytes from the network become data. It owns the encoding, and
//! must never panic, allocate by a figure that was told, or take a datagram whose check does not fit.
//!
//! A datagram is a frame, a header, and sections (kind, length, bytes). A section may grow at its end only; a reader skips
//! what it does not know, so that two versions can talk. docs/fleet.md has the whole form and the rule on versions.
use crate::config::{valid_address, valid_label, valid_name, Identity, DATAGRAM_MOST};
use crate::Ms;
use serde::{Deserialize, Serialize};
use siphasher::sip::SipHasher13;
use smol_str::SmolStr;
use std::hash::Hasher;
use std::net::{Ipv4Addr, SocketAddrV4};
use std::sync::Arc;

/// The version that this program speaks, and the lowest reader that its datagrams need.
pub const SPEAKS: u8 = 1;
const NEEDS: u8 = 1;
const MAGIC: u8 = 0xF1;
/// Magic, the version needed, the check, and the cluster's tag.
const FRAME: usize = 1 + 1 + 4 + 4;
/// An incarnation over this is nonsense: nobody came back so often.
pub const INCARNATION_MOST: u64 = 1 << 48;
/// One fact's bytes at most.
pub const FACT_MOST: usize = 96;
/// A fact is as old as this at most on the wire (seconds); older ones are not passed on.
pub const FACT_AGE_MOST: Ms = 60_000;

/// What members know is compared by so many parts at most, a hash each; fewer where datagrams are small.
pub const BUCKETS: usize = 64;

const SECTION_MESSAGE: u8 = 1;
const SECTION_RECORD: u8 = 2;
const SECTION_FACT: u8 = 3;

/// One life of one member: a process that was started under this name.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Process {
    pub name: SmolStr,
    /// Drawn at the start: two processes of one name differ in it.
    pub nonce: u32,
}

/// How a member stands, in the order in which one goes before the other within one incarnation.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum State {
    /// It has announced itself and does not know the others yet.
    Joining,
    Alive,
    /// It did not answer one of us, nor others that were asked to try; it may refute that.
    Suspect,
    Failed,
    /// It said so itself.
    Left,
}

impl State {
    /// It counts as there: nothing says that it is gone.
    pub fn is_present(self) -> bool {
        self <= State::Suspect
    }

    pub fn word(self) -> &'static str {
        match self {
            State::Joining => "joining",
            State::Alive => "alive",
            State::Suspect => "suspect",
            State::Failed => "failed",
            State::Left => "left",
        }
    }
}

/// What one member says of one: itself or another.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    pub process: Process,
    pub incarnation: u64,
    pub state: State,
    address: (u32, u16),
    pub zone: SmolStr,
    pub region: SmolStr,
    /// The highest version that it speaks.
    pub speaks: u8,
    /// Of a suspect: who accuses it, by a hash of the name. Several that accuse count more than one.
    pub by: u32,
    /// How long it has been in this state (seconds), where that state ends some day.
    pub age_s: u32,
}

impl Record {
    pub fn new(
        process: Process,
        incarnation: u64,
        state: State,
        place: &Place,
        speaks: u8,
    ) -> Self {
        let address = (u32::from(*place.address.ip()), place.address.port());
        let (zone, region) = (place.site.zone.clone(), place.site.region.clone());
        Record {
            process,
            incarnation,
            state,
            address,
            zone,
            region,
            speaks,
            by: 0,
            age_s: 0,
        }
    }

    pub fn address(&self) -> SocketAddrV4 {
        SocketAddrV4::new(Ipv4Addr::from(self.address.0), self.address.1)
    }

    fn is_valid(&self) -> bool {
        valid_name(&self.process.name)
            && valid_label(&self.zone)
            && valid_label(&self.region)
            && valid_address(self.address())
            && self.incarnation <= INCARNATION_MOST
    }
}

/// A part of the deployment that many members are in.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Site {
    pub zone: SmolStr,
    pub region: SmolStr,
}

/// Where a member is.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Place {
    pub address: SocketAddrV4,
    pub site: Arc<Site>,
}

impl Place {
    pub fn new(address: SocketAddrV4, zone: SmolStr, region: SmolStr) -> Self {
        Place {
            address,
            site: Arc::new(Site { zone, region }),
        }
    }
}

/// Something that one member tells of itself: of a kind, in its order, so old.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Told {
    pub teller: Process,
    pub kind: u16,
    /// Counts what this process told of the kind.
    pub number: u32,
    /// Tenths of a second.
    pub age: u16,
    pub bytes: Vec<u8>,
}

/// Who sends, in each datagram.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Sender {
    pub process: Process,
    pub incarnation: u64,
    address: (u32, u16),
    pub speaks: u8,
}

impl Sender {
    pub fn address(&self) -> SocketAddrV4 {
        SocketAddrV4::new(Ipv4Addr::from(self.address.0), self.address.1)
    }
}

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Message {
    /// Records and facts alone.
    Gossip,
    /// Are you there? `to`: who is meant; whoever has its address now says who it is all the same.
    Ping {
        seq: u32,
        to: Process,
    },
    Ack {
        seq: u32,
    },
    /// Ping that one for me, and tell me what came of it.
    Ask {
        seq: u32,
        target: Process,
        address: (u32, u16),
    },
    /// The asked one reached it.
    Reached {
        seq: u32,
    },
    /// The asked one could not reach it either.
    Nack {
        seq: u32,
    },
    /// I am new here: who is there?
    Join,
    /// The answer's pieces: so many, this one's number from 0 on.
    Welcome {
        pieces: u16,
        piece: u16,
    },
    /// Hashes of what I know, by buckets of names.
    Compare {
        hashes: Vec<u32>,
    },
    /// What I know of some buckets, of so many. `want`: tell me what you know of these, by a bit each.
    Table {
        want: u64,
        buckets: u8,
    },
}

impl Message {
    pub fn ask(seq: u32, target: Process, address: SocketAddrV4) -> Self {
        Message::Ask {
            seq,
            target,
            address: (u32::from(*address.ip()), address.port()),
        }
    }
}

/// A datagram as read.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Datagram {
    pub from: Sender,
    pub message: Message,
    pub records: Vec<Record>,
    pub facts: Vec<Told>,
}

/// Why bytes are no datagram for us.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Refused {
    /// Not one of ours, cut short, or changed on its way.
    Garbage,
    /// Another cluster's.
    Foreign,
    /// It needs a reader of a later version.
    Later,
}

/// A hash that is the same in every process.
pub fn hash(parts: &[&[u8]]) -> u64 {
    let mut hasher = SipHasher13::new_with_keys(0x7361_6e64, 0x7472_6163);
    for part in parts {
        hasher.write(part);
        hasher.write_u8(0xFF);
    }
    hasher.finish()
}

/// What tells one cluster's datagrams from another's. It is no secret.
pub fn cluster_tag(name: &str) -> u32 {
    hash(&[b"cluster", name.as_bytes()]) as u32
}

pub fn name_tag(name: &str) -> u32 {
    hash(&[b"name", name.as_bytes()]) as u32
}

fn check(bytes: &[u8]) -> [u8; 4] {
    (hash(&[bytes]) as u32).to_le_bytes()
}

/// Writes datagrams: a message, and as many records and facts behind it as have room.
pub struct Writer {
    bytes: Vec<u8>,
    most: usize,
}

impl Writer {
    pub fn new(
        cluster: u32,
        identity: &Identity,
        process: &Process,
        incarnation: u64,
        message: &Message,
    ) -> Self {
        let address = (
            u32::from(*identity.advertise.ip()),
            identity.advertise.port(),
        );
        let sender = Sender {
            process: process.clone(),
            incarnation,
            address,
            speaks: SPEAKS,
        };
        let mut bytes = vec![MAGIC, NEEDS, 0, 0, 0, 0];
        bytes.extend(cluster.to_le_bytes());
        let mut writer = Writer {
            bytes,
            most: identity.datagram,
        };
        writer.bytes.extend(packed(&sender));
        // The message always has room: the least datagram holds the longest names.
        let room = writer.add(SECTION_MESSAGE, &packed(message));
        debug_assert!(room);
        writer
    }

    fn add(&mut self, kind: u8, payload: &[u8]) -> bool {
        // A section's length takes one byte up to 127, and two beyond.
        let takes = 1 + if payload.len() < 128 { 1 } else { 2 } + payload.len();
        if self.bytes.len() + takes > self.most {
            return false;
        }
        self.bytes.extend(packed(&(kind, payload)));
        true
    }

    /// No where it has no room for the record.
    pub fn record(&mut self, record: &Record) -> bool {
        self.add(SECTION_RECORD, &packed(record))
    }

    pub fn fact(&mut self, told: &Told) -> bool {
        self.add(SECTION_FACT, &packed(told))
    }

    /// Bytes so far.
    pub fn size(&self) -> usize {
        self.bytes.len()
    }

    pub fn finish(mut self) -> Vec<u8> {
        seal(&mut self.bytes);
        self.bytes
    }
}

/// Puts the check where it belongs. It tells what was changed by chance, and is no proof of who sent it.
pub fn seal(bytes: &mut [u8]) {
    if bytes.len() >= FRAME {
        let sum = check(&bytes[6..]);
        bytes[2..6].copy_from_slice(&sum);
    }
}

/// Plain data of bounded size: packing it can't fail, and an empty section would be skipped.
fn packed<T: Serialize + ?Sized>(data: &T) -> Vec<u8> {
    postcard::to_allocvec(data).unwrap_or_default()
}

/// Reads a datagram of this cluster.
pub fn read(cluster: u32, bytes: &[u8]) -> Result<Datagram, Refused> {
    if bytes.len() < FRAME
        || bytes.len() > DATAGRAM_MOST
        || bytes[0] != MAGIC
        || bytes[2..6] != check(&bytes[6..])
    {
        return Err(Refused::Garbage);
    }
    if bytes[6..FRAME] != cluster.to_le_bytes() {
        return Err(Refused::Foreign);
    }
    if bytes[1] > SPEAKS {
        return Err(Refused::Later);
    }
    body(&bytes[FRAME..]).ok_or(Refused::Garbage)
}

fn body(bytes: &[u8]) -> Option<Datagram> {
    let (from, mut rest) = postcard::take_from_bytes::<Sender>(bytes).ok()?;
    let (mut message, mut records, mut facts) = (None, Vec::new(), Vec::new());
    while !rest.is_empty() {
        let ((kind, payload), after) = postcard::take_from_bytes::<(u8, &[u8])>(rest).ok()?;
        rest = after;
        match kind {
            SECTION_MESSAGE if message.is_none() => {
                // A message of a kind not known here says nothing; the records behind it do.
                let read = postcard::take_from_bytes::<Message>(payload);
                message = Some(read.map_or(Message::Gossip, |(message, _)| message));
            }
            SECTION_RECORD => {
                let (record, _) = postcard::take_from_bytes::<Record>(payload).ok()?;
                records.push(Some(record).filter(Record::is_valid)?);
            }
            SECTION_FACT => {
                let (told, _) = postcard::take_from_bytes::<Told>(payload).ok()?;
                let fits = told.bytes.len() <= FACT_MOST && valid_name(&told.teller.name);
                facts.push(Some(told).filter(|_| fits)?);
            }
            _ => {}
        }
    }
    let named = |message: &Message| match message {
        Message::Ping { to, .. } => valid_name(&to.name),
        Message::Ask {
            target, address, ..
        } => {
            let address = SocketAddrV4::new(Ipv4Addr::from(address.0), address.1);
            valid_name(&target.name) && valid_address(address)
        }
        Message::Compare { hashes } => hashes.len().is_power_of_two() && hashes.len() <= BUCKETS,
        Message::Table { buckets, .. } => {
            buckets.is_power_of_two() && usize::from(*buckets) <= BUCKETS
        }
        _ => true,
    };
    let valid = valid_name(&from.process.name)
        && valid_address(from.address())
        && from.incarnation <= INCARNATION_MOST;
    Some(Datagram {
        from,
        message: message.filter(named)?,
        records,
        facts,
    })
    .filter(|_| valid)
}
