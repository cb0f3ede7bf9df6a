//! From text to a type, with the position of whatever is refused.

use super::{Error, Position, locate};
use jsonc_parser::{
    CollectOptions, ParseOptions, ast::Value, common::Ranged, errors::ParseError, parse_to_ast,
    parse_to_serde_value,
};
use serde::de::DeserializeOwned;
use serde_path_to_error::{Path, Segment};

/// JSON with comments and trailing commas, and none of the parser's further liberties.
const DIALECT: ParseOptions = ParseOptions {
    allow_comments: true,
    allow_loose_object_property_names: false,
    allow_trailing_commas: true,
    allow_missing_commas: false,
    allow_single_quoted_strings: false,
    allow_hexadecimal_numbers: false,
    allow_unary_plus_numbers: false,
    allow_bare_decimal_point_numbers: false,
    allow_non_finite_numbers: false,
    allow_extended_string_escapes: false,
};

/// Reads a text as a `T`.
///
/// # Errors
///
/// The text is no JSON with comments, a field stands twice, or it does not fit the type.
pub fn read<T: DeserializeOwned>(text: &str) -> Result<T, Error> {
    let syntax = |error: ParseError| Error::Syntax {
        position: Position::of(text, error.range().start.min(text.len())),
        reason: error.kind().to_string().to_lowercase(),
    };
    let parsed = parse_to_ast(text, &CollectOptions::default(), &DIALECT).map_err(syntax)?;
    let root = parsed.value.ok_or(Error::Empty)?;
    unique(text, &root, "")?;
    let value: serde_json::Value = parse_to_serde_value(text, &DIALECT).map_err(syntax)?;
    serde_path_to_error::deserialize(value).map_err(|error| Error::Shape {
        position: Position::of(text, locate::offset(&root, steps(error.path()))),
        field: field(error.path()),
        reason: error.inner().to_string(),
    })
}

fn steps(path: &Path) -> impl Iterator<Item = String> {
    path.iter().map(|segment| match segment {
        Segment::Seq { index } => index.to_string(),
        Segment::Map { key } | Segment::Enum { variant: key } => key.clone(),
        Segment::Unknown => String::new(),
    })
}

fn field(path: &Path) -> String {
    match path.iter().next() {
        None => "(root)".to_owned(),
        Some(_) => path.to_string(),
    }
}

/// Refuses a field that stands twice in one object.
fn unique(text: &str, value: &Value<'_>, path: &str) -> Result<(), Error> {
    match value {
        Value::Object(object) => {
            for (index, property) in object.properties.iter().enumerate() {
                let name = property.name.as_str();
                let field = join(path, name);
                let earlier = &object.properties[..index];
                if let Some(first) = earlier.iter().find(|first| first.name.as_str() == name) {
                    return Err(Error::Duplicate {
                        position: Position::of(text, property.start()),
                        first: Position::of(text, first.start()).line,
                        field,
                    });
                }
                unique(text, &property.value, &field)?;
            }
        }
        Value::Array(array) => {
            for (index, element) in array.elements.iter().enumerate() {
                unique(text, element, &format!("{path}[{index}]"))?;
            }
        }
        _ => {}
    }
    Ok(())
}

fn join(path: &str, name: &str) -> String {
    if path.is_empty() {
        name.to_owned()
    } else {
        format!("{path}.{name}")
    }
}
