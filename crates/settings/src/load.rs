//! Reading a settings file.
//!
//! serde stops at the first error, and the parser's own positions are lost on the
//! way. So errors are found by path, and the path is looked up in the syntax tree;
//! after each error the offending value is taken out and the rest is read again,
//! until nothing more can be learnt.

use std::fs;
use std::path::Path;

use jsonc_parser::CollectOptions;
use jsonc_parser::ParseOptions;
use jsonc_parser::ast;
use jsonc_parser::common::Ranged;
use serde::de::DeserializeOwned;
use serde_json::Value;

use crate::Problems;
use crate::SettingsError;
use crate::SettingsProblem;
use crate::SettingsProblems;
use crate::Validate;

const MAX_PROBLEMS: usize = 20;
const MAX_SHOWN_VALUE_CHARS: usize = 60;
const SECRET_KEYS: [&str; 2] = ["key", "keys"];

/// Reads and checks a settings file.
///
/// # Errors
/// Fails with all that is wrong: unreadable, not JSON with comments, unknown,
/// doubled, missing or ill-typed keys, values out of range.
pub fn load<T: DeserializeOwned + Validate>(path: &Path) -> Result<T, SettingsError> {
    let text = fs::read_to_string(path)
        .map_err(|cause| SettingsError::Unreadable { path: path.to_owned(), cause })?;
    parse(&path.display().to_string(), &text)
}

/// Reads and checks settings from a text; `file` names it in errors.
///
/// # Errors
/// As [`load`].
pub fn parse<T: DeserializeOwned + Validate>(file: &str, text: &str) -> Result<T, SettingsError> {
    let tree = parse_tree(file, text)?;
    let mut problems = doubled_keys(&tree, text);
    let parsed = read::<T>(&tree, text, &mut problems);
    if let Some(settings) = parsed
        && problems.is_empty()
    {
        let mut found = Problems::default();
        settings.check(&mut found);
        for (key, message) in found.into_found() {
            problems.push(problem_at(&tree, text, &key, message));
        }
        if problems.is_empty() {
            return Ok(settings);
        }
    }
    problems.sort_by_key(|problem| problem.line);
    Err(SettingsError::Problems { file: file.to_owned(), problems: SettingsProblems(problems) })
}

fn parse_tree<'a>(file: &str, text: &'a str) -> Result<ast::Value<'a>, SettingsError> {
    let syntax = |line, column, message| SettingsError::Syntax {
        file: file.to_owned(),
        line,
        column,
        message,
    };
    let options = ParseOptions {
        allow_comments: true,
        allow_trailing_commas: true,
        allow_loose_object_property_names: false,
        allow_missing_commas: false,
        allow_single_quoted_strings: false,
        allow_hexadecimal_numbers: false,
        ..ParseOptions::default()
    };
    let parsed = jsonc_parser::parse_to_ast(text, &CollectOptions::default(), &options)
        .map_err(|e| syntax(e.line_display(), e.column_display(), e.kind().to_string()))?;
    parsed.value.ok_or_else(|| syntax(1, 1, "the file is empty".to_owned()))
}

/// Reads as much as can be read; each error is noted and its value taken out.
fn read<T: DeserializeOwned>(
    tree: &ast::Value<'_>,
    text: &str,
    problems: &mut Vec<SettingsProblem>,
) -> Option<T> {
    let mut value = Value::from(tree.clone());
    let mut taken_out: Vec<Vec<String>> = Vec::new();
    while problems.len() < MAX_PROBLEMS {
        let error = match serde_path_to_error::deserialize::<_, T>(value.clone()) {
            Ok(settings) => return Some(settings),
            Err(error) => error,
        };
        let mut path = path_of(error.path());
        let message = error.inner().to_string();
        if let Some(unknown) = unknown_key(&message)
            && path.last() != Some(&unknown)
        {
            path.push(unknown);
        }
        // What was taken out for being wrong is not missing.
        if !is_missing_for(&message, &path, &taken_out) {
            problems.push(problem_at(tree, text, &path.join("."), message));
        }
        if !take_out(&mut value, &path) {
            return None;
        }
        taken_out.push(path);
    }
    None
}

