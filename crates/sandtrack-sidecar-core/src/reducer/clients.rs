//! The clients' part of the reducer: their connections and requests, from the opening to the one answer. It must never
//! choose an upstream, nor answer twice.
use super::*;

impl Reducer {
    pub(super) fn client_opened(&mut self, conn: ConnId) {
        self.last_opened = self.now;
        self.trim_idle();
        let free = self
            .sockets
            .saturating_sub(self.clients.len() + self.links.len());
        let scarce = free <= (self.sockets as f64 * SPARE_PART) as usize;
        let surplus = scarce && !self.make_room() && free == 0;
        if surplus {
            self.scarce("no descriptor left for a client: it will be refused");
        }
        let client = Client {
            request: None,
            closing: false,
            retired: false,
            served: false,
            begun: false,
            head: false,
            since: self.now,
            surplus,
        };
        self.waits.insert(Wait::First, client.since, conn);
        self.clients.insert(conn, client);
    }

    /// The one place where a client's entry changes, so that it is always found by its age.
    pub(super) fn client<T>(
        &mut self,
        conn: ConnId,
        change: impl FnOnce(&mut Client, Millis) -> T,
    ) -> Option<T> {
        let client = self.clients.get_mut(&conn)?;
        if let Some(wait) = client.wait() {
            self.waits.remove(wait, client.since, conn);
        }
        let changed = change(client, self.now);
        if let Some(wait) = client.wait() {
            self.waits.insert(wait, client.since, conn);
        }
        Some(changed)
    }

    /// A connection's first request is due from its opening on, however its bytes come; a later one from its start; the
    /// body from the end of the head.
    pub(super) fn client_began(&mut self, conn: ConnId, head: bool) {
        self.client(conn, |client, now| {
            client.since = if client.served && !client.begun || head {
                now
            } else {
                client.since
            };
            (client.begun, client.head) = (true, head);
        });
    }

    /// Connections that are kept and not used again must leave enough for those that are.
    pub(super) fn trim_idle(&mut self) {
        let most = (self.sockets as f64 * IDLE_PART) as usize;
        while self.waits.count(Wait::Idle) > most {
            let Some(conn) = self.waits.eldest(Wait::Idle, self.now) else {
                return;
            };
            self.retire_client(conn);
        }
    }

    /// Closes what is least missed; no when there is nothing idle. Clients that say nothing, or that asked once and
    /// stayed, must not keep the others out; an idle upstream connection costs less than one that a client uses.
    pub(super) fn make_room(&mut self) -> bool {
        let silent = self.waits.eldest(Wait::First, self.now - SILENCE);
        let beyond = self.clients.len() as f64 > self.sockets as f64 * CLIENTS_PART;
        let idle = || self.waits.eldest(Wait::Idle, self.now).filter(|_| beyond);
        if let Some(conn) = silent.or_else(idle) {
            self.retire_client(conn);
            return true;
        }
        if self.drop_eldest_link() {
            return true;
        }
        let idle = self.waits.eldest(Wait::Idle, self.now);
        idle.into_iter().for_each(|conn| self.retire_client(conn));
        idle.is_some()
    }

    /// What is held beyond the budget goes, as far as it idles.
    pub(super) fn give_way(&mut self) {
        if self.links.len() + self.clients.len() <= self.sockets {
            return;
        }
        let links = self
            .links
            .values()
            .filter(|link| matches!(link.stage, Stage::Closing))
            .count();
        let going = links
            + self
                .clients
                .values()
                .filter(|client| client.closing || client.retired)
                .count();
        let beyond = (self.links.len() + self.clients.len()).saturating_sub(self.sockets + going);
        for _ in 0..beyond {
            if !self.make_room() {
                return;
            }
        }
    }

    pub(super) fn drop_eldest_link(&mut self) -> bool {
        let eldest = self.idle.eldest((), self.now);
        eldest.into_iter().for_each(|conn| self.hang_up(conn));
        eldest.is_some()
    }

    /// Closes it whatever has come of a request or gone of an answer.
    pub(super) fn close_client(&mut self, conn: ConnId) {
        if self
            .client(conn, |client, now| client.answered(true, now))
            .is_some()
        {
            self.effects.push(Effect::CloseClient { conn });
        }
    }

