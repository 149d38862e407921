//! The list of models that a workspace may request.

use std::collections::BTreeSet;

use serde::Serialize;
use stallhoist_core::Target;
use stallhoist_core::WorkspaceName;
use stallhoist_table::Table;
use stallhoist_table::VersionState;

use super::chat::AUTO;

/// An item of the list, in the form of the OpenAI API.
#[derive(Debug, Serialize)]
pub(crate) struct ModelItem {
    id: String,
    object: &'static str,
    created: u64,
    owned_by: &'static str,
}

#[derive(Debug, Serialize)]
pub(crate) struct ModelList {
    object: &'static str,
    data: Vec<ModelItem>,
}

/// Lists the models and versions that a workspace may use for new requests.
pub(crate) fn list(table: &Table, workspace: &WorkspaceName) -> ModelList {
    let mut names = BTreeSet::new();
    for row in table.rows_of(workspace) {
        let Target::Version(version) = &row.target else {
            continue;
        };
        if row.allowed && row.state == VersionState::Active {
            names.insert(version.model.to_string());
            names.insert(version.to_string());
            if row.cascade_place > 0 {
                names.insert(AUTO.to_owned());
            }
        }
    }
    let item = |id| ModelItem { id, object: "model", created: 0, owned_by: "stallhoist" };
    ModelList { object: "list", data: names.into_iter().map(item).collect() }
}
