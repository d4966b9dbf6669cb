//! One sample of each kind of message and of each kind of record on the disk, taken from a world as it runs.
use sandtrack_replication::Message;
use std::collections::BTreeMap;

/// Bytes of a message before its body: incarnation, start, epoch, bound and time of sending, eight each.
const MESSAGE_HEAD: usize = 5 * 8;

/// The shortest of each kind, the first of several; by the byte that tells the kind.
#[derive(Default)]
pub struct Samples {
    pub messages: BTreeMap<u8, Vec<u8>>,
    pub records: BTreeMap<u8, Vec<u8>>,
}

impl Samples {
    pub fn message(&mut self, message: &Message) {
        let bytes = borsh::to_vec(message).expect("a message");
        keep_shortest(&mut self.messages, bytes[MESSAGE_HEAD], bytes);
    }

    pub fn record(&mut self, bytes: &[u8]) {
        keep_shortest(&mut self.records, bytes[0], bytes.to_vec());
    }
}

fn keep_shortest(samples: &mut BTreeMap<u8, Vec<u8>>, kind: u8, bytes: Vec<u8>) {
    if samples
        .get(&kind)
        .is_none_or(|kept| bytes.len() < kept.len())
    {
        samples.insert(kind, bytes);
    }
}
