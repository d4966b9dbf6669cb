//! How the last configurations came from each other, so that proxies are sent what changed and not the whole document. It is
//! a cache: not part of the replicated state.
use sandtrack_protocol::document::Document;
use sandtrack_protocol::frames::{ItemChange, ToProxy};
use std::collections::VecDeque;

/// Most changes that are kept.
const MAX_RECENT_CHANGES: usize = 16;
/// Most bytes of names and JSON texts that are kept.
const MAX_RECENT_CHANGE_BYTES: usize = 256 * 1024;

/// What led from one configuration to the next, by their numbers.
#[derive(Clone, Debug, PartialEq)]
struct Change {
    from_number: u64,
    number: u64,
    version: u64,
    items: Vec<ItemChange>,
    fields: Vec<(String, String)>,
    size: usize,
}

impl Change {
    fn frame(&self) -> ToProxy {
        ToProxy::Changes {
            from_number: self.from_number,
            number: self.number,
            version: self.version,
            items: self.items.clone(),
            fields: self.fields.clone(),
        }
    }
}

/// The last changes of the configuration, oldest first.
#[derive(Clone, Debug, Default)]
pub(super) struct RecentChanges {
    changes: VecDeque<Change>,
}

impl RecentChanges {
    /// Adds the change from `before` (of number `from_number`) to `after` (of number `number`).
    pub fn record(&mut self, from_number: u64, before: &Document, number: u64, after: &Document) {
        let (items, fields) = before.changes(after);
        let item_size =
            |item: &ItemChange| item.json.as_ref().map_or(0, String::len) + item.name.len();
        let field_size = |(name, json): &(String, String)| name.len() + json.len();
        let size = items.iter().map(item_size).sum::<usize>()
            + fields.iter().map(field_size).sum::<usize>();
        self.changes.push_back(Change {
            from_number,
            number,
            version: after.version,
            items,
            fields,
            size,
        });
        while self.is_over_limit() {
            self.changes.pop_front();
        }
    }

    fn is_over_limit(&self) -> bool {
        let size: usize = self.changes.iter().map(|change| change.size).sum();
        self.changes.len() > MAX_RECENT_CHANGES || size > MAX_RECENT_CHANGE_BYTES
    }

    /// The frames that lead from configuration `number` to the newest one; `None` where that change is not kept.
    pub fn frames_since(&self, number: u64) -> Option<Vec<ToProxy>> {
        let first = self
            .changes
            .iter()
            .position(|change| change.from_number == number)?;
        Some(self.changes.range(first..).map(Change::frame).collect())
    }
}
