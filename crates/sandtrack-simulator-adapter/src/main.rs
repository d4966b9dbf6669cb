//! Runs the decisions on the simulator's wire: batches on standard input, replies on standard output.
//!
//! With `--fleet` instances that may write to peers are members of a fleet; without, none ever does.
//! Exit status: 0 at the end of input, 2 on a malformed line or a word that is not known, 1 when a pipe breaks.
use std::io::{BufRead, Write};
use std::process::ExitCode;

mod host;
mod talk;
mod wire;

fn main() -> ExitCode {
    match run() {
        Ok(code) => code,
        Err(error) => {
            eprintln!("sandtrack-simulator-adapter: {error}");
            ExitCode::from(1)
        }
    }
}

fn run() -> std::io::Result<ExitCode> {
    let mut input = std::io::stdin().lock();
    let mut output = std::io::BufWriter::new(std::io::stdout().lock());
    let mut words = std::env::args().skip(1);
    let word = words.next();
    if word.as_deref().is_some_and(|word| word != "--fleet") || words.next().is_some() {
        eprintln!("sandtrack-simulator-adapter: no word is known but --fleet");
        return Ok(ExitCode::from(2));
    }
    let mut host = host::Host::new(word.is_some());
    let mut line = Vec::new();
    for number in 1.. {
        line.clear();
        if input.read_until(b'\n', &mut line)? == 0 {
            break;
        }
        match host.batch(&line) {
            Ok(reply) => {
                serde_json::to_writer(&mut output, &reply)?;
                output.write_all(b"\n")?;
                output.flush()?;
            }
            Err(wrong) => {
                eprintln!("sandtrack-simulator-adapter: line {number}: {wrong}");
                return Ok(ExitCode::from(2));
            }
        }
    }
    Ok(ExitCode::SUCCESS)
}
