//! The upstreams' part of the reducer: connections, attempts and probes, from the order to the outcome. It must never
//! send what the module did not ask for, nor put one attempt on the wire twice.
use super::*;

impl Reducer {
    pub(super) fn send(&mut self, id: RequestId, server: u32) {
        let Some(request) = self.requests.get_mut(&id) else {
            return;
        };
        let n = request.attempts.len() as u32;
        request.attempts.push(Attempt {
            sent: self.now,
            conn: None,
            ended: false,
        });
        tracing::debug!(id = id.0, n, upstream = name(&self.servers, server), "sent");
        if request.client.is_none() {
            self.attempt_ended(id, n, Outcome::Moot, self.now, None);
            return;
        }
        let once = self.settings.classes[request.class].idempotency == Repeats::NonIdempotent;
        let fresh = self.conn_idle * if once { DOUBTFUL } else { RETIRE };
        self.dispatch(Job::Attempt(id, n), server, Some(fresh));
    }

    pub(super) fn probe(&mut self, server: u32) {
        self.dispatch(
            Job::Probe { sent: self.now },
            server,
            Some(self.conn_idle * RETIRE),
        );
    }

    /// Puts the job on an idle connection that is not older than `fresh`, or on a new one.
    pub(super) fn dispatch(&mut self, job: Job, server: u32, fresh: Option<Millis>) {
        let Some(known) = self.servers.get_mut(&server) else {
            return self.job_failed(job, server, Outcome::ConnectFailed);
        };
        let usable = |conn: &ConnId| {
            let link = self.links.get(conn).filter(|link| link.settled <= self.now);
            link.zip(fresh)
                .is_some_and(|(link, fresh)| self.now - link.since < fresh)
        };
        if let Some(place) = known.idle.iter().rposition(usable) {
            let conn = known.idle.remove(place);
            self.no_longer_idle(conn);
            self.write(conn, job);
            return;
        }
        let (address, since) = (known.address, known.since);
        let Some(address) = address else {
            return self.job_failed(job, server, Outcome::ConnectFailed);
        };
        let room = if self.links.len() >= self.links_most {
            self.drop_eldest_link()
        } else {
            self.links.len() + self.clients.len() < self.sockets || self.make_room()
        };
        if !room {
            // That is no fault of the upstream, and must not be held against it.
            match job {
                Job::Attempt(..) => self.job_failed(job, server, Outcome::Moot),
                Job::Probe { .. } => self.waiting.push_back(server),
            }
            return self.scarce("no descriptor left for an upstream");
        }
        let conn = self.accepted();
        let process = (address, since);
        let stage = Stage::Connecting(job);
        self.links.insert(
            conn,
            Link {
                server,
                process,
                stage,
                ordered: 0,
                counts: false,
                first: None,
                since: self.now,
                settled: self.now,
            },
        );
        self.assign(job, Some(conn));
        self.timers
            .set(Timer::Connect(conn), self.now + self.connect_timeout);
        tracing::debug!(
            upstream = name(&self.servers, server),
            ?job,
            links = self.links.len(),
            "connecting"
        );
        self.effects.push(Effect::Connect { conn, address });
    }

    /// Notes which connection carries the attempt.
    pub(super) fn assign(&mut self, job: Job, conn: Option<ConnId>) {
        if let Job::Attempt(id, n) = job {
            let request = self.requests.get_mut(&id);
            if let Some(attempt) = request.and_then(|r| r.attempts.get_mut(n as usize)) {
                attempt.conn = conn;
            }
        }
    }

    /// Writes the job's message; from now on it may have run.
    pub(super) fn write(&mut self, conn: ConnId, job: Job) {
        let Some(link) = self.links.get_mut(&conn) else {
            return;
        };
        let (mut streamed, mut more) = (false, false);
        let bytes = match job {
            Job::Attempt(id, _) => match self.requests.get(&id) {
                Some(request) => {
                    streamed =
                        self.settings.classes[request.class].stream && request.message.head.chunks;
                    more = request.upload.is_some();
                    request_bytes(request, self.now)
                }
                None => return,
            },
            Job::Probe { .. } => {
                let host = link.process.0.to_string();
                let target = if self.settings.feedback == Feedback::Off {
                    "/ping"
                } else {
                    "/_load"
                };
                message::request("GET", target, [("Host", host.as_str())].into_iter(), b"")
            }
        };
        let job = match job {
            Job::Probe { .. } => {
                self.timers
                    .set(Timer::Answer(conn), self.now + self.connect_timeout);
                // Its time is its own: the time to connect is not the upstream's.
                Job::Probe { sent: self.now }
            }
            attempt => attempt,
        };
        link.stage = Stage::Busy(job);
        link.ordered += 1;
        link.counts = matches!(job, Job::Attempt(..));
        link.first = None;
        self.assign(job, Some(conn));
        self.effects.push(Effect::Write {
            conn,
            bytes,
            streamed,
            more,
        });
    }

