//! As much of JSON as the store needs: the text of a field of an object.

/// The text of a field's value; empty if there is none.
pub fn field<'a>(text: &'a str, name: &str) -> &'a str {
    let bytes = text.as_bytes();
    let mut at = skip_blanks(bytes, 0);
    if bytes.get(at) != Some(&b'{') {
        return "";
    }
    at += 1;
    loop {
        at = skip_blanks(bytes, at);
        if bytes.get(at) != Some(&b'"') {
            return "";
        }
        let key_end = skip_value(bytes, at);
        let key = &text[at + 1..key_end - 1];
        at = skip_blanks(bytes, key_end);
        if bytes.get(at) != Some(&b':') {
            return "";
        }
        let from = skip_blanks(bytes, at + 1);
        let to = skip_value(bytes, from);
        if key == name {
            return &text[from..to];
        }
        at = skip_blanks(bytes, to);
        if bytes.get(at) != Some(&b',') {
            return "";
        }
        at += 1;
    }
}

/// A string without its quotes; escapes do not occur in names.
pub fn text(value: &str) -> String {
    value.trim_matches('"').to_owned()
}

pub fn quote(text: &str) -> String {
    format!("\"{}\"", text.replace('\\', "\\\\").replace('"', "\\\""))
}

fn skip_blanks(bytes: &[u8], mut at: usize) -> usize {
    while bytes.get(at).is_some_and(u8::is_ascii_whitespace) {
        at += 1;
    }
    at
}

/// The position behind the value that begins at `at`.
fn skip_value(bytes: &[u8], mut at: usize) -> usize {
    let mut depth = 0;
    while at < bytes.len() {
        match bytes[at] {
            b'"' => {
                at += 1;
                while at < bytes.len() && bytes[at] != b'"' {
                    at += if bytes[at] == b'\\' { 2 } else { 1 };
                }
                at += 1;
            }
            b'{' | b'[' => {
                depth += 1;
                at += 1;
            }
            b'}' | b']' if depth == 0 => return at,
            b'}' | b']' => {
                depth -= 1;
                at += 1;
            }
            b',' | b':' if depth == 0 => return at,
            byte if byte.is_ascii_whitespace() && depth == 0 => return at,
            _ => {
                at += 1;
                if depth > 0 || !matches!(bytes.get(at), None | Some(b',' | b'}' | b']' | b' ')) {
                    continue;
                }
                return at;
            }
        }
        if depth == 0 {
            return at;
        }
    }
    at
}
