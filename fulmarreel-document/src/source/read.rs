//! Deserializes a text, with positions in errors.

use super::{Error, Position, locate};
use jsonc_parser::{
    CollectOptions, ParseOptions, ast::Value, common::Ranged, errors::ParseError, parse_to_ast,
    parse_to_serde_value,
};
use serde::de::DeserializeOwned;
use serde_path_to_error::{Path, Segment};

/// JSON with comments and trailing commas, without the parser's other extensions.
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

/// Deserializes a value from JSON with comments.
///
/// # Errors
///
/// The text is not JSON with comments, an object has a field twice, or the type does not match.
pub fn read<T: DeserializeOwned>(text: &str) -> Result<T, Error> {
    let syntax_error = |error: ParseError| Error::Syntax {
        position: Position::of(text, error.range().start.min(text.len())),
        reason: error.kind().to_string().to_lowercase(),
    };
    let parsed = parse_to_ast(text, &CollectOptions::default(), &DIALECT).map_err(syntax_error)?;
    let root = parsed.value.ok_or(Error::Empty)?;
    refuse_duplicates(text, &root, "")?;
    let value: serde_json::Value = parse_to_serde_value(text, &DIALECT).map_err(syntax_error)?;
    serde_path_to_error::deserialize(value).map_err(|error| Error::Schema {
        position: Position::of(text, locate::deepest_offset(&root, segments(error.path()))),
        field: display_path(error.path()),
        reason: error.inner().to_string(),
    })
}

fn segments(path: &Path) -> impl Iterator<Item = String> {
    path.iter().map(|segment| match segment {
        Segment::Seq { index } => index.to_string(),
        Segment::Map { key } | Segment::Enum { variant: key } => key.clone(),
        Segment::Unknown => String::new(),
    })
}

fn display_path(path: &Path) -> String {
    match path.iter().next() {
        None => "(root)".to_owned(),
        Some(_) => path.to_string(),
    }
}

/// Refuses a field that occurs twice in one object.
fn refuse_duplicates(text: &str, value: &Value<'_>, path: &str) -> Result<(), Error> {
    match value {
        Value::Object(object) => {
            for (index, property) in object.properties.iter().enumerate() {
                let name = property.name.as_str();
                let field = child_path(path, name);
                let earlier = &object.properties[..index];
                if let Some(first) = earlier.iter().find(|first| first.name.as_str() == name) {
                    return Err(Error::Duplicate {
                        position: Position::of(text, property.start()),
                        first: Position::of(text, first.start()).line,
                        field,
                    });
                }
                refuse_duplicates(text, &property.value, &field)?;
            }
        }
        Value::Array(array) => {
            for (index, element) in array.elements.iter().enumerate() {
                refuse_duplicates(text, element, &format!("{path}[{index}]"))?;
            }
        }
        _ => {}
    }
    Ok(())
}

fn child_path(path: &str, name: &str) -> String {
    if path.is_empty() {
        name.to_owned()
    } else {
        format!("{path}.{name}")
    }
}