fn path_of(path: &serde_path_to_error::Path) -> Vec<String> {
    path.iter()
        .map(ToString::to_string)
        .filter(|part| part != "?")
        .map(|part| part.trim_matches(['[', ']']).to_owned())
        .collect()
}

/// The key that serde calls unknown: its path ends at the section around it.
fn unknown_key(message: &str) -> Option<String> {
    let rest = message.strip_prefix("unknown field `")?;
    rest.split('`').next().map(str::to_owned)
}

/// Whether an error only says that a value is missing which was taken out before.
fn is_missing_for(message: &str, path: &[String], taken_out: &[Vec<String>]) -> bool {
    let Some(field) = message.strip_prefix("missing field `").and_then(|m| m.strip_suffix('`'))
    else {
        return false;
    };
    let missing: Vec<&str> = path.iter().map(String::as_str).chain([field]).collect();
    taken_out.iter().any(|taken| taken.iter().map(String::as_str).eq(missing.iter().copied()))
}

fn take_out(value: &mut Value, path: &[String]) -> bool {
    let Some((last, sections)) = path.split_last() else {
        return false;
    };
    let mut at = value;
    for part in sections {
        let inner = match at {
            Value::Object(map) => map.get_mut(part),
            Value::Array(items) => part.parse().ok().and_then(|i: usize| items.get_mut(i)),
            _ => None,
        };
        let Some(inner) = inner else {
            return false;
        };
        at = inner;
    }
    match at {
        Value::Object(map) => map.remove(last).is_some(),
        _ => false,
    }
}

fn problem_at(tree: &ast::Value<'_>, text: &str, key: &str, message: String) -> SettingsProblem {
    let found = lookup(tree, key);
    let value = found.exact.map(|range| text[range.0..range.1].to_owned());
    SettingsProblem {
        line: line_of(text, found.position),
        key: if key.is_empty() { "(whole file)".to_owned() } else { key.to_owned() },
        value: shown_value(key, &value.unwrap_or_default()),
        message,
    }
}

/// Where a key stands, or the nearest section around it.
struct Found {
    position: usize,
    exact: Option<(usize, usize)>,
}

fn lookup(tree: &ast::Value<'_>, key: &str) -> Found {
    let mut at = tree;
    let mut position = tree.start();
    for part in key.split('.').filter(|part| !part.is_empty()) {
        let inner = match at {
            ast::Value::Object(object) => object.get(part).map(|prop| (prop.start(), &prop.value)),
            ast::Value::Array(array) => part
                .parse()
                .ok()
                .and_then(|i: usize| array.elements.get(i))
                .map(|element| (element.start(), element)),
            _ => None,
        };
        let Some((start, value)) = inner else {
            return Found { position, exact: None };
        };
        position = start;
        at = value;
    }
    let is_leaf = !matches!(at, ast::Value::Object(_) | ast::Value::Array(_));
    let exact = (is_leaf && !key.is_empty()).then(|| (at.start(), at.end()));
    Found { position, exact }
}

fn shown_value(key: &str, value: &str) -> String {
    let last = key.rsplit('.').next().unwrap_or_default();
    let is_secret = SECRET_KEYS.iter().any(|part| last.split('_').any(|word| word == *part));
    if is_secret && !value.is_empty() {
        return "(not shown)".to_owned();
    }
    value.chars().take(MAX_SHOWN_VALUE_CHARS).collect()
}

fn line_of(text: &str, position: usize) -> usize {
    text.as_bytes()[..position].iter().filter(|b| **b == b'\n').count() + 1
}

fn doubled_keys(tree: &ast::Value<'_>, text: &str) -> Vec<SettingsProblem> {
    let mut problems = Vec::new();
    if let ast::Value::Object(object) = tree {
        for (at, property) in object.properties.iter().enumerate() {
            let name = property.name.as_str();
            let is_doubled = object.properties[..at].iter().any(|p| p.name.as_str() == name);
            if is_doubled {
                problems.push(SettingsProblem {
                    line: line_of(text, property.start()),
                    key: name.to_owned(),
                    value: String::new(),
                    message: "the key stands twice".to_owned(),
                });
            }
            problems.extend(doubled_keys(&property.value, text));
        }
    }
    problems
}
