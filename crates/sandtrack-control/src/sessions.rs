//! The proxies' sessions: what each proxy was sent, and what it is to be sent next. It decides the order of the frames of a
//! session, sends nothing that is not committed, and touches no socket.
use crate::membership::Membership;
use crate::peers::Hello;
use crate::prompt_relay::DuePrompts;
use crate::state_machine::ControlState;
use crate::upstreams::{EndpointUpdate, Upstreams};
use crate::Millis;
use sandtrack_protocol::frames::{self, ProxyInfo, ToProxy};
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;

/// Encoded frames, shared by all that get the same.
pub type Bytes = Rc<[u8]>;

/// Shortest interval between two censuses, in ms.
const CENSUS_MS: Millis = 200.0;

#[derive(Clone, Debug, Default)]
struct Session {
    info: Option<ProxyInfo>,
    last_heard: Millis,
    /// Numbers of the configuration and of the evacuations that it was sent, and its position in the endpoint log.
    configuration: Option<u64>,
    evacuation: Option<u64>,
    endpoint_position: Option<u64>,
    /// The last census that it was sent.
    census: Option<ToProxy>,
    /// It was sent the first frame.
    welcomed: bool,
}

/// The newest of what all sessions are sent.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
struct Positions {
    /// Number of the configuration.
    configuration: u64,
    /// Number of the evacuations.
    evacuation: u64,
    /// Position in the endpoint log.
    list: u64,
    /// Whether the list was polled at least once.
    list_is_known: bool,
}

impl Positions {
    fn of(shared: &SharedState<'_>) -> Positions {
        Positions {
            configuration: shared.control_state.configuration_number(),
            evacuation: shared.control_state.evacuation_number(),
            list: shared.upstreams.end(),
            list_is_known: shared.upstreams.last_poll() > 0,
        }
    }
}

/// What all sessions are brought up to.
pub struct SharedState<'a> {
    /// The committed state.
    pub control_state: &'a ControlState,
    /// The platform's list.
    pub upstreams: &'a Upstreams,
    /// All proxies.
    pub membership: &'a Membership,
    /// This control node hears a majority and has caught up.
    pub attached: bool,
    /// Configurations and evacuations may be sent: the quorum lease is valid.
    pub may_push: bool,
    /// It is known how many proxies there are.
    pub knows_all_proxies: bool,
}

/// The sessions of all proxies.
#[derive(Clone, Debug, Default)]
pub struct Sessions {
    sessions: BTreeMap<u64, Session>,
    /// The session of each proxy, by name.
    names: BTreeMap<String, u64>,
    /// Sessions that lack something although nothing changed for all of them.
    pending: BTreeSet<u64>,
    /// Those that lack a configuration or evacuations which are held back until the quorum lease is valid.
    held_back: BTreeSet<u64>,
    next_session: u64,
    next_heartbeat: Millis,
    next_census: Millis,
    /// Positions that all sessions were brought up to; while they are unchanged, no session needs to be visited.
    sent_to_all: Positions,
    census_revision: u64,
    /// The whole configuration as a frame, by its number.
    configuration_frame: Option<(u64, Bytes)>,
    /// Number of proxies when this control node last had a quorum: without one, it does not hear of all of them.
    proxies: u32,
}

/// What the program is to do with a session.
#[derive(Clone, Debug, PartialEq)]
pub enum SessionAction {
    /// Write encoded frames.
    Send {
        /// Number of the session.
        session: u64,
        /// One or more frames.
        bytes: Bytes,
    },
    /// Close the connection after what is queued was written.
    Close {
        /// Number of the session.
        session: u64,
    },
}

fn bytes(frame: &ToProxy) -> Bytes {
    frames::encode(frame).into()
}

impl Session {
    /// Whether it was not sent all of the committed state.
    fn lacks(&self, control_state: &ControlState) -> bool {
        let configuration = control_state.configuration_number();
        let evacuation = control_state.evacuation_number();
        let ordered = configuration > 0 || evacuation > 0;
        configuration > 0 && self.configuration != Some(configuration)
            || ordered && self.evacuation != Some(evacuation)
    }