    pub(super) fn connected(&mut self, conn: ConnId) {
        self.timers.clear(Timer::Connect(conn));
        let Some(link) = self.links.get_mut(&conn) else {
            return;
        };
        let Stage::Connecting(job) = link.stage else {
            return;
        };
        let (server, leads_to) = (link.server, Some(link.process.0));
        if self
            .servers
            .get(&server)
            .is_some_and(|known| known.address != leads_to)
        {
            // It moved meanwhile, and who listens there now may be anybody.
            self.hang_up(conn);
            return self.redispatch(job, server);
        }
        if self.wanted(job, server) {
            return self.write(conn, job);
        }
        // It began to drain while the connection came up, or the request was closed where no cancel is allowed:
        // nothing is sent.
        self.rest(conn);
        self.job_failed(job, server, Outcome::Moot);
    }

    /// The one place where an attempt that was written whole is counted.
    pub(super) fn upstream_wrote(&mut self, conn: ConnId) {
        let attempt = self
            .links
            .get_mut(&conn)
            .is_some_and(|link| std::mem::take(&mut link.counts));
        self.figures.upstream_requests += u64::from(attempt);
    }

    /// Whether the job may still be written.
    pub(super) fn wanted(&self, job: Job, server: u32) -> bool {
        let Job::Attempt(id, n) = job else {
            return true;
        };
        let open = self
            .requests
            .get(&id)
            .filter(|request| request.client.is_some());
        let out = open
            .and_then(|request| request.attempts.get(n as usize))
            .is_some_and(|a| !a.ended);
        out && self.is_open(server)
    }

    /// It stands idle, or is closed when its upstream wants nothing new or is not what it leads to any more.
    pub(super) fn rest(&mut self, conn: ConnId) {
        let open = self
            .links
            .get(&conn)
            .is_some_and(|link| self.is_open(link.server));
        let Some(link) = self.links.get_mut(&conn) else {
            return;
        };
        let Some(server) = self.servers.get_mut(&link.server) else {
            return self.hang_up(conn);
        };
        let same = server.address == Some(link.process.0) && server.since == link.process.1;
        if !open || !same {
            return self.hang_up(conn);
        }
        let asked = matches!(link.stage, Stage::Busy(Job::Attempt(..)));
        link.settled = self.now + if asked { SETTLE } else { 0.0 };
        link.stage = Stage::Idle;
        link.since = self.now;
        server.idle.push(conn);
        self.idle.insert((), self.now, conn);
        self.timers.clear(Timer::Answer(conn));
        self.timers.clear(Timer::Hold(conn));
        self.probe_waiting();
    }

    /// A descriptor may be free: the probe that waits longest goes out.
    pub(super) fn probe_waiting(&mut self) {
        if let Some(server) = self.waiting.pop_front() {
            self.probe(server);
        }
    }

    /// Orders the connection closed; its entry goes when its end is told.
    pub(super) fn hang_up(&mut self, conn: ConnId) {
        let Some(link) = self.links.get(&conn) else {
            return;
        };
        if matches!(link.stage, Stage::Closing) {
            return;
        }
        self.unhook(conn);
        self.links
            .entry(conn)
            .and_modify(|link| link.stage = Stage::Closing);
        self.effects.push(Effect::CloseUpstream { conn });
    }

    pub(super) fn no_longer_idle(&mut self, conn: ConnId) {
        if let Some(link) = self
            .links
            .get(&conn)
            .filter(|link| matches!(link.stage, Stage::Idle))
        {
            self.idle.remove((), link.since, conn);
        }
    }

    /// Gives back what refers to the connection: its timers and its place among the idle ones.
    pub(super) fn unhook(&mut self, conn: ConnId) {
        self.no_longer_idle(conn);
        let server = self
            .links
            .get(&conn)
            .and_then(|link| self.servers.get_mut(&link.server));
        if let Some(server) = server {
            server.idle.retain(|idle| *idle != conn);
        }
        self.timers.clear(Timer::Connect(conn));
        self.timers.clear(Timer::Answer(conn));
        self.timers.clear(Timer::Hold(conn));
    }

