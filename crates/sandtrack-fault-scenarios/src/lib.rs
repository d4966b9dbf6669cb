//! Days of trouble for the bench, drawn from a seed, and the reading of what a played day reports.
//!
//! [`draw::day`] is pure: the same seed and [`site::Site`] give the same day, byte for byte. [`kinds::KINDS`] is the table
//! of all troubles that may be drawn. [`informed`] works out what an informed scheduler
//! could have earned on a day. [`paired`] tells worth from chance. [`verdict`] reads the report and the log lines of a played day; the program `hunt`
//! runs the bench and keeps the days that broke something.

pub mod day;
pub mod draw;
pub mod informed;
pub mod kinds;
pub mod paired;
pub mod site;
pub mod verdict;
