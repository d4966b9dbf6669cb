//! The membership of proxies. A proxy is a member while it has a session with a control node, and for a while after it was
//! lost; control nodes exchange their sessions.
use crate::event_log::EventLog;
pub use crate::peer_frames::Member;
use crate::peer_frames::{Digest, PeerFrame};
use crate::Millis;
use sandtrack_protocol::frames::{ProxyInfo, ProxyState};
use sandtrack_replication::Address;
use std::collections::{BTreeMap, BTreeSet};

/// The members of a control node that fell silent, and proxies that did, are counted for this long, in ms: they come back
/// elsewhere, or are cut off or frozen and go on with their shares of what holds over all. A proxy gives its share up sooner
/// (`SHARE_LEASE` of `sandtrack_proxy::placement::balancer`).
pub const TIMED_OUT_RETENTION_MS: Millis = 30_000.0;
/// A proxy whose session broke is counted for this long, in ms: it opens another one, or was killed.
const DISCONNECTED_RETENTION_MS: Millis = 2500.0;
/// ... and clients are sent to them for this long; for the longer one where there is nobody else.
const LOST_NODE_READY_MS: Millis = 1500.0;
const LAST_KNOWN_READY_MS: Millis = 4000.0;
/// Most changes that the log keeps.
const MAX_EVENTS: usize = 2048;

/// Members of another control node.
#[derive(Clone, Debug, Default)]
struct RemoteSessions {
    members: BTreeMap<String, (Member, Millis)>,
    /// Since when it is not heard.
    lost_since: Option<Millis>,
}

/// Why a proxy has no session any more.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SessionEnd {
    /// It said nothing: it may be frozen or cut off.
    TimedOut,
    /// The connection ended: it has ended, or comes back at once.
    Disconnected,
}

/// The proxies with a session here, and those that the other control nodes tell of.
#[derive(Clone, Debug)]
pub struct Membership {
    local: BTreeMap<String, Member>,
    /// Own members without a session, and until when they are counted. They are told to others as not ready.
    disconnected: BTreeMap<String, (Member, Millis)>,
    remote: BTreeMap<Address, RemoteSessions>,
    /// Names of own members of which something changed.
    event_log: EventLog<String>,
    /// Rises with each change of who is there.
    revision: u64,
}

impl Default for Membership {
    fn default() -> Membership {
        Membership {
            local: BTreeMap::new(),
            disconnected: BTreeMap::new(),
            remote: BTreeMap::new(),
            event_log: EventLog::new(MAX_EVENTS),
            revision: 0,
        }
    }
}

impl Membership {
    /// An own session tells of its proxy.
    pub fn set_local(&mut self, member: Member) {
        let name = member.info.node_name.clone();
        let was_lost = self.disconnected.remove(&name).is_some();
        let before = self.local.insert(name.clone(), member);
        let after = &self.local[&name];
        if was_lost || before.as_ref().map(Member::announced_state) != Some(after.announced_state())
        {
            if was_lost || before.is_none_or(|before| before.info != after.info) {
                self.revision += 1;
            }
            self.event_log.append(name);
        }
    }

    /// The proxy of an own session tells its state.
    pub fn update_state(&mut self, info: &ProxyInfo, state: ProxyState) {
        match self.local.get_mut(&info.node_name) {
            Some(member) if member.info == *info => {
                let marks = |state: &ProxyState| (state.ready, state.draining, state.version);
                let changed = marks(&member.state) != marks(&state);
                member.state = state;
                if changed {
                    self.event_log.append(info.node_name.clone());
                }
            }
            _ => self.set_local(Member {
                info: info.clone(),
                state,
            }),
        }
    }

    /// An own session is over. Unless its proxy was told to stop, it is counted on for a while.
    pub fn session_ended(&mut self, now: Millis, name: &str, end: SessionEnd) {
        let Some(mut member) = self.local.remove(name) else {
            return;
        };
        if !member.state.draining {
            let kept = match end {
                SessionEnd::TimedOut => TIMED_OUT_RETENTION_MS,
                SessionEnd::Disconnected => DISCONNECTED_RETENTION_MS,
            };
            member.state.ready = false;
            self.disconnected
                .insert(name.to_owned(), (member, now + kept));
        }
        self.event_log.append(name.to_owned());
        self.revision += 1;
    }

    /// Own members as the others are told them: those with a session, and those that are counted on.
    fn announced(&self) -> impl Iterator<Item = &Member> {
        self.local
            .values()
            .chain(self.disconnected.values().map(|(member, _)| member))
    }

    fn announced_by_name(&self, name: &str) -> Option<&Member> {
        self.local
            .get(name)
            .or_else(|| self.disconnected.get(name).map(|(member, _)| member))
    }

    /// Place of the newest event of own members.
    pub fn end(&self) -> u64 {
        self.event_log.end()
    }

    /// What another control node is to be told that was told up to `position`; all where it was told nothing yet.
    pub fn frame_since(&self, position: Option<u64>) -> PeerFrame {
        let Some(events) = position.and_then(|position| self.event_log.since(position)) else {
            let present = self.announced().cloned().collect();
            return PeerFrame::Sessions {
                is_complete: true,
                present,
                removed: Vec::new(),
            };
        };
        let names: BTreeSet<&String> = events.collect();
        let (present, removed): (Vec<&String>, Vec<&String>) = names
            .into_iter()
            .partition(|name| self.announced_by_name(name).is_some());
        let present = present
            .into_iter()
            .filter_map(|name| self.announced_by_name(name).cloned())
            .collect();
        PeerFrame::Sessions {
            is_complete: false,
            present,
            removed: removed.into_iter().cloned().collect(),
        }
    }

