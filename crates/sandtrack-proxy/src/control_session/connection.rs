//! The session with the control plane: this proxy is a member while it stands. Opened with the nearest control node that
//! answers and hears a majority of its kind; opened anew elsewhere when that falls silent. What is decided is in
//! `session_policy`; here are the sockets.
use crate::context::ProxyContext;
use crate::control_session::decisions::{
    candidates, connect_timeout, judge_welcome, Accepted, Standing,
};
use crate::placement::balancer::Folded;
use async_io::{Async, Timer};
use futures_lite::future;
use sandtrack_net::ring::Ring;
use sandtrack_net::socket::{no_delay, write_within};
use sandtrack_protocol::frames::{
    frame, take, ProxyInfo, ToControl, ToProxy, BEAT_MS, FORMAT, SILENCE_MS,
};
use std::cell::RefCell;
use std::io::Read;
use std::net::{SocketAddr, TcpStream};
use std::rc::Rc;
use std::time::{Duration, Instant};

/// Pause after all were tried in vain.
const PAUSE: Duration = Duration::from_millis(100);
/// How often it is seen whether another control node is to be looked for.
const LOOK_EVERY: Duration = Duration::from_millis(BEAT_MS);
/// An end that was not heard for so long takes the session for broken.
const SILENCE: Duration = Duration::from_millis(SILENCE_MS);
/// A wait for a frame that took so long was no wait: timers of a process that runs go off before.
const SILENT_FOR_LONG: Duration = Duration::from_millis(2 * SILENCE_MS);
/// Bytes that are kept for what was read of a session and is not a whole frame yet.
const HELD_KEPT: usize = 64 * 1024;

/// A session that was accepted, with what came after its first frame.
struct Session {
    address: String,
    stream: Async<TcpStream>,
    incoming: Incoming,
    standing: RefCell<Standing>,
}

/// Frames as they come over a session.
struct Incoming {
    held: Vec<u8>,
    buffer: Vec<u8>,
}

impl Incoming {
    fn new() -> Incoming {
        Incoming {
            held: Vec::new(),
            buffer: vec![0; 16 * 1024],
        }
    }

    /// The next frame; `None` where the session is over, silent, or speaks something else.
    async fn next(&mut self, stream: &Async<TcpStream>) -> Option<ToProxy> {
        loop {
            match take::<ToProxy>(&self.held) {
                Ok(Some((message, length))) => {
                    self.held.drain(..length);
                    if self.held.is_empty() {
                        self.held.shrink_to(HELD_KEPT);
                    }
                    return Some(message);
                }
                Ok(None) => {}
                Err(error) => {
                    log::error!("session with control: {error}");
                    return None;
                }
            }
            let late = async {
                Timer::after(SILENCE).await;
                None
            };
            let began = Instant::now();
            let buffer = &mut self.buffer;
            let read = async { Some(stream.read_with(|mut socket| socket.read(buffer)).await) };
            let read = future::or(read, late).await;
            if began.elapsed() > SILENT_FOR_LONG {
                // This process stood still: what lies in the socket was said before, and says nothing of now.
                return None;
            }
            match read {
                Some(Ok(count)) if count > 0 => self.held.extend_from_slice(&self.buffer[..count]),
                _ => return None,
            }
        }
    }
}

/// Keeps a session for the life of the process.
pub async fn run(context: Rc<ProxyContext>) {
    let mut vain_rounds: u32 = 0;
    loop {
        let accepted = Accepted::in_round(context.balancer.borrow().is_ready(), vain_rounds);
        let mut session = seek(&context, accepted, connect_timeout(vain_rounds), None).await;
        vain_rounds = if session.is_none() {
            vain_rounds + 1
        } else {
            0
        };
        if session.is_none() {
            Timer::after(PAUSE).await;
        }
        while let Some(held) = session {
            session = hold(&context, held).await;
        }
    }
}

/// Asks one candidate after the other, but for the one that it is with.
async fn seek(
    context: &ProxyContext,
    accepted: Accepted,
    patience: Duration,
    except: Option<&str>,
) -> Option<Session> {
    let tried = candidates(
        &context.settings.borrow(),
        &context.balancer.borrow().control_nodes,
    );
    for address in tried
        .iter()
        .filter(|address| Some(address.as_str()) != except)
    {
        if let Some(session) = open(context, address, accepted, patience).await {
            return Some(session);
        }
    }
    None
}

