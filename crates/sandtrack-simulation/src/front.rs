//! A proxy of a world: the real balancer and the real session policy, with the sockets of `session` played by the
//! simulated network. What comes in is folded as the program does it.
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

/// As in `session` of the proxy.
const CONNECT_MS: Millis = 350.0;
const PAUSE_MS: Millis = 100.0;
const LOOK_EVERY_MS: Millis = HEARTBEAT_INTERVAL_MS as Millis;

/// What is asked of the network.
#[derive(Debug)]
pub enum Wish {
    Dial { number: u64, address: String },
    Send { number: u64, bytes: Rc<[u8]> },
    Close { number: u64 },
}

/// A control node that is being asked for a session.
struct Attempt {
    number: u64,
    address: String,
    opened: bool,
    until: Millis,
}

/// A round through candidates.
struct Search {
    left: VecDeque<String>,
    accepted: AcceptedNodes,
    attempt: Option<Attempt>,
}

struct Session {
    number: u64,
    address: String,
    attachment: Attachment,
    heard: Millis,
    next_look: Millis,
    told_at: Millis,
    told: Option<ProxyState>,
}

pub struct Front {
    settings: Settings,
    pub balancer: Balancer,
    pub incarnation: u64,
    session: Option<Session>,
    search: Option<Search>,
    search_at: Millis,
    vain_rounds: u32,
    next_number: u64,
}

fn bytes(message: &ToControl) -> Rc<[u8]> {
    frames::encode(message).into()
}

impl Front {
    pub fn new(settings: Settings, incarnation: u64, now: Millis) -> Front {
        Front {
            balancer: Balancer::new(&settings, incarnation),
            settings,
            incarnation,
            session: None,
            search: None,
            search_at: now,
            vain_rounds: 0,
            next_number: 0,
        }
    }

    /// Version of the configuration in force here; 0 before the first.
    pub fn version(&self) -> u64 {
        self.balancer.state().version
    }

    /// The address of the control node that it has its session with.
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

    /// Looks at what is due.
    pub fn tick(&mut self, now: Millis, wishes: &mut Vec<Wish>) {
        self.end_silent(now, wishes);
        self.tell(now, wishes);
        if let Some(session) = &mut self.session {
            if now >= session.next_look && self.search.is_none() {
                session.next_look = now + LOOK_EVERY_MS;
                if session.attachment.take_search_due(now) {
                    let except = session.address.clone();
                    self.begin_search(AcceptedNodes::Attached, Some(&except));
                }
            }
        } else if self.search.is_none() && now >= self.search_at {
            let accepted = AcceptedNodes::for_round(self.balancer.is_ready(), self.vain_rounds);
            self.begin_search(accepted, None);
        }
        self.go_on(now, wishes);
    }

    fn end_silent(&mut self, now: Millis, wishes: &mut Vec<Wish>) {
        if let Some(session) = self
            .session
            .take_if(|session| now - session.heard > SESSION_TIMEOUT_MS as Millis)
        {
            wishes.push(Wish::Close {
                number: session.number,
            });
            self.lost(now, wishes);
        }
    }

    /// The session is over: a look for a better one ends with it, and the round begins anew.
    fn lost(&mut self, now: Millis, wishes: &mut Vec<Wish>) {
        if let Some(attempt) = self.search.take().and_then(|search| search.attempt) {
            wishes.push(Wish::Close {
                number: attempt.number,
            });
        }
        self.search_at = now;
    }

    fn begin_search(&mut self, accepted: AcceptedNodes, except: Option<&str>) {
        let all = candidates(&self.settings, &self.balancer.control_nodes);
        let left = all
            .into_iter()
            .filter(|address| Some(address.as_str()) != except)
            .collect();
        self.search = Some(Search {
            left,
            accepted,
            attempt: None,
        });
    }

