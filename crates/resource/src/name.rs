//! Resource names.

/// Maximum length of a name, in bytes.
pub const MAX_NAME_BYTES: usize = 63;

/// Whether `text` is a valid name: lower-case letters, digits and inner hyphens.
pub fn is_name(text: &str) -> bool {
    let bytes = text.as_bytes();
    let is_alphanumeric = |byte: &u8| byte.is_ascii_lowercase() || byte.is_ascii_digit();
    let valid_ends =
        bytes.first().is_some_and(is_alphanumeric) && bytes.last().is_some_and(is_alphanumeric);
    valid_ends
        && bytes.len() <= MAX_NAME_BYTES
        && bytes.iter().all(|byte| is_alphanumeric(byte) || *byte == b'-')
}

/// Returns an error that describes valid names if `text` is not one.
pub fn check_name(text: &str) -> Result<(), String> {
    match is_name(text) {
        true => Ok(()),
        false => Err(format!(
            "`{text}` is not a name: up to {MAX_NAME_BYTES} of a-z, 0-9 and inner hyphens are allowed"
        )),
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn names_are_validated() {
        let cases = [
            ("bornova-1", true),
            ("a", true),
            ("", false),
            ("-a", false),
            ("a-", false),
            ("A", false),
            ("a.b", false),
            ("çiğli", false),
        ];
        for (text, want) in cases {
            assert_eq!(is_name(text), want, "{text}");
        }
        assert!(!is_name(&"a".repeat(MAX_NAME_BYTES + 1)));
    }
}
