//! The proxy's program; all of it is in the library.
fn main() -> std::process::ExitCode {
    sandtrack_proxy::program::main()
}
