//! What is wrong with a configuration.

use {
    serde::{Deserialize, Serialize},
    smol_str::{SmolStr, ToSmolStr},
    std::fmt,
};

/// How much a finding matters.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum FindingLevel {
    /// An entry has no effect, or probably not the one that was meant.
    Warning,
    /// Requests that the configuration is meant to serve would fail.
    Error,
}

base::value_type!(
    /// One thing that is wrong with a configuration.
    pub struct AuditFinding {
        /// How much it matters.
        pub level: FindingLevel,
        /// The entry, such as `routes[3] (orders)`.
        pub place: SmolStr,
        /// What is wrong, with the value.
        pub problem: String,
        /// What to do about it.
        pub advice: SmolStr,
    }
);

impl AuditFinding {
    pub(crate) fn error(
        place: impl fmt::Display,
        problem: impl Into<String>,
        advice: &'static str,
    ) -> Self {
        Self::new(FindingLevel::Error, place, problem, advice)
    }

    pub(crate) fn warning(
        place: impl fmt::Display,
        problem: impl Into<String>,
        advice: &'static str,
    ) -> Self {
        Self::new(FindingLevel::Warning, place, problem, advice)
    }

    fn new(
        level: FindingLevel,
        place: impl fmt::Display,
        problem: impl Into<String>,
        advice: &'static str,
    ) -> Self {
        let (place, problem) = (place.to_smolstr(), problem.into());
        Self { level, place, problem, advice: SmolStr::new_static(advice) }
    }
}

impl fmt::Display for AuditFinding {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let level = match self.level {
            FindingLevel::Error => "error",
            FindingLevel::Warning => "warning",
        };
        write!(f, "{level}: {}: {}; {}", self.place, self.problem, self.advice)
    }
}