    /// Digest of the own members.
    pub fn digest(&self) -> Digest {
        digest(self.announced())
    }

    /// Digest of those that another control node told.
    pub fn remote_digest(&self, control_node: &str) -> Digest {
        let remote = self.remote.get(control_node);
        digest(
            remote
                .into_iter()
                .flat_map(|remote| remote.members.values().map(|(member, _)| member)),
        )
    }

    /// Another control node tells its members, or what changed of them.
    pub fn apply_sessions(
        &mut self,
        now: Millis,
        control_node: &str,
        is_complete: bool,
        present: Vec<Member>,
        removed: &[String],
    ) {
        let remote = self.remote.entry(control_node.to_owned()).or_default();
        remote.lost_since = None;
        let before: Vec<(String, u64)> = names(remote);
        if is_complete {
            let kept: BTreeSet<&str> = present
                .iter()
                .map(|member| member.info.node_name.as_str())
                .collect();
            remote
                .members
                .retain(|name, _| kept.contains(name.as_str()));
        }
        for name in removed {
            remote.members.remove(name);
        }
        for member in present {
            let since = match remote.members.get(&member.info.node_name) {
                Some((known, since)) if known.info == member.info => *since,
                _ => now,
            };
            remote
                .members
                .insert(member.info.node_name.clone(), (member, since));
        }
        self.revision += u64::from(names(remote) != before);
    }

    /// Another control node is heard, or is no longer.
    pub fn control_node_lost(&mut self, now: Millis, control_node: &str) {
        if let Some(remote) = self.remote.get_mut(control_node) {
            remote.lost_since = remote.lost_since.or(Some(now));
        }
    }

    /// Forgets those that have been lost for long, and the members of control nodes that have.
    pub fn tick(&mut self, now: Millis) {
        let over = self
            .disconnected
            .iter()
            .filter(|(_, (_, until))| now >= *until);
        for name in over.map(|(name, _)| name.clone()).collect::<Vec<_>>() {
            self.disconnected.remove(&name);
            self.event_log.append(name);
            self.revision += 1;
        }
        let before = self.remote.len();
        self.remote.retain(|_, remote| {
            remote
                .lost_since
                .is_none_or(|lost| now - lost < TIMED_OUT_RETENTION_MS)
        });
        self.revision += u64::from(self.remote.len() != before);
    }

    /// Rises with each change of who is there.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Every member once, by name: as its own session says, else as the control node says to which it came last, else as it
    /// was when its session was lost here.
    pub fn members(&self) -> BTreeMap<&str, &Member> {
        self.merged(|_| true)
    }

    fn merged(&self, seen: impl Fn(&RemoteSessions) -> bool) -> BTreeMap<&str, &Member> {
        let mut told: BTreeMap<&str, (bool, Millis, &Member)> = BTreeMap::new();
        for remote in self.remote.values().filter(|remote| seen(remote)) {
            for (name, (member, since)) in &remote.members {
                let claim = (remote.lost_since.is_none(), *since, member);
                let known = told.get(name.as_str()).copied();
                if known.is_none_or(|(heard, at, _)| (heard, at) < (claim.0, claim.1)) {
                    told.insert(name, claim);
                }
            }
        }
        let told = told
            .into_iter()
            .map(|(name, (_, _, member))| (name, member));
        // One that others tell of has come back there.
        let lost = self
            .disconnected
            .iter()
            .map(|(name, (member, _))| (name.as_str(), member));
        lost.chain(told)
            .chain(
                self.local
                    .iter()
                    .map(|(name, member)| (name.as_str(), member)),
            )
            .collect()
    }

    /// The proxies that clients may be sent to. What a silent control node told holds a little while; longer where nothing
    /// else is known.
    pub fn ready(&self, now: Millis) -> Vec<&ProxyInfo> {
        let ready = |within: Millis| -> Vec<&ProxyInfo> {
            let members =
                self.merged(|remote| remote.lost_since.is_none_or(|lost| now - lost < within));
            let ready = members
                .into_values()
                .filter(|member| member.state.ready && !member.state.draining);
            ready.map(|member| &member.info).collect()
        };
        let shown = ready(LOST_NODE_READY_MS);
        if shown.is_empty() {
            return ready(LAST_KNOWN_READY_MS);
        }
        shown
    }

    /// Own members, by name.
    pub fn local_members(&self) -> &BTreeMap<String, Member> {
        &self.local
    }
}

fn names(remote: &RemoteSessions) -> Vec<(String, u64)> {
    remote
        .members
        .iter()
        .map(|(name, (member, _))| (name.clone(), member.info.incarnation))
        .collect()
}

fn digest<'a>(members: impl Iterator<Item = &'a Member>) -> Digest {
    members.fold(Digest::default(), |digest, member| Digest {
        count: digest.count + 1,
        sum: digest.sum.wrapping_add(member.digest()),
    })
}
