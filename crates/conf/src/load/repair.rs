//! Finds all schema errors in a document. Deserialization stops at the first error, so each invalid
//! value is replaced by a valid one and the document is deserialized again until it succeeds.

use {
    crate::config_error::{ConfigError, FieldPath, PathStep},
    serde::{Serialize, de::DeserializeOwned},
    serde_json::{Map, Value, json},
    serde_path_to_error::Segment,
};

/// Limit of the errors reported for one file, since each costs a pass over the document.
const MAX_ERRORS: usize = 100;
/// Replaces a missing or invalid string.
const PLACEHOLDER_TEXT: &str = "placeholder";

/// Result of deserializing a document in which invalid values may have been replaced.
pub(super) struct RepairResult<T> {
    /// The value, with invalid parts replaced; `None` if a part has no valid replacement or the
    /// document has too many errors.
    pub value: Option<T>,
    /// Errors of type and schema, without lines; empty if the document was valid.
    pub errors: Vec<ConfigError>,
    /// Paths of the replacements; later checks must not report errors inside them.
    pub replaced: Vec<FieldPath>,
}

/// Deserializes a value and collects all errors.
pub(super) fn deserialize_all<T: DeserializeOwned + Serialize>(mut tree: Value) -> RepairResult<T> {
    let mut errors = Vec::new();
    let mut replaced = Vec::new();
    while errors.len() < MAX_ERRORS {
        let failure = match try_deserialize::<T>(&tree) {
            Ok(value) => {
                let reserialized = serde_json::to_value(&value).unwrap_or_default();
                report_misplaced_lists(&tree, &reserialized, &FieldPath::root(), &mut errors);
                return RepairResult { value: Some(value), errors, replaced };
            }
            Err(failure) => failure,
        };
        errors.push(failure.to_config_error());
        let Some(repaired) = repair::<T>(&tree, &failure) else {
            break;
        };
        tree = repaired;
        replaced.push(failure.path);
    }
    RepairResult { value: None, errors, replaced }
}

/// Reports lists in the place of mappings: serde accepts a list as the fields of a struct in order.
fn report_misplaced_lists(
    tree: &Value,
    reserialized: &Value,
    path: &FieldPath,
    errors: &mut Vec<ConfigError>,
) {
    match (tree, reserialized) {
        (Value::Array(_), Value::Object(_)) => errors.push(ConfigError {
            line: None,
            path: path.clone(),
            problem: "a list where a mapping belongs".to_owned(),
            remedy: "give named fields".to_owned(),
        }),
        (Value::Object(fields), Value::Object(reserialized)) => {
            for (name, field) in fields {
                let reserialized = reserialized.get(name).unwrap_or(&Value::Null);
                report_misplaced_lists(field, reserialized, &path.field(name), errors);
            }
        }
        (Value::Array(items), Value::Array(reserialized)) => {
            for (index, (item, reserialized)) in items.iter().zip(reserialized).enumerate() {
                report_misplaced_lists(item, reserialized, &path.index(index), errors);
            }
        }
        _ => {}
    }
}

/// Where and why deserialization failed.
struct DeserializeFailure {
    path: FieldPath,
    message: String,
    kind: FailureKind,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum FailureKind {
    Missing,
    UnknownField,
    BadValue,
}

impl DeserializeFailure {
    fn to_config_error(&self) -> ConfigError {
        let (problem, remedy) = match self.kind {
            FailureKind::Missing => ("missing".to_owned(), "add this field".to_owned()),
            FailureKind::UnknownField => {
                let expected = self.message.split_once(", expected ").map(|(_, names)| names);
                let remedy = expected.map_or_else(
                    || "remove it".to_owned(),
                    |names| format!("remove it or correct its name to {names}"),
                );
                ("unknown field".to_owned(), remedy)
            }
            FailureKind::BadValue => self.split_bad_value(),
        };
        ConfigError { line: None, path: self.path.clone(), problem, remedy }
    }

