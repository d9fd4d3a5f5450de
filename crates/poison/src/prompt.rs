//! Parts of prompts.

use {crate::suspect::SuspectId, std::fmt};

/// Maximum number of shared parts of one prompt that are kept.
const MAX_SHARED_PARTS: usize = 16;

/// The parts of one prompt.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct PromptParts {
    /// The parts that other prompts may have too, in order, without repetitions.
    shared: Vec<SuspectId>,
    /// The last part. Tells prompts apart, also those of one request that was sent again.
    own: Option<SuspectId>,
}

impl PromptParts {
    /// Takes the parts of a prompt in order, at most the first `MAX_SHARED_PARTS` and the last.
    pub fn new(parts: impl IntoIterator<Item = SuspectId>) -> Self {
        let mut prompt = Self::default();
        for part in parts {
            let previous = prompt.own.replace(part);
            if let Some(previous) = previous
                && prompt.shared.len() < MAX_SHARED_PARTS
                && !prompt.shared.contains(&previous)
            {
                prompt.shared.push(previous);
            }
        }
        prompt
    }

    /// The parts that other prompts may have too, in order.
    pub fn shared(&self) -> &[SuspectId] {
        &self.shared
    }

    /// The last part; `None` if the prompt has no known parts.
    pub fn own(&self) -> Option<SuspectId> {
        self.own
    }
}

impl fmt::Display for PromptParts {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for part in self.shared.iter().chain(&self.own) {
            write!(f, "{part},")?;
        }
        Ok(())
    }
}
