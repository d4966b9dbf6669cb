//! A stand-in for the control plane: says what a test has it say, and beats.
use crate::wire::PATIENCE;
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

/// Port of sessions; the settings name the one before it.
pub const PORT: u16 = 7721;

/// What a proxy told.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ReceivedFrame {
    Hello(ProxyInfo, ProxyState),
    State(ProxyState),
    WantConfiguration,
    /// Its session ended.
    Ended,
}

#[derive(Default)]
struct Said {
    /// What each new session is told after the welcome.
    opening: Vec<ToProxy>,
    sessions: Vec<TcpStream>,
}

struct ControlNodeState {
    said: Mutex<Said>,
    attached: AtomicBool,
    /// It says nothing any more, though its connections stand.
    silent: AtomicBool,
    stopped: AtomicBool,
}

pub struct ControlNode {
    pub address: String,
    shared: Arc<ControlNodeState>,
    heard: Receiver<ReceivedFrame>,
    accepting: Option<JoinHandle<()>>,
}

impl ControlNode {
    /// One that listens on this address; `None` where another process has it.
    pub fn start(ip: &str, attached: bool) -> Option<Self> {
        let address = format!("{ip}:{PORT}");
        let listener = TcpListener::bind(&address).ok()?;
        let (sender, heard) = channel();
        let shared = Arc::new(ControlNodeState {
            said: Mutex::new(Said::default()),
            attached: AtomicBool::new(attached),
            silent: AtomicBool::new(false),
            stopped: AtomicBool::new(false),
        });
        let serving = shared.clone();
        let accepting = std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                if serving.stopped.load(Ordering::SeqCst) {
                    return;
                }
                let (serving, sender) = (serving.clone(), sender.clone());
                std::thread::spawn(move || session(&serving, stream, &sender));
            }
        });
        Some(ControlNode {
            address,
            shared,
            heard,
            accepting: Some(accepting),
        })
    }

    /// Tells those that have a session now, and all that open one later.
    pub fn send(&self, message: ToProxy) {
        let mut said = self.shared.said.lock().unwrap();
        let bytes = encode(&message);
        for mut session in &said.sessions {
            let _ = session.write_all(&bytes);
        }
        said.opening.push(message);
    }

    /// Whether it hears a majority, as its beats tell from now on.
    pub fn set_attached(&self, attached: bool) {
        self.shared.attached.store(attached, Ordering::SeqCst);
    }

    pub fn fall_silent(&self) {
        let _said = self.shared.said.lock().unwrap();
        self.shared.silent.store(true, Ordering::SeqCst);
    }

    /// What came next that `wanted` is looking for; other things are passed over.
    pub fn wait_for(&self, what: &str, wanted: impl Fn(&ReceivedFrame) -> bool) -> ReceivedFrame {
        let until = Instant::now() + PATIENCE;
        loop {
            let left = until.saturating_duration_since(Instant::now());
            match self.heard.recv_timeout(left) {
                Ok(heard) if wanted(&heard) => return heard,
                Ok(_) => {}
                Err(_) => panic!("the control node never heard: {what}"),
            }
        }
    }

    pub fn wait_for_state(&self, what: &str, wanted: impl Fn(&ProxyState) -> bool) -> ProxyState {
        let heard = self.wait_for(
            what,
            |heard| matches!(heard, ReceivedFrame::State(state) if wanted(state)),
        );
        let ReceivedFrame::State(state) = heard else {
            unreachable!("only states were wanted")
        };
        state
    }

    pub fn wait_for_hello(&self) -> (ProxyInfo, ProxyState) {
        let ReceivedFrame::Hello(info, state) =
            self.wait_for("a hello", |heard| matches!(heard, ReceivedFrame::Hello(..)))
        else {
            unreachable!("only a hello was wanted")
        };
        (info, state)
    }

    /// What came up to now.
    pub fn received_so_far(&self) -> Vec<ReceivedFrame> {
        self.heard.try_iter().collect()
    }

    /// Its sessions break, and it listens no longer.
    pub fn die(&mut self) {
        self.shared.stopped.store(true, Ordering::SeqCst);
        for session in self.shared.said.lock().unwrap().sessions.drain(..) {
            let _ = session.shutdown(Shutdown::Both);
        }
        if let Some(accepting) = self.accepting.take() {
            let _ = TcpStream::connect(&self.address);
            let _ = accepting.join();
        }
    }
}

impl Drop for ControlNode {
    fn drop(&mut self) {
        self.die();
    }
}

/// One session: a welcome to its hello, what there is to say, and beats until it ends.
fn session(shared: &Arc<ControlNodeState>, mut stream: TcpStream, sender: &Sender<ReceivedFrame>) {
    stream.set_nodelay(true).unwrap();
    let (ended, end) = channel::<()>();
    let mut end = Some(end);
    let mut held = Vec::new();
    let mut bytes = [0; 4096];
    'session: loop {
        let count = match stream.read(&mut bytes) {
            Ok(count) if count > 0 => count,
            _ => break,
        };
        held.extend_from_slice(&bytes[..count]);
        while let Some((message, length)) = decode::<ToControl>(&held).expect("frames") {
            held.drain(..length);
            let heard = match message {
                ToControl::Hello {
                    format,
                    info,
                    state,
                } => {
                    assert_eq!(format, FORMAT);
                    if let Some(end) = end.take().filter(|_| !shared.silent.load(Ordering::SeqCst))
                    {
                        welcome(shared, &stream, end);
                    }
                    ReceivedFrame::Hello(info, state)
                }
                ToControl::State(state) => ReceivedFrame::State(state),
                ToControl::WantConfiguration => ReceivedFrame::WantConfiguration,
                ToControl::PromptsSent(_) => continue,
            };
            if sender.send(heard).is_err() {
                break 'session;
            }
        }
    }
    drop(ended);
    let _ = sender.send(ReceivedFrame::Ended);
}

fn welcome(shared: &Arc<ControlNodeState>, stream: &TcpStream, end: Receiver<()>) {
    let attached = shared.attached.load(Ordering::SeqCst);
    let mut said = shared.said.lock().unwrap();
    let first = ToProxy::Welcome {
        format: FORMAT,
        control_node: "a stand-in".to_owned(),
        attached,
    };
    let mut stream = stream.try_clone().unwrap();
    let _ = stream.write_all(&encode(&first));
    for message in &said.opening {
        let _ = stream.write_all(&encode(message));
    }
    said.sessions.push(stream.try_clone().unwrap());
    let shared = shared.clone();
    std::thread::spawn(move || loop {
        let over = std::sync::mpsc::RecvTimeoutError::Disconnected;
        if end.recv_timeout(Duration::from_millis(HEARTBEAT_INTERVAL_MS)) == Err(over) {
            return;
        }
        // Beats and what a test tells do not mix within a frame.
        let _said = shared.said.lock().unwrap();
        let beat = ToProxy::Heartbeat {
            attached: shared.attached.load(Ordering::SeqCst),
        };
        if !shared.silent.load(Ordering::SeqCst) && stream.write_all(&encode(&beat)).is_err() {
            return;
        }
    });
}
