//! A simulated proxy: the real balancer and the real session policy on the simulated network. It does what the module
//! `session` of the proxy does with sockets.
use crate::plan::Millis;
use sandtrack_protocol::frames::{
    self, ProxyInfo, ProxyState, ToControl, ToProxy, FORMAT, HEARTBEAT_INTERVAL_MS,
    SESSION_TIMEOUT_MS,
};
use sandtrack_protocol::settings::Settings;
use sandtrack_proxy::control_session::decisions::{
    candidates, check_welcome, AcceptedNodes, Attachment,
};
use sandtrack_proxy::placement::balancer::{ApplyOutcome, Balancer};
use std::collections::VecDeque;
use std::rc::Rc;

/// The time-out of connecting to a control node, in ms, as in `session` of the proxy.
const CONNECT_TIMEOUT_MS: Millis = 350.0;
const SEARCH_BACKOFF_MS: Millis = 100.0;
const SEARCH_CHECK_INTERVAL_MS: Millis = HEARTBEAT_INTERVAL_MS as Millis;

/// What a proxy asks of the network.
#[derive(Debug)]
pub enum ProxyEffect {
    Dial { number: u64, address: String },
    Send { number: u64, bytes: Rc<[u8]> },
    Close { number: u64 },
}

/// An attempt to begin a session with a control node.
struct Attempt {
    number: u64,
    address: String,
    opened: bool,
    deadline: Millis,
}

/// A search through the candidates for a session.
struct CandidateSearch {
    remaining: VecDeque<String>,
    accepted: AcceptedNodes,
    attempt: Option<Attempt>,
}

struct Session {
    number: u64,
    address: String,
    attachment: Attachment,
    last_frame_at: Millis,
    next_search_check: Millis,
    last_state_at: Millis,
    last_state: Option<ProxyState>,
}

pub struct SimulatedProxy {
    settings: Settings,
    pub balancer: Balancer,
    pub incarnation: u64,
    session: Option<Session>,
    search: Option<CandidateSearch>,
    search_at: Millis,
    failed_searches: u32,
    next_number: u64,
}

fn encode(message: &ToControl) -> Rc<[u8]> {
    frames::encode(message).into()
}

impl SimulatedProxy {
    pub fn new(settings: Settings, incarnation: u64, now: Millis) -> SimulatedProxy {
        SimulatedProxy {
            balancer: Balancer::new(&settings, incarnation),
            settings,
            incarnation,
            session: None,
            search: None,
            search_at: now,
            failed_searches: 0,
            next_number: 0,
        }
    }

    /// The version of the proxy's configuration; 0 before the first.
    pub fn version(&self) -> u64 {
        self.balancer.state().version
    }

    /// The address of the control node that the session is with.
    pub fn control_node(&self) -> Option<&str> {
        self.session
            .as_ref()
            .map(|session| session.address.as_str())
    }

    fn hello(&self) -> ToControl {
        let info = ProxyInfo {
            node_name: self.settings.node_name.clone(),
            incarnation: self.incarnation,
            zone: self.settings.zone.clone(),
            region: self.settings.region.clone(),
            client_address: self
                .settings
                .listen
                .get("front")
                .cloned()
                .unwrap_or_default(),
        };
        ToControl::Hello {
            format: FORMAT,
            info,
            state: self.balancer.state(),
        }
    }

    /// Does what is due: time-outs, state reports and searches.
    pub fn tick(&mut self, now: Millis, effects: &mut Vec<ProxyEffect>) {
        self.close_timed_out_session(now, effects);
        self.send_state(now, effects);
        if let Some(session) = &mut self.session {
            if now >= session.next_search_check && self.search.is_none() {
                session.next_search_check = now + SEARCH_CHECK_INTERVAL_MS;
                if session.attachment.take_search_due(now) {
                    let except = session.address.clone();
                    self.begin_search(AcceptedNodes::Attached, Some(&except));
                }
            }
        } else if self.search.is_none() && now >= self.search_at {
            let accepted = AcceptedNodes::for_round(self.balancer.is_ready(), self.failed_searches);
            self.begin_search(accepted, None);
        }
        self.try_next_candidate(now, effects);
    }

    fn close_timed_out_session(&mut self, now: Millis, effects: &mut Vec<ProxyEffect>) {
        if let Some(session) = self
            .session
            .take_if(|session| now - session.last_frame_at > SESSION_TIMEOUT_MS as Millis)
        {
            effects.push(ProxyEffect::Close {
                number: session.number,
            });
            self.session_lost(now, effects);
        }
    }

    /// The session is over; the search for a better one ends with it, and a new search begins.
    fn session_lost(&mut self, now: Millis, effects: &mut Vec<ProxyEffect>) {
        if let Some(attempt) = self.search.take().and_then(|search| search.attempt) {
            effects.push(ProxyEffect::Close {
                number: attempt.number,
            });
        }
        self.search_at = now;
    }