    /// Brings it up to the committed state. Frames that several sessions get are encoded once: `whole`, `changes` (by the
    /// number that they lead from) and `evacuated`.
    fn push_state(
        &mut self,
        control_state: &ControlState,
        configuration_frame: &mut Option<(u64, Bytes)>,
        changes: &mut BTreeMap<u64, Option<Bytes>>,
        evacuated: &mut Option<Bytes>,
        send: &mut impl FnMut(Bytes),
    ) {
        let configuration = control_state.configuration_number();
        if configuration > 0 && self.configuration != Some(configuration) {
            let changed = self.configuration.and_then(|from| {
                changes
                    .entry(from)
                    .or_insert_with(|| change_frames(control_state, from))
                    .clone()
            });
            if let Some(bytes) =
                changed.or_else(|| configuration_bytes(configuration_frame, control_state))
            {
                send(bytes);
            }
            self.configuration = Some(configuration);
        }
        let evacuation = control_state.evacuation_number();
        let ordered = configuration > 0 || evacuation > 0;
        if ordered && self.evacuation != Some(evacuation) {
            self.evacuation = Some(evacuation);
            let frame = evacuated.get_or_insert_with(|| {
                let zones = control_state.evacuated_zones().map(str::to_owned).collect();
                bytes(&ToProxy::Evacuated {
                    number: evacuation,
                    zones,
                })
            });
            send(frame.clone());
        }
    }
}

impl Sessions {
    /// Assigns a number to a session whose connection was accepted.
    pub fn accepted(&mut self, now: Millis) -> u64 {
        self.next_session += 1;
        self.sessions.insert(
            self.next_session,
            Session {
                last_heard: now,
                ..Session::default()
            },
        );
        self.next_session
    }

    /// A frame arrived on a session; returns the proxy, once it has introduced itself.
    pub fn frame_received(&mut self, now: Millis, session: u64) -> Option<&ProxyInfo> {
        let session = self.sessions.get_mut(&session)?;
        session.last_heard = now;
        session.info.as_ref()
    }

    /// A proxy introduces itself: an earlier session of the same name is closed and replaced.
    pub fn hello(&mut self, session: u64, info: ProxyInfo, actions: &mut Vec<SessionAction>) {
        if let Some(before) = self.names.insert(info.node_name.clone(), session) {
            if before != session && self.sessions.remove(&before).is_some() {
                actions.push(SessionAction::Close { session: before });
            }
        }
        if let Some(known) = self.sessions.get_mut(&session) {
            known.info = Some(info);
            self.pending.insert(session);
            self.census_revision = u64::MAX;
        }
    }

    /// The proxy asked for the complete configuration.
    pub fn want_configuration(&mut self, session: u64) {
        if let Some(known) = self.sessions.get_mut(&session) {
            known.configuration = None;
            self.pending.insert(session);
        }
    }

    /// The connection is closed; returns the proxy, if it was a member by this session.
    pub fn closed(&mut self, session: u64) -> Option<ProxyInfo> {
        self.pending.remove(&session);
        self.held_back.remove(&session);
        let info = self.sessions.remove(&session)?.info?;
        if self.names.get(&info.node_name) == Some(&session) {
            self.names.remove(&info.node_name);
        }
        Some(info)
    }

    /// The process was paused: frames that arrived meanwhile are still to be read, so no session has timed out yet.
    pub fn resumed(&mut self, now: Millis) {
        self.sessions
            .values_mut()
            .for_each(|session| session.last_heard = now);
    }

