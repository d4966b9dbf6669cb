//! The proxies' sessions: what each was told, and what it is to be told next. It owns the order of the frames of a session;
//! it must never tell what is not committed, nor touch a socket.
use crate::control_state::ControlState;
use crate::membership::Membership;
use crate::peers::Hello;
use crate::prompt_relay::Passed;
use crate::upstreams::{Excerpt, Upstreams};
use crate::Millis;
use sandtrack_protocol::frames::{self, ProxyInfo, ToProxy};
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;

/// Encoded frames, shared by all that get the same.
pub type Bytes = Rc<[u8]>;

/// Changes of who is there are told no more often than this, in ms.
const CENSUS_MS: Millis = 200.0;

#[derive(Clone, Debug, Default)]
struct Session {
    info: Option<ProxyInfo>,
    heard: Millis,
    /// Number of the configuration that it has; of the evacuations; place in the list.
    configuration: Option<u64>,
    evacuation: Option<u64>,
    list: Option<u64>,
    /// The census that it was told last.
    census: Option<ToProxy>,
    /// It was told the first frame: who is here.
    welcomed: bool,
}

/// The newest of what is told to all sessions.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
struct ToldUpTo {
    /// Number of the configuration.
    configuration: u64,
    /// Number of the evacuations.
    evacuation: u64,
    /// Place in the journal of the list.
    list: u64,
    /// The list was read at least once.
    list_is_known: bool,
}

impl ToldUpTo {
    fn of(news: &News<'_>) -> ToldUpTo {
        ToldUpTo {
            configuration: news.control_state.configuration_number(),
            evacuation: news.control_state.evacuation_number(),
            list: news.upstreams.end(),
            list_is_known: news.upstreams.round() > 0,
        }
    }
}

/// What is told to all sessions alike.
pub struct News<'a> {
    /// The committed state.
    pub control_state: &'a ControlState,
    /// The platform's list.
    pub upstreams: &'a Upstreams,
    /// All proxies.
    pub membership: &'a Membership,
    /// This control node hears a majority and has caught up.
    pub attached: bool,
    /// Configurations and evacuations may be told: contact with a majority was confirmed within the lease.
    pub may_feed: bool,
    /// It is known how many proxies there are.
    pub settled: bool,
}

/// The sessions, and what each was told.
#[derive(Clone, Debug, Default)]
pub struct Sessions {
    sessions: BTreeMap<u64, Session>,
    /// The session of each proxy, by name.
    names: BTreeMap<String, u64>,
    /// Those that are to be looked at although nothing is new to all.
    pending: BTreeSet<u64>,
    /// Those from which a configuration or evacuations are held back until contact with a majority is confirmed.
    held_back: BTreeSet<u64>,
    next_session: u64,
    next_beat: Millis,
    next_census: Millis,
    /// What all were told up to: where nothing changed nothing is looked through.
    told: ToldUpTo,
    census_round: u64,
    /// The whole configuration as a frame, by its number.
    whole: Option<(u64, Bytes)>,
    /// Members when this control node was attached last: alone, it would take the others for gone.
    proxies: u32,
}

/// What the program is to do with a session.
#[derive(Clone, Debug, PartialEq)]
pub enum SessionOrder {
    Send { session: u64, bytes: Bytes },
    Close { session: u64 },
}

fn bytes(frame: &ToProxy) -> Bytes {
    frames::encode(frame).into()
}

impl Session {
    /// Whether it was not told all of the committed state.
    fn lacks(&self, control_state: &ControlState) -> bool {
        let configuration = control_state.configuration_number();
        let evacuation = control_state.evacuation_number();
        let ordered = configuration > 0 || evacuation > 0;
        configuration > 0 && self.configuration != Some(configuration)
            || ordered && self.evacuation != Some(evacuation)
    }

