//! Entry point of the `sandtrack-proxy` binary; the implementation is in the library.
fn main() -> std::process::ExitCode {
    sandtrack_proxy::program::main()
}
