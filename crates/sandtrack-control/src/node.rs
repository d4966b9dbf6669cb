//! The control node: its parts put together. Inputs go in, effects come out; it is pure and deterministic, so that tests
//! play whole exchanges of several of them. It owns all state; it must never touch a socket, a file or a clock.
//!
//! This module has the inputs, the effects and the dispatch. One module for each concern does the work: `replica` (the
//! replica's effects), `operators` (operators' calls), `links` (the other control nodes), `proxies` (their sessions),
//! `list` (who reads the platform's list), `attachment` (contact with a majority), `time` (what is due, and freezes),
//! `leaving` (the way to the end of the process), `status` and `figures`.
mod attachment;
mod figures;
mod leaving;
mod links;
mod list;
mod operators;
mod proxies;
mod replica;
mod status;
mod time;

use crate::arrivals::Arrival;
use crate::call_log::CallLog;
use crate::contact::Contact;
use crate::control::{self, Reply};
use crate::control_state::ControlState;
use crate::directory;
use crate::membership::Membership;
use crate::operator_calls::OperatorCalls;
use crate::peers::{LinkOrder, PeerFrame, Peers};
use crate::prompt_relay::PromptRelay;
use crate::reader::{self, Reader, ReaderElection};
use crate::sessions::{SessionOrder, Sessions};
use crate::upstreams::Upstreams;
use crate::Millis;
use links::Announced;
use sandtrack_protocol::frames::ToControl;
use sandtrack_protocol::settings::Settings;
use sandtrack_replication::{self as replication, Replica, Timings};
use sandtrack_sidecar_core::message::{Head, Message};
use std::collections::BTreeSet;

/// What happened.
#[derive(Debug)]
pub enum Input {
    /// Something may be due.
    Tick,
    /// An operator's call was read whole.
    Call { call: u64, message: Message },
    /// The socket of a link stands, whichever end opened it.
    LinkOpened { link: u64 },
    /// A frame came from another control node.
    LinkFrame { link: u64, frame: PeerFrame },
    /// The socket of a link is gone, or could not be opened.
    LinkClosed { link: u64 },
    /// A frame came from a proxy.
    SessionFrame { session: u64, frame: ToControl },
    /// The socket of a session is gone.
    SessionClosed { session: u64 },
    /// What was to be written or rewritten is durable.
    Written { ticket: u64 },
    /// Nothing of what was to be written is in the WAL.
    WriteFailed { ticket: u64 },
    /// A call to the platform is over.
    Called(reader::Call),
    /// The settings were read again.
    Reload(Box<Settings>),
    /// The process was told to stop.
    Terminate,
}

/// What is to be done.
#[derive(Debug, PartialEq)]
pub enum Effect {
    /// Answer an operator's call.
    Reply { call: u64, reply: Reply },
    /// Open, close or write to a link with another control node.
    Link(LinkOrder),
    /// Close or write to the session of a proxy.
    Session(SessionOrder),
    /// Append all records to the WAL and make them durable, then `Input::Written`.
    Write { ticket: u64, records: Vec<Vec<u8>> },
    /// Replace the content of the WAL by these records, then `Input::Written`.
    Rewrite { ticket: u64, records: Vec<Vec<u8>> },
    /// Call the platform for a page of its list; the first one has no token.
    Fetch { token: Option<String> },
    /// End the process.
    Exit,
}

/// What a process is given at its start besides its settings.
#[derive(Clone, Debug, Default)]
pub struct Start {
    /// Drawn at random.
    pub incarnation: u64,
    /// Records of its WAL.
    pub recovered: Vec<Vec<u8>>,
    /// There is a WAL to write to.
    pub disk: bool,
}

/// One control node. All times are milliseconds of the process's steady clock.
pub struct ControlNode {
    settings: Settings,
    replica: Replica<ControlState>,
    peers: Peers,
    contact: Contact,
    sessions: Sessions,
    prompts: PromptRelay,
    membership: Membership,
    upstreams: Upstreams,
    election: ReaderElection,
    reader: Reader,
    calls: OperatorCalls,
    call_log: CallLog,
    /// Clients that the directory has answered.
    resolutions: usize,
    /// How far the peers were told of sessions and the list.
    announced: Announced,
    /// When the replica was caught up last; none since a freeze.
    last_caught_up: Option<Millis>,
    /// The last epoch in which the replica, in the chain, held all that was acknowledged.
    held_all_in: Option<u64>,
    started: Millis,
    /// It knows how many proxies there are: what holds over all of them may be shared out.
    settled: bool,
    /// When the last input came.
    last_input: Millis,
    /// When it was told to stop.
    leaving_since: Option<Millis>,
}

fn replica_settings(settings: &Settings, address: &str, start: &Start) -> replication::Settings {
    replication::Settings {
        zone: settings.zone.clone(),
        new_incarnation: start.incarnation.max(1),
        first_start: settings.first_start,
        seeds: links::seeds(settings),
        has_disk: start.disk,
        tolerated_machine_losses: settings.machines_borne,
        tolerated_zone_losses: settings.zones_borne,
        random_seed: start.incarnation,
        // Nobody waits for longer: what is tried on after that could only come late.
        timings: Timings {
            call_timeout: control::PATIENCE_MS,
            ..Timings::default()
        },
        ..replication::Settings::new(address, &[])
    }
}

