//! The program; all of it is in the library.
fn main() {}
