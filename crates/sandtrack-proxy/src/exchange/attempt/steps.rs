//! The steps of an attempt: connect, write the request, read the response.
use super::{summarize_head, Attempt};
use crate::exchange::event_stream::ends_within_event;
use crate::exchange::state::{AttemptEvent, HeadSummary, MediaType, ResponseOwner};
use crate::upstream_connections::pool::{connect, Connection};
use crate::upstream_connections::response_error::ResponseError;
use crate::upstream_connections::wire::{
    read_part, request_head, write_request, RequestHeadOptions, WaitResult, WriteResult,
};
use sandtrack_net::http::{BodyDelimiter, Part};
use sandtrack_sidecar_core::message::Head;
use sandtrack_tiers::Millis;

impl Attempt<'_> {
    /// Performs the next step and returns its event.
    pub async fn step(&mut self) -> AttemptEvent {
        if self.connection.is_none() {
            self.connect().await
        } else if !self.request_written {
            self.write().await
        } else {
            self.read().await
        }
    }

    async fn connect(&mut self) -> AttemptEvent {
        let now = self.context.clock.now();
        if let Some(connection) = self.take_idle_connection(now) {
            let reused = connection.reused;
            self.connection = Some(connection);
            return AttemptEvent::Connected { reused };
        }
        if !self.reserve_connection() {
            return AttemptEvent::ConnectFailed {
                connection_limit_reached: true,
            };
        }
        let timeout = self
            .context
            .balancer
            .borrow()
            .connect_timeout(self.request, self.upstream());
        let timeout = timeout.min(self.request.time_left(now));
        let address = &self.address;
        let pool = &self.context.pool;
        match connect(pool, &address.identifier, &address.address, timeout).await {
            Ok(connection) => {
                self.connection = Some(connection);
                let elapsed = self.context.clock.now() - now;
                self.context.balancer.borrow_mut().record_round_trip(
                    self.context.clock.now(),
                    self.upstream(),
                    elapsed,
                );
                AttemptEvent::Connected { reused: false }
            }
            Err(error) => {
                self.on_connect_error(&error);
                AttemptEvent::ConnectFailed {
                    connection_limit_reached: false,
                }
            }
        }
    }

    /// Takes an idle connection from the pool, if one may be used for this attempt.
    fn take_idle_connection(&self, now: Millis) -> Option<Connection> {
        let may_reuse = self.options.may_reuse_connection
            || self
                .context
                .balancer
                .borrow()
                .allows_idle_connection_reuse(now, self.upstream());
        if !may_reuse {
            return None;
        }
        let mut pool = self.context.pool.borrow_mut();
        pool.take_idle(&self.address.identifier, &self.excluded_connections, now)
    }

    /// Closes an idle connection if the upstream's connection limit is reached; returns whether a new one may be opened.
    fn reserve_connection(&self) -> bool {
        let identifier = &self.address.identifier;
        let mut pool = self.context.pool.borrow_mut();
        let is_full = pool.open_connections(identifier) >= self.address.connection_limit;
        !is_full || pool.close_one_idle(identifier)
    }

    fn on_connect_error(&self, error: &std::io::Error) {
        let identifier = &self.address.identifier;
        log::debug!(
            "request {}: connecting to {identifier} failed: {error}",
            self.request.id
        );
        if error.kind() == std::io::ErrorKind::TimedOut {
            let now = self.context.clock.now();
            self.context
                .balancer
                .borrow_mut()
                .connect_timed_out(now, self.upstream());
        }
    }

    async fn write(&mut self) -> AttemptEvent {
        let Some(connection) = &self.connection else {
            return AttemptEvent::WriteFailed;
        };
        let now = self.context.clock.now();
        self.write_started_at = Some(now);
        let remaining = self.request.time_left(now);
        let head = request_head(
            self.request,
            &RequestHeadOptions {
                identifier: &self.address.identifier,
                remaining,
                resume_after: self.options.resume_after,
                with_priority: self.context.policy.send_urgency,
            },
        );
        match write_request(connection, &head, &self.request.body, remaining).await {
            WriteResult::Written => {
                self.request_written = true;
                AttemptEvent::RequestWritten
            }
            WriteResult::ConnectionFailed => AttemptEvent::WriteFailed,
            WriteResult::TimedOut => AttemptEvent::DeadlineExceeded,
        }
    }

    /// Reads until the next event: the head, the end, or a chunk if the response is relayed. A body that is not relayed is
    /// collected meanwhile.
    async fn read(&mut self) -> AttemptEvent {
        loop {
            let Some(connection) = &mut self.connection else {
                return AttemptEvent::ResponseFailed(ResponseError::ConnectionLost);
            };
            let result = read_part(connection, self.context.clock, self.request.deadline).await;
            let has_trailing_bytes = !connection.input.is_empty();
            self.observe_read(&result);
            match result {
                WaitResult::Failed(error) => return AttemptEvent::ResponseFailed(error),
                WaitResult::TimedOut => return AttemptEvent::DeadlineExceeded,
                WaitResult::Part(Part::Head(_)) if self.head.is_some() => {
                    return AttemptEvent::ResponseFailed(ResponseError::Malformed)
                }
                WaitResult::Part(Part::Head(head)) => {
                    return AttemptEvent::Head(self.accept_head(head))
                }
                WaitResult::Part(Part::End) if self.is_collected_stream_truncated() => {
                    return AttemptEvent::ResponseFailed(ResponseError::ConnectionLost);
                }
                WaitResult::Part(Part::End) => {
                    return AttemptEvent::BodyEnd {
                        trailing_bytes: has_trailing_bytes,
                    };
                }
                WaitResult::Part(Part::Data(data)) if self.is_relayed() => {
                    return AttemptEvent::BodyChunk(data)
                }
                WaitResult::Part(Part::Data(data)) => {
                    if let Err(error) = self.body.append(&data) {
                        return AttemptEvent::ResponseFailed(error);
                    }
                }
            }
        }
    }

    /// Reports to the balancer that the upstream responded, or that a reused connection was lost before any byte of a response.
    fn observe_read(&self, result: &WaitResult) {
        match result {
            WaitResult::Part(_) => {
                let now = self.context.clock.now();
                let mut balancer = self.context.balancer.borrow_mut();
                balancer.upstream_seen(now, self.upstream());
            }
            WaitResult::Failed(ResponseError::ConnectionLost) if self.is_unanswered_reuse() => {
                let now = self.context.clock.now();
                let mut balancer = self.context.balancer.borrow_mut();
                balancer.idle_connection_failed(now, self.upstream());
            }
            WaitResult::Failed(_) | WaitResult::TimedOut => {}
        }
    }

    /// Whether the connection was reused and no response head has been received on it for this request.
    fn is_unanswered_reuse(&self) -> bool {
        let is_reused = self
            .connection
            .as_ref()
            .is_some_and(|connection| connection.reused);
        is_reused && self.head.is_none()
    }

    fn is_relayed(&self) -> bool {
        self.head
            .as_ref()
            .is_some_and(|head| self.params.relays(head.status))
    }

    /// Whether the response is a stream of events that was collected, and whose end with the connection is within an event.
    fn is_collected_stream_truncated(&self) -> bool {
        let is_close_delimited_stream = self.head_summary.is_some_and(|summary| {
            summary.delimiter == BodyDelimiter::ConnectionClose
                && summary.media_type == MediaType::EventStream
        });
        is_close_delimited_stream && !self.is_relayed() && ends_within_event(&self.body.bytes)
    }

    fn accept_head(&mut self, head: Head) -> HeadSummary {
        let summary = summarize_head(&head, &self.request.id, &self.context.policy);
        let is_foreign = match summary.owner {
            ResponseOwner::ThisRequest => false,
            ResponseOwner::OtherRequest => true,
            ResponseOwner::Unidentified => !summary.was_not_executed(),
        };
        if is_foreign || summary.is_success() && !summary.sealed {
            let identifier = &self.address.identifier;
            log::info!(
                "request {}: {identifier} sent what is no answer to it",
                self.request.id
            );
        }
        self.head = Some(head);
        self.head_summary = Some(summary);
        summary
    }
}