    fn split_bad_value(&self) -> (String, String) {
        match self.message.split_once(", expected ") {
            Some((problem, expected)) => (problem.to_owned(), format!("give {expected}")),
            None => (self.message.clone(), "correct the value".to_owned()),
        }
    }
}

fn try_deserialize<T: DeserializeOwned>(tree: &Value) -> Result<T, DeserializeFailure> {
    serde_path_to_error::deserialize(tree).map_err(|error| {
        let path = convert_path(error.path());
        let message = error.into_inner().to_string();
        classify_failure(path, message)
    })
}

fn classify_failure(path: FieldPath, message: String) -> DeserializeFailure {
    if let Some(name) = quoted_after(&message, "missing field ") {
        let path = path.field(&name);
        return DeserializeFailure { path, message, kind: FailureKind::Missing };
    }
    let kind = match message.starts_with("unknown field ") {
        true => FailureKind::UnknownField,
        false => FailureKind::BadValue,
    };
    DeserializeFailure { path, message, kind }
}

fn quoted_after(message: &str, start: &str) -> Option<String> {
    let rest = message.strip_prefix(start)?;
    rest.split('`').nth(1).map(str::to_owned)
}

fn convert_path(path: &serde_path_to_error::Path) -> FieldPath {
    path.iter().fold(FieldPath::root(), |path, segment| match segment {
        Segment::Seq { index } => path.index(*index),
        Segment::Map { key } => path.field(key),
        Segment::Enum { variant } => path.field(variant),
        Segment::Unknown => path,
    })
}

/// Returns a document without this failure, so that the next pass succeeds or finds another error.
fn repair<T: DeserializeOwned>(tree: &Value, failure: &DeserializeFailure) -> Option<Value> {
    if failure.kind == FailureKind::UnknownField {
        return without_field(tree, &failure.path);
    }
    let candidates = candidates(failure).into_iter();
    let trees = candidates.filter_map(|candidate| with_value(tree, &failure.path, candidate));
    without_field(tree, &failure.path).into_iter().chain(trees).find(|tree| {
        try_deserialize::<T>(tree).err().is_none_or(|later| !later.path.is_within(&failure.path))
    })
}

/// Values to try in place of the rejected one: one of each common type, and the enum variants that
/// the message lists after the rejected value, each as a string and as an object with one field.
fn candidates(failure: &DeserializeFailure) -> Vec<Value> {
    let mut candidates = vec![
        json!(1),
        json!(PLACEHOLDER_TEXT),
        json!("127.0.0.1:1"),
        json!([]),
        json!({}),
        json!(false),
    ];
    let variants = failure.message.split('`').skip(1).step_by(2).skip(1);
    for variant in variants {
        candidates.push(json!(variant));
        candidates.push(json!({ variant: PLACEHOLDER_TEXT }));
    }
    candidates
}

/// Removes a field from a copy of the tree; `None` if the path is not that of an existing field.
fn without_field(tree: &Value, path: &FieldPath) -> Option<Value> {
    let mut tree = tree.clone();
    let (fields, name) = fields_at(&mut tree, path)?;
    fields.remove(&name)?;
    Some(tree)
}

/// Sets the value at the path in a copy of the tree; `None` if the path does not exist.
fn with_value(tree: &Value, path: &FieldPath, value: Value) -> Option<Value> {
    let mut tree = tree.clone();
    if let Some((fields, name)) = fields_at(&mut tree, path) {
        fields.insert(name, value);
        return Some(tree);
    }
    *value_at(&mut tree, path.steps())? = value;
    Some(tree)
}

fn fields_at<'a>(
    tree: &'a mut Value,
    path: &FieldPath,
) -> Option<(&'a mut Map<String, Value>, String)> {
    let (PathStep::Field(name), steps) = path.steps().split_last()? else {
        return None;
    };
    let fields = value_at(tree, steps)?.as_object_mut()?;
    Some((fields, name.clone()))
}

fn value_at<'a>(tree: &'a mut Value, steps: &[PathStep]) -> Option<&'a mut Value> {
    steps.iter().try_fold(tree, |value, step| match step {
        PathStep::Field(name) => value.get_mut(name),
        PathStep::Index(index) => value.get_mut(index),
    })
}
