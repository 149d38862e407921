//! The table that the local system starts with.

use stallhoist_core::EditId;
use stallhoist_core::KeyDigest;
use stallhoist_table::CellChange;
use stallhoist_table::CellError;
use stallhoist_table::Edit;

/// The workspace of the local system.
const WORKSPACE: &str = "demo";

/// The rows: target, weight, cost of a thousand tokens, place in the cascade.
const VERSIONS: [(&str, &str, &str, &str); 3] = [
    ("summary@v1", "9", "200", "1"),
    ("summary@v2", "1", "200", "1"),
    ("review@v1", "1", "2000", "2"),
];

const SERVICE: &str = "service:ledger";

/// The names to ask for.
pub(super) fn models() -> Vec<String> {
    ["summary", "review", "summary@v1", "summary@v2", "review@v1"].map(str::to_owned).to_vec()
}

/// All targets.
pub(super) fn targets() -> Vec<&'static str> {
    VERSIONS.iter().map(|(target, ..)| *target).collect()
}

/// The plain service.
pub(super) fn service() -> &'static str {
    SERVICE
}

/// The edit that makes the table.
pub(super) fn first_edit(workspace_key: &str) -> Result<Edit, CellError> {
    let digest = KeyDigest::of(workspace_key).to_string();
    let mut cells = vec![change("*", "key_digest", &digest)?];
    for (target, weight, cost, place) in VERSIONS {
        cells.push(change(target, "allowed", "yes")?);
        cells.push(change(target, "weight", weight)?);
        cells.push(change(target, "cost_micros_per_1k_tokens", cost)?);
        cells.push(change(target, "cascade_place", place)?);
    }
    cells.push(change(SERVICE, "allowed", "yes")?);
    cells.push(change(SERVICE, "repeatable", "no")?);
    Ok(Edit { id: EditId::generate(), author: "local".to_owned(), cells })
}

fn change(target: &str, column: &str, value: &str) -> Result<CellChange, CellError> {
    Ok(CellChange {
        address: format!("{WORKSPACE}/{target}/{column}").parse()?,
        expect: String::new(),
        value: value.to_owned(),
    })
}
