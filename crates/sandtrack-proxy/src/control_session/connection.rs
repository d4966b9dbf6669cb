//! The sockets of the session with the control plane. It is opened with the nearest control node that answers and is
//! attached, and opened again elsewhere when that node fails.
use super::decisions::{candidates, check_welcome, connect_timeout, AcceptedNodes, Attachment};
use super::frame_reader::FrameReader;
use crate::context::ProxyContext;
use crate::placement::balancer::ApplyOutcome;
use async_io::{Async, Timer};
use futures_lite::future;
use sandtrack_net::ring::Ring;
use sandtrack_net::socket::{no_delay, write_within};
use sandtrack_protocol::frames::{
    encode, ProxyInfo, ProxyState, ToControl, ToProxy, FORMAT, HEARTBEAT_INTERVAL_MS,
    SESSION_TIMEOUT_MS,
};
use std::cell::RefCell;
use std::net::{SocketAddr, TcpStream};
use std::rc::Rc;
use std::time::Duration;

/// Pause after a failed round through all candidates.
const RETRY_INTERVAL: Duration = Duration::from_millis(100);
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(HEARTBEAT_INTERVAL_MS);
/// How often it is checked whether an attached control node is to be searched for.
const ATTACHMENT_POLL_INTERVAL: Duration = HEARTBEAT_INTERVAL;
const WRITE_TIMEOUT: Duration = Duration::from_millis(SESSION_TIMEOUT_MS);

/// A session that was accepted, with what came behind its first frame.
struct Session {
    address: String,
    stream: Async<TcpStream>,
    frames: FrameReader,
    attachment: RefCell<Attachment>,
}

/// Keeps a session for the life of the process.
pub async fn run(context: Rc<ProxyContext>) {
    let mut failed_rounds: u32 = 0;
    loop {
        let accepted =
            AcceptedNodes::for_round(context.balancer.borrow().is_ready(), failed_rounds);
        let mut session =
            open_with_any(&context, accepted, connect_timeout(failed_rounds), None).await;
        failed_rounds = if session.is_none() {
            failed_rounds + 1
        } else {
            0
        };
        if session.is_none() {
            Timer::after(RETRY_INTERVAL).await;
        }
        while let Some(established) = session {
            session = maintain(&context, established).await;
        }
    }
}

/// Tries one candidate after the other, but for `except`.
async fn open_with_any(
    context: &ProxyContext,
    accepted: AcceptedNodes,
    timeout: Duration,
    except: Option<&str>,
) -> Option<Session> {
    let addresses = candidates(
        &context.settings.borrow(),
        &context.balancer.borrow().control_nodes,
    );
    for address in addresses
        .iter()
        .filter(|address| Some(address.as_str()) != except)
    {
        if let Some(session) = open(context, address, accepted, timeout).await {
            return Some(session);
        }
    }
    None
}

/// Opens a session with one control node; `None` where it does not answer or is not accepted.
async fn open(
    context: &ProxyContext,
    address: &str,
    accepted: AcceptedNodes,
    timeout: Duration,
) -> Option<Session> {
    let timer = async {
        Timer::after(timeout).await;
        Err(std::io::ErrorKind::TimedOut.into())
    };
    let connecting = Async::<TcpStream>::connect(address.parse::<SocketAddr>().ok()?);
    let stream = future::or(connecting, timer).await.ok()?;
    no_delay(&stream);
    if !write(&stream, &hello(context)).await {
        return None;
    }
    let mut frames = FrameReader::new();
    let first = frames.next(&stream).await?;
    let ToProxy::Welcome {
        format,
        control_node,
        attached,
    } = &first
    else {
        log::error!("session with control: {address} does not begin with a welcome");
        return None;
    };
    if let Err(error) = check_welcome(*format, *attached, accepted) {
        log::debug!("no session with {control_node}: {error}");
        return None;
    }
    log::info!("session with {control_node} stands");
    let attachment = RefCell::new(Attachment::new(context.clock.now(), *attached));
    Some(Session {
        address: address.to_owned(),
        stream,
        frames,
        attachment,
    })
}

