//! Initial table of the local system.

use stallhoist_core::EditId;
use stallhoist_core::KeyDigest;
use stallhoist_table::CellChange;
use stallhoist_table::CellError;
use stallhoist_table::Edit;

const WORKSPACE: &str = "demo";

/// The rows: target, weight, cost in millionths per 1,000 tokens, position in the cascade.
const VERSIONS: [(&str, &str, &str, &str); 3] = [
    ("summary@v1", "9", "200", "1"),
    ("summary@v2", "1", "200", "1"),
    ("review@v1", "1", "2000", "2"),
];

const SERVICE: &str = "service:ledger";

/// Model names that callers can request.
pub(super) fn models() -> Vec<String> {
    ["summary", "review", "summary@v1", "summary@v2", "review@v1"].map(str::to_owned).to_vec()
}

/// All model versions of the table.
pub(super) fn targets() -> Vec<&'static str> {
    VERSIONS.iter().map(|(target, ..)| *target).collect()
}

/// The target that is a service, not a model.
pub(super) fn service() -> &'static str {
    SERVICE
}

/// Builds the edit that creates the table.
///
/// # Errors
/// Fails if an address of a cell is malformed.
pub(super) fn initial_edit(workspace_key: &str) -> Result<Edit, CellError> {
    let digest = KeyDigest::of(workspace_key).to_string();
    let mut cells = vec![cell_change("*", "key_digest", &digest)?];
    for (target, weight, cost, place) in VERSIONS {
        cells.push(cell_change(target, "allowed", "yes")?);
        cells.push(cell_change(target, "weight", weight)?);
        cells.push(cell_change(target, "cost_micros_per_1k_tokens", cost)?);
        cells.push(cell_change(target, "cascade_place", place)?);
    }
    cells.push(cell_change(SERVICE, "allowed", "yes")?);
    cells.push(cell_change(SERVICE, "repeatable", "no")?);
    Ok(Edit { id: EditId::generate(), author: "local".to_owned(), cells })
}

fn cell_change(target: &str, column: &str, value: &str) -> Result<CellChange, CellError> {
    Ok(CellChange {
        address: format!("{WORKSPACE}/{target}/{column}").parse()?,
        expect: String::new(),
        value: value.to_owned(),
    })
}