    fn begin_search(&mut self, accepted: AcceptedNodes, except: Option<&str>) {
        let all = candidates(&self.settings, &self.balancer.control_nodes);
        let remaining = all
            .into_iter()
            .filter(|address| Some(address.as_str()) != except)
            .collect();
        self.search = Some(CandidateSearch {
            remaining,
            accepted,
            attempt: None,
        });
    }

    /// Connects to the next candidate if the attempt before has failed or timed out.
    fn try_next_candidate(&mut self, now: Millis, effects: &mut Vec<ProxyEffect>) {
        let Some(search) = &mut self.search else {
            return;
        };
        if let Some(attempt) = search.attempt.take_if(|attempt| now > attempt.deadline) {
            effects.push(ProxyEffect::Close {
                number: attempt.number,
            });
        }
        if search.attempt.is_some() {
            return;
        }
        match search.remaining.pop_front() {
            Some(address) => {
                self.next_number += 1;
                let number = self.next_number;
                effects.push(ProxyEffect::Dial {
                    number,
                    address: address.clone(),
                });
                search.attempt = Some(Attempt {
                    number,
                    address,
                    opened: false,
                    deadline: now + CONNECT_TIMEOUT_MS,
                });
            }
            None => {
                self.search = None;
                if self.session.is_none() {
                    self.failed_searches += 1;
                    self.search_at = now + SEARCH_BACKOFF_MS;
                }
            }
        }
    }

    fn send_state(&mut self, now: Millis, effects: &mut Vec<ProxyEffect>) {
        let state = self.balancer.state();
        let Some(session) = &mut self.session else {
            return;
        };
        let summary = |state: &ProxyState| (state.ready, state.draining, state.version);
        let same = session.last_state.as_ref().map(summary) == Some(summary(&state));
        if !same || now - session.last_state_at >= HEARTBEAT_INTERVAL_MS as Millis {
            effects.push(ProxyEffect::Send {
                number: session.number,
                bytes: encode(&ToControl::State(state.clone())),
            });
            (session.last_state, session.last_state_at) = (Some(state), now);
        }
    }

    pub fn opened(&mut self, now: Millis, number: u64, effects: &mut Vec<ProxyEffect>) {
        let hello = self.hello();
        let attempt = self
            .search
            .as_mut()
            .and_then(|search| search.attempt.as_mut());
        if let Some(attempt) = attempt.filter(|attempt| attempt.number == number) {
            (attempt.opened, attempt.deadline) = (true, now + SESSION_TIMEOUT_MS as Millis);
            effects.push(ProxyEffect::Send {
                number,
                bytes: encode(&hello),
            });
        }
    }

    pub fn closed(&mut self, now: Millis, number: u64, effects: &mut Vec<ProxyEffect>) {
        if self
            .session
            .take_if(|session| session.number == number)
            .is_some()
        {
            self.session_lost(now, effects);
        }
        if let Some(search) = &mut self.search {
            search.attempt.take_if(|attempt| attempt.number == number);
        }
        self.try_next_candidate(now, effects);
    }

    pub fn frame(
        &mut self,
        now: Millis,
        number: u64,
        frame: ToProxy,
        effects: &mut Vec<ProxyEffect>,
    ) {
        if let Some(session) = self
            .session
            .as_mut()
            .filter(|session| session.number == number)
        {
            session.last_frame_at = now;
            if let ToProxy::Heartbeat { attached } = &frame {
                session.attachment.on_heartbeat(now, *attached);
            }
            if self.balancer.apply(now, frame) == ApplyOutcome::NeedsFullConfiguration {
                effects.push(ProxyEffect::Send {
                    number,
                    bytes: encode(&ToControl::WantConfiguration),
                });
            }
            self.send_state(now, effects);
            return;
        }
        self.handle_welcome(now, number, &frame, effects);
    }

    /// Handles the first frame of a new session: a welcome that is accepted replaces the session.
    fn handle_welcome(
        &mut self,
        now: Millis,
        number: u64,
        frame: &ToProxy,
        effects: &mut Vec<ProxyEffect>,
    ) {
        let Some(search) = &mut self.search else {
            return;
        };
        let Some(attempt) = search.attempt.take_if(|attempt| attempt.number == number) else {
            return;
        };
        let attached = match frame {
            ToProxy::Welcome {
                format, attached, ..
            } => check_welcome(*format, *attached, search.accepted)
                .map(|()| *attached)
                .ok(),
            _ => None,
        };
        let Some(attached) = attached else {
            effects.push(ProxyEffect::Close { number });
            return self.try_next_candidate(now, effects);
        };
        if let Some(before) = self.session.take() {
            effects.push(ProxyEffect::Close {
                number: before.number,
            });
        }
        (self.search, self.failed_searches) = (None, 0);
        self.session = Some(Session {
            number,
            address: attempt.address,
            attachment: Attachment::new(now, attached),
            last_frame_at: now,
            next_search_check: now + SEARCH_CHECK_INTERVAL_MS,
            last_state_at: now,
            last_state: None,
        });
        self.send_state(now, effects);
    }
}
