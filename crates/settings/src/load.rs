//! Parsing and validation of a settings file.
//!
//! serde stops at the first error and doesn't keep the parser's positions. Errors are therefore identified by path,
//! and the path is located in the syntax tree. After each error the invalid value is removed and the rest is
//! deserialized again, until no further error can be found.

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
const MAX_DISPLAYED_VALUE_CHARS: usize = 60;
const SECRET_KEY_WORDS: [&str; 2] = ["key", "keys"];

/// Reads, parses and validates a settings file.
///
/// # Errors
/// Fails if the file can't be read or isn't JSON with comments, or with all its problems: unknown, duplicate or
/// missing keys, values of the wrong type or out of range.
pub fn load<T: DeserializeOwned + Validate>(path: &Path) -> Result<T, SettingsError> {
    let text = fs::read_to_string(path)
        .map_err(|cause| SettingsError::Unreadable { path: path.to_owned(), cause })?;
    parse(&path.display().to_string(), &text)
}

/// Parses and validates settings; `file` is the name that errors show.
///
/// # Errors
/// Fails as [`load`] does, except that no file is read.
pub fn parse<T: DeserializeOwned + Validate>(file: &str, text: &str) -> Result<T, SettingsError> {
    let tree = parse_tree(file, text)?;
    let mut problems = duplicate_keys(&tree, text);
    let parsed = deserialize_tree::<T>(&tree, text, &mut problems);
    if let Some(settings) = parsed
        && problems.is_empty()
    {
        let mut found = Problems::default();
        settings.validate(&mut found);
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

/// Deserializes as much as possible: records each error, removes its value and tries again.
fn deserialize_tree<T: DeserializeOwned>(
    tree: &ast::Value<'_>,
    text: &str,
    problems: &mut Vec<SettingsProblem>,
) -> Option<T> {
    let mut value = Value::from(tree.clone());
    let mut removed: Vec<Vec<String>> = Vec::new();
    while problems.len() < MAX_PROBLEMS {
        let error = match serde_path_to_error::deserialize::<_, T>(value.clone()) {
            Ok(settings) => return Some(settings),
            Err(error) => error,
        };
        let mut path = path_segments(error.path());
        let message = error.inner().to_string();
        if let Some(unknown) = unknown_key(&message)
            && path.last() != Some(&unknown)
        {
            path.push(unknown);
        }
        // A value that was removed as invalid isn't reported as missing.
        if !is_missing_after_removal(&message, &path, &removed) {
            problems.push(problem_at(tree, text, &path.join("."), message));
        }
        if !remove_value(&mut value, &path) {
            return None;
        }
        removed.push(path);
    }
    None
}

fn path_segments(path: &serde_path_to_error::Path) -> Vec<String> {
    path.iter()
        .map(ToString::to_string)
        .filter(|part| part != "?")
        .map(|part| part.trim_matches(['[', ']']).to_owned())
        .collect()
}

/// The key that serde reports as unknown: the path of such an error ends at the section around the key.
fn unknown_key(message: &str) -> Option<String> {
    let rest = message.strip_prefix("unknown field `")?;
    rest.split('`').next().map(str::to_owned)
}

/// Whether an error reports a value as missing that was removed before.
fn is_missing_after_removal(message: &str, path: &[String], removed: &[Vec<String>]) -> bool {
    let Some(field) = message.strip_prefix("missing field `").and_then(|m| m.strip_suffix('`'))
    else {
        return false;
    };
    let missing: Vec<&str> = path.iter().map(String::as_str).chain([field]).collect();
    removed.iter().any(|taken| taken.iter().map(String::as_str).eq(missing.iter().copied()))
}

fn remove_value(value: &mut Value, path: &[String]) -> bool {
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
    let found = locate(tree, key);
    let value = found.exact.map(|range| text[range.0..range.1].to_owned());
    SettingsProblem {
        line: line_of(text, found.position),
        key: if key.is_empty() { "(whole file)".to_owned() } else { key.to_owned() },
        value: displayed_value(key, &value.unwrap_or_default()),
        message,
    }
}

/// Location of a key, or of the innermost section around it that exists.
struct Location {
    position: usize,
    exact: Option<(usize, usize)>,
}

fn locate(tree: &ast::Value<'_>, key: &str) -> Location {
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
            return Location { position, exact: None };
        };
        position = start;
        at = value;
    }
    let is_leaf = !matches!(at, ast::Value::Object(_) | ast::Value::Array(_));
    let exact = (is_leaf && !key.is_empty()).then(|| (at.start(), at.end()));
    Location { position, exact }
}

fn displayed_value(key: &str, value: &str) -> String {
    let last = key.rsplit('.').next().unwrap_or_default();
    let is_secret = SECRET_KEY_WORDS.iter().any(|part| last.split('_').any(|word| word == *part));
    if is_secret && !value.is_empty() {
        return "(not shown)".to_owned();
    }
    value.chars().take(MAX_DISPLAYED_VALUE_CHARS).collect()
}

fn line_of(text: &str, position: usize) -> usize {
    text.as_bytes()[..position].iter().filter(|b| **b == b'\n').count() + 1
}

fn duplicate_keys(tree: &ast::Value<'_>, text: &str) -> Vec<SettingsProblem> {
    let mut problems = Vec::new();
    if let ast::Value::Object(object) = tree {
        for (at, property) in object.properties.iter().enumerate() {
            let name = property.name.as_str();
            let is_duplicate = object.properties[..at].iter().any(|p| p.name.as_str() == name);
            if is_duplicate {
                problems.push(SettingsProblem {
                    line: line_of(text, property.start()),
                    key: name.to_owned(),
                    value: String::new(),
                    message: "the key stands twice".to_owned(),
                });
            }
            problems.extend(duplicate_keys(&property.value, text));
        }
    }
    problems
}