fn hello(context: &ProxyContext) -> ToControl {
    let settings = context.settings.borrow();
    let info = ProxyInfo {
        node_name: settings.node_name.clone(),
        incarnation: context.incarnation,
        zone: settings.zone.clone(),
        region: settings.region.clone(),
        client_address: settings.listen.get("front").cloned().unwrap_or_default(),
    };
    ToControl::Hello {
        format: FORMAT,
        info,
        state: context.balancer.borrow().state(),
    }
}

/// Maintains a session until it fails; returns one with an attached control node where such was found before that.
async fn maintain(context: &ProxyContext, session: Session) -> Option<Session> {
    let Session {
        address,
        stream,
        frames,
        attachment,
    } = session;
    let (request_sender, requests) = async_channel::unbounded();
    let sending = async {
        send(context, &stream, requests).await;
        None
    };
    let receiving = async {
        receive(context, &stream, frames, &attachment, request_sender).await;
        None
    };
    let searching = search_attached(context, &address, &attachment);
    future::or(
        receiving,
        future::or(sending, async { Some(searching.await) }),
    )
    .await
}

/// While the control node is detached, tries the others for one that is attached. The session goes on meanwhile.
async fn search_attached(
    context: &ProxyContext,
    address: &str,
    attachment: &RefCell<Attachment>,
) -> Session {
    let mut failed_rounds = 0;
    loop {
        Timer::after(ATTACHMENT_POLL_INTERVAL).await;
        let due = attachment.borrow_mut().take_search_due(context.clock.now());
        if !due {
            continue;
        }
        let timeout = connect_timeout(failed_rounds);
        let found = open_with_any(context, AcceptedNodes::Attached, timeout, Some(address)).await;
        if let Some(session) = found {
            return session;
        }
        failed_rounds += 1;
    }
}

async fn write(stream: &Async<TcpStream>, message: &ToControl) -> bool {
    let bytes = encode(message);
    let mut output = Ring::new(bytes.len());
    output.push(&bytes) && write_within(stream, &mut output, WRITE_TIMEOUT).await
}

/// Sends this proxy's state with each heartbeat, and at once when it changed. Returns when the session failed.
async fn send(
    context: &ProxyContext,
    stream: &Async<TcpStream>,
    requests: async_channel::Receiver<ToControl>,
) {
    let mut last_state: Option<ProxyState> = None;
    let mut sent_at = 0.0;
    loop {
        while let Ok(request) = requests.try_recv() {
            if !write(stream, &request).await {
                return;
            }
        }
        let prompts = context.balancer.borrow_mut().take_prompt_reports();
        if context.policy.report_prompts
            && !prompts.is_empty()
            && !write(stream, &ToControl::PromptsSent(prompts)).await
        {
            return;
        }
        let now = context.clock.now();
        let state = context.balancer.borrow().state();
        let is_unchanged = last_state
            .as_ref()
            .is_some_and(|last| is_same_state(last, &state));
        if now - sent_at >= HEARTBEAT_INTERVAL_MS as f64 || !is_unchanged {
            if !write(stream, &ToControl::State(state.clone())).await {
                return;
            }
            (last_state, sent_at) = (Some(state), now);
        }
        let changed = async {
            let _ = context.state_changed.recv().await;
        };
        let heartbeat = async {
            Timer::after(HEARTBEAT_INTERVAL).await;
        };
        future::or(changed, heartbeat).await;
    }
}

/// Whether two states are the same but for the number of open requests, which waits for the heartbeat.
fn is_same_state(one: &ProxyState, other: &ProxyState) -> bool {
    (one.ready, one.draining, one.version) == (other.ready, other.draining, other.version)
}

/// Takes what control sends until the session fails.
async fn receive(
    context: &ProxyContext,
    stream: &Async<TcpStream>,
    mut frames: FrameReader,
    attachment: &RefCell<Attachment>,
    requests: async_channel::Sender<ToControl>,
) {
    while let Some(message) = frames.next(stream).await {
        let now = context.clock.now();
        if let ToProxy::Heartbeat { attached } = &message {
            attachment.borrow_mut().on_heartbeat(now, *attached);
        }
        let folded = context.balancer.borrow_mut().apply(now, message);
        if folded == ApplyOutcome::NeedsFullConfiguration {
            let _ = requests.try_send(ToControl::WantConfiguration);
            context.notify_state_changed();
        }
        if std::mem::take(&mut context.balancer.borrow_mut().state_changed) {
            context.notify_state_changed();
        }
    }
}
