//! The sidecar's program. All of it is in the library, so that other programs can start it as a process of their own.
fn main() -> std::process::ExitCode {
    sandtrack_sidecar::program::main()
}