/// Opens a session with one control node; none where that does not answer or is not accepted.
async fn open(
    context: &ProxyContext,
    address: &str,
    accepted: Accepted,
    patience: Duration,
) -> Option<Session> {
    let late = async {
        Timer::after(patience).await;
        Err(std::io::ErrorKind::TimedOut.into())
    };
    let connecting = Async::<TcpStream>::connect(address.parse::<SocketAddr>().ok()?);
    let stream = future::or(connecting, late).await.ok()?;
    no_delay(&stream);
    if !write(&stream, &hello(context)).await {
        return None;
    }
    let mut incoming = Incoming::new();
    let first = incoming.next(&stream).await?;
    let ToProxy::Welcome {
        format,
        control_node,
        attached,
    } = &first
    else {
        log::error!("session with control: {address} does not begin with a welcome");
        return None;
    };
    if let Err(refused) = judge_welcome(*format, *attached, accepted) {
        log::debug!("no session with {control_node}: {refused}");
        return None;
    }
    log::info!("session with {control_node} stands");
    let standing = RefCell::new(Standing::new(context.clock.now(), *attached));
    Some(Session {
        address: address.to_owned(),
        stream,
        incoming,
        standing,
    })
}

fn hello(context: &ProxyContext) -> ToControl {
    let settings = context.settings.borrow();
    let info = ProxyInfo {
        node_name: settings.node_name.clone(),
        incarnation: context.incarnation,
        zone: settings.zone.clone(),
        region: settings.region.clone(),
        front: settings.listen.get("front").cloned().unwrap_or_default(),
    };
    ToControl::Hello {
        format: FORMAT,
        info,
        state: context.balancer.borrow().state(),
    }
}

/// Holds a session until it breaks; a better one where such was found before that.
async fn hold(context: &ProxyContext, session: Session) -> Option<Session> {
    let Session {
        address,
        stream,
        incoming,
        standing,
    } = session;
    let (want, wants) = async_channel::unbounded();
    let telling = async {
        tell(context, &stream, wants).await;
        None
    };
    let listening = async {
        listen(context, &stream, incoming, &standing, want).await;
        None
    };
    let looking = look(context, &address, &standing);
    future::or(
        listening,
        future::or(telling, async { Some(looking.await) }),
    )
    .await
}

/// While its control node hears no majority, asks the others for one that does, and goes on with this one meanwhile.
async fn look(context: &ProxyContext, address: &str, standing: &RefCell<Standing>) -> Session {
    let mut vain_rounds = 0;
    loop {
        Timer::after(LOOK_EVERY).await;
        let due = standing.borrow_mut().take_look(context.clock.now());
        if due {
            let patience = connect_timeout(vain_rounds);
            if let Some(better) = seek(context, Accepted::Attached, patience, Some(address)).await {
                return better;
            }
            vain_rounds += 1;
        }
    }
}

async fn write(stream: &Async<TcpStream>, message: &ToControl) -> bool {
    let bytes = frame(message);
    let mut output = Ring::new(bytes.len());
    output.push(&bytes)
        && write_within(stream, &mut output, Duration::from_millis(SILENCE_MS)).await
}

/// Says with each beat, and at once when something changed, how this proxy is. Returns when the session broke.
async fn tell(
    context: &ProxyContext,
    stream: &Async<TcpStream>,
    wants: async_channel::Receiver<ToControl>,
) {
    let mut told = None;
    let mut told_at = 0.0;
    loop {
        while let Ok(want) = wants.try_recv() {
            if !write(stream, &want).await {
                return;
            }
        }
        let sent = context.balancer.borrow_mut().take_prompts_sent();
        if context.policy.tells_prompts
            && !sent.is_empty()
            && !write(stream, &ToControl::PromptsSent(sent)).await
        {
            return;
        }
        let now = context.clock.now();
        let state = context.balancer.borrow().state();
        let same = |a: &sandtrack_protocol::frames::ProxyState| {
            (a.ready, a.leaving, a.version) == (state.ready, state.leaving, state.version)
        };
        if now - told_at >= BEAT_MS as f64 || !told.as_ref().is_some_and(same) {
            if !write(stream, &ToControl::State(state.clone())).await {
                return;
            }
            (told, told_at) = (Some(state), now);
        }
        let wanted = async {
            let _ = context.news.recv().await;
        };
        let beat = async {
            Timer::after(Duration::from_millis(BEAT_MS)).await;
        };
        future::or(wanted, beat).await;
    }
}

/// Takes what control tells until the session breaks.
async fn listen(
    context: &ProxyContext,
    stream: &Async<TcpStream>,
    mut incoming: Incoming,
    standing: &RefCell<Standing>,
    want: async_channel::Sender<ToControl>,
) {
    while let Some(message) = incoming.next(stream).await {
        let now = context.clock.now();
        if let ToProxy::Beat { attached } = &message {
            standing.borrow_mut().beat(now, *attached);
        }
        let folded = context.balancer.borrow_mut().fold(now, message);
        if folded == Folded::WantConfiguration {
            let _ = want.try_send(ToControl::WantConfiguration);
            context.tell_news();
        }
        if std::mem::take(&mut context.balancer.borrow_mut().changed) {
            context.tell_news();
        }
    }
}
