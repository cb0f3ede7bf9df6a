//! From the path of a field to its position.

use super::Position;
use jsonc_parser::{
    CollectOptions, ParseOptions,
    ast::{ObjectProp, Value},
    common::Ranged,
    parse_to_ast,
};

/// The position of a field such as `routes[0].path`, or of the nearest object or list around it that
/// is there; the text's start where it does not parse.
pub fn position(text: &str, field: &str) -> Position {
    let steps = field
        .split(['.', '['])
        .map(|step| step.trim_end_matches(']').to_owned());
    let parsed = parse_to_ast(text, &CollectOptions::default(), &ParseOptions::default());
    match parsed.ok().and_then(|parsed| parsed.value) {
        Some(root) => Position::of(text, offset(&root, steps)),
        None => Position::START,
    }
}

/// The byte offset of the deepest step that exists.
pub(super) fn offset(root: &Value<'_>, steps: impl Iterator<Item = String>) -> usize {
    let (mut value, mut offset) = (root, root.start());
    for step in steps {
        let (next, start) = match value {
            Value::Object(object) => match object.properties.iter().rfind(|p| is(p, &step)) {
                Some(property) => (&property.value, property.start()),
                None => break,
            },
            Value::Array(array) => {
                match step.parse().ok().and_then(|i: usize| array.elements.get(i)) {
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

fn is(property: &ObjectProp<'_>, name: &str) -> bool {
    property.name.as_str() == name
}
