//! A fake control node: sends the frames that a test passes to it, and heartbeats.
use crate::http_connection::TEST_TIMEOUT;
use sandtrack_protocol::frames::{
    decode, encode, ProxyInfo, ProxyState, ToControl, ToProxy, FORMAT, HEARTBEAT_INTERVAL_MS,
};
use std::io::{Read, Write};
use std::net::{Shutdown, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::mpsc::{channel, Receiver, Sender};
use std::sync::{Arc, Mutex};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

/// Port of control sessions: the second of the settings' internal port range.
pub const PORT: u16 = 7721;

/// A frame received from a proxy, or the end of its session.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ReceivedFrame {
    Hello(ProxyInfo, ProxyState),
    State(ProxyState),
    WantConfiguration,
    /// The session ended.
    SessionEnded,
}

#[derive(Default)]
struct Sessions {
    /// Frames sent to each new session after the welcome.
    initial_frames: Vec<ToProxy>,
    streams: Vec<TcpStream>,
}

struct ControlNodeState {
    sessions: Mutex<Sessions>,
    attached: AtomicBool,
    /// Whether it sends nothing more on its open connections.
    is_silent: AtomicBool,
    stopped: AtomicBool,
}

pub struct ControlNode {
    pub address: String,
    shared: Arc<ControlNodeState>,
    received: Receiver<ReceivedFrame>,
    accept_thread: Option<JoinHandle<()>>,
}

impl ControlNode {
    /// Starts one that listens on this address; `None` if the address is in use.
    pub fn start(ip: &str, attached: bool) -> Option<Self> {
        let address = format!("{ip}:{PORT}");
        let listener = TcpListener::bind(&address).ok()?;
        let (sender, received) = channel();
        let shared = Arc::new(ControlNodeState {
            sessions: Mutex::new(Sessions::default()),
            attached: AtomicBool::new(attached),
            is_silent: AtomicBool::new(false),
            stopped: AtomicBool::new(false),
        });
        let thread_state = shared.clone();
        let accept_thread = std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                if thread_state.stopped.load(Ordering::SeqCst) {
                    return;
                }
                let (thread_state, sender) = (thread_state.clone(), sender.clone());
                std::thread::spawn(move || session(&thread_state, stream, &sender));
            }
        });
        Some(ControlNode {
            address,
            shared,
            received,
            accept_thread: Some(accept_thread),
        })
    }

    /// Sends a frame to all open sessions, and to later ones after their welcome.
    pub fn send(&self, message: ToProxy) {
        let mut sessions = self.shared.sessions.lock().unwrap();
        let bytes = encode(&message);
        for mut session in &sessions.streams {
            let _ = session.write_all(&bytes);
        }
        sessions.initial_frames.push(message);
    }

    /// Sets whether its heartbeats report that it is connected to a majority.
    pub fn set_attached(&self, attached: bool) {
        self.shared.attached.store(attached, Ordering::SeqCst);
    }

    /// Stops sending, and keeps its connections open.
    pub fn stop_sending(&self) {
        let _lock = self.shared.sessions.lock().unwrap();
        self.shared.is_silent.store(true, Ordering::SeqCst);
    }

    /// Waits for the next frame that satisfies `predicate`; others are skipped.
    pub fn wait_for(
        &self,
        what: &str,
        predicate: impl Fn(&ReceivedFrame) -> bool,
    ) -> ReceivedFrame {
        let until = Instant::now() + TEST_TIMEOUT;
        loop {
            let left = until.saturating_duration_since(Instant::now());
            match self.received.recv_timeout(left) {
                Ok(received) if predicate(&received) => return received,
                Ok(_) => {}
                Err(_) => panic!("the control node did not receive: {what}"),
            }
        }
    }

    pub fn wait_for_state(
        &self,
        what: &str,
        predicate: impl Fn(&ProxyState) -> bool,
    ) -> ProxyState {
        let received = self.wait_for(
            what,
            |received| matches!(received, ReceivedFrame::State(state) if predicate(state)),
        );
        let ReceivedFrame::State(state) = received else {
            unreachable!("only states were wanted")
        };
        state
    }

    pub fn wait_for_hello(&self) -> (ProxyInfo, ProxyState) {
        let ReceivedFrame::Hello(info, state) = self.wait_for("a hello", |received| {
            matches!(received, ReceivedFrame::Hello(..))
        }) else {
            unreachable!("only a hello was wanted")
        };
        (info, state)
    }

    /// All frames received until now.
    pub fn received_so_far(&self) -> Vec<ReceivedFrame> {
        self.received.try_iter().collect()
    }

    /// Closes its sessions and stops listening.
    pub fn stop(&mut self) {
        self.shared.stopped.store(true, Ordering::SeqCst);
        for session in self.shared.sessions.lock().unwrap().streams.drain(..) {
            let _ = session.shutdown(Shutdown::Both);
        }
        if let Some(accept_thread) = self.accept_thread.take() {
            let _ = TcpStream::connect(&self.address);
            let _ = accept_thread.join();
        }
    }
}