    pub(super) fn cancel(&mut self, id: RequestId, n: u32) {
        let Some(attempt) = self
            .requests
            .get(&id)
            .and_then(|r| r.attempts.get(n as usize))
        else {
            return;
        };
        if attempt.ended {
            return;
        }
        // What was not ordered written never ran.
        let stage = attempt
            .conn
            .and_then(|conn| self.links.get(&conn))
            .map(|link| &link.stage);
        let whole = self.requests.get(&id).is_none_or(Request::is_whole);
        let written = whole && !matches!(stage, Some(Stage::Connecting(_)) | None);
        let outcome = if written {
            Outcome::Cancelled
        } else {
            Outcome::Moot
        };
        if let Some(conn) = attempt.conn {
            self.hang_up(conn);
        }
        self.attempt_ended(id, n, outcome, self.now, None);
    }

    /// Its message is answered: it stands idle, or is closed. Gives what it carried, and for which upstream.
    pub(super) fn free(&mut self, conn: ConnId, keep_alive: bool) -> Option<(Job, u32)> {
        let link = self.links.get(&conn)?;
        let Stage::Busy(job) = link.stage else {
            return None;
        };
        let server = link.server;
        if keep_alive {
            self.rest(conn);
        } else {
            self.hang_up(conn);
        }
        Some((job, server))
    }

    pub(super) fn answered(&mut self, conn: ConnId, at: Millis, message: Message) {
        let begun = self.answer_began(conn, at);
        let Some((job, server)) = self.free(conn, message.head.keep_alive) else {
            return;
        };
        let status = message.head.status;
        let report_told = message.head.headers.get("X-Load-Report").and_then(report);
        match job {
            Job::Probe { sent } => {
                let used = self.links.get(&conn).map_or(0, |link| link.ordered);
                tracing::debug!(
                    upstream = name(&self.servers, server),
                    elapsed = at - sent,
                    used,
                    "probed"
                );
                let body = || std::str::from_utf8(&message.body).ok().and_then(report);
                self.probe_ended(server, sent, at, status == 200, report_told.or_else(body));
            }
            Job::Attempt(id, n) => {
                let rejected = message.head.headers.get("X-Rejected") == Some("1");
                // One that comes ahead of the request's last byte is not made for all of it.
                let whole = self.requests.get(&id).is_none_or(Request::is_whole);
                let outcome = match status {
                    200 if whole => Outcome::Ok,
                    503 | 504 if rejected => Outcome::Full,
                    // The request is at fault, and would be anywhere: that says nothing of the upstream.
                    400..500 if whole => Outcome::Cancelled,
                    _ => Outcome::Error,
                };
                if outcome == Outcome::Ok {
                    // Answered first: the attempt's end then closes the request.
                    self.answer(id, 200, answer_headers(&message.head), &message.body);
                } else if outcome == Outcome::Cancelled {
                    self.answer(id, 502, std::iter::empty(), b"");
                }
                self.attempt_ended(id, n, outcome, begun, report_told);
            }
        }
    }

    /// The rest of an answer that has begun to come is on its way: its next part takes no longer than a connection to
    /// come up.
    pub(super) fn partly(&mut self, conn: ConnId, open: bool) {
        let now = self.now;
        let link = self.links.get_mut(&conn);
        if let Some(link) = link.filter(|link| matches!(link.stage, Stage::Busy(Job::Attempt(..))))
        {
            link.first.get_or_insert(now);
            self.timers
                .set(Timer::Answer(conn), self.now + self.connect_timeout);
            if open && !self.timers.set.contains_key(&Timer::Hold(conn)) {
                self.timers.set(Timer::Hold(conn), self.now + HOLD);
            }
        }
    }

    /// When its answer began, of which this part came last: what it takes to come after that is no load of its upstream's.
    pub(super) fn answer_began(&self, conn: ConnId, at: Millis) -> Millis {
        self.links
            .get(&conn)
            .and_then(|link| link.first)
            .unwrap_or(at)
    }

    /// Its answer can't be read or does not go on. The upstream lives, and the attempt may have run: an error, which
    /// any upstream may answer now and then, and no break that would count towards its death.
    pub(super) fn spoilt(&mut self, conn: ConnId) {
        if let Some((job, server)) = self.free(conn, false) {
            self.job_failed(job, server, Outcome::Error);
        }
    }

