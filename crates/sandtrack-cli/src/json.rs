//! Helpers to write JSON text.
use sandtrack_protocol::logs::escape;

/// `text` as a JSON string.
pub(crate) fn quote(text: &str) -> String {
    format!("\"{}\"", escape(text))
}

/// Texts as a JSON array of strings.
pub(crate) fn quoted_array(texts: &[String]) -> String {
    let quoted: Vec<String> = texts.iter().map(|text| quote(text)).collect();
    format!("[{}]", quoted.join(","))
}
