//! Connections to upstreams that stand idle, and how many are open. It owns idle sockets; one that is handed out belongs to
//! the exchange until it is given back or dropped.
use crate::policy::Policy;
use async_io::{Async, Timer};
use futures_lite::future;
use sandtrack_invariants::{check, Invariant};
use sandtrack_net::http::{Parser, Side, READ_RING};
use sandtrack_net::ring::Ring;
use sandtrack_net::socket::{no_delay, read_into};
use sandtrack_sidecar_core::message::Head;
use sandtrack_tiers::Millis;
use std::cell::Cell;
use std::collections::HashMap;
use std::net::{SocketAddr, TcpStream};
use std::rc::Rc;
use std::time::Duration;

/// Responses' heads may be this long, in bytes.
const HEAD_MAX: usize = 12 * 1024;

/// A connection to one upstream, with what was read of it.
pub struct Connection {
    pub stream: Async<TcpStream>,
    pub input: Ring,
    pub parser: Parser,
    /// It carried an answer before.
    pub reused: bool,
    _open: Open,
}

/// Counts a connection while it is there.
struct Open(Rc<Cell<usize>>);

impl Drop for Open {
    fn drop(&mut self) {
        self.0.set(self.0.get().saturating_sub(1));
    }
}

struct Idle {
    connection: Connection,
    until: Millis,
}

#[derive(Default)]
struct Upstream {
    idle: Vec<Idle>,
    open: Rc<Cell<usize>>,
}

/// Keyed by identifier and not by address: an address may be another service's by now.
pub struct Pool {
    policy: Rc<Policy>,
    upstreams: HashMap<String, Upstream>,
}

impl Pool {
    /// One without connections.
    #[must_use]
    pub fn new(policy: Rc<Policy>) -> Pool {
        Pool {
            policy,
            upstreams: HashMap::new(),
        }
    }

    /// An idle connection that is quiet: nothing came on it, and it is not closed. The youngest first.
    pub fn take(&mut self, identifier: &str, now: Millis) -> Option<Connection> {
        let upstream = self.upstreams.get_mut(identifier)?;
        upstream.idle.retain(|idle| idle.until > now);
        while let Some(Idle {
            mut connection,
            until,
        }) = upstream.idle.pop()
        {
            let read = future::poll_once(read_into(&connection.stream, &mut connection.input));
            let quiet = future::block_on(read).is_none();
            if may_use_idle(quiet, now, until) {
                return Some(connection);
            }
        }
        None
    }

    /// Connections open to an upstream, idle ones as well.
    pub fn open(&self, identifier: &str) -> usize {
        self.upstreams
            .get(identifier)
            .map_or(0, |upstream| upstream.open.get())
    }

    /// Makes room for a new connection by closing an idle one.
    pub fn drop_idle(&mut self, identifier: &str) -> bool {
        self.upstreams
            .get_mut(identifier)
            .is_some_and(|upstream| upstream.idle.pop().is_some())
    }

    /// Counts a connection that is being opened.
    fn opened(&mut self, identifier: &str) -> Open {
        let open = self
            .upstreams
            .entry(identifier.to_owned())
            .or_default()
            .open
            .clone();
        open.set(open.get() + 1);
        Open(open)
    }

    /// Takes a connection back after a whole answer with this head.
    pub fn give(&mut self, identifier: &str, mut connection: Connection, head: &Head, now: Millis) {
        let Some(most) = kept_for(head, &self.policy) else {
            return;
        };
        // Bytes behind a whole answer belong to no request.
        if connection.input.is_empty() {
            let is_quiet = !connection.parser.within(&connection.input);
            check(Invariant::PooledConnectionIsQuiet, is_quiet, || {
                format!("a connection to {identifier}")
            });
            connection.reused = true;
            let upstream = self.upstreams.entry(identifier.to_owned()).or_default();
            upstream.idle.push(Idle {
                connection,
                until: now + most,
            });
        }
    }

    /// Closes what stood idle too long, and forgets upstreams without connections.
    pub fn sweep(&mut self, now: Millis) {
        for upstream in self.upstreams.values_mut() {
            upstream.idle.retain(|idle| idle.until > now);
        }
        self.upstreams
            .retain(|_, upstream| !upstream.idle.is_empty() || upstream.open.get() > 0);
    }
}

/// How long a connection may stand idle behind an answer with this head, in ms; `None` where it is to be closed.
pub fn kept_for(head: &Head, policy: &Policy) -> Option<Millis> {
    let mut told = head
        .headers
        .all("keep-alive")
        .flat_map(|value| value.split(','));
    let told = told.find_map(|part| {
        let seconds = part.trim().strip_prefix("timeout=")?;
        seconds.trim().parse::<f64>().ok()
    });
    let most = told.map_or(policy.idle_most_ms, |seconds| {
        (seconds * 1000.0 - policy.idle_margin_ms).min(policy.idle_most_ms)
    });
    (head.keep_alive && most > 0.0).then_some(most)
}

/// Opens a connection, within `patience` ms.
///
/// # Errors
/// What the socket said, or that time ran out.
pub async fn connect(
    pool: &std::cell::RefCell<Pool>,
    identifier: &str,
    address: &str,
    patience: Millis,
) -> std::io::Result<Connection> {
    let address: SocketAddr = address
        .parse()
        .map_err(|_| std::io::ErrorKind::InvalidInput)?;
    let open = pool.borrow_mut().opened(identifier);
    let late = async {
        Timer::after(Duration::from_secs_f64(patience.max(1.0) / 1000.0)).await;
        Err(std::io::ErrorKind::TimedOut.into())
    };
    let stream = future::or(Async::<TcpStream>::connect(address), late).await?;
    no_delay(&stream);
    Ok(Connection {
        stream,
        input: Ring::new(READ_RING),
        parser: Parser::with_head_max(Side::Response, HEAD_MAX),
        reused: false,
        _open: open,
    })
}

/// An idle connection may be used: its upstream does not close it soon, and nothing came on it, no end either. Whatever
/// comes while nothing was asked belongs to no request.
pub fn may_use_idle(quiet: bool, now: Millis, until: Millis) -> bool {
    quiet && now < until
}
