//! Fake upstreams: they answer probes immediately, and pass requests to the test, which answers them.
use crate::http_connection::{HttpConnection, Message, TEST_TIMEOUT};
use crate::transcript::Transcript;
use sandtrack_protocol::frames::UpstreamEntry;
use std::net::{TcpListener, TcpStream};
use std::rc::Rc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::mpsc::Sender;
use std::sync::{Arc, Mutex};
use std::thread::JoinHandle;

pub const HEALTH: &str = "/health";

/// A received request, with its connection.
pub struct ReceivedRequest {
    pub identifier: String,
    pub message: Message,
    /// Number of earlier requests and probes on the connection.
    pub earlier_requests: usize,
    connection: HttpConnection,
    state: Arc<UpstreamState>,
}

struct UpstreamState {
    identifier: String,
    sender: Sender<ReceivedRequest>,
    stopped: AtomicBool,
    reader_threads: Mutex<Vec<JoinHandle<()>>>,
}

pub struct Upstream {
    pub identifier: String,
    pub address: String,
    state: Arc<UpstreamState>,
    accept_thread: Option<JoinHandle<()>>,
}

impl Upstream {
    pub fn start(ip: &str, identifier: &str, sender: Sender<ReceivedRequest>) -> Self {
        let listener = TcpListener::bind((ip, 0)).unwrap();
        let address = listener.local_addr().unwrap().to_string();
        let state = Arc::new(UpstreamState {
            identifier: identifier.to_owned(),
            sender,
            stopped: AtomicBool::new(false),
            reader_threads: Mutex::new(Vec::new()),
        });
        let serving = state.clone();
        let accept_thread = std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                if serving.stopped.load(Ordering::SeqCst) {
                    return;
                }
                read(&serving, HttpConnection::new(stream), 0);
            }
        });
        Upstream {
            identifier: identifier.to_owned(),
            address,
            state,
            accept_thread: Some(accept_thread),
        }
    }

    /// Its entry in the platform's list of upstreams.
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

    /// Stops accepting, and waits until its connections were read to their ends; the proxy must have closed them.
    pub fn finish(mut self) {
        self.state.stopped.store(true, Ordering::SeqCst);
        let _ = TcpStream::connect(&self.address);
        if let Some(accept_thread) = self.accept_thread.take() {
            accept_thread
                .join()
                .expect("the accept thread does not panic");
        }
        let reader_threads: Vec<_> = self
            .state
            .reader_threads
            .lock()
            .unwrap()
            .drain(..)
            .collect();
        for thread in reader_threads {
            thread.join().expect("the reader thread does not panic");
        }
    }
}

/// Starts a thread that reads the next request of a connection.
fn read(state: &Arc<UpstreamState>, mut connection: HttpConnection, earlier_requests: usize) {
    let reader = state.clone();
    let thread = std::thread::spawn(move || {
        let mut earlier_requests = earlier_requests;
        connection.set_read_timeout(None);
        while let Some(request) = connection.read_message() {
            if !request.complete {
                return;
            }
            if request.head.starts_with(&format!("GET {HEALTH} ")) {
                let identifier = &reader.identifier;
                let response = format!(
                    "HTTP/1.1 200 OK\r\nInstance-Id: {identifier}\r\nContent-Length: 0\r\n\r\n"
                );
                connection.send(response.as_bytes());
                earlier_requests += 1;
                continue;
            }
            connection.set_read_timeout(Some(TEST_TIMEOUT));
            let (identifier, state) = (reader.identifier.clone(), reader.clone());
            let _ = reader.sender.send(ReceivedRequest {
                identifier,
                message: request,
                earlier_requests,
                connection,
                state,
            });
            return;
        }
    });
    state.reader_threads.lock().unwrap().push(thread);
}

/// A request at an upstream, which the test answers.
pub struct UpstreamRequest {
    pub identifier: String,
    pub message: Message,
    pub earlier_requests: usize,
    name: String,
    connection: HttpConnection,
    state: Arc<UpstreamState>,
    transcript: Rc<Transcript>,
}

