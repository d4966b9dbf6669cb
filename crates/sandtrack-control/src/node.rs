//! The control node as one state machine: inputs go in, effects come out. It owns all state and is deterministic; it touches
//! no socket, file or clock, so that tests and the simulation run several of them on a virtual clock.
//!
//! This module has the inputs, the effects and the dispatch; one module for each concern does the work: `replica` (the
//! replica's effects), `operator_calls` and `call_context` (operators' calls), `peer_links` (the other control nodes),
//! `proxy_sessions`, `endpoint_polling` (the platform's list), `quorum` (contact with a majority), `timers` (what is due, and
//! pauses of the process), `rules_agreement`, `shutdown`, `status` and `metrics`.
mod call_context;
mod endpoint_polling;
mod metrics;
mod operator_calls;
mod peer_links;
mod proxy_sessions;
mod quorum;
mod replica;
mod rules_agreement;
mod shutdown;
mod status;
mod timers;

use crate::directory;
use crate::endpoint_poller::{EndpointPoller, PageResult, PollerElection};
use crate::membership::Membership;
use crate::operator_api::call_age::Arrival;
use crate::operator_api::call_log::CallLog;
use crate::operator_api::pending_calls::PendingCalls;
use crate::operator_api::requests::CALL_TIMEOUT_MS;
use crate::operator_api::Reply;
use crate::peers::{LinkAction, PeerFrame, Peers};
use crate::prompt_relay::PromptRelay;
use crate::quorum_lease::QuorumLease;
use crate::sessions::{SessionAction, Sessions};
use crate::state_machine::ControlState;
use crate::upstreams::Upstreams;
use crate::Millis;
use peer_links::AnnouncedPositions;
use sandtrack_protocol::frames::ToControl;
use sandtrack_protocol::settings::Settings;
use sandtrack_replication::{self as replication, Replica, Timings};
use sandtrack_sidecar_core::message::{Head, Message};
use std::collections::BTreeSet;

/// An event from outside.
#[derive(Debug)]
pub enum Input {
    /// Something may be due.
    Tick,
    /// An operator's call was read completely.
    Call {
        /// Its number.
        call: u64,
        /// The request.
        message: Message,
    },
    /// The connection of a link is established, whichever end opened it.
    LinkOpened {
        /// Its number.
        link: u64,
    },
    /// A frame came from another control node.
    LinkFrame {
        /// Number of the link.
        link: u64,
        /// The frame.
        frame: PeerFrame,
    },
    /// The connection of a link is closed, or could not be opened.
    LinkClosed {
        /// Its number.
        link: u64,
    },
    /// A frame came from a proxy.
    SessionFrame {
        /// Number of the session.
        session: u64,
        /// The frame.
        frame: ToControl,
    },
    /// The connection of a session is closed.
    SessionClosed {
        /// Its number.
        session: u64,
    },
    /// What was to be written or rewritten is durable.
    Written {
        /// Of the `Effect::Write` or `Effect::Rewrite`.
        ticket: u64,
    },
    /// Nothing of what was to be written is in the WAL.
    WriteFailed {
        /// Of the `Effect::Write` or `Effect::Rewrite`.
        ticket: u64,
    },
    /// A call to the platform is over.
    PageFetched(PageResult),
    /// The settings were read again.
    Reload(Box<Settings>),
    /// The process was told to stop.
    Terminate,
}

/// What the program is to do.
#[derive(Debug, PartialEq)]
pub enum Effect {
    /// Answer an operator's call.
    Reply {
        /// Number of the call.
        call: u64,
        /// The response.
        reply: Reply,
    },
    /// Open, close or write to a link with another control node.
    Link(LinkAction),
    /// Close or write to the session of a proxy.
    Session(SessionAction),
    /// Append all records to the WAL and make them durable, then `Input::Written`.
    Write {
        /// Names the request in its result.
        ticket: u64,
        /// The records.
        records: Vec<Vec<u8>>,
    },
    /// Replace the content of the WAL by these records, then `Input::Written`.
    Rewrite {
        /// Names the request in its result.
        ticket: u64,
        /// The new content.
        records: Vec<Vec<u8>>,
    },
    /// Call the platform for a page of its list; the first one has no token.
    Fetch {
        /// Token of the page; none for the first.
        token: Option<String>,
    },
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
    quorum_lease: QuorumLease,
    sessions: Sessions,
    prompts: PromptRelay,
    membership: Membership,
    upstreams: Upstreams,
    election: PollerElection,
    poller: EndpointPoller,
    calls: PendingCalls,
    call_log: CallLog,
    /// Clients that the directory has answered.
    resolutions: usize,
    /// How far the peers were told of sessions and the list.
    announced: AnnouncedPositions,
    /// When the replica was caught up last; none since a freeze.
    last_caught_up: Option<Millis>,
    /// The last epoch in which the replica, in the chain, held all that was acknowledged.
    complete_in_epoch: Option<u64>,
    started: Millis,
    /// It knows how many proxies there are: what holds over all of them may be shared out.
    knows_all_proxies: bool,
    /// When the last input came.
    last_input: Millis,
    /// When it was told to stop.
    leaving_since: Option<Millis>,
    /// From when on it may propose rules (again).
    next_rules_proposal: Millis,
}

