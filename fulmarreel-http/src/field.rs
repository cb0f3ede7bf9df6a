//! What the names and values of fields may hold (RFC 9110, section 5).

/// The characters of a token, beside letters and digits.
const TOKEN_PUNCTUATION: &[u8] = b"!#$%&'*+-.^_`|~";

/// Whether a line, without its end, is a field.
pub(crate) fn is_line(line: &[u8]) -> bool {
    let Some(colon) = line.iter().position(|byte| *byte == b':') else {
        return false;
    };
    is_field(&line[..colon], &line[colon + 1..])
}

/// Whether a name and a value are those of a field.
pub fn is_field(name: &[u8], value: &[u8]) -> bool {
    is_name(name) && is_text(value)
}

/// Whether the bytes can be the name of a field.
pub(crate) fn is_name(bytes: &[u8]) -> bool {
    let is_token = |byte: &u8| byte.is_ascii_alphanumeric() || TOKEN_PUNCTUATION.contains(byte);
    !bytes.is_empty() && bytes.iter().all(is_token)
}

/// Whether the bytes can be part of a line: none is a control byte other than a tab.
pub(crate) fn is_text(bytes: &[u8]) -> bool {
    let is_control = |byte: &u8| byte.is_ascii_control() && *byte != b'\t';
    !bytes.iter().any(is_control)
}