impl UpstreamRequest {
    pub fn new(received: ReceivedRequest, transcript: Rc<Transcript>) -> Self {
        let ReceivedRequest {
            identifier,
            message,
            earlier_requests,
            connection,
            state,
        } = received;
        let name = format!("upstream {}", transcript.upstream_number(&identifier));
        let body = match message.body.len() {
            0 => String::new(),
            length @ 300.. => format!("\n\n({length} bytes)"),
            _ => format!("\n\n{}", message.text()),
        };
        transcript.record(
            &format!("{name} receives a request"),
            &format!("{}{body}", message.head),
        );
        UpstreamRequest {
            identifier,
            message,
            earlier_requests,
            name,
            connection,
            state,
            transcript,
        }
    }

    pub fn id(&self) -> &str {
        self.message.header("request-id").unwrap_or_default()
    }

    pub fn send(&mut self, text: &str) {
        self.transcript
            .record(&format!("{} sends", self.name), text);
        self.connection.send(text.as_bytes());
    }

    /// Sends bytes that are too long for a transcript, which gets `what` instead.
    pub fn send_bytes(&mut self, what: &str, bytes: &[u8]) {
        self.transcript
            .record(&format!("{} sends", self.name), what);
        self.connection.send(bytes);
    }

    /// Sends a complete response with a seal, and keeps the connection open.
    pub fn respond(mut self, body: &str) {
        let text = response_text(self.id(), body);
        self.send(&text);
        self.keep_open();
    }

    /// Sends the head of a stream.
    pub fn start_stream(&mut self) {
        let id = self.id().to_owned();
        self.send(&format!(
            "HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nServer-Seal: {}\r\nContent-Type: text/event-stream\r\n\
             Transfer-Encoding: chunked\r\n\r\n",
            seal(&id, &self.name)
        ));
    }

    /// Sends an event in its own chunk.
    pub fn send_event(&mut self, id: u64, data: &str) {
        self.send_chunk(&format!("id: {id}\ndata: {data}\n\n"));
    }

    pub fn send_chunk(&mut self, text: &str) {
        self.transcript
            .record(&format!("{} sends a chunk", self.name), text);
        self.connection
            .send(format!("{:x}\r\n{text}\r\n", text.len()).as_bytes());
    }

    /// Sends the end of a chunked body, and keeps the connection open.
    pub fn end_stream(mut self) {
        self.transcript
            .record(&format!("{} ends its chunked body", self.name), "");
        self.connection.send(b"0\r\n\r\n");
        self.keep_open();
    }

    /// Keeps the connection open and reads further requests from it.
    pub fn keep_open(self) {
        read(&self.state, self.connection, self.earlier_requests + 1);
    }

    /// As [`UpstreamRequest::keep_open`]; returns the connection for further writes.
    pub fn keep_open_and_keep_writer(self) -> TcpStream {
        let stream = self.connection.stream.try_clone().unwrap();
        self.keep_open();
        stream
    }

    /// As [`UpstreamRequest::respond`]; returns the connection for further writes.
    pub fn respond_and_keep_writer(mut self, body: &str) -> TcpStream {
        let text = response_text(self.id(), body);
        self.send(&text);
        self.keep_open_and_keep_writer()
    }

    /// The connection, for raw writes.
    pub fn into_stream(self) -> TcpStream {
        self.connection.stream.try_clone().unwrap()
    }

    pub fn close(self) {
        self.transcript
            .record(&format!("{} closes the connection", self.name), "");
    }

    pub fn reset(self) {
        self.transcript
            .record(&format!("{} resets the connection", self.name), "");
        self.connection.reset();
    }

    /// Waits until the proxy has closed the connection, without another request on it.
    pub fn expect_closed(mut self) {
        assert_eq!(
            self.connection.read_to_end(),
            b"",
            "no further request on the connection"
        );
        self.transcript
            .record(&format!("{}: its connection was closed", self.name), "");
    }
}

/// The seal of a response from a fake upstream.
pub fn seal(id: &str, name: &str) -> String {
    format!("{id}.{}", name.replace(' ', "."))
}

/// A complete response to the request with this id.
pub fn response_text(id: &str, body: &str) -> String {
    let length = body.len();
    format!(
        "HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nServer-Seal: seal.{id}\r\nContent-Length: {length}\r\n\r\n{body}"
    )
}
