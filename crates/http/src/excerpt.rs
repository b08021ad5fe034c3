//! Shortens texts of clients for log lines, which a client could otherwise make as long as it likes.

/// Maximum length of an excerpt, in bytes.
const MAX_BYTES: usize = 200;

/// Returns the first part of a text.
#[must_use]
pub fn of(text: &str) -> &str {
    &text[..text.floor_char_boundary(MAX_BYTES)]
}
