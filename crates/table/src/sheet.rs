//! CSV export and import of the table.

use stallhoist_core::Target;
use stallhoist_core::WorkspaceName;

use crate::CellAddress;
use crate::CellChange;
use crate::CellError;
use crate::Column;
use crate::SheetError;
use crate::Table;
use crate::address::WHOLE_WORKSPACE;

const WORKSPACE_HEADING: &str = "workspace";
const TARGET_HEADING: &str = "target";
const KEY_COLUMNS: usize = 2;

/// Writes the table as CSV: a header line, then one line for each row. In the line of a whole
/// workspace, the target is `*`.
///
/// # Errors
/// Fails only when the CSV writer fails.
pub fn to_csv(table: &Table) -> Result<String, SheetError> {
    let mut writer = csv::Writer::from_writer(Vec::new());
    let headings = Column::ALL.iter().map(ToString::to_string);
    let keys = [WORKSPACE_HEADING.to_owned(), TARGET_HEADING.to_owned()];
    writer.write_record(keys.into_iter().chain(headings))?;
    for row in &table.workspaces {
        let cells = Column::ALL.iter().map(|column| row.cell(*column));
        let keys = [row.workspace.to_string(), WHOLE_WORKSPACE.to_owned()];
        writer.write_record(keys.into_iter().chain(cells))?;
    }
    for row in &table.rows {
        let cells = Column::ALL.iter().map(|column| row.cell(*column));
        let keys = [row.workspace.to_string(), row.target.to_string()];
        writer.write_record(keys.into_iter().chain(cells))?;
    }
    let bytes = writer.into_inner().map_err(|e| csv::Error::from(e.into_error()))?;
    Ok(String::from_utf8_lossy(&bytes).into_owned())
}

/// Returns a change for each cell whose value in the sheet differs from the table. Each change
/// expects the cell's current value. Empty cells of the sheet change nothing.
///
/// # Errors
/// Fails when the text is not CSV, its header is wrong or a cell's address is invalid. Errors in
/// cells include the line number. Values are validated only when the changes are applied.
pub fn changes_from_csv(table: &Table, text: &str) -> Result<Vec<CellChange>, SheetError> {
    let mut reader = csv::Reader::from_reader(text.as_bytes());
    let columns = read_headings(reader.headers()?)?;
    let mut changes = Vec::new();
    for record in reader.records() {
        let record = record?;
        let line = record.position().map_or(0, csv::Position::line);
        let in_line = |cause| SheetError::Cell { line, cause };
        let row_changes = read_row(table, &columns, &record).map_err(in_line)?;
        changes.extend(row_changes);
    }
    Ok(changes)
}

fn read_headings(headings: &csv::StringRecord) -> Result<Vec<Column>, SheetError> {
    if headings.get(0) != Some(WORKSPACE_HEADING) || headings.get(1) != Some(TARGET_HEADING) {
        return Err(SheetError::Heading);
    }
    let in_heading = |cause| SheetError::Cell { line: 1, cause };
    headings.iter().skip(KEY_COLUMNS).map(|name| name.parse().map_err(in_heading)).collect()
}

fn read_row(
    table: &Table,
    columns: &[Column],
    record: &csv::StringRecord,
) -> Result<Vec<CellChange>, CellError> {
    let workspace: WorkspaceName = record.get(0).unwrap_or_default().parse()?;
    let target: Option<Target> = match record.get(1).unwrap_or_default() {
        WHOLE_WORKSPACE => None,
        named => Some(named.parse()?),
    };
    let mut changes = Vec::new();
    for (column, value) in columns.iter().zip(record.iter().skip(KEY_COLUMNS)) {
        if value.is_empty() {
            continue;
        }
        let address =
            CellAddress { workspace: workspace.clone(), target: target.clone(), column: *column };
        address.check()?;
        let expect = table.cell(&address);
        if expect != value {
            changes.push(CellChange { address, expect, value: value.to_owned() });
        }
    }
    Ok(changes)
}