    /// Brings it up to the committed state. Frames that others get as well are made once: `whole`, `changes` (by the
    /// number that they lead from) and `evacuated`.
    fn tell_state(
        &mut self,
        control_state: &ControlState,
        whole: &mut Option<(u64, Bytes)>,
        changes: &mut BTreeMap<u64, Option<Bytes>>,
        evacuated: &mut Option<Bytes>,
        send: &mut impl FnMut(Bytes),
    ) {
        let configuration = control_state.configuration_number();
        if configuration > 0 && self.configuration != Some(configuration) {
            let changed = self.configuration.and_then(|from| {
                changes
                    .entry(from)
                    .or_insert_with(|| steps(control_state, from))
                    .clone()
            });
            if let Some(bytes) = changed.or_else(|| whole_of(whole, control_state)) {
                send(bytes);
            }
            self.configuration = Some(configuration);
        }
        let evacuation = control_state.evacuation_number();
        let ordered = configuration > 0 || evacuation > 0;
        if ordered && self.evacuation != Some(evacuation) {
            self.evacuation = Some(evacuation);
            let frame = evacuated.get_or_insert_with(|| {
                let zones = control_state.evacuated().map(str::to_owned).collect();
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
    /// A number for a session whose socket was accepted.
    pub fn accepted(&mut self, now: Millis) -> u64 {
        self.next_session += 1;
        self.sessions.insert(
            self.next_session,
            Session {
                heard: now,
                ..Session::default()
            },
        );
        self.next_session
    }

    /// Something came over a session; whose it is, where it said so.
    pub fn heard(&mut self, now: Millis, session: u64) -> Option<&ProxyInfo> {
        let session = self.sessions.get_mut(&session)?;
        session.heard = now;
        session.info.as_ref()
    }

    /// A proxy says who it is: it takes the place of an earlier session of the same name, which is closed.
    pub fn hello(&mut self, session: u64, info: ProxyInfo, orders: &mut Vec<SessionOrder>) {
        if let Some(before) = self.names.insert(info.node_name.clone(), session) {
            if before != session && self.sessions.remove(&before).is_some() {
                orders.push(SessionOrder::Close { session: before });
            }
        }
        if let Some(known) = self.sessions.get_mut(&session) {
            known.info = Some(info);
            self.pending.insert(session);
            self.census_round = u64::MAX;
        }
    }

    /// It wants the whole configuration.
    pub fn want_configuration(&mut self, session: u64) {
        if let Some(known) = self.sessions.get_mut(&session) {
            known.configuration = None;
            self.pending.insert(session);
        }
    }

    /// The socket is gone; whose it was, where that is a member by this session.
    pub fn closed(&mut self, session: u64) -> Option<ProxyInfo> {
        self.pending.remove(&session);
        self.held_back.remove(&session);
        let info = self.sessions.remove(&session)?.info?;
        if self.names.get(&info.node_name) == Some(&session) {
            self.names.remove(&info.node_name);
        }
        Some(info)
    }

    /// This process did not run for a while: what proxies said meanwhile is still to be read.
    pub fn woke(&mut self, now: Millis) {
        self.sessions
            .values_mut()
            .for_each(|session| session.heard = now);
    }

    /// Ends silent sessions, and beats on the others.
    pub fn tick(
        &mut self,
        now: Millis,
        attached: bool,
        orders: &mut Vec<SessionOrder>,
    ) -> Vec<ProxyInfo> {
        let silence = frames::SESSION_TIMEOUT_MS as Millis;
        let silent: Vec<u64> = self
            .sessions
            .iter()
            .filter(|(_, session)| now - session.heard > silence)
            .map(|(number, _)| *number)
            .collect();
        let mut gone = Vec::new();
        for session in silent {
            orders.push(SessionOrder::Close { session });
            gone.extend(self.closed(session));
        }
        if now >= self.next_beat {
            self.next_beat = now + frames::HEARTBEAT_INTERVAL_MS as Millis;
            self.to_all(&ToProxy::Heartbeat { attached }, orders);
        }
        gone
    }

    /// Tells all of them.
    pub fn to_all(&self, frame: &ToProxy, orders: &mut Vec<SessionOrder>) {
        let bytes = bytes(frame);
        for (session, known) in &self.sessions {
            if known.welcomed {
                orders.push(SessionOrder::Send {
                    session: *session,
                    bytes: bytes.clone(),
                });
            }
        }
    }

    /// Tells each which long prompts others sent.
    pub fn pass_on(&self, passed: &Passed, orders: &mut Vec<SessionOrder>) {
        let to_others = bytes(&ToProxy::PromptsSent(passed.to_sessions.clone()));
        let welcomed = self.sessions.iter().filter(|(_, known)| known.welcomed);
        for session in welcomed.map(|(session, _)| session) {
            let bytes = match passed.to_session.get(session) {
                Some(sent) if sent.is_empty() => continue,
                Some(sent) => bytes(&ToProxy::PromptsSent(sent.clone())),
                None => to_others.clone(),
            };
            orders.push(SessionOrder::Send {
                session: *session,
                bytes,
            });
        }
    }

    /// Closes all: they go elsewhere.
    pub fn close_all(&mut self, orders: &mut Vec<SessionOrder>) {
        orders.extend(
            self.sessions
                .keys()
                .map(|session| SessionOrder::Close { session: *session }),
        );
        self.sessions.clear();
        self.names.clear();
    }

    fn census_due(&self, now: Millis, membership: &Membership, settled: bool) -> bool {
        settled && now >= self.next_census && self.census_round != membership.round()
    }

    /// Whether some session is to get a configuration or evacuations that it was not told yet.
    pub fn is_holding_back(&self) -> bool {
        !self.held_back.is_empty()
    }

    /// Whether there is anything to tell.
    pub fn is_due(&self, now: Millis, news: &News<'_>) -> bool {
        let new = !self.pending.is_empty()
            || news.may_feed && self.is_holding_back()
            || ToldUpTo::of(news) != self.told;
        new || self.census_due(now, news.membership, news.settled)
    }

    /// Brings each session up to what is committed and known.
    pub fn tell(
        &mut self,
        now: Millis,
        me: &Hello,
        others: &[&Hello],
        news: &News<'_>,
        orders: &mut Vec<SessionOrder>,
    ) {
        let newest = ToldUpTo::of(news);
        let census = self.census_due(now, news.membership, news.settled);
        if newest != self.told {
            self.pending = self.sessions.keys().copied().collect();
            self.told = newest;
        }
        let mut pending = std::mem::take(&mut self.pending);
        if news.may_feed {
            pending.append(&mut self.held_back);
        }
        let mut lists: BTreeMap<Option<u64>, Bytes> = BTreeMap::new();
        let mut changes: BTreeMap<u64, Option<Bytes>> = BTreeMap::new();
        let Sessions {
            sessions,
            whole,
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
                orders.push(SessionOrder::Send {
                    session: *number,
                    bytes,
                })
            };
            if !session.welcomed {
                session.welcomed = true;
                send(bytes(&ToProxy::Welcome {
                    format: frames::FORMAT,
                    control_node: me.node_name.clone(),
                    attached: news.attached,
                }));
            }
            if news.may_feed {
                session.tell_state(
                    news.control_state,
                    whole,
                    &mut changes,
                    &mut evacuated,
                    &mut send,
                );
            } else if session.lacks(news.control_state) {
                held_back.insert(*number);
            }
            if news.upstreams.round() > 0 && session.list != Some(news.upstreams.end()) {
                let frame = lists.entry(session.list).or_insert_with(|| {
                    let Excerpt {
                        whole,
                        round,
                        entries,
                        gone,
                    } = news.upstreams.excerpt_since(now, session.list);
                    bytes(&ToProxy::Upstreams {
                        is_complete: whole,
                        poll: round,
                        entries,
                        removed: gone,
                    })
                });
                send(frame.clone());
                session.list = Some(news.upstreams.end());
            }
        }
        // Nobody is told of a share in what holds over all before all are known.
        if census {
            self.census(now, me, others, news, orders);
        }
    }

    /// Tells who is there to those for whom that has changed.
    fn census(
        &mut self,
        now: Millis,
        me: &Hello,
        others: &[&Hello],
        news: &News<'_>,
        orders: &mut Vec<SessionOrder>,
    ) {
        let members = news.membership.members();
        let ranks: BTreeMap<&str, u32> = members
            .keys()
            .enumerate()
            .map(|(rank, name)| (*name, rank as u32))
            .collect();
        let count = members.len() as u32;
        // Cut off from the others, it does not hear of members that are there all the same: their shares stay theirs.
        self.proxies = if news.attached {
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
                orders.push(SessionOrder::Send {
                    session: *number,
                    bytes: bytes(&frame),
                });
                session.census = Some(frame);
            }
        }
        (self.census_round, self.next_census) = (news.membership.round(), now + CENSUS_MS);
    }

    /// Who is there changed in another way than by sessions.
    pub fn census_again(&mut self) {
        self.census_round = u64::MAX;
    }
}

/// The addresses for sessions, the nearest first; those alike in turn by the proxy's rank, so that not all go to one.
fn nearest(info: &ProxyInfo, rank: u32, me: &Hello, others: &[&Hello]) -> Vec<String> {
    let mut all: Vec<&Hello> = std::iter::once(me).chain(others.iter().copied()).collect();
    all.sort_by_key(|hello| &hello.address);
    let turn = rank as usize % all.len();
    all.rotate_left(turn);
    all.sort_by_key(|hello| (hello.zone != info.zone, hello.region != info.region));
    all.into_iter().map(|hello| hello.session.clone()).collect()
}

fn steps(control_state: &ControlState, from: u64) -> Option<Bytes> {
    let frames = control_state.changes_since(from)?;
    Some(
        frames
            .iter()
            .flat_map(frames::encode)
            .collect::<Vec<u8>>()
            .into(),
    )
}

fn whole_of(kept: &mut Option<(u64, Bytes)>, control_state: &ControlState) -> Option<Bytes> {
    let number = control_state.configuration_number();
    if kept.as_ref().is_none_or(|(known, _)| *known != number) {
        *kept = Some((number, bytes(&control_state.whole()?)));
    }
    kept.as_ref().map(|(_, bytes)| bytes.clone())
}
