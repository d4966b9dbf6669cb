//! The listening sockets of the process, and the tasks of the connections that they accept.
use super::error::ProgramError;
use super::runtime::Runtime;
use crate::frame_connection;
use crate::http_server;
use crate::node::Input;
use crate::operator_api::call_age::Arrival;
use crate::operator_api::Reply;
use crate::peers::PeerFrame;
use async_io::Async;
use sandtrack_net::text_server;
use sandtrack_protocol::frames::ToControl;
use sandtrack_protocol::metrics;
use sandtrack_protocol::settings::{Settings, PEER_PORT_OFFSET, SESSION_PORT_OFFSET};
use sandtrack_sidecar_core::message::Message;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::rc::Rc;

/// So many new connections may wait to be accepted.
const BACKLOG: i32 = 1024;

/// The sockets that a control node listens on.
pub(super) struct Listeners {
    /// Operators' calls.
    control: Async<TcpListener>,
    /// Clients that ask for proxies.
    directory: Async<TcpListener>,
    /// Links of other control nodes.
    peers: Async<TcpListener>,
    /// Sessions of proxies.
    sessions: Async<TcpListener>,
    /// Scrapers of the figures; a process serves without them too.
    metrics: Option<Async<TcpListener>>,
}

impl Listeners {
    /// Binds all of them.
    ///
    /// # Errors
    /// Where an address can't be listened on.
    pub fn bind(settings: &Settings) -> Result<Listeners, ProgramError> {
        Ok(Listeners {
            control: bind(&settings.listen["control"])?,
            directory: bind(&settings.listen["directory"])?,
            peers: bind(&internal_listener(settings, "peers", PEER_PORT_OFFSET))?,
            sessions: bind(&internal_listener(
                settings,
                "sessions",
                SESSION_PORT_OFFSET,
            ))?,
            metrics: metrics_listener(settings),
        })
    }

    /// Accepts connections for as long as the executor runs. `queue_recheck`: see [`http_server::listen`].
    pub fn spawn(self, runtime: &Rc<Runtime<'_>>, queue_recheck: async_channel::Receiver<()>) {
        spawn_control(runtime, self.control, queue_recheck);
        spawn_directory(runtime, self.directory);
        spawn_peers(runtime, self.peers);
        spawn_sessions(runtime, self.sessions);
        if let Some(metrics) = self.metrics {
            spawn_metrics(runtime, metrics);
        }
    }
}

fn bind(address: &str) -> Result<Async<TcpListener>, ProgramError> {
    let wrong = |why| ProgramError::Listen {
        address: address.to_owned(),
        why,
    };
    let parsed: SocketAddr = address
        .parse()
        .map_err(|error| wrong(std::io::Error::new(std::io::ErrorKind::InvalidInput, error)))?;
    let listener = Async::<TcpListener>::bind(parsed).map_err(wrong)?;
    // The library's own is short: where hundreds come at once, the rest would come again only after a second.
    if let Err(error) = rustix::net::listen(&listener, BACKLOG) {
        log::debug!("a queue of new connections stays short: {error}");
    }
    Ok(listener)
}

fn metrics_listener(settings: &Settings) -> Option<Async<TcpListener>> {
    let address = metrics::address(settings, metrics::CONTROL_PORT);
    let listener = text_server::listen(&address);
    listener
        .inspect_err(|error| log::warn!("no figures at {address}: {error}"))
        .ok()
}

fn spawn_metrics(runtime: &Rc<Runtime<'_>>, listener: Async<TcpListener>) {
    let here = runtime.clone();
    let serving = async move {
        let text = || here.control_node.borrow().metrics_text(here.clock.now());
        text_server::serve(listener, metrics::PATH, text).await;
    };
    runtime.executor.spawn(serving).detach();
}

/// Where it listens for the system's own traffic: at the address that others are on_received, unless something that passes the
/// traffic on stands there and `listen_addresses` names another one.
fn internal_listener(settings: &Settings, name: &str, offset: u16) -> String {
    let on_received = || settings.internal_address(&settings.ip_address, offset);
    settings
        .listen
        .get(name)
        .cloned()
        .unwrap_or_else(on_received)
}

