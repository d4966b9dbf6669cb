//! Logs: one JSON object a line on standard error, with stable field names: `at` (seconds of the process's own steady
//! clock), `level`, `node`, `part` (the module) and `event`.
use sandtrack_net::log_output::LogOutput;
use std::io::Write;
use std::time::Instant;

/// Starts logging for this process; `level` is a name as `log` knows them ("info" where it is none).
///
/// A line that can't be written now is lost, and nothing else: a full disk, or a reader of the log that is gone or stands still, must
/// neither end a process or one of its threads, as the last resort of `fern` would, nor hold it up.
pub fn start(node: &str, level: &str) {
    let (node, began) = (escape(node), Instant::now());
    let level = level.parse().unwrap_or(log::LevelFilter::Info);
    let stderr = fern::Output::call(|record| {
        let line = format!("{}\n", record.args());
        let _ = LogOutput.write_all(line.as_bytes());
    });
    let dispatch = fern::Dispatch::new().level(level).chain(stderr).format(move |out, message, record| {
        out.finish(format_args!(
            "{{\"at\":{:.3},\"level\":\"{}\",\"node\":\"{node}\",\"part\":\"{}\",\"event\":\"{}\"}}",
            began.elapsed().as_secs_f64(),
            record.level(),
            record.target(),
            escape(&message.to_string()),
        ));
    });
    if dispatch.apply().is_err() {
        log::debug!("logs were started before");
    }
}

/// `text` as the inside of a JSON string.
pub fn escape(text: &str) -> String {
    let mut escaped = String::with_capacity(text.len());
    for letter in text.chars() {
        match letter {
            '"' => escaped.push_str("\\\""),
            '\\' => escaped.push_str("\\\\"),
            '\n' => escaped.push_str("\\n"),
            letter if letter < ' ' => escaped.push_str(&format!("\\u{:04x}", letter as u32)),
            letter => escaped.push(letter),
        }
    }
    escaped
}
