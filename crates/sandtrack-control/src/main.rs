//! The program; all of it is in the library.
fn main() -> std::process::ExitCode {
    sandtrack_control::program::main()
}
