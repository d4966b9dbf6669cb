//! Fixture files of encoded values: one value a line, as `NAME HEX`. The tests of other packages include this file too.
//! With `SANDTRACK_WRITE_FIXTURES` set a fixture is written instead of compared, to be read and committed.
#![allow(dead_code)]
use std::path::{Path, PathBuf};

/// Set to write the fixtures.
const WRITE: &str = "SANDTRACK_WRITE_FIXTURES";

/// A named value as it is encoded.
pub type Encoded = (String, Vec<u8>);

/// The path of a file in the fixtures of a package.
pub fn path(package: &str, file: &str) -> PathBuf {
    Path::new(package).join("tests/fixtures").join(file)
}

/// Whether fixtures are to be written.
pub fn is_writing() -> bool {
    std::env::var_os(WRITE).is_some()
}

/// Compares encoded values to a fixture, value by value.
///
/// # Panics
/// Where the names or the bytes differ.
pub fn compare(package: &str, file: &str, encoded: &[Encoded]) {
    if is_writing() {
        let lines = encoded
            .iter()
            .map(|(name, bytes)| format!("{name} {}\n", hex(bytes)));
        std::fs::write(path(package, file), lines.collect::<String>())
            .expect("a fixture can be written");
    }
    let fixture = read(package, file);
    for ((name, bytes), (is, are)) in fixture.iter().zip(encoded) {
        assert_eq!(name, is, "{file}: names");
        assert_eq!(hex(bytes), hex(are), "{file}: {name}");
    }
    assert_eq!(fixture.len(), encoded.len(), "{file}: count of values");
}

/// The values of a fixture.
///
/// # Panics
/// Where it is none.
pub fn read(package: &str, file: &str) -> Vec<Encoded> {
    let text = std::fs::read_to_string(path(package, file)).expect("a fixture");
    text.lines().map(read_line).collect()
}

fn read_line(line: &str) -> Encoded {
    let (name, digits) = line.split_once(' ').expect("a name and a value");
    let byte = |at: usize| u8::from_str_radix(&digits[at..at + 2], 16).expect("hexadecimal digits");
    (
        name.to_owned(),
        (0..digits.len()).step_by(2).map(byte).collect(),
    )
}

fn hex(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}