    /// Closes sessions that timed out, and sends heartbeats on the others.
    pub fn tick(
        &mut self,
        now: Millis,
        attached: bool,
        actions: &mut Vec<SessionAction>,
    ) -> Vec<ProxyInfo> {
        let silence = frames::SESSION_TIMEOUT_MS as Millis;
        let silent: Vec<u64> = self
            .sessions
            .iter()
            .filter(|(_, session)| now - session.last_heard > silence)
            .map(|(number, _)| *number)
            .collect();
        let mut gone = Vec::new();
        for session in silent {
            actions.push(SessionAction::Close { session });
            gone.extend(self.closed(session));
        }
        if now >= self.next_heartbeat {
            self.next_heartbeat = now + frames::HEARTBEAT_INTERVAL_MS as Millis;
            self.broadcast(&ToProxy::Heartbeat { attached }, actions);
        }
        gone
    }

    /// Sends a frame on all sessions.
    pub fn broadcast(&self, frame: &ToProxy, actions: &mut Vec<SessionAction>) {
        let bytes = bytes(frame);
        for (session, known) in &self.sessions {
            if known.welcomed {
                actions.push(SessionAction::Send {
                    session: *session,
                    bytes: bytes.clone(),
                });
            }
        }
    }

    /// Sends each proxy the long prompts that other proxies sent.
    pub fn relay_prompts(&self, due: &DuePrompts, actions: &mut Vec<SessionAction>) {
        let to_others = bytes(&ToProxy::PromptsSent(due.to_sessions.clone()));
        let welcomed = self.sessions.iter().filter(|(_, known)| known.welcomed);
        for session in welcomed.map(|(session, _)| session) {
            let bytes = match due.to_session.get(session) {
                Some(sent) if sent.is_empty() => continue,
                Some(sent) => bytes(&ToProxy::PromptsSent(sent.clone())),
                None => to_others.clone(),
            };
            actions.push(SessionAction::Send {
                session: *session,
                bytes,
            });
        }
    }

    /// Closes all sessions, so that the proxies connect to other control nodes.
    pub fn close_all(&mut self, actions: &mut Vec<SessionAction>) {
        actions.extend(
            self.sessions
                .keys()
                .map(|session| SessionAction::Close { session: *session }),
        );
        self.sessions.clear();
        self.names.clear();
    }

    fn census_due(&self, now: Millis, membership: &Membership, knows_all_proxies: bool) -> bool {
        knows_all_proxies
            && now >= self.next_census
            && self.census_revision != membership.revision()
    }

    /// Whether some session lacks a configuration or evacuations.
    pub fn is_holding_back(&self) -> bool {
        !self.held_back.is_empty()
    }

    /// Whether any session lacks an update.
    pub fn is_due(&self, now: Millis, shared: &SharedState<'_>) -> bool {
        let new = !self.pending.is_empty()
            || shared.may_push && self.is_holding_back()
            || Positions::of(shared) != self.sent_to_all;
        new || self.census_due(now, shared.membership, shared.knows_all_proxies)
    }

    /// Brings each session up to the committed state, the endpoints and the census.
    pub fn push_updates(
        &mut self,
        now: Millis,
        me: &Hello,
        others: &[&Hello],
        shared: &SharedState<'_>,
        actions: &mut Vec<SessionAction>,
    ) {
        let newest = Positions::of(shared);
        let census = self.census_due(now, shared.membership, shared.knows_all_proxies);
        if newest != self.sent_to_all {
            self.pending = self.sessions.keys().copied().collect();
            self.sent_to_all = newest;
        }
        let mut pending = std::mem::take(&mut self.pending);
        if shared.may_push {
            pending.append(&mut self.held_back);
        }
        let mut endpoint_frames: BTreeMap<Option<u64>, Bytes> = BTreeMap::new();
        let mut changes: BTreeMap<u64, Option<Bytes>> = BTreeMap::new();
        let Sessions {
            sessions,
            configuration_frame,
            held_back,
            ..
        } = self;
        let mut evacuated: Option<Bytes> = None;
        for number in &pending {
            let Some(session) = sessions
                .get_mut(number)
                .filter(|session| session.info.is_some())
            else {
                continue;
            };
            let mut send = |bytes: Bytes| {
                actions.push(SessionAction::Send {
                    session: *number,
                    bytes,
                });
            };
            if !session.welcomed {
                session.welcomed = true;
                send(bytes(&ToProxy::Welcome {
                    format: frames::FORMAT,
                    control_node: me.node_name.clone(),
                    attached: shared.attached,
                }));
            }
            if shared.may_push {
                session.push_state(
                    shared.control_state,
                    configuration_frame,
                    &mut changes,
                    &mut evacuated,
                    &mut send,
                );
            } else if session.lacks(shared.control_state) {
                held_back.insert(*number);
            }
            if shared.upstreams.last_poll() > 0
                && session.endpoint_position != Some(shared.upstreams.end())
            {
                let frame = endpoint_frames
                    .entry(session.endpoint_position)
                    .or_insert_with(|| {
                        let EndpointUpdate {
                            is_complete,
                            poll,
                            entries,
                            removed,
                        } = shared
                            .upstreams
                            .update_since(now, session.endpoint_position);
                        bytes(&ToProxy::Upstreams {
                            is_complete,
                            poll,
                            entries,
                            removed,
                        })
                    });
                send(frame.clone());
                session.endpoint_position = Some(shared.upstreams.end());
            }
        }
        // No proxy count is sent before all proxies are known: a count that is too low would raise every quota.
        if census {
            self.census(now, me, others, shared, actions);
        }
    }