impl Drop for ControlNode {
    fn drop(&mut self) {
        self.stop();
    }
}

/// Serves one session: answers the hello with a welcome and the initial frames, and sends heartbeats until it ends.
fn session(shared: &Arc<ControlNodeState>, mut stream: TcpStream, sender: &Sender<ReceivedFrame>) {
    stream.set_nodelay(true).unwrap();
    let (ended, end) = channel::<()>();
    let mut end = Some(end);
    let mut buffer = Vec::new();
    let mut bytes = [0; 4096];
    'session: loop {
        let count = match stream.read(&mut bytes) {
            Ok(count) if count > 0 => count,
            _ => break,
        };
        buffer.extend_from_slice(&bytes[..count]);
        while let Some((message, length)) = decode::<ToControl>(&buffer).expect("frames") {
            buffer.drain(..length);
            let received = match message {
                ToControl::Hello {
                    format,
                    info,
                    state,
                } => {
                    assert_eq!(format, FORMAT);
                    if let Some(end) = end
                        .take()
                        .filter(|_| !shared.is_silent.load(Ordering::SeqCst))
                    {
                        welcome(shared, &stream, end);
                    }
                    ReceivedFrame::Hello(info, state)
                }
                ToControl::State(state) => ReceivedFrame::State(state),
                ToControl::WantConfiguration => ReceivedFrame::WantConfiguration,
                ToControl::PromptsSent(_) => continue,
            };
            if sender.send(received).is_err() {
                break 'session;
            }
        }
    }
    drop(ended);
    let _ = sender.send(ReceivedFrame::SessionEnded);
}

fn welcome(shared: &Arc<ControlNodeState>, stream: &TcpStream, end: Receiver<()>) {
    let attached = shared.attached.load(Ordering::SeqCst);
    let mut sessions = shared.sessions.lock().unwrap();
    let welcome_frame = ToProxy::Welcome {
        format: FORMAT,
        control_node: "a stand-in".to_owned(),
        attached,
    };
    let mut stream = stream.try_clone().unwrap();
    let _ = stream.write_all(&encode(&welcome_frame));
    for message in &sessions.initial_frames {
        let _ = stream.write_all(&encode(message));
    }
    sessions.streams.push(stream.try_clone().unwrap());
    let shared = shared.clone();
    std::thread::spawn(move || loop {
        let over = std::sync::mpsc::RecvTimeoutError::Disconnected;
        if end.recv_timeout(Duration::from_millis(HEARTBEAT_INTERVAL_MS)) == Err(over) {
            return;
        }
        // The lock keeps heartbeats out of the middle of frames that a test sends.
        let _lock = shared.sessions.lock().unwrap();
        let heartbeat = ToProxy::Heartbeat {
            attached: shared.attached.load(Ordering::SeqCst),
        };
        if !shared.is_silent.load(Ordering::SeqCst)
            && stream.write_all(&encode(&heartbeat)).is_err()
        {
            return;
        }
    });
}