fn replica_settings(settings: &Settings, address: &str, start: &Start) -> replication::Settings {
    replication::Settings {
        zone: settings.zone.clone(),
        new_incarnation: start.incarnation.max(1),
        first_start: settings.first_start,
        seeds: peer_links::seeds(settings),
        has_disk: start.disk,
        tolerated_machine_losses: settings.tolerated_machine_losses,
        tolerated_zone_losses: settings.tolerated_zone_losses,
        random_seed: start.incarnation,
        // Nobody waits for longer: what is tried on after that could only come late.
        timings: Timings {
            call_timeout: CALL_TIMEOUT_MS,
            ..Timings::default()
        },
        ..replication::Settings::new(address, &[])
    }
}

impl ControlNode {
    /// A control node as its process starts, and what it wants done first.
    #[expect(
        clippy::needless_pass_by_value,
        reason = "the recovered records are freed once the replica has read them"
    )]
    pub fn new(settings: Settings, start: Start, now: Millis) -> (ControlNode, Vec<Effect>) {
        let me = peer_links::hello(&settings, start.incarnation);
        let replica_settings = replica_settings(&settings, &me.address, &start);
        let (replica, effects) = Replica::new(
            replica_settings,
            &start.recovered,
            ControlState::default(),
            now,
        );
        let mut control_node = ControlNode {
            election: PollerElection::new(&me.address, now),
            peers: Peers::new(me, now),
            replica,
            quorum_lease: QuorumLease::default(),
            sessions: Sessions::default(),
            prompts: PromptRelay::default(),
            membership: Membership::default(),
            upstreams: Upstreams::default(),
            poller: EndpointPoller::for_drain_bound(settings.bounds.drain_ms),
            settings,
            calls: PendingCalls::new(now),
            call_log: CallLog::default(),
            resolutions: 0,
            announced: AnnouncedPositions::default(),
            last_caught_up: None,
            complete_in_epoch: None,
            started: now,
            knows_all_proxies: false,
            last_input: now,
            leaving_since: None,
            next_rules_proposal: now,
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

    /// A number for an operator's call that was read completely.
    pub fn call_begun(&mut self, arrival: Arrival) -> u64 {
        self.calls.register(arrival)
    }

    /// A call was read completely and is not made: its caller has left.
    pub fn caller_left(&mut self) {
        self.call_log.record_abandoned();
    }

    /// Since when this process has run without being held up.
    pub fn running_since(&self) -> Millis {
        self.calls.running_since()
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
        let place = match directory::parse_request(head) {
            Ok(place) => place,
            Err(reply) => return reply,
        };
        self.resolutions = self.resolutions.wrapping_add(1);
        let ready = self.membership.ready(now);
        let zones = self.settings.zones.len();
        let regions = self.settings.zones.values().collect::<BTreeSet<_>>().len();
        directory::response(&directory::select_addresses(
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
        for step in self.calls.check_for_pause(now) {
            self.carry_out_step(now, step, out);
        }
        self.dispatch(now, input, out);
        self.announce_changes(now, out);
        self.update_proxies(now, out);
        self.relay_prompts(now, out);
    }

    fn dispatch(&mut self, now: Millis, input: Input, out: &mut Vec<Effect>) {
        match input {
            Input::Tick => self.tick(now, out),
            Input::Call { call, message } => {
                self.call_log
                    .record_read(now, call, &message, self.calls.arrival(call));
                self.advance_calls(now, out, |calls, known| {
                    Some(calls.handle(now, call, &message, known))
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
            Input::PageFetched(call) => self.page_fetched(now, call, out),
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