    /// Sends a census to the sessions for which it changed.
    fn census(
        &mut self,
        now: Millis,
        me: &Hello,
        others: &[&Hello],
        shared: &SharedState<'_>,
        actions: &mut Vec<SessionAction>,
    ) {
        let members = shared.membership.members();
        let ranks: BTreeMap<&str, u32> = members
            .keys()
            .enumerate()
            .map(|(rank, name)| (*name, rank as u32))
            .collect();
        let count = members.len() as u32;
        // Without a quorum this node does not learn of all members: proxies that it no longer sees keep their quota.
        self.proxies = if shared.attached {
            count
        } else {
            self.proxies.max(count)
        };
        for (number, session) in &mut self.sessions {
            let Some(info) = session.info.as_ref() else {
                continue;
            };
            let rank = ranks.get(info.node_name.as_str()).copied().unwrap_or(0);
            let control_nodes = nearest(info, rank, me, others);
            let frame = ToProxy::Census {
                control_nodes,
                proxies: self.proxies,
                rank,
            };
            if session.census.as_ref() != Some(&frame) {
                actions.push(SessionAction::Send {
                    session: *number,
                    bytes: bytes(&frame),
                });
                session.census = Some(frame);
            }
        }
        (self.census_revision, self.next_census) = (shared.membership.revision(), now + CENSUS_MS);
    }

    /// The membership changed in another way than by sessions.
    pub fn invalidate_census(&mut self) {
        self.census_revision = u64::MAX;
    }
}

/// Session addresses of the control nodes, the nearest first; equally near ones are rotated by the proxy's rank, so that
/// the sessions spread over them.
fn nearest(info: &ProxyInfo, rank: u32, me: &Hello, others: &[&Hello]) -> Vec<String> {
    let mut all: Vec<&Hello> = std::iter::once(me).chain(others.iter().copied()).collect();
    all.sort_by_key(|hello| &hello.address);
    let turn = rank as usize % all.len();
    all.rotate_left(turn);
    all.sort_by_key(|hello| (hello.zone != info.zone, hello.region != info.region));
    all.into_iter().map(|hello| hello.session.clone()).collect()
}

fn change_frames(control_state: &ControlState, from: u64) -> Option<Bytes> {
    let frames = control_state.changes_since(from)?;
    Some(
        frames
            .iter()
            .flat_map(frames::encode)
            .collect::<Vec<u8>>()
            .into(),
    )
}

fn configuration_bytes(
    cached: &mut Option<(u64, Bytes)>,
    control_state: &ControlState,
) -> Option<Bytes> {
    let number = control_state.configuration_number();
    if cached.as_ref().is_none_or(|(known, _)| *known != number) {
        *cached = Some((number, bytes(&control_state.configuration_frame()?)));
    }
    cached.as_ref().map(|(_, bytes)| bytes.clone())
}
