//! The pool of idle connections to upstreams, and how many are open. It owns idle sockets; one that is handed out belongs to
//! its attempt until it is released or dropped.
use crate::policy::Policy;
use async_io::{Async, Timer};
use futures_lite::future;
use sandtrack_invariants::{check, Invariant};
use sandtrack_net::http::{Parser, Side, READ_RING};
use sandtrack_net::ring::Ring;
use sandtrack_net::socket::{no_delay, read_into};
use sandtrack_sidecar_core::message::Head;
use sandtrack_tiers::Millis;
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::{SocketAddr, TcpStream};
use std::rc::Rc;
use std::time::Duration;

/// Longest head of a response, in bytes.
const MAX_HEAD_BYTES: usize = 12 * 1024;

/// Identifies a connection for the life of the process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ConnectionId(u64);

/// A connection to one upstream, with what was read of it.
pub struct Connection {
    /// Which one it is.
    pub id: ConnectionId,
    /// The socket.
    pub stream: Async<TcpStream>,
    /// Bytes that were read and not parsed yet.
    pub input: Ring,
    /// The parser of responses.
    pub parser: Parser,
    /// It carried a response before.
    pub reused: bool,
    _count: OpenConnectionGuard,
}

/// Counts a connection for as long as it lives.
struct OpenConnectionGuard(Rc<Cell<usize>>);

impl Drop for OpenConnectionGuard {
    fn drop(&mut self) {
        self.0.set(self.0.get().saturating_sub(1));
    }
}

struct IdleConnection {
    connection: Connection,
    expires_at: Millis,
}

#[derive(Default)]
struct UpstreamConnections {
    /// The one that was used last is at the end.
    idle: Vec<IdleConnection>,
    open: Rc<Cell<usize>>,
}

/// Connections by upstream. Keyed by identifier and not by address: an address may belong to another service by now.
pub struct ConnectionPool {
    policy: Rc<Policy>,
    upstreams: HashMap<String, UpstreamConnections>,
    /// Number of connections that were opened or attempted.
    connections: u64,
}

impl ConnectionPool {
    /// A pool without connections.
    #[must_use]
    pub fn new(policy: Rc<Policy>) -> ConnectionPool {
        ConnectionPool {
            policy,
            upstreams: HashMap::new(),
            connections: 0,
        }
    }

    /// Takes out an idle connection on which nothing came and that is not closed, the one that was used last first, but none
    /// of `excluded`.
    pub fn take_idle(
        &mut self,
        identifier: &str,
        excluded: &[ConnectionId],
        now: Millis,
    ) -> Option<Connection> {
        let upstream = self.upstreams.get_mut(identifier)?;
        upstream.idle.retain(|idle| idle.expires_at > now);
        let is_allowed = |idle: &IdleConnection| !excluded.contains(&idle.connection.id);
        while let Some(position) = upstream.idle.iter().rposition(is_allowed) {
            let IdleConnection {
                mut connection,
                expires_at,
            } = upstream.idle.remove(position);
            let read = future::poll_once(read_into(&connection.stream, &mut connection.input));
            let is_quiet = future::block_on(read).is_none();
            if is_reusable(is_quiet, now, expires_at) {
                return Some(connection);
            }
        }
        None
    }

    /// Connections open to an upstream, with idle ones.
    #[must_use]
    pub fn open_connections(&self, identifier: &str) -> usize {
        self.upstreams
            .get(identifier)
            .map_or(0, |upstream| upstream.open.get())
    }

    /// Closes one idle connection to make room for a new one; returns whether there was one.
    pub fn close_one_idle(&mut self, identifier: &str) -> bool {
        self.upstreams
            .get_mut(identifier)
            .is_some_and(|upstream| upstream.idle.pop().is_some())
    }

    /// Counts a connection that is being opened.
    fn count_connection(&mut self, identifier: &str) -> OpenConnectionGuard {
        let open = self
            .upstreams
            .entry(identifier.to_owned())
            .or_default()
            .open
            .clone();
        open.set(open.get() + 1);
        OpenConnectionGuard(open)
    }

    fn next_connection_id(&mut self) -> ConnectionId {
        self.connections += 1;
        ConnectionId(self.connections)
    }

    /// Takes a connection back after a complete response with this head.
    pub fn release(
        &mut self,
        identifier: &str,
        mut connection: Connection,
        head: &Head,
        now: Millis,
    ) {
        let Some(timeout) = idle_timeout(head, &self.policy) else {
            return;
        };
        // Bytes behind a complete response belong to no request.
        if !connection.input.is_empty() {
            return;
        }
        let is_quiet = !connection.parser.within(&connection.input);
        check(Invariant::PooledConnectionIsQuiet, is_quiet, || {
            format!("a connection to {identifier}")
        });
        connection.reused = true;
        let upstream = self.upstreams.entry(identifier.to_owned()).or_default();
        upstream.idle.push(IdleConnection {
            connection,
            expires_at: now + timeout,
        });
    }

    /// Closes connections that were idle for too long, and forgets upstreams without connections.
    pub fn remove_expired(&mut self, now: Millis) {
        for upstream in self.upstreams.values_mut() {
            upstream.idle.retain(|idle| idle.expires_at > now);
        }
        self.upstreams
            .retain(|_, upstream| !upstream.idle.is_empty() || upstream.open.get() > 0);
    }
}

/// How long a connection may be idle behind a response with this head, in ms; `None` where it is to be closed.
#[must_use]
pub fn idle_timeout(head: &Head, policy: &Policy) -> Option<Millis> {
    let announced = head
        .headers
        .all("keep-alive")
        .flat_map(|value| value.split(','))
        .find_map(|parameter| {
            let seconds = parameter.trim().strip_prefix("timeout=")?;
            seconds.trim().parse::<f64>().ok()
        });
    let timeout = announced.map_or(policy.max_idle_ms, |seconds| {
        (seconds * 1000.0 - policy.idle_close_margin_ms).min(policy.max_idle_ms)
    });
    (head.keep_alive && timeout > 0.0).then_some(timeout)
}

/// Whether an idle connection may be used: its upstream does not close it soon, and nothing came on it, nor its end.
/// Whatever comes while no request is in flight belongs to no request.
#[must_use]
pub fn is_reusable(is_quiet: bool, now: Millis, expires_at: Millis) -> bool {
    is_quiet && now < expires_at
}

/// Opens a connection, within `timeout` ms.
///
/// # Errors
/// The socket's error; `TimedOut` where the time is over, `InvalidInput` where `address` is no socket address.
pub async fn connect(
    pool: &RefCell<ConnectionPool>,
    identifier: &str,
    address: &str,
    timeout: Millis,
) -> std::io::Result<Connection> {
    let address: SocketAddr = address
        .parse()
        .map_err(|_| std::io::ErrorKind::InvalidInput)?;
    let id = pool.borrow_mut().next_connection_id();
    let count = pool.borrow_mut().count_connection(identifier);
    let timer = async {
        Timer::after(Duration::from_secs_f64(timeout.max(1.0) / 1000.0)).await;
        Err(std::io::ErrorKind::TimedOut.into())
    };
    let stream = future::or(Async::<TcpStream>::connect(address), timer).await?;
    no_delay(&stream);
    Ok(Connection {
        id,
        stream,
        input: Ring::new(READ_RING),
        parser: Parser::with_head_max(Side::Response, MAX_HEAD_BYTES),
        reused: false,
        _count: count,
    })
}
