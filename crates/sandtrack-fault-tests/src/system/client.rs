//! Stand-in clients: requests with ids over connections that are kept, and what came back for each. Whether an answer is the
//! client's own is judged here, byte by byte.
use super::documents::{Kind, HOST};
use super::upstream::{body, event, seal, EVENTS};
use crate::http::{within, Wire};
use sandtrack_sidecar_core::message::{self, Message};
use std::net::SocketAddrV4;
use std::time::Duration;

/// Longer than any request may be held.
const PATIENCE: Duration = Duration::from_secs(8);
/// What a client says it will wait, in ms.
const DEADLINE_MS: &str = "4000";

/// What became of one request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Ended {
    /// A whole answer, with this status.
    Answered(u16),
    /// The connection ended, or nothing whole came in time.
    Broke,
    /// What came is not this request's answer.
    Wrong(String),
}

/// One request and its end.
#[derive(Clone, Debug)]
pub struct Asked {
    pub id: String,
    pub kind: Kind,
    pub method: &'static str,
    pub target: String,
    pub body: Vec<u8>,
    pub ended: Ended,
}

/// One client with one connection to one front at a time.
pub struct Client {
    front: SocketAddrV4,
    wire: Option<Wire>,
    name: String,
    sent: u64,
}

impl Client {
    pub fn new(name: &str, front: SocketAddrV4) -> Client {
        Client {
            front,
            wire: None,
            name: name.to_owned(),
            sent: 0,
        }
    }

    /// The next request of this kind, on the route of the kind.
    pub async fn ask(&mut self, kind: Kind) -> Asked {
        self.ask_at(kind, kind.prefix()).await
    }

    /// The next request of this kind, on a route by its prefix.
    pub async fn ask_at(&mut self, kind: Kind, prefix: &str) -> Asked {
        self.sent += 1;
        let id = format!("{}-{}", self.name, self.sent);
        let (method, body) = match kind {
            Kind::ReadOnly => ("GET", Vec::new()),
            _ => ("POST", format!("order of {id}").into_bytes()),
        };
        let target = format!("/{prefix}/{id}?at={}", self.sent);
        let mut asked = Asked {
            id,
            kind,
            method,
            target,
            body,
            ended: Ended::Broke,
        };
        asked.ended = self.exchange(&asked).await;
        asked
    }

    async fn exchange(&mut self, asked: &Asked) -> Ended {
        let kept = self.wire.take();
        if kept.as_ref().is_some_and(Wire::has_surplus) {
            return Ended::Wrong("bytes came with no request waiting".to_owned());
        }
        let connected = match kept.filter(|wire| !wire.is_over()) {
            Some(wire) => Some(wire),
            None => within(PATIENCE, Wire::connect(self.front)).await,
        };
        let Some(mut wire) = connected else {
            return Ended::Broke;
        };
        let headers = [
            ("Host", HOST),
            ("Request-Id", asked.id.as_str()),
            ("Deadline-Remaining", DEADLINE_MS),
        ];
        let bytes = message::request(
            asked.method,
            &asked.target,
            headers.into_iter(),
            &asked.body,
        );
        if !wire.write(&bytes).await {
            return Ended::Broke;
        }
        let Some(answer) = within(PATIENCE, wire.read()).await else {
            return Ended::Broke;
        };
        if answer.head.keep_alive {
            self.wire = Some(wire);
        }
        judge(asked, &answer)
    }
}

fn judge(asked: &Asked, answer: &Message) -> Ended {
    let told = answer.head.headers.get("request-id");
    if told.is_some_and(|id| id != asked.id) {
        return Ended::Wrong(format!(
            "{} got the answer to {}",
            asked.id,
            told.unwrap_or_default()
        ));
    }
    if !(200..300).contains(&answer.head.status) {
        return Ended::Answered(answer.head.status);
    }
    let sealed = answer.head.headers.get("server-seal").unwrap_or_default();
    let upstream = sealed.split('.').next().unwrap_or_default();
    let expected = match asked.kind.is_stream() {
        true => (1..=EVENTS)
            .map(|number| event(&asked.id, number))
            .collect(),
        false => body(&asked.id, upstream),
    };
    if sealed != seal(&asked.id, upstream) || answer.body != expected.as_bytes() {
        let got = String::from_utf8_lossy(&answer.body).into_owned();
        return Ended::Wrong(format!("{} got {got:?}, sealed {sealed:?}", asked.id));
    }
    Ended::Answered(answer.head.status)
}
