//! Coloured output on terminals.

use std::io::IsTerminal;

/// Meaning of a coloured text.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Tone {
    /// As expected.
    Good,
    /// Needs attention.
    Bad,
    /// Less important.
    Faint,
}

/// Colours text if standard output is a terminal and NO_COLOR is not set.
pub fn paint(tone: Tone, text: &str) -> String {
    if !std::io::stdout().is_terminal() || std::env::var_os("NO_COLOR").is_some() {
        return text.to_owned();
    }
    let code = match tone {
        Tone::Good => 32,
        Tone::Bad => 31,
        Tone::Faint => 2,
    };
    format!("\u{1b}[{code}m{text}\u{1b}[0m")
}
