//! Encoding of JSON strings for the small bodies that the HTTP interface composes itself.

use std::fmt::Write;

/// Encodes a string as a JSON value.
pub(super) fn json_string(text: &str) -> String {
    let mut quoted = String::with_capacity(text.len() + 2);
    quoted.push('"');
    for character in text.chars() {
        match character {
            '"' => quoted.push_str("\\\""),
            '\\' => quoted.push_str("\\\\"),
            control if control < ' ' => {
                // Writing to a `String` never fails.
                let _ = write!(quoted, "\\u{:04x}", u32::from(control));
            }
            plain => quoted.push(plain),
        }
    }
    quoted.push('"');
    quoted
}
