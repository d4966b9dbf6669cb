//! Messages as one line of text each, for logs and transcripts.
//!
//! Random parts of call ids and ballots are left out, so that the text of a seeded run is reproducible.
use std::borrow::Cow;
use std::fmt::{self, Display, Formatter};

use crate::message::{
    Ballot, Body, CallId, DiskHealth, Entry, LogPosition, SnapshotId, Status, SyncBatch,
};
use crate::{Member, Message, View};

impl Display for Member {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}", self.address, self.incarnation)
    }
}

impl Display for View {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "view {}: chain {} voters {}",
            self.epoch,
            members(&self.chain),
            members(&self.voters)
        )
    }
}

fn members(members: &[Member]) -> String {
    let names: Vec<String> = members.iter().map(Member::to_string).collect();
    format!("[{}]", names.join(" "))
}

impl Display for Message {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        write!(f, "e{} {}", self.epoch, self.body)
    }
}

impl Display for Body {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        match self {
            Self::Status(status) => write!(f, "status {status}"),
            Self::NewView(view) => write!(f, "new {view}"),
            Self::Prepare { ballot } => write!(f, "prepare {ballot}"),
            Self::Promise {
                ballot,
                accepted: None,
            } => write!(f, "promise {ballot}"),
            Self::Promise {
                ballot,
                accepted: Some((before, view)),
            } => {
                write!(f, "promise {ballot}, accepted {before}: {view}")
            }
            Self::Accept { ballot, view } => write!(f, "accept {ballot}: {view}"),
            Self::Accepted { ballot } => write!(f, "accepted {ballot}"),
            Self::Preempted { ballot, promised } => write!(f, "outbid {ballot} by {promised}"),
            Self::SyncRequest {
                epoch_ends,
                applied: _,
            } => {
                let epoch_ends: Vec<String> =
                    epoch_ends.iter().map(LogPosition::to_string).collect();
                write!(f, "align me, ends {}", epoch_ends.join(" "))
            }
            Self::SyncBatch(batch) => batch.fmt(f),
            Self::Forward { entries } => write!(f, "pass {}", entry_list(entries)),
            Self::Ack {
                durable_end,
                committed,
            } => {
                write!(f, "ack synced {durable_end} committed {committed}")
            }
            Self::Submit {
                call,
                command,
                hops,
            } => {
                write!(f, "submit {call} {} hops {hops}", text(command))
            }
            Self::Outcome { call, outcome } => {
                write!(f, "outcome {call} {}", text(outcome))
            }
            Self::DiskFull { call, head } => write!(f, "disk full {call} at {head}"),
            Self::Read { call, query, hops } => {
                write!(f, "read {call} {} hops {hops}", text(query))
            }
            Self::ForwardRead {
                call,
                query,
                reply_to,
            } => {
                write!(f, "read pass {call} {} reply to {reply_to}", text(query))
            }
            Self::ReadOutcome { call, answer } => {
                write!(f, "read outcome {call} {}", text(answer))
            }
            Self::CommittedEntries { entries, more } => {
                write!(f, "learn: {}{}", entry_list(entries), followed(*more))
            }
            Self::SnapshotOffer(id) => write!(f, "offer {id}"),
            Self::SnapshotFetch { id, offset } => write!(f, "fetch {id} from byte {offset}"),
            Self::SnapshotChunk { id, offset, bytes } => {
                write!(f, "piece of {id}, {} bytes from byte {offset}", bytes.len())
            }
            Self::Fragment {
                id,
                length,
                offset,
                bytes,
            } => {
                write!(
                    f,
                    "fragment of long message {id}, {} bytes from byte {offset} of {length}",
                    bytes.len()
                )
            }
            Self::FragmentAck { id, received } => {
                write!(f, "long message {id} taken up to byte {received}")
            }
        }
    }
}

impl Display for SyncBatch {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        let on_state = if self.after_applied_state {
            " on its own state"
        } else {
            ""
        };
        let entries = entry_list(&self.entries);
        let more = followed(self.more);
        write!(f, "in line after {}{on_state}: {entries}{more}", self.after)
    }
}

fn text(bytes: &[u8]) -> Cow<'_, str> {
    String::from_utf8_lossy(bytes)
}

fn followed(more: bool) -> &'static str {
    if more {
        ", more follow"
    } else {
        ""
    }
}

impl Display for SnapshotId {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        write!(f, "the snapshot of {}", self.position)
    }
}

fn entry_list(entries: &[Entry]) -> String {
    let entries: Vec<String> = entries
        .iter()
        .map(|entry| format!("{} {}", entry.position, text(&entry.command)))
        .collect();
    if entries.is_empty() {
        return "nothing".to_string();
    }
    entries.join(", ")
}

impl Display for Status {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "aligned {} synced {} applied {}",
            self.in_sync_epoch, self.durable_end, self.applied
        )?;
        match self.disk {
            DiskHealth::Healthy => {}
            DiskHealth::Stalled => write!(f, ", disk stalled")?,
            DiskHealth::Full => write!(f, ", disk full")?,
            DiskHealth::Absent => write!(f, ", no disk")?,
            DiskHealth::CatchingUp => write!(f, ", catching up")?,
            DiskHealth::Leaving => write!(f, ", leaving")?,
        }
        write!(f, ", hears [{}]", self.heard_from.join(" "))?;
        match &self.source {
            Some(source) => write!(f, ", learns from {source}"),
            None => Ok(()),
        }
    }
}

impl Display for LogPosition {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        write!(f, "{}@{}", self.number, self.epoch)
    }
}

impl Display for CallId {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        write!(f, "{}#{}", self.origin, self.number)
    }
}

impl Display for Ballot {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        write!(f, "{} of {}", self.round, self.proposer)
    }
}
