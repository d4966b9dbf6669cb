//! Stand-ins for upstreams: they answer probes at once, record every request, and answer it when the test says so.
use crate::transcript::Transcript;
use crate::wire::{Message, Wire, PATIENCE};
use sandtrack_protocol::frames::UpstreamEntry;
use std::net::{TcpListener, TcpStream};
use std::rc::Rc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::mpsc::Sender;
use std::sync::{Arc, Mutex};
use std::thread::JoinHandle;

pub const HEALTH: &str = "/health";

/// A request that came, with the connection it came on.
pub struct ReceivedRequest {
    pub identifier: String,
    pub message: Message,
    /// Requests and probes that came on the connection before.
    pub earlier_requests: usize,
    wire: Wire,
    home: Arc<Home>,
}

struct Home {
    identifier: String,
    sender: Sender<ReceivedRequest>,
    stopped: AtomicBool,
    reading: Mutex<Vec<JoinHandle<()>>>,
}

pub struct Upstream {
    pub identifier: String,
    pub address: String,
    home: Arc<Home>,
    accepting: Option<JoinHandle<()>>,
}

impl Upstream {
    pub fn start(ip: &str, identifier: &str, sender: Sender<ReceivedRequest>) -> Self {
        let listener = TcpListener::bind((ip, 0)).unwrap();
        let address = listener.local_addr().unwrap().to_string();
        let home = Arc::new(Home {
            identifier: identifier.to_owned(),
            sender,
            stopped: AtomicBool::new(false),
            reading: Mutex::new(Vec::new()),
        });
        let serving = home.clone();
        let accepting = std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                if serving.stopped.load(Ordering::SeqCst) {
                    return;
                }
                read(&serving, Wire::new(stream), 0);
            }
        });
        Upstream {
            identifier: identifier.to_owned(),
            address,
            home,
            accepting: Some(accepting),
        }
    }

    /// As the platform's list shows it.
    pub fn entry(&self, service: &str, zone: &str) -> UpstreamEntry {
        UpstreamEntry {
            identifier: self.identifier.clone(),
            service: service.to_owned(),
            address: self.address.clone(),
            zone: zone.to_owned(),
            slots: 16,
            ..UpstreamEntry::default()
        }
    }

    /// Accepts no more, and waits until all that came on its connections was read: their other ends are closed.
    pub fn finish(mut self) {
        self.home.stopped.store(true, Ordering::SeqCst);
        let _ = TcpStream::connect(&self.address);
        if let Some(accepting) = self.accepting.take() {
            accepting.join().expect("it accepted to the end");
        }
        let reading: Vec<_> = self.home.reading.lock().unwrap().drain(..).collect();
        for reading in reading {
            reading.join().expect("it read to the end");
        }
    }
}

/// Reads the next request of a connection on a thread.
fn read(home: &Arc<Home>, mut wire: Wire, earlier_requests: usize) {
    let reader = home.clone();
    let reading = std::thread::spawn(move || {
        let mut earlier_requests = earlier_requests;
        wire.patience(None);
        while let Some(request) = wire.message() {
            if !request.whole {
                return;
            }
            if request.head.starts_with(&format!("GET {HEALTH} ")) {
                let identifier = &reader.identifier;
                let well = format!(
                    "HTTP/1.1 200 OK\r\nInstance-Id: {identifier}\r\nContent-Length: 0\r\n\r\n"
                );
                wire.send(well.as_bytes());
                earlier_requests += 1;
                continue;
            }
            wire.patience(Some(PATIENCE));
            let (identifier, home) = (reader.identifier.clone(), reader.clone());
            let _ = reader.sender.send(ReceivedRequest {
                identifier,
                message: request,
                earlier_requests,
                wire,
                home,
            });
            return;
        }
    });
    home.reading.lock().unwrap().push(reading);
}

/// A request that came to an upstream, to be answered when the test says so.
pub struct UpstreamRequest {
    pub identifier: String,
    pub message: Message,
    pub earlier_requests: usize,
    name: String,
    wire: Wire,
    home: Arc<Home>,
    transcript: Rc<Transcript>,
}

