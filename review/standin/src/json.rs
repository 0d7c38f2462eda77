//! Just enough JSON to take an object apart without changing the text of its values.

/// The text of a field's value in the text of an object.
pub fn field<'a>(object: &'a str, name: &str) -> Option<&'a str> {
    let bytes = object.as_bytes();
    let mut at = skip_space(bytes, 0);
    if bytes.get(at) != Some(&b'{') {
        return None;
    }
    at += 1;
    loop {
        at = skip_space(bytes, at);
        if bytes.get(at) != Some(&b'"') {
            return None;
        }
        let key_end = skip_value(bytes, at)?;
        let key = &object[at + 1..key_end - 1];
        at = skip_space(bytes, key_end);
        if bytes.get(at) != Some(&b':') {
            return None;
        }
        at = skip_space(bytes, at + 1);
        let end = skip_value(bytes, at)?;
        if key == name {
            return Some(&object[at..end]);
        }
        at = skip_space(bytes, end);
        if bytes.get(at) != Some(&b',') {
            return None;
        }
        at += 1;
    }
}

/// A field whose value is a string without escapes.
pub fn text<'a>(object: &'a str, name: &str) -> Option<&'a str> {
    field(object, name)?.strip_prefix('"')?.strip_suffix('"')
}

/// A field whose value is a whole number.
pub fn number(object: &str, name: &str) -> Option<u64> {
    field(object, name)?.parse().ok()
}

fn skip_space(bytes: &[u8], mut at: usize) -> usize {
    while bytes.get(at).is_some_and(u8::is_ascii_whitespace) {
        at += 1;
    }
    at
}

/// The end of the value that begins at `at`.
fn skip_value(bytes: &[u8], at: usize) -> Option<usize> {
    match bytes.get(at)? {
        b'"' => {
            let mut end = at + 1;
            loop {
                match bytes.get(end)? {
                    b'\\' => end += 2,
                    b'"' => return Some(end + 1),
                    _ => end += 1,
                }
            }
        }
        b'{' | b'[' => {
            let (mut depth, mut end) = (0, at);
            loop {
                match bytes.get(end)? {
                    b'"' => {
                        end = skip_value(bytes, end)?;
                        continue;
                    }
                    b'{' | b'[' => depth += 1,
                    b'}' | b']' => depth -= 1,
                    _ => {}
                }
                end += 1;
                if depth == 0 {
                    return Some(end);
                }
            }
        }
        _ => {
            let is_end =
                |byte: &u8| matches!(byte, b',' | b'}' | b']') || byte.is_ascii_whitespace();
            let length = bytes[at..].iter().position(is_end).unwrap_or(bytes.len() - at);
            Some(at + length)
        }
    }
}