    /// Said once a second at most: what is scarce is asked for often.
    pub(super) fn scarce(&mut self, what: &str) {
        if self.now - self.scarce_said >= SCARCE_EVERY {
            self.scarce_said = self.now;
            tracing::warn!(
                clients = self.clients.len(),
                upstreams = self.links.len(),
                "{what}"
            );
        }
    }

    pub(super) fn retire_client(&mut self, conn: ConnId) {
        let retired = self.client(conn, |client, _| {
            let fit = client.between() && !client.retired;
            client.retired |= fit;
            fit
        });
        if retired == Some(true) {
            self.effects.push(Effect::RetireClient { conn });
        }
    }

    pub(super) fn client_closed(&mut self, conn: ConnId) {
        let Some(client) = self.clients.remove(&conn) else {
            return;
        };
        if let Some(wait) = client.wait() {
            self.waits.remove(wait, client.since, conn);
        }
        if let Some(id) = client.request {
            // What no byte of is written yet is held back, whether a cancel is allowed or not.
            let carried = self
                .requests
                .get(&id)
                .into_iter()
                .flat_map(|request| &request.attempts);
            let ordered = |conn: &ConnId| self.links.get(conn).is_some_and(|link| link.counts);
            let ordered = carried.filter_map(|attempt| attempt.conn).filter(ordered);
            self.effects
                .extend(ordered.map(|conn| Effect::Withdraw { conn }));
            let link = self.requests.get_mut(&id).and_then(|request| {
                request.client = None;
                request
                    .stream
                    .as_ref()
                    .map(|stream| (stream.attempt, stream.link))
            });
            // An answer that flows has nobody left to go to, whether a cancel is allowed or not, and what has come of a
            // request is of no use.
            if let Some((n, link)) = link {
                self.cancel(id, n);
                self.hang_up(link);
            }
            self.call_back(id);
            self.events.push_back(Event::ClientGone(id));
            self.request_closed(id);
        }
    }

    /// What one that is refused for want of room is told, where the settings allow that.
    pub(super) fn come_back(&self) -> Option<String> {
        let longest = self.settings.limits.max_retry_after;
        longest.map(|longest| format!("{:.3}", longest.min(COME_BACK) / 1000.0))
    }

    /// An answer that no upstream or decision is behind.
    pub(super) fn plain(&mut self, conn: ConnId, status: u16, close: bool) {
        let Some(client) = self.clients.get(&conn).filter(|client| !client.closing) else {
            return;
        };
        let close = close || self.leaving() || client.surplus || client.retired;
        self.client(conn, |client, now| client.answered(close, now));
        self.last_answer = self.now;
        let again = self.come_back().filter(|_| status == 503);
        let headers = again
            .iter()
            .map(|seconds| ("Retry-After", seconds.as_str()));
        let bytes = message::response(status, headers, b"", close);
        self.effects.push(Effect::Answer {
            conn,
            bytes,
            close,
            bad: (400..500).contains(&status),
        });
    }

