//! Sizes that requests name in their heads.

use base::TokenCount;

base::value_type!(
    /// How large a request says that it is.
    #[derive(Copy)]
    pub struct PromptSize {
        /// Tokens of its prompt.
        pub prompt: TokenCount,
        /// The most output tokens that it accepts.
        pub max_output: TokenCount,
        /// The caller's estimate of the output tokens: right at the median, and often far off.
        pub hint: Option<TokenCount>,
    }
);

base::value_type!(
    /// Answers that are expected to be within a factor of two of each other.
    #[derive(Copy, Hash)]
    pub struct SizeClass(u8);
);

impl PromptSize {
    /// The class of the expected answer: that of the hint, or else of the maximum.
    pub fn class(&self) -> SizeClass {
        let output = self.hint.unwrap_or(self.max_output).0;
        SizeClass(output.checked_ilog2().map_or(0, |log| log as u8 + 1))
    }
}
