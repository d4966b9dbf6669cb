//! The table of result codes, and the page that lists it.
use sandtrack_protocol::codes::{self, Code, TABLE};
use std::collections::HashSet;
use std::path::Path;

/// The table of the page.
fn table() -> String {
    let row =
        |(code, name, meaning): &(Code, &str, &str)| format!("| {code} | `{name}` | {meaning} |\n");
    let rows: String = TABLE.iter().map(row).collect();
    format!("| code | name | meaning |\n| --- | --- | --- |\n{rows}")
}

#[test]
fn the_page_lists_every_code_and_no_other() {
    let page = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../docs/system/codes.md");
    let page = std::fs::read_to_string(page).expect("the page");
    let table = table();
    assert!(
        page.contains(&table),
        "docs/system/codes.md should have:\n{table}"
    );
    let rows = page.lines().filter(|line| line.starts_with("| E")).count();
    assert_eq!(rows, TABLE.len(), "a row that is no code's");
}

#[test]
fn codes_rise_and_each_has_one_name_and_one_meaning() {
    assert!(TABLE.windows(2).all(|pair| pair[0].0 < pair[1].0));
    let names: HashSet<&str> = TABLE.iter().map(|(_, name, _)| *name).collect();
    let meanings: HashSet<&str> = TABLE.iter().map(|(_, _, meaning)| *meaning).collect();
    assert_eq!((names.len(), meanings.len()), (TABLE.len(), TABLE.len()));
    for (code, name, meaning) in TABLE {
        assert!(
            (101..600).contains(&code.0),
            "{name}: the hundreds tell the plane, and are an exit code"
        );
        assert_eq!(code.meaning(), *meaning);
        let is_plain = !meaning.contains(['|', '"', '\\', '\n']);
        assert!(
            is_plain,
            "{name}: the meaning stands in tables and in JSON as it is"
        );
    }
}

#[test]
fn a_code_is_displayed_with_its_letter() {
    assert_eq!(codes::ANOTHER_VERSION.to_string(), "E211");
    assert_eq!(Code(7).to_string(), "E007");
    assert_eq!(Code(999).meaning(), "", "one of a later program");
}