impl UpstreamRequest {
    pub fn new(received: ReceivedRequest, transcript: Rc<Transcript>) -> Self {
        let ReceivedRequest {
            identifier,
            message,
            earlier_requests,
            wire,
            home,
        } = received;
        let name = format!("upstream {}", transcript.number(&identifier));
        let body = match message.body.len() {
            0 => String::new(),
            long @ 300.. => format!("\n\n({long} bytes)"),
            _ => format!("\n\n{}", message.text()),
        };
        transcript.note(
            &format!("{name} is asked"),
            &format!("{}{body}", message.head),
        );
        UpstreamRequest {
            identifier,
            message,
            earlier_requests,
            name,
            wire,
            home,
            transcript,
        }
    }

    pub fn id(&self) -> &str {
        self.message.header("request-id").unwrap_or_default()
    }

    pub fn send(&mut self, text: &str) {
        self.transcript.note(&format!("{} says", self.name), text);
        self.wire.send(text.as_bytes());
    }

    /// Says what is too long for a transcript.
    pub fn send_bytes(&mut self, what: &str, bytes: &[u8]) {
        self.transcript.note(&format!("{} says", self.name), what);
        self.wire.send(bytes);
    }

    /// Answers whole with its seal, and stays open for more.
    pub fn respond(mut self, body: &str) {
        let text = answer(self.id(), body);
        self.send(&text);
        self.keep_open();
    }

    /// The head of a stream.
    pub fn start_stream(&mut self) {
        let id = self.id().to_owned();
        self.send(&format!(
            "HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nServer-Seal: {}\r\nContent-Type: text/event-stream\r\n\
             Transfer-Encoding: chunked\r\n\r\n",
            seal(&id, &self.name)
        ));
    }

    /// One event, in a chunk of its own.
    pub fn send_event(&mut self, id: u64, data: &str) {
        self.send_chunk(&format!("id: {id}\ndata: {data}\n\n"));
    }

    pub fn send_chunk(&mut self, text: &str) {
        self.transcript
            .note(&format!("{} says, in a chunk", self.name), text);
        self.wire
            .send(format!("{:x}\r\n{text}\r\n", text.len()).as_bytes());
    }

    /// The end of a chunked body; it stays open for more.
    pub fn end_stream(mut self) {
        self.transcript
            .note(&format!("{} ends its chunks", self.name), "");
        self.wire.send(b"0\r\n\r\n");
        self.keep_open();
    }

    /// Further requests on its connection are read.
    pub fn keep_open(self) {
        read(&self.home, self.wire, self.earlier_requests + 1);
    }

    /// As [`Asked::answer`]; this end can still write.
    pub fn respond_and_keep_writer(self, body: &str) -> TcpStream {
        let stream = self.wire.stream.try_clone().unwrap();
        self.respond(body);
        stream
    }

    /// This end of the connection, to be written to by hand.
    pub fn into_stream(self) -> TcpStream {
        self.wire.stream.try_clone().unwrap()
    }

    pub fn close(self) {
        self.transcript.note(&format!("{} closes", self.name), "");
    }

    pub fn reset(self) {
        self.transcript.note(&format!("{} resets", self.name), "");
        self.wire.reset();
    }

    /// Waits until the proxy has closed the connection, on which nothing more came.
    pub fn expect_closed(mut self) {
        assert_eq!(self.wire.rest(), b"", "nothing more is asked on it");
        self.transcript
            .note(&format!("{} sees its connection closed", self.name), "");
    }
}

/// The seal that stand-ins put on an answer.
pub fn seal(id: &str, name: &str) -> String {
    format!("{id}.{}", name.replace(' ', "."))
}

/// A whole answer to the request of that id.
pub fn answer(id: &str, body: &str) -> String {
    let length = body.len();
    format!(
        "HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nServer-Seal: seal.{id}\r\nContent-Length: {length}\r\n\r\n{body}"
    )
}
