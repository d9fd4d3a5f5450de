//! Reads and validates a YAML file; reports all its errors at once.

mod lines;
mod repair;

use {
    crate::config_error::{ConfigError, ConfigErrorList, ConfigErrorReport, FieldPath},
    serde::{Serialize, de::DeserializeOwned},
    serde_json::Value,
    snafu::{ResultExt, Snafu},
    std::{
        fs, io,
        path::{Path, PathBuf},
    },
};

/// Why a settings file or ticket file cannot be used.
#[derive(Debug, Snafu)]
pub enum SettingsError {
    /// The file does not exist, is not UTF-8 or cannot be read.
    #[snafu(display("{}: {source}; name a file that can be read", path.display()))]
    Unreadable {
        /// Path as given by the user.
        path: PathBuf,
        /// Error from the file system.
        source: io::Error,
    },
    /// The file was read, but its content has errors.
    #[snafu(display("{report}"))]
    Invalid {
        /// All errors found, up to a limit for those of type and schema.
        report: ConfigErrorReport,
    },
}

/// Validation beyond the types: ranges, and conflicts between values.
pub trait CheckSettings {
    /// Adds every error in the value, whose path in the file is `path`, to `errors`.
    fn check(&self, path: &FieldPath, errors: &mut ConfigErrorList);
}

/// Reads and validates a settings file.
///
/// Fails with all errors in the file: unknown fields, wrong types, missing fields, values out of
/// range and conflicting values.
pub fn load_settings<T>(path: &Path) -> Result<T, SettingsError>
where
    T: DeserializeOwned + Serialize + CheckSettings,
{
    let text = fs::read_to_string(path).context(UnreadableSnafu { path })?;
    let report = parse_settings(&path.display().to_string(), &text);
    report.map_err(|report| SettingsError::Invalid { report })
}

/// Parses and validates the text of a settings file; `file` is the name shown in the report.
pub fn parse_settings<T>(file: &str, text: &str) -> Result<T, ConfigErrorReport>
where
    T: DeserializeOwned + Serialize + CheckSettings,
{
    parse_with(file, text, |value: &T, errors| value.check(&FieldPath::root(), errors))
}

/// Parses a value from YAML text and validates it with `check`. Errors of `check` that depend on
/// values replaced during parsing are left out.
pub(crate) fn parse_with<T, C>(file: &str, text: &str, check: C) -> Result<T, ConfigErrorReport>
where
    T: DeserializeOwned + Serialize,
    C: FnOnce(&T, &mut ConfigErrorList),
{
    let fail = |errors| Err(ConfigErrorReport { file: file.to_owned(), errors });
    let tree = match parse_tree(text) {
        Ok(tree) => tree,
        Err(error) => return fail(vec![error]),
    };
    let mut repaired = repair::deserialize_all::<T>(tree);
    if let Some(value) = &repaired.value {
        let mut list = ConfigErrorList::new();
        check(value, &mut list);
        repaired.errors.extend(list.into_errors_outside(&repaired.replaced));
    }
    match repaired.value {
        Some(value) if repaired.errors.is_empty() => Ok(value),
        _ => fail(with_line_numbers(text, repaired.errors)),
    }
}

fn with_line_numbers(text: &str, mut errors: Vec<ConfigError>) -> Vec<ConfigError> {
    for error in &mut errors {
        error.line = lines::line_of(text, &error.path);
    }
    errors.sort_by(|one, other| (one.line, &one.path).cmp(&(other.line, &other.path)));
    errors
}

fn parse_tree(text: &str) -> Result<Value, ConfigError> {
    let tree =
        serde_yaml_ng::from_str::<serde_yaml_ng::Value>(text).map_err(|error| ConfigError {
            line: error.location().map(|location| location.line()),
            path: FieldPath::root(),
            problem: format!("not valid YAML: {error}"),
            remedy: "correct the syntax".to_owned(),
        })?;
    match convert(tree, &FieldPath::root())? {
        Value::Null => Ok(Value::Object(serde_json::Map::new())),
        tree => Ok(tree),
    }
}

/// Converts YAML to JSON, so that files and JSON messages follow the same schema.
fn convert(tree: serde_yaml_ng::Value, path: &FieldPath) -> Result<Value, ConfigError> {
    use serde_yaml_ng::Value as Yaml;
    match tree {
        Yaml::Null => Ok(Value::Null),
        Yaml::Bool(value) => Ok(Value::Bool(value)),
        Yaml::Number(number) => Ok(convert_number(&number)),
        Yaml::String(text) => Ok(Value::String(text)),
        Yaml::Sequence(items) => convert_list(items, path),
        Yaml::Mapping(mapping) => convert_mapping(mapping, path),
        Yaml::Tagged(tagged) => {
            let name = tagged.tag.to_string();
            let name = name.trim_start_matches('!');
            let value = convert(tagged.value, path)?;
            Ok(Value::Object([(name.to_owned(), value)].into_iter().collect()))
        }
    }
}

fn convert_list(items: Vec<serde_yaml_ng::Value>, path: &FieldPath) -> Result<Value, ConfigError> {
    let items = items.into_iter().enumerate();
    let items = items.map(|(index, item)| convert(item, &path.index(index)));
    Ok(Value::Array(items.collect::<Result<_, _>>()?))
}

fn convert_mapping(
    mapping: serde_yaml_ng::Mapping,
    path: &FieldPath,
) -> Result<Value, ConfigError> {
    let mut object = serde_json::Map::new();
    for (key, value) in mapping {
        let name = match key {
            serde_yaml_ng::Value::String(text) => text,
            serde_yaml_ng::Value::Number(number) => number.to_string(),
            serde_yaml_ng::Value::Bool(value) => value.to_string(),
            _ => {
                return Err(ConfigError {
                    line: None,
                    path: path.clone(),
                    problem: "has a field whose name is no text".to_owned(),
                    remedy: "name each field by a plain text".to_owned(),
                });
            }
        };
        let value = convert(value, &path.field(&name))?;
        object.insert(name, value);
    }
    Ok(Value::Object(object))
}

/// JSON has no infinity or NaN: they become strings, which a numeric field rejects.
fn convert_number(number: &serde_yaml_ng::Number) -> Value {
    if let Some(value) = number.as_u64() {
        return Value::from(value);
    }
    if let Some(value) = number.as_i64() {
        return Value::from(value);
    }
    let finite = number.as_f64().and_then(serde_json::Number::from_f64);
    finite.map_or_else(|| Value::String(number.to_string()), Value::Number)
}
