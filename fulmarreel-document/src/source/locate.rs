//! Finds the position of a field by its path.

use super::Position;
use jsonc_parser::{
    CollectOptions, ParseOptions,
    ast::{ObjectProp, Value},
    common::Ranged,
    parse_to_ast,
};

/// Returns the position of a field such as `routes[0].path`. If the field does not exist, returns
/// the position of the innermost existing object or list on its path; if the text does not parse,
/// the start of the text.
pub fn position(text: &str, field: &str) -> Position {
    let segments = field
        .split(['.', '['])
        .map(|segment| segment.trim_end_matches(']').to_owned());
    let parsed = parse_to_ast(text, &CollectOptions::default(), &ParseOptions::default());
    match parsed.ok().and_then(|parsed| parsed.value) {
        Some(root) => Position::of(text, deepest_offset(&root, segments)),
        None => Position::START,
    }
}

/// Returns the byte offset of the innermost existing value on a path.
pub(super) fn deepest_offset(root: &Value<'_>, path: impl Iterator<Item = String>) -> usize {
    let (mut value, mut offset) = (root, root.start());
    for segment in path {
        let (next, start) = match value {
            Value::Object(object) => {
                match object.properties.iter().rfind(|p| has_name(p, &segment)) {
                    Some(property) => (&property.value, property.start()),
                    None => break,
                }
            }
            Value::Array(array) => {
                match segment
                    .parse()
                    .ok()
                    .and_then(|i: usize| array.elements.get(i))
                {
                    Some(element) => (element, element.start()),
                    None => break,
                }
            }
            _ => break,
        };
        (value, offset) = (next, start);
    }
    offset
}

fn has_name(property: &ObjectProp<'_>, name: &str) -> bool {
    property.name.as_str() == name
}