fn spawn_control(
    runtime: &Rc<Runtime<'_>>,
    listener: Async<TcpListener>,
    queue_recheck: async_channel::Receiver<()>,
) {
    let here = runtime.clone();
    let accept = http_server::listen(
        listener,
        runtime.clock,
        queue_recheck,
        move |stream, arrival| {
            let runtime = here.clone();
            let run = async move {
                let submit = |message| submit(&runtime, arrival, message);
                let left = || runtime.control_node.borrow_mut().caller_left();
                http_server::serve_call(
                    &stream,
                    runtime.clock,
                    &runtime.calls_memory,
                    submit,
                    left,
                )
                .await;
            };
            here.executor.spawn(run).detach();
        },
    );
    runtime.executor.spawn(accept).detach();
}

/// Hands an operator's call to the loop and waits for its answer.
async fn submit(runtime: &Runtime<'_>, arrival: Arrival, message: Message) -> Option<Reply> {
    let (sender, reply) = async_channel::bounded(1);
    let call = runtime.control_node.borrow_mut().call_begun(arrival);
    runtime.calls.borrow_mut().insert(call, sender);
    runtime.tell(Input::Call { call, message });
    reply.recv().await.ok()
}

fn spawn_directory(runtime: &Rc<Runtime<'_>>, listener: Async<TcpListener>) {
    let here = runtime.clone();
    let accept = frame_connection::listen(listener, move |stream| {
        let runtime = here.clone();
        let run = async move {
            let answer = |message: &Message| {
                runtime
                    .control_node
                    .borrow_mut()
                    .resolve(runtime.clock.now(), &message.head)
            };
            http_server::serve_calls(&stream, &runtime.calls_memory, answer).await;
        };
        here.executor.spawn(run).detach();
    });
    runtime.executor.spawn(accept).detach();
}

fn spawn_peers(runtime: &Rc<Runtime<'_>>, listener: Async<TcpListener>) {
    let here = runtime.clone();
    let accept = frame_connection::listen(listener, move |stream| {
        let link = here
            .control_node
            .borrow_mut()
            .link_accepted(here.clock.now());
        let (way, outgoing) = frame_connection::frame_channel();
        here.links.borrow_mut().insert(link, way);
        let runtime = here.clone();
        let run = async move { run_link(&runtime, link, &stream, &outgoing).await };
        here.executor.spawn(run).detach();
    });
    runtime.executor.spawn(accept).detach();
}

/// Carries the frames of a link with another control node until it ends.
pub(super) async fn run_link(
    runtime: &Runtime<'_>,
    link: u64,
    stream: &Async<TcpStream>,
    outgoing: &frame_connection::FrameReceiver,
) {
    runtime.tell(Input::LinkOpened { link });
    let on_received = |frame: PeerFrame| runtime.tell(Input::LinkFrame { link, frame });
    frame_connection::run(stream, outgoing, on_received).await;
    runtime.links.borrow_mut().remove(&link);
    runtime.tell(Input::LinkClosed { link });
}

fn spawn_sessions(runtime: &Rc<Runtime<'_>>, listener: Async<TcpListener>) {
    let here = runtime.clone();
    let accept = frame_connection::listen(listener, move |stream| {
        let session = here
            .control_node
            .borrow_mut()
            .session_accepted(here.clock.now());
        let (way, outgoing) = frame_connection::frame_channel();
        here.sessions.borrow_mut().insert(session, way);
        let runtime = here.clone();
        let run = async move { run_session(&runtime, session, &stream, &outgoing).await };
        here.executor.spawn(run).detach();
    });
    runtime.executor.spawn(accept).detach();
}

/// Carries the frames of a proxy's session until it ends.
async fn run_session(
    runtime: &Runtime<'_>,
    session: u64,
    stream: &Async<TcpStream>,
    outgoing: &frame_connection::FrameReceiver,
) {
    let on_received = |frame: ToControl| runtime.tell(Input::SessionFrame { session, frame });
    frame_connection::run(stream, outgoing, on_received).await;
    runtime.sessions.borrow_mut().remove(&session);
    runtime.tell(Input::SessionClosed { session });
}