impl ControlNode {
    /// A control node as its process starts, and what it wants done first.
    pub fn new(settings: Settings, start: Start, now: Millis) -> (ControlNode, Vec<Effect>) {
        let me = links::hello(&settings, start.incarnation);
        let replica_settings = replica_settings(&settings, &me.address, &start);
        let (replica, effects) = Replica::new(
            replica_settings,
            &start.recovered,
            ControlState::default(),
            now,
        );
        let mut control_node = ControlNode {
            election: ReaderElection::new(&me.address, now),
            peers: Peers::new(me, now),
            replica,
            contact: Contact::default(),
            sessions: Sessions::default(),
            prompts: PromptRelay::default(),
            membership: Membership::default(),
            upstreams: Upstreams::default(),
            reader: Reader::within(settings.bounds.drain_ms),
            settings,
            calls: OperatorCalls::new(now),
            call_log: CallLog::default(),
            resolutions: 0,
            announced: Announced::default(),
            last_caught_up: None,
            held_all_in: None,
            started: now,
            settled: false,
            last_input: now,
            leaving_since: None,
        };
        let mut out = Vec::new();
        control_node.carry_out_replica_effects(now, effects, &mut out);
        control_node.tick(now, &mut out);
        (control_node, out)
    }

    /// A number for a link that was accepted.
    pub fn link_accepted(&mut self, now: Millis) -> u64 {
        self.peers.accepted(now)
    }

    /// A number for a session that was accepted.
    pub fn session_accepted(&mut self, now: Millis) -> u64 {
        self.sessions.accepted(now)
    }

    /// A number for an operator's call that was read whole.
    pub fn call_begun(&mut self, arrival: Arrival) -> u64 {
        self.calls.begin(arrival)
    }

    /// A call was read whole and is not made: its caller has left.
    pub fn caller_left(&mut self) {
        self.call_log.caller_left();
    }

    /// Since when this process has run without being held up.
    pub fn awake_since(&self) -> Millis {
        self.calls.awake_since()
    }

    /// The committed state as it is known here.
    pub fn control_state(&self) -> &ControlState {
        self.replica.machine()
    }

    /// The platform's list as it is known here.
    pub fn upstreams(&self) -> &Upstreams {
        &self.upstreams
    }

    /// Answers a client that asks which proxies to go to.
    pub fn resolve(&mut self, now: Millis, head: &Head) -> Reply {
        let place = match directory::decode(head) {
            Ok(place) => place,
            Err(reply) => return reply,
        };
        self.resolutions = self.resolutions.wrapping_add(1);
        let ready = self.membership.ready(now);
        let zones = self.settings.zones.len();
        let regions = self.settings.zones.values().collect::<BTreeSet<_>>().len();
        directory::reply(&directory::choose(
            &place,
            &ready,
            zones,
            regions,
            self.resolutions,
        ))
    }

    /// Takes in what happened, and appends what is to be done.
    pub fn handle(&mut self, now: Millis, input: Input, out: &mut Vec<Effect>) {
        self.notice_freeze(now);
        for step in self.calls.look(now) {
            self.carry_out_step(now, step, out);
        }
        self.dispatch(now, input, out);
        self.announce_news(now, out);
        self.update_proxies(now, out);
        self.pass_on_prompts(now, out);
    }

    fn dispatch(&mut self, now: Millis, input: Input, out: &mut Vec<Effect>) {
        match input {
            Input::Tick => self.tick(now, out),
            Input::Call { call, message } => {
                self.call_log
                    .read(now, call, &message, self.calls.arrival(call));
                self.advance_calls(now, out, |calls, known| {
                    Some(calls.call(now, call, &message, known))
                });
            }
            Input::LinkOpened { link } => self.link_opened(now, link, out),
            Input::LinkFrame { link, frame } => self.link_frame(now, link, frame, out),
            Input::LinkClosed { link } => self.link_closed(now, link, out),
            Input::SessionFrame { session, frame } => self.session_frame(now, session, frame, out),
            Input::SessionClosed { session } => self.session_closed(now, session),
            Input::Written { ticket } => {
                self.step_replica(now, replication::Input::Written { ticket }, out);
            }
            Input::WriteFailed { ticket } => {
                log::warn!("the disk did not take a write");
                self.step_replica(now, replication::Input::WriteFailed { ticket }, out);
            }
            Input::Called(call) => self.platform_answered(now, call, out),
            Input::Reload(settings) => self.reload(now, *settings, out),
            Input::Terminate => self.leave(now, out),
        }
    }

    /// Takes over the settings that may change while the process runs.
    fn reload(&mut self, now: Millis, settings: Settings, out: &mut Vec<Effect>) {
        log::info!("settings read again: seeds {:?}", settings.seed_nodes);
        self.settings.seed_nodes = settings.seed_nodes;
        self.settings.cloud_api = settings.cloud_api;
        self.settings.zones = settings.zones;
        self.tick(now, out);
    }
}
