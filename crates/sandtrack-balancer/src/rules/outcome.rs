//! What the end of an attempt teaches of its upstream, and what follows for the request.
use super::*;

const PACE_WEIGHT: f64 = 0.15; // of one answer in an upstream's pace: answers vary as much as their work does
const ERROR_TURNS: f64 = 4.0; // after an error it rests while the others get so many requests each ...
const ERRORS_OWN: f64 = 2.0; // ... if its part of errors is over so many times that of all

impl Balancer {
    pub(super) fn opened(&mut self, id: RequestId, attempt: usize, actions: &mut Vec<Action>) {
        let Some(request) = self.requests.get_mut(&id) else {
            return;
        };
        request.streaming = true;
        request.call_off(Some(attempt), actions);
        let stream = self.settings.classes[request.arrival.class.0].stream;
        self.fleet
            .opened(request.attempts.get(attempt).filter(|_| !stream));
    }

    pub(super) fn finished(&mut self, now: Millis, end: Finished, actions: &mut Vec<Action>) {
        let (id, outcome, elapsed) = (end.request, end.outcome, end.elapsed);
        let (turn, memory) = (self.turn(now), self.memory(now));
        let key = self
            .requests
            .get(&id)
            .and_then(|request| self.ordered(request));
        let Some(request) = self.requests.get_mut(&id) else {
            return;
        };
        let class = request.arrival.class;
        let attempt = request.attempts.get_mut(end.attempt as usize);
        let Some(ended) = attempt.filter(|a| a.outcome.is_none()) else {
            return;
        };
        ended.outcome = Some(outcome);
        let (place, sent, held) = (ended.upstream, ended.sent, ended.held);
        let (open, none_out) = (request.open, request.out() == 0);
        if matches!(
            outcome,
            Outcome::Timeout | Outcome::Reset | Outcome::Cancelled
        ) {
            // It may still run; the next with its key waits, this request's own further attempts do not.
            let rests = now + self.settings.rules.ordered_key_gap + self.settings.event_interval;
            key.into_iter().for_each(|key| self.turns.rest(key, rests));
        }
        let usual = elapsed / self.class_share(class);
        let (rest, turns) = (
            self.settings.classes[class.0].target_latency * SPILL,
            ERROR_TURNS * turn,
        );
        let upstream = &mut self.fleet[place];
        upstream.give_back(sent);
        let silent = upstream.heard <= sent;
        let error = outcome == Outcome::Error;
        let of_all = self.traffic.errors.get().unwrap_or(0.0);
        if error || outcome == Outcome::Ok {
            upstream.ended(error, PACE_WEIGHT);
            self.traffic
                .errors
                .add(f64::from(u8::from(error)), CLASS_WEIGHT);
        }
        match outcome {
            Outcome::Ok => {
                upstream.succeeded(now);
                // Not forgotten at once: one that fails three of four answers the fourth.
                upstream.learnt.turned_away = (upstream.learnt.turned_away - 1).max(0);
                self.traffic.answered(
                    class,
                    upstream.entry.machine_type,
                    elapsed,
                    usual,
                    CLASS_WEIGHT,
                );
                upstream.learn_pace(usual, held, now, memory, PACE_WEIGHT);
            }
            // Errors that come from all alike are the requests' own, or of a thing that all need: none rests
            // for them. It finds one that fails later, by as much as the others fail too.
            Outcome::Error if upstream.learnt.errors <= of_all * ERRORS_OWN => upstream.heard = now,
            // One that fails at once looks idle and would draw ever more: it rests while the others get a few
            // requests each, as any may answer an error now and then.
            Outcome::Full | Outcome::Error => {
                upstream.heard = now;
                upstream.turn_away(
                    now,
                    if outcome == Outcome::Full {
                        rest
                    } else {
                        turns
                    },
                    memory,
                );
            }
            Outcome::ConnectFailed => upstream.turn_away(now, rest, memory),
            // A time-out, and what was called off late, tell of slowness always; a time-out tells of death
            // too, below, when nothing was heard meanwhile.
            Outcome::Timeout | Outcome::Cancelled => {
                let slower = |pace: [Millis; 2]| usual > pace[0] * (held[0] + 1.0);
                if upstream
                    .learnt
                    .pace
                    .map_or(outcome == Outcome::Timeout, slower)
                {
                    upstream.learn_pace(usual, held, now, memory, PACE_WEIGHT);
                }
            }
            Outcome::Reset | Outcome::Moot => {}
        }
        upstream.take_report(now, end.report);
        let died = matches!(outcome, Outcome::ConnectFailed | Outcome::Reset);
        if died || outcome == Outcome::Timeout && silent {
            self.failed(now, place);
        }
        // A late outcome of a closed request closes nothing anew: it would be called off and noted twice.
        if open && (end.closed || outcome == Outcome::Ok) {
            self.close(id, actions);
        } else if open && none_out {
            self.try_once(now, id, false, actions);
        } else if none_out {
            self.forget(id);
        }
    }
}
