//! Stand-in for the operator, by the callers' rules of PROTOCOL.md: the same order unchanged, to the next control node after
//! a failure, a 5xx or a second of silence. It keeps every try, as the verdicts are by what it saw.
use crate::http::{within, Wire};
use async_io::Timer;
use sandtrack_cli::call::Call;
use sandtrack_cli::retry::{Retry, Step};
use sandtrack_cli::transport::TransportError;
use sandtrack_sidecar_core::message::Message;
use serde_json::Value;
use std::cell::{Cell, RefCell};
use std::io::ErrorKind;
use std::net::{SocketAddr, SocketAddrV4};
use std::time::{Duration, Instant};

/// One try as the operator saw it.
#[derive(Clone, Debug)]
pub struct Try {
    /// The machine whose control was asked.
    pub machine: usize,
    pub target: String,
    /// The answer's status; `None`: silence, or a connection that broke.
    pub status: Option<u16>,
}

pub struct Operator {
    /// Where control of each machine is reached.
    addresses: Vec<SocketAddrV4>,
    clock: Instant,
    pub begun: Cell<usize>,
    pub tries: RefCell<Vec<Try>>,
}

impl Operator {
    pub fn new(addresses: Vec<SocketAddrV4>) -> Operator {
        Operator {
            addresses,
            clock: Instant::now(),
            begun: Cell::new(0),
            tries: RefCell::default(),
        }
    }

    fn now(&self) -> f64 {
        self.clock.elapsed().as_secs_f64() * 1000.0
    }

    /// One try at one machine.
    pub async fn once(&self, call: &Call, machine: usize) -> Result<Message, TransportError> {
        let address = SocketAddr::V4(self.addresses[machine]);
        self.exchange(call, address, &call.target).await
    }

    async fn exchange(
        &self,
        call: &Call,
        address: SocketAddr,
        target: &str,
    ) -> Result<Message, TransportError> {
        self.begun.set(self.begun.get() + 1);
        let result = exchange(call, address, target).await;
        let machine = self
            .addresses
            .iter()
            .position(|known| SocketAddr::V4(*known) == address);
        self.tries.borrow_mut().push(Try {
            machine: machine.unwrap_or(usize::MAX),
            target: target.to_owned(),
            status: result.as_ref().ok().map(|answer| answer.head.status),
        });
        result
    }

    /// Sends a call until it has a definite answer, at `machines` in turn; `None`: it had none within `limit`.
    pub async fn send(&self, call: &Call, machines: &[usize], limit: Duration) -> Option<Message> {
        let addresses: Vec<SocketAddr> = machines
            .iter()
            .map(|machine| SocketAddr::V4(self.addresses[*machine]))
            .collect();
        let now = self.now();
        let mut retry = Retry::new(&addresses, now, now + limit.as_secs_f64() * 1000.0);
        loop {
            match retry.step(self.now()) {
                Step::Attempt { address, target } => {
                    let target = target.unwrap_or_else(|| call.target.clone());
                    let came = self.exchange(call, address, &target).await;
                    retry.record_result(self.now(), came);
                }
                Step::Backoff(time) => {
                    Timer::after(Duration::from_secs_f64(time / 1000.0)).await;
                }
                Step::Responded(answer) => return Some(answer),
                Step::GaveUp { .. } => return None,
            }
        }
    }

    /// What one control node says of itself.
    pub async fn status(&self, machine: usize) -> Option<Value> {
        let answer = self.once(&Call::status(), machine).await.ok()?;
        serde_json::from_slice(&answer.body).ok()
    }
}

async fn exchange(
    call: &Call,
    address: SocketAddr,
    target: &str,
) -> Result<Message, TransportError> {
    let SocketAddr::V4(to) = address else {
        return Err(TransportError::NotConnected(ErrorKind::InvalidInput));
    };
    let silence = Duration::from_secs_f64(call.response_timeout() / 1000.0);
    let connected = within(silence, Wire::connect(to)).await;
    let mut wire = connected.ok_or(TransportError::NotConnected(ErrorKind::ConnectionRefused))?;
    let answered = async {
        // An answer may come before the request was taken whole.
        wire.write(&call.encode(address, target)).await;
        Some(wire.read().await)
    };
    match within(silence, answered).await {
        None => Err(TransportError::TimedOut),
        Some(None) => Err(TransportError::ConnectionClosed),
        Some(Some(answer)) => Ok(answer),
    }
}