    /// `flow`: its body follows piece by piece.
    pub(super) fn client_request(
        &mut self,
        conn: ConnId,
        at: Millis,
        message: Message,
        flow: Option<Flow>,
    ) {
        let Some(client) = self.clients.get(&conn).filter(|client| client.between()) else {
            return;
        };
        let keep_alive = message.head.keep_alive && !client.retired;
        // Answered before its body is read, a connection is of no further use.
        let close = !keep_alive || flow.is_some();
        let target = message::origin_form(&message.head.target);
        if target.split('?').next() == Some("/_health") {
            return self.plain(conn, if self.leaving() { 503 } else { 200 }, close);
        }
        let many = self.requests.len() >= self.settings.limits.max_open as usize;
        let refused = client.surplus || many || flow.is_some() && !self.may_flow();
        if refused {
            if let Some(class) = message
                .head
                .headers
                .get("X-Call-Class")
                .and_then(|name| self.class(name))
            {
                self.figures.ended(class, End::Rejected);
            }
            return self.plain(conn, 503, close);
        }
        let id = RequestId(self.next_request);
        match self.arrival(id, at, &message, flow.is_some()) {
            Err((status, wrong)) => {
                tracing::debug!(conn, status, wrong, "bad request");
                self.plain(conn, status, close);
            }
            Ok(arrival) => {
                self.next_request += 1;
                if let Some(members) = &mut self.members {
                    members.came += 1;
                }
                self.timers.set(Timer::Deadline(id), arrival.not_after);
                let budget = arrival.not_after - at.min(self.now);
                let upload = |flow| Upload {
                    flow,
                    budget,
                    link: None,
                    over: false,
                    asked: None,
                    waited: 0.0,
                    bytes: 0,
                };
                let request = Request {
                    client: Some(conn),
                    keep_alive,
                    message,
                    stream: None,
                    upload: flow.map(upload),
                    class: arrival.class.0,
                    not_after: arrival.not_after,
                    attempts: Vec::new(),
                };
                self.requests.insert(id, request);
                self.client(conn, |client, _| client.request = Some(id));
                let (class, left) = (arrival.class.0, arrival.not_after - self.now);
                tracing::debug!(id = id.0, class, left, again = arrival.retry, "asked");
                self.events.push_back(Event::Request(arrival));
                if let Some(again) = self.unserving.take() {
                    // The request goes first: the connections are warm.
                    self.settle();
                    again.into_iter().for_each(|server| self.probe(server));
                }
            }
        }
    }

    /// The class of that name. A name may have been there with other terms before.
    fn class(&self, class: &str) -> Option<usize> {
        let mut classes = self.settings.classes.iter().zip(&self.classes);
        classes.position(|(terms, name)| terms.enabled && name == class)
    }

    /// The request in the module's words, or the status that says what is wrong with it.
    pub(super) fn arrival(
        &mut self,
        request: RequestId,
        at: Millis,
        message: &Message,
        flows: bool,
    ) -> Result<Arrival, (u16, &'static str)> {
        let head = &message.head;
        let get = |name: &str| head.headers.get(name);
        // Told twice, one reader might take the first and another the last.
        for name in [
            "X-Call-Id",
            "X-Call-Class",
            "X-Caller",
            "X-Budget-Ms",
            "Idempotency-Key",
            "X-Again",
        ] {
            if head.headers.all(name).nth(1).is_some() {
                return Err((400, "told twice"));
            }
        }
        let call = get("X-Call-Id")
            .filter(|id| !id.is_empty())
            .ok_or((400, "X-Call-Id"))?;
        let class = get("X-Call-Class").ok_or((400, "X-Call-Class"))?;
        let class = self.class(class).ok_or((400, "X-Call-Class"))?;
        let settings = &self.settings.classes[class];
        // The method follows from the class, and upstreams turn away what contradicts itself.
        let key = get("Idempotency-Key");
        let (method, fits) = match settings.idempotency {
            Repeats::Idempotent => ("GET", key.is_none() && message.body.is_empty() && !flows),
            Repeats::Keyed { .. } => ("POST", key.is_some_and(|key| !key.is_empty())),
            Repeats::NonIdempotent => ("POST", key.is_none()),
        };
        if head.method != method {
            return Err((405, "method"));
        }
        if !fits {
            return Err((400, "Idempotency-Key or a body"));
        }
        let tenant = match get("X-Caller") {
            Some(name) if self.settings.tenants.iter().any(|tenant| tenant.enabled) => {
                let mut tenants = self.settings.tenants.iter().zip(&self.tenants);
                let place = tenants.position(|(tenant, known)| tenant.enabled && known == name);
                Some(TenantId(place.ok_or((400, "X-Caller"))?))
            }
            _ => None,
        };
        let budget = match get("X-Budget-Ms") {
            Some(text) => {
                let digits = !text.is_empty() && text.bytes().all(|byte| byte.is_ascii_digit());
                let budget: u32 = text
                    .parse()
                    .ok()
                    .filter(|_| digits)
                    .ok_or((400, "X-Budget-Ms"))?;
                f64::from(budget)
            }
            None => settings.deadline,
        };
        if !self.ids.is_new(call, self.now) {
            return Err((409, "X-Call-Id"));
        }
        let (mut key, mut cost) = (None, None);
        for pair in get("X-Call-Info").unwrap_or_default().split(',') {
            match pair.trim().split_once('=') {
                Some(("partition-key" | "key", value)) => key = value.parse().ok(),
                Some(("cost-guess" | "hint", value)) => {
                    cost = value
                        .parse()
                        .ok()
                        .filter(|cost: &f64| cost.is_finite() && *cost >= 0.0);
                }
                _ => {}
            }
        }
        let told = at.min(self.now) + (budget - MARGIN).max(0.0);
        let told = self.last_moment().map_or(told, |last| told.min(last));
        let arrival = Arrival {
            request,
            class: ClassId(class),
            tenant,
            // By the time that the module will have: its deadline and the one here must be one.
            not_after: Balancer::latest(&self.settings, ClassId(class), self.now, told),
            retry: get("X-Again") == Some("1"),
            key,
            cost,
        };
        Ok(arrival)
    }

