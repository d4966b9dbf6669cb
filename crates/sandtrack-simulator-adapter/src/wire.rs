//! The simulator's wire as serde types: one batch in, one reply out, a JSON line each.
//!
//! What is unknown is skipped; a known event that lacks a required field makes its line malformed.
use sandtrack_settings::Document;
use serde::{Deserialize, Deserializer, Serialize};

#[derive(Deserialize)]
pub struct Batch {
    pub wall: f64,
    pub events: Vec<Event>,
}

#[derive(Deserialize)]
#[serde(tag = "cmd")]
pub enum Event {
    PowerOn {
        sidecar: String,
        prng: u64,
        config: Box<Document>,
    },
    Pool {
        list: usize,
        #[serde(rename = "members-list")]
        members: Vec<Member>,
    },
    DirectoryUpdate {
        sidecar: String,
        scope: Scope,
        #[serde(default)]
        list: usize,
    },
    JobIn {
        sidecar: String,
        call: Call,
        #[serde(rename = "not-after")]
        not_after: f64,
        class: String,
        project: Option<Tenant>,
        #[serde(default)]
        retry: bool,
        #[serde(rename = "partition-key")]
        partition_key: Option<u64>,
        #[serde(rename = "cost-guess")]
        cost_guess: Option<f64>,
    },
    Destroy {
        sidecar: String,
    },
    Sampled {
        sidecar: String,
        #[serde(default)]
        elapsed: f64,
        code: Code,
        upstream: String,
        telemetry: Option<Telemetry>,
    },
    Opened {
        sidecar: String,
        call: Call,
        #[serde(rename = "round-no", default)]
        round_no: u32,
    },
    Done {
        sidecar: String,
        call: Call,
        #[serde(rename = "round-no", default)]
        round_no: u32,
        code: Code,
        #[serde(default)]
        elapsed: f64,
        #[serde(default)]
        closed: bool,
        telemetry: Option<Telemetry>,
    },
    ClientGone {
        sidecar: String,
        call: Call,
    },
    Memo {
        sidecar: String,
        #[serde(rename = "origin-peer", default)]
        origin_peer: u32,
        content: String,
    },
    Due {
        sidecar: String,
        nonce: u64,
    },
    #[serde(other)]
    Unknown,
}

/// A request id: 16 hex digits, returned untouched.
#[derive(Clone, Copy, PartialEq, Eq, Hash)]
pub struct Call(pub u64);

impl<'de> Deserialize<'de> for Call {
    fn deserialize<D: Deserializer<'de>>(from: D) -> Result<Self, D::Error> {
        let text = String::deserialize(from)?;
        u64::from_str_radix(&text, 16)
            .ok()
            .filter(|id| format!("{id:016x}") == text)
            .map(Call)
            .ok_or_else(|| serde::de::Error::custom(format!("call: {text:?} is not 16 hex digits")))
    }
}

impl Serialize for Call {
    fn serialize<S: serde::Serializer>(&self, to: S) -> Result<S::Ok, S::Error> {
        to.collect_str(&format_args!("{:016x}", self.0))
    }
}

/// A tenant's name; sites without tenants may say 0.
#[derive(Deserialize)]
#[serde(untagged)]
pub enum Tenant {
    Name(String),
    Other(serde::de::IgnoredAny),
}

#[derive(Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Scope {
    Patch,
    Whole,
    StaleCopy,
    Broken,
}

#[derive(Clone, Copy, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Code {
    Ok,
    Full,
    Timeout,
    ConnectFailed,
    Reset,
    Cancelled,
    Moot,
    /// `error`, and any code not known here: it may have run.
    #[serde(other)]
    Error,
}

#[derive(Clone, Copy, Deserialize)]
pub struct Telemetry {
    pub active: Option<f64>,
    pub waiting: Option<f64>,
    pub cpu: Option<f64>,
    pub avg_ms: Option<f64>,
}

#[derive(Clone, Deserialize)]
pub struct Member {
    pub upstream: String,
    pub health: Health,
    #[serde(default)]
    pub pod: u32,
    #[serde(default)]
    pub shape: String,
    pub scale: Option<f64>,
    #[serde(default)]
    pub locality: String,
    pub since: Option<f64>,
}

#[derive(Clone, Copy, Deserialize)]
pub enum Health {
    Ready,
    Terminating,
    Gone,
}

#[derive(Serialize, Default)]
pub struct Reply {
    pub decisions: Vec<Decision>,
}

#[derive(Serialize)]
#[serde(tag = "cmd")]
pub enum Decision {
    Issue {
        sidecar: String,
        call: Call,
        upstream: String,
    },
    Refuse {
        sidecar: String,
        call: Call,
        #[serde(rename = "retry-after", skip_serializing_if = "Option::is_none")]
        retry_after: Option<f64>,
    },
    GiveUp {
        sidecar: String,
        call: Call,
    },
    Recall {
        sidecar: String,
        call: Call,
        #[serde(rename = "round-no")]
        round_no: u32,
    },
    Check {
        sidecar: String,
        upstream: String,
    },
    Tail {
        sidecar: String,
        enable: bool,
    },
    WritePeer {
        sidecar: String,
        dest: u32,
        content: String,
    },
    Schedule {
        sidecar: String,
        instant: f64,
        nonce: u64,
    },
    GiveIn {
        sidecar: String,
        message: String,
    },
    Remark {
        sidecar: String,
        message: String,
    },
}
