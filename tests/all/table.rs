//! The operators' table: merging and conflicting edits, and CSV and address round trips.

use stallhoist_table::CellAddress;
use stallhoist_table::EditError;
use stallhoist_table::Table;
use stallhoist_table::changes_from_csv;
use stallhoist_table::to_csv;

use crate::harness::edit_of;

fn table() -> Table {
    let edit = edit_of(&[
        ("a/m@v1/allowed", "", "yes"),
        ("a/m@v1/weight", "", "5"),
        ("a/service:ledger/repeatable", "", "no"),
        ("b/*/quality_target_percent", "", "90"),
    ]);
    Table::default().with_edit(&edit).expect("the edit applies")
}

#[test]
fn edits_of_different_cells_merge_in_either_order() {
    let (one, two) = (
        edit_of(&[("a/m@v1/weight", "5", "6")]),
        edit_of(&[("a/m@v1/state", "active", "draining")]),
    );
    let first = table().with_edit(&one).and_then(|t| t.with_edit(&two)).expect("the edits merge");
    let second = table().with_edit(&two).and_then(|t| t.with_edit(&one)).expect("the edits merge");
    assert_eq!(first, second);
    assert_eq!(first.revision.0, 3);
}

#[test]
fn an_edit_with_one_conflict_changes_nothing() {
    let edit = edit_of(&[("a/m@v1/weight", "5", "6"), ("a/m@v1/state", "draining", "active")]);
    let Err(EditError::Conflict(conflicts)) = table().with_edit(&edit) else {
        panic!("the edit conflicts");
    };
    assert_eq!(conflicts.len(), 1);
    assert_eq!(
        (conflicts[0].expected.as_str(), conflicts[0].found.as_str()),
        ("draining", "active")
    );
}

#[test]
fn a_sheet_reproduces_the_table() {
    let table = table();
    let sheet = to_csv(&table).expect("the table is written as CSV");
    assert!(changes_from_csv(&table, &sheet).expect("the sheet is read").is_empty());
    let cells = changes_from_csv(&Table::default(), &sheet).expect("the sheet is read");
    let cells: Vec<_> = cells.iter().map(|c| (c.address.to_string(), c.value.clone())).collect();
    let edit: Vec<_> = cells.iter().map(|(a, v)| (a.as_str(), "", v.as_str())).collect();
    let copy = Table::default().with_edit(&edit_of(&edit)).expect("the edit applies");
    assert_eq!(copy, table);
}

#[test]
fn addresses_round_trip() {
    for text in ["w/m@v1/weight", "w/*/key_digest", "w/service:a/b/c/allowed", "w/m/x@v1/state"] {
        let address: CellAddress = text.parse().expect("a valid address");
        assert_eq!(address.to_string(), text);
    }
    for text in
        ["", "w", "w/m@v1", "w/m/weight", "w/*/weight", "w/m@v1/key_digest", "a b/m@v1/weight"]
    {
        assert!(text.parse::<CellAddress>().is_err(), "{text}");
    }
}