    pub(super) fn answer<'a>(
        &mut self,
        id: RequestId,
        status: u16,
        headers: impl Iterator<Item = (&'a str, &'a str)>,
        body: &[u8],
    ) {
        let leaving = self.leaving();
        if self
            .requests
            .get(&id)
            .is_some_and(|request| request.stream.is_some())
        {
            // It has one that flows already; another attempt could not be called off.
            return;
        }
        self.give(id, End::of(status), |request| {
            let close = !request.keep_alive || leaving || !request.is_whole();
            (message::response(status, headers, body, close), close)
        });
    }

    /// An answer without a body; a refusal says when to come back.
    pub(super) fn bare_answer(&mut self, id: RequestId, status: u16) {
        let again = self.come_back().filter(|_| status == 503);
        let headers = again
            .iter()
            .map(|seconds| ("Retry-After", seconds.as_str()));
        self.answer(id, status, headers, b"");
    }

    /// The one place where a request gets its answer, or the last piece of it, and so loses its client.
    pub(super) fn give(
        &mut self,
        id: RequestId,
        how: End,
        message: impl FnOnce(&Request) -> (Vec<u8>, bool),
    ) {
        let Some(request) = self.requests.get_mut(&id) else {
            return;
        };
        let Some(conn) = request.client.take() else {
            return;
        };
        self.figures.ended(request.class, how);
        let (bytes, close) = message(request);
        tracing::debug!(
            id = id.0,
            status = bytes.get(9..12).and_then(|b| std::str::from_utf8(b).ok()),
            "answered"
        );
        if self
            .client(conn, |client, now| client.answered(close, now))
            .is_some()
        {
            self.last_answer = self.now;
            self.effects.push(Effect::Answer {
                conn,
                bytes,
                close,
                bad: false,
            });
        }
        self.request_closed(id);
    }

    /// It has its answer or lost its client: it is forgotten when its last attempt has ended, at the latest when its
    /// time is over, as not every deployment allows a cancel.
    pub(super) fn request_closed(&mut self, id: RequestId) {
        let over = |request: &Request| {
            request.client.is_none() && request.attempts.iter().all(|a| a.ended)
        };
        if self.requests.get(&id).is_some_and(over) {
            self.requests.remove(&id);
            self.timers.clear(Timer::Deadline(id));
        }
    }

    /// The client stops waiting: what is out has timed out. The module answers that; if it did not, the backstop
    /// does, as no request may go without an answer.
    pub(super) fn deadline(&mut self, id: RequestId) {
        let Some(request) = self.requests.get(&id) else {
            return;
        };
        let streams = |n: usize| request.streams(n as u32);
        let out = request
            .attempts
            .iter()
            .enumerate()
            .filter(|(n, a)| !a.ended && !streams(*n));
        let out: Vec<(u32, Option<ConnId>)> = out.map(|(n, a)| (n as u32, a.conn)).collect();
        for (n, conn) in out {
            conn.into_iter().for_each(|conn| self.hang_up(conn));
            self.attempt_ended(id, n, Outcome::Timeout, self.now, None);
        }
        self.settle();
        self.events.push_back(Event::Wake);
        self.settle();
        if self
            .requests
            .get(&id)
            .is_some_and(|r| r.client.is_some() && r.stream.is_none())
        {
            tracing::warn!(id = id.0, "answered by the backstop");
            self.events.push_back(Event::ClientGone(id));
            self.answer(id, 504, std::iter::empty(), b"");
        }
    }
}
