//! Streamed answers: each piece waits for the one before to be written, so that no more than one is held. It must never
//! hold a whole body, nor end a cut one as if it were whole.
use super::*;

impl Reducer {
    /// The attempt on this connection and its request, if that still has a client.
    pub(super) fn carried(&mut self, conn: ConnId) -> Option<(RequestId, u32, &mut Request)> {
        let Stage::Busy(Job::Attempt(id, n)) = self.links.get(&conn)?.stage else { return None };
        let request = self.requests.get_mut(&id).filter(|request| request.client.is_some())?;
        Some((id, n, request))
    }

    pub(super) fn began(&mut self, conn: ConnId, head: &Head) {
        let leaving = self.leaving();
        let Some(Stage::Busy(Job::Attempt(id, n))) = self.links.get(&conn).map(|link| link.stage) else {
            return;
        };
        let Some((.., request)) = self.carried(conn).filter(|(.., request)| request.stream.is_none()) else {
            // Nobody is left to pass it on to.
            return self.cancel(id, n);
        };
        request.stream = Some(n);
        request.keep_alive &= !leaving;
        let bytes = http::chunked(head.status, answer_headers(head), !request.keep_alive);
        let client = request.client;
        self.events.push_back(Event::Opened { request: id, attempt: n });
        self.effects.extend(client.map(|conn| Effect::Relay { conn, bytes }));
    }

    pub(super) fn piece(&mut self, conn: ConnId, bytes: &[u8]) {
        let Some((.., request)) = self.carried(conn) else { return };
        let client = request.client;
        self.effects.extend(client.map(|conn| Effect::Relay { conn, bytes: http::chunk(bytes) }));
    }

    pub(super) fn client_wrote(&mut self, conn: ConnId) {
        let request = self.clients.get(&conn).and_then(|client| client.request);
        let Some(request) = request.and_then(|id| self.requests.get(&id)) else { return };
        let attempt = request.stream.and_then(|n| request.attempts.get(n as usize));
        let link = attempt.and_then(|attempt| attempt.conn);
        self.effects.extend(link.map(|conn| Effect::More { conn }));
    }

    pub(super) fn over(&mut self, conn: ConnId, at: Millis, keep_alive: bool) {
        let Some((Job::Attempt(id, n), _)) = self.free(conn, keep_alive) else { return };
        self.give(id, End::Completed, |request| (http::chunk(b""), !request.keep_alive));
        self.attempt_ended(id, n, Outcome::Ok, at, None);
    }

    /// A streamed answer that can't be finished: its client is shown that it is not whole.
    pub(super) fn cut_short(&mut self, id: RequestId, n: u32) {
        let Some(request) = self.requests.get_mut(&id).filter(|r| r.stream == Some(n)) else { return };
        let Some(conn) = request.client.take() else { return };
        self.figures.ended(request.class, End::Failed);
        self.close_client(conn);
    }
}