    pub(super) fn upstream_closed(&mut self, conn: ConnId, written: Written) {
        self.unhook(conn);
        let Some(link) = self.links.remove(&conn) else {
            return;
        };
        let server = link.server;
        match link.stage {
            Stage::Closing | Stage::Idle => {}
            Stage::Connecting(job) => self.job_failed(job, server, Outcome::ConnectFailed),
            // It ended while idle, before a byte of this message was written: it goes out on a new one, and
            // that is still the first time it is sent.
            Stage::Busy(job) if written.begun < link.ordered => self.redispatch(job, server),
            Stage::Busy(job) if written.whole < link.ordered => {
                self.job_failed(job, server, Outcome::ConnectFailed);
            }
            Stage::Busy(job) => self.job_failed(job, server, Outcome::Reset),
        }
        self.probe_waiting();
    }

    pub(super) fn redispatch(&mut self, job: Job, server: u32) {
        self.assign(job, None);
        if !self.wanted(job, server) {
            return self.job_failed(job, server, Outcome::Moot);
        }
        self.dispatch(job, server, None);
    }

    pub(super) fn job_failed(&mut self, job: Job, server: u32, outcome: Outcome) {
        match job {
            Job::Attempt(id, n) => self.attempt_ended(id, n, outcome, self.now, None),
            Job::Probe { sent } => self.probe_ended(server, sent, self.now, false, None),
        }
    }

    pub(super) fn probe_ended(
        &mut self,
        server: u32,
        sent: Millis,
        at: Millis,
        ok: bool,
        report: Option<Report>,
    ) {
        if let Some(answered) = self.unserving.as_mut().filter(|_| ok) {
            // Times before the first request say little of those in service, and membership in a tier is slow to
            // change: this probe has shown a life and warmed a connection, and is sent again for its time.
            return answered.push(server);
        }
        let (upstream, elapsed) = (UpstreamId(server), (at - sent).max(0.0));
        tracing::debug!(
            upstream = name(&self.servers, server),
            elapsed,
            ok,
            ?report,
            "probe ended"
        );
        self.events.push_back(Event::Probed {
            upstream,
            elapsed,
            ok,
            report,
        });
    }

    /// The one place where an attempt ends.
    pub(super) fn attempt_ended(
        &mut self,
        id: RequestId,
        n: u32,
        outcome: Outcome,
        at: Millis,
        report: Option<Report>,
    ) {
        if outcome != Outcome::Ok {
            self.cut_short(id, n);
            self.upload_failed(id, n, outcome);
        }
        let Some(request) = self.requests.get_mut(&id) else {
            return;
        };
        let Some(attempt) = request.attempts.get_mut(n as usize).filter(|a| !a.ended) else {
            return;
        };
        attempt.ended = true;
        attempt.conn = None;
        let elapsed = (at - attempt.sent).max(0.0);
        let closed = request.client.is_none();
        tracing::debug!(id = id.0, n, ?outcome, elapsed, "ended");
        let finished = Finished {
            request: id,
            attempt: n,
            outcome,
            elapsed,
            closed,
            report,
        };
        self.events.push_back(Event::Finished(finished));
        if closed {
            self.request_closed(id);
        }
    }
}

/// The request as it goes on: unchanged but for what concerns the connection and the time left.
fn request_bytes(request: &Request, now: Millis) -> Vec<u8> {
    let head = &request.message.head;
    let left = format!("{}", (request.not_after - now).max(1.0) as u64);
    let ours = |name: &str| {
        name.eq_ignore_ascii_case("X-Budget-Ms") || name.eq_ignore_ascii_case("Expect")
    };
    let headers = head.headers.end_to_end().filter(|(name, _)| !ours(name));
    let headers = headers.chain([("X-Budget-Ms", left.as_str())]);
    let target = message::origin_form(&head.target);
    match &request.upload {
        Some(upload) => message::request_head(&head.method, &target, headers, upload.flow),
        None => message::request(&head.method, &target, headers, &request.message.body),
    }
}

/// A load report, `name=value,name=value`; names not known are skipped. One of which a part can't be read is none:
/// what else it says is not to be trusted.
pub(super) fn report(text: &str) -> Option<Report> {
    let mut report = Report::default();
    for pair in text.split(',') {
        let (name, value) = pair.trim().split_once('=')?;
        let field = match name.trim() {
            "inflight" | "active" => &mut report.active,
            "queue" | "waiting" => &mut report.waiting,
            "util" | "cpu" => &mut report.cpu,
            "latency_ms" | "avg_ms" => &mut report.service,
            _ => continue,
        };
        let value = value
            .trim()
            .parse()
            .ok()
            .filter(|value: &f64| (0.0..=REPORT_MOST).contains(value))?;
        *field = Some(value);
    }
    Some(report)
}
