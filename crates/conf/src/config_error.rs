//! Configuration errors: problems in a settings file or ticket, each with its place and a remedy.

use std::fmt;

/// One step of a [`FieldPath`], from a value to a value inside it.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum PathStep {
    /// Name of a field of a mapping.
    Field(String),
    /// Zero-based index into a list.
    Index(usize),
}

/// Path of a value from the root of a file, displayed like `workspaces[0].callers[2].name`.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct FieldPath {
    steps: Vec<PathStep>,
}

impl FieldPath {
    /// The path of the whole document; displayed as `(root)`.
    pub fn root() -> Self {
        Self::default()
    }

    /// Returns this path extended by a field; the field need not exist.
    pub fn field(&self, name: &str) -> Self {
        self.step(PathStep::Field(name.to_owned()))
    }

    /// Returns this path extended by a zero-based list index.
    pub fn index(&self, index: usize) -> Self {
        self.step(PathStep::Index(index))
    }

    /// The steps from the root; empty for the root itself.
    pub fn steps(&self) -> &[PathStep] {
        &self.steps
    }

    /// The path of the enclosing value; `None` for the root.
    pub fn parent(&self) -> Option<Self> {
        let (_, steps) = self.steps.split_last()?;
        Some(Self { steps: steps.to_vec() })
    }

    /// Returns whether this path equals `other` or is inside it.
    pub fn is_within(&self, other: &FieldPath) -> bool {
        self.steps.starts_with(&other.steps)
    }

    fn step(&self, step: PathStep) -> Self {
        let mut steps = self.steps.clone();
        steps.push(step);
        Self { steps }
    }
}

impl fmt::Display for FieldPath {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        if self.steps.is_empty() {
            return f.write_str("(root)");
        }
        for (position, step) in self.steps.iter().enumerate() {
            match step {
                PathStep::Field(name) if position == 0 => f.write_str(name)?,
                PathStep::Field(name) => write!(f, ".{name}")?,
                PathStep::Index(index) => write!(f, "[{index}]")?,
            }
        }
        Ok(())
    }
}

/// One problem in a settings file or ticket.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ConfigError {
    /// One-based line; `None` for a ticket that is not read from text, or if no line is found.
    pub line: Option<usize>,
    /// Path of the wrong or missing value.
    pub path: FieldPath,
    /// What is wrong with the value, without its path.
    pub problem: String,
    /// What the operator can do, as an imperative.
    pub remedy: String,
}

/// All errors in one file or ticket, sorted by line where lines are known.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ConfigErrorReport {
    /// File name as given by the user; `ticket` for a ticket received in a message.
    pub file: String,
    /// Never empty; in the order of the checks where lines are unknown.
    pub errors: Vec<ConfigError>,
}

impl fmt::Display for ConfigErrorReport {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (position, error) in self.errors.iter().enumerate() {
            if position > 0 {
                writeln!(f)?;
            }
            write!(f, "{}", self.file)?;
            if let Some(line) = error.line {
                write!(f, ":{line}")?;
            }
            write!(f, ": {}: {}; {}", error.path, error.problem, error.remedy)?;
        }
        Ok(())
    }
}

impl std::error::Error for ConfigErrorReport {}

/// Collects the errors that a check finds.
#[derive(Clone, Debug, Default)]
pub struct ConfigErrorList {
    errors: Vec<ConfigError>,
    related: Vec<Vec<FieldPath>>,
}

impl ConfigErrorList {
    /// Creates a list without errors, for a check to add to.
    pub fn new() -> Self {
        Self::default()
    }

    /// Adds an error that a single value causes.
    pub fn push(&mut self, path: FieldPath, problem: impl Into<String>, remedy: impl Into<String>) {
        self.push_related(path, Vec::new(), problem, remedy);
    }

    /// Adds an error in `path` that depends on the values at `related` too, such as a conflict.
    pub fn push_related(
        &mut self,
        path: FieldPath,
        related: Vec<FieldPath>,
        problem: impl Into<String>,
        remedy: impl Into<String>,
    ) {
        let (problem, remedy) = (problem.into(), remedy.into());
        self.errors.push(ConfigError { line: None, path, problem, remedy });
        self.related.push(related);
    }

    /// Returns whether the checks so far found no error.
    pub fn is_empty(&self) -> bool {
        self.errors.is_empty()
    }

    /// Returns the errors in the order in which they were added.
    pub fn into_errors(self) -> Vec<ConfigError> {
        self.errors
    }

    /// Returns the errors whose own path and related paths are all outside every path of
    /// `replaced`.
    pub(crate) fn into_errors_outside(self, replaced: &[FieldPath]) -> Vec<ConfigError> {
        let touches = |path: &FieldPath| replaced.iter().any(|other| path.is_within(other));
        let pairs = self.errors.into_iter().zip(self.related);
        pairs
            .filter(|(error, related)| !touches(&error.path) && !related.iter().any(touches))
            .map(|(error, _)| error)
            .collect()
    }
}