    /// Takes the next candidate where the one before did not answer in time.
    fn go_on(&mut self, now: Millis, wishes: &mut Vec<Wish>) {
        let Some(search) = &mut self.search else {
            return;
        };
        if let Some(attempt) = search.attempt.take_if(|attempt| now > attempt.until) {
            wishes.push(Wish::Close {
                number: attempt.number,
            });
        }
        if search.attempt.is_some() {
            return;
        }
        match search.left.pop_front() {
            Some(address) => {
                self.next_number += 1;
                let number = self.next_number;
                wishes.push(Wish::Dial {
                    number,
                    address: address.clone(),
                });
                search.attempt = Some(Attempt {
                    number,
                    address,
                    opened: false,
                    until: now + CONNECT_MS,
                });
            }
            None => {
                self.search = None;
                if self.session.is_none() {
                    self.vain_rounds += 1;
                    self.search_at = now + PAUSE_MS;
                }
            }
        }
    }

    fn tell(&mut self, now: Millis, wishes: &mut Vec<Wish>) {
        let state = self.balancer.state();
        let Some(session) = &mut self.session else {
            return;
        };
        let marks = |state: &ProxyState| (state.ready, state.draining, state.version);
        let same = session.told.as_ref().map(marks) == Some(marks(&state));
        if !same || now - session.told_at >= HEARTBEAT_INTERVAL_MS as Millis {
            wishes.push(Wish::Send {
                number: session.number,
                bytes: bytes(&ToControl::State(state.clone())),
            });
            (session.told, session.told_at) = (Some(state), now);
        }
    }

    pub fn opened(&mut self, now: Millis, number: u64, wishes: &mut Vec<Wish>) {
        let hello = self.hello();
        let attempt = self
            .search
            .as_mut()
            .and_then(|search| search.attempt.as_mut());
        if let Some(attempt) = attempt.filter(|attempt| attempt.number == number) {
            (attempt.opened, attempt.until) = (true, now + SESSION_TIMEOUT_MS as Millis);
            wishes.push(Wish::Send {
                number,
                bytes: bytes(&hello),
            });
        }
    }

    pub fn closed(&mut self, now: Millis, number: u64, wishes: &mut Vec<Wish>) {
        if self
            .session
            .take_if(|session| session.number == number)
            .is_some()
        {
            self.lost(now, wishes);
        }
        if let Some(search) = &mut self.search {
            search.attempt.take_if(|attempt| attempt.number == number);
        }
        self.go_on(now, wishes);
    }

    pub fn frame(&mut self, now: Millis, number: u64, frame: ToProxy, wishes: &mut Vec<Wish>) {
        if let Some(session) = self
            .session
            .as_mut()
            .filter(|session| session.number == number)
        {
            session.heard = now;
            if let ToProxy::Beat { attached } = &frame {
                session.attachment.on_heartbeat(now, *attached);
            }
            if self.balancer.apply(now, frame) == ApplyOutcome::NeedsFullConfiguration {
                wishes.push(Wish::Send {
                    number,
                    bytes: bytes(&ToControl::WantConfiguration),
                });
            }
            self.tell(now, wishes);
            return;
        }
        self.welcomed(now, number, &frame, wishes);
    }

    /// The first frame of a session that was asked for.
    fn welcomed(&mut self, now: Millis, number: u64, frame: &ToProxy, wishes: &mut Vec<Wish>) {
        let Some(search) = &mut self.search else {
            return;
        };
        let Some(attempt) = search.attempt.take_if(|attempt| attempt.number == number) else {
            return;
        };
        let judged = match frame {
            ToProxy::Welcome {
                format, attached, ..
            } => check_welcome(*format, *attached, search.accepted)
                .map(|()| *attached)
                .ok(),
            _ => None,
        };
        let Some(attached) = judged else {
            wishes.push(Wish::Close { number });
            return self.go_on(now, wishes);
        };
        if let Some(before) = self.session.take() {
            wishes.push(Wish::Close {
                number: before.number,
            });
        }
        (self.search, self.vain_rounds) = (None, 0);
        self.session = Some(Session {
            number,
            address: attempt.address,
            attachment: Attachment::new(now, attached),
            heard: now,
            next_look: now + LOOK_EVERY_MS,
            told_at: now,
            told: None,
        });
        self.tell(now, wishes);
    }
}
