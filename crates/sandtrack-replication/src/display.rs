//! Messages as one line each, for logs and transcripts. Names of calls and ballots are left out where they
//! are drawn at random.
use std::fmt::{self, Display, Formatter};

use crate::message::{Ballot, Body, CallId, DiskHealth, Entry, Position, SnapshotId, Status};
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
            Self::Outbid { ballot, promised } => write!(f, "outbid {ballot} by {promised}"),
            Self::Align { ends, applied: _ } => {
                let ends: Vec<String> = ends.iter().map(Position::to_string).collect();
                write!(f, "align me, ends {}", ends.join(" "))
            }
            Self::InLine {
                after,
                on_applied,
                entries,
                more,
            } => {
                let on_applied = if *on_applied { " on its own state" } else { "" };
                write!(
                    f,
                    "in line after {after}{on_applied}: {}{}",
                    listed(entries),
                    followed(*more)
                )
            }
            Self::Pass { entries } => write!(f, "pass {}", listed(entries)),
            Self::Ack { synced, committed } => {
                write!(f, "ack synced {synced} committed {committed}")
            }
            Self::Submit {
                call,
                command,
                hops,
            } => {
                write!(
                    f,
                    "submit {call} {} hops {hops}",
                    String::from_utf8_lossy(command)
                )
            }
            Self::Outcome { call, outcome } => {
                write!(f, "outcome {call} {}", String::from_utf8_lossy(outcome))
            }
            Self::DiskFull { call, head } => write!(f, "disk full {call} at {head}"),
            Self::Read {
                call,
                question,
                hops,
            } => {
                write!(
                    f,
                    "read {call} {} hops {hops}",
                    String::from_utf8_lossy(question)
                )
            }
            Self::ReadPass {
                call,
                question,
                reply_to,
            } => {
                write!(
                    f,
                    "read pass {call} {} reply to {reply_to}",
                    String::from_utf8_lossy(question)
                )
            }
            Self::ReadOutcome { call, answer } => {
                write!(f, "read outcome {call} {}", String::from_utf8_lossy(answer))
            }
            Self::Learn { entries, more } => {
                write!(f, "learn: {}{}", listed(entries), followed(*more))
            }
            Self::Offer(id) => write!(f, "offer {id}"),
            Self::Fetch { id, offset } => write!(f, "fetch {id} from byte {offset}"),
            Self::Piece { id, offset, bytes } => {
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
            Self::FragmentTaken { id, received } => {
                write!(f, "long message {id} taken up to byte {received}")
            }
        }
    }
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
        write!(f, "the snapshot of {}", self.at)
    }
}

fn listed(entries: &[Entry]) -> String {
    let entries: Vec<String> = entries
        .iter()
        .map(|entry| format!("{} {}", entry.at, String::from_utf8_lossy(&entry.command)))
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
            self.aligned, self.synced, self.applied
        )?;
        match self.disk {
            DiskHealth::Well => {}
            DiskHealth::Stalled => write!(f, ", disk stalled")?,
            DiskHealth::Full => write!(f, ", disk full")?,
            DiskHealth::Absent => write!(f, ", no disk")?,
            DiskHealth::CatchingUp => write!(f, ", catching up")?,
            DiskHealth::Leaving => write!(f, ", leaving")?,
        }
        write!(f, ", hears [{}]", self.hears.join(" "))?;
        match &self.source {
            Some(source) => write!(f, ", learns from {source}"),
            None => Ok(()),
        }
    }
}

impl Display for Position {
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
