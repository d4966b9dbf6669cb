//! Guards of the control node that no other test runs into: each test falls when its guard is taken out (`.ci/mutations.list`).
mod common;
