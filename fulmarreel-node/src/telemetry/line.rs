//! Formats a log record as one line of JSON.

use log::{
    Record,
    kv::{self, Key, Value, VisitSource, VisitValue},
};
use serde_json::{Map, Value as Json};

/// The keys of every line; a record's field with one of these names is omitted.
const RESERVED_KEYS: [&str; 4] = ["at", "level", "module", "message"];

/// Formats a record as JSON without a line break; `at` is the time as text.
pub(super) fn json(at: String, record: &Record<'_>) -> String {
    let mut fields = Fields(Map::new());
    fields.insert("at", at);
    fields.insert("level", record.level().as_str().to_ascii_lowercase());
    fields.insert("module", record.target().to_owned());
    let message = record.args().to_string();
    if !message.is_empty() {
        fields.insert("message", message);
    }
    // If a field cannot be visited, it and those after it are omitted; the line is still useful.
    let _ = record.key_values().visit(&mut fields);
    Json::Object(fields.0).to_string()
}

/// Collects the typed fields of a record.
struct Fields(Map<String, Json>);

impl Fields {
    fn insert(&mut self, name: &str, value: impl Into<Json>) {
        self.0.insert(name.to_owned(), value.into());
    }
}

impl<'kvs> VisitSource<'kvs> for Fields {
    fn visit_pair(&mut self, key: Key<'kvs>, value: Value<'kvs>) -> Result<(), kv::Error> {
        if RESERVED_KEYS.contains(&key.as_str()) {
            return Ok(());
        }
        let mut converted = Converted(Json::Null);
        value.visit(&mut converted)?;
        self.insert(key.as_str(), converted.0);
        Ok(())
    }
}

/// A field's value converted to JSON with its type.
struct Converted(Json);

impl<'v> VisitValue<'v> for Converted {
    fn visit_any(&mut self, value: Value<'_>) -> Result<(), kv::Error> {
        self.0 = Json::from(value.to_string());
        Ok(())
    }

    fn visit_u64(&mut self, value: u64) -> Result<(), kv::Error> {
        self.0 = Json::from(value);
        Ok(())
    }

    fn visit_i64(&mut self, value: i64) -> Result<(), kv::Error> {
        self.0 = Json::from(value);
        Ok(())
    }

    fn visit_f64(&mut self, value: f64) -> Result<(), kv::Error> {
        self.0 = Json::from(value);
        Ok(())
    }

    fn visit_bool(&mut self, value: bool) -> Result<(), kv::Error> {
        self.0 = Json::from(value);
        Ok(())
    }

    fn visit_str(&mut self, value: &str) -> Result<(), kv::Error> {
        self.0 = Json::from(value);
        Ok(())
    }
}
