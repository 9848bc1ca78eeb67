//! Texts for the tests, and functions to modify them.

#![allow(dead_code)]

/// Valid process settings with every field.
pub const PROCESS: &str = include_str!("../texts/process.jsonc");
/// A valid services text with every field.
pub const SERVICES: &str = include_str!("../texts/services.jsonc");

/// Replaces a substring that must occur exactly once.
pub fn replace(text: &str, from: &str, to: &str) -> String {
    assert_eq!(text.matches(from).count(), 1, "{from}");
    text.replace(from, to)
}

/// Replaces several substrings, each of which must occur exactly once.
pub fn replace_all(text: &str, changes: &[(&str, &str)]) -> String {
    changes.iter().fold(text.to_owned(), |text, (from, to)| replace(&text, from, to))
}
