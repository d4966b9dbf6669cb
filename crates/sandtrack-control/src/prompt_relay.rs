//! Relays which long prompts proxies sent to which upstreams, so that each proxy can estimate the prefill work there. It is
//! rate limited and best effort: nothing depends on its arrival.
use crate::Millis;
use sandtrack_protocol::frames::PromptSent;
use std::collections::BTreeMap;

/// It is passed on this often at most, in ms: far less than an upstream takes to read a long prompt.
const RELAY_INTERVAL_MS: Millis = 20.0;
/// So many are passed on at once at most, the largest first: with [`RELAY_INTERVAL_MS`] and 12 bytes each, 2.4 kB/s to each proxy.
const MAX_PROMPTS_PER_RELAY: usize = 4;

/// What waits to be passed on.
#[derive(Clone, Debug, Default)]
pub struct PromptRelay {
    /// Of own sessions, each by its number.
    own: Vec<(u64, PromptSent)>,
    /// Told by other control nodes, which tell all of theirs to all others.
    others: Vec<PromptSent>,
    next: Millis,
}

/// What is to be passed on now.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct DuePrompts {
    /// To all other control nodes.
    pub to_peers: Vec<PromptSent>,
    /// To each session that is not named in `to_session`.
    pub to_sessions: Vec<PromptSent>,
    /// To sessions that told some of it themselves: the rest.
    pub to_session: BTreeMap<u64, Vec<PromptSent>>,
}

impl PromptRelay {
    /// A proxy tells what it sent.
    pub fn from_session(&mut self, session: u64, sent: Vec<PromptSent>) {
        self.own
            .extend(sent.into_iter().map(|sent| (session, sent)));
    }

    /// Another control node tells what its proxies sent.
    pub fn from_peer(&mut self, sent: Vec<PromptSent>) {
        self.others.extend(sent);
    }

    /// When something is to be passed on next; none where nothing waits.
    pub fn next_due(&self) -> Option<Millis> {
        (!self.own.is_empty() || !self.others.is_empty()).then_some(self.next)
    }

    /// Takes what is to be passed on, if it is time.
    pub fn take_due(&mut self, now: Millis) -> Option<DuePrompts> {
        self.next_due().filter(|due| now >= *due)?;
        self.next = now + RELAY_INTERVAL_MS;
        self.own
            .sort_unstable_by_key(|(_, sent)| std::cmp::Reverse(sent.tokens));
        self.own.truncate(MAX_PROMPTS_PER_RELAY);
        let others = std::mem::take(&mut self.others)
            .into_iter()
            .map(|sent| (None, sent));
        let own: Vec<(u64, PromptSent)> = std::mem::take(&mut self.own);
        let mut all: Vec<(Option<u64>, PromptSent)> = own
            .iter()
            .map(|(session, sent)| (Some(*session), *sent))
            .chain(others)
            .collect();
        all.sort_by_key(|(_, sent)| std::cmp::Reverse(sent.tokens));
        all.truncate(MAX_PROMPTS_PER_RELAY);
        let except = |session: u64| -> Vec<PromptSent> {
            all.iter()
                .filter(|(of, _)| *of != Some(session))
                .map(|(_, sent)| *sent)
                .collect()
        };
        let told: Vec<u64> = all.iter().filter_map(|(session, _)| *session).collect();
        Some(DuePrompts {
            to_peers: own.iter().map(|(_, sent)| *sent).collect(),
            to_session: told
                .into_iter()
                .map(|session| (session, except(session)))
                .collect(),
            to_sessions: all.iter().map(|(_, sent)| *sent).collect(),
        })
    }
}
