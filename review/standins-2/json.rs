//! A small JSON reader for the calls that the node makes to the store.

use std::collections::BTreeMap;

#[derive(Debug, Clone)]
pub enum Value {
    Null,
    Bool,
    Number(f64),
    Text(String),
    List(Vec<Value>),
    Map(BTreeMap<String, Value>),
}

impl Value {
    pub fn get(&self, name: &str) -> Option<&Value> {
        match self {
            Value::Map(map) => map.get(name),
            _ => None,
        }
    }

    pub fn text(&self, name: &str) -> String {
        match self.get(name) {
            Some(Value::Text(text)) => text.clone(),
            _ => String::new(),
        }
    }

    pub fn number(&self, name: &str) -> f64 {
        match self.get(name) {
            Some(Value::Number(number)) => *number,
            _ => 0.0,
        }
    }

    pub fn list(&self, name: &str) -> Vec<Value> {
        match self.get(name) {
            Some(Value::List(list)) => list.clone(),
            _ => Vec::new(),
        }
    }
}

pub fn parse(text: &str) -> Option<Value> {
    let mut reader = Reader {
        bytes: text.as_bytes(),
        at: 0,
    };
    reader.value()
}

/// Quotes a string as JSON.
pub fn quote(text: &str) -> String {
    let mut out = String::from("\"");
    for c in text.chars() {
        match c {
            '"' => out.push_str("\\\""),
            '\\' => out.push_str("\\\\"),
            c if (c as u32) < 32 => out.push_str(&format!("\\u{:04x}", c as u32)),
            c => out.push(c),
        }
    }
    out.push('"');
    out
}

struct Reader<'a> {
    bytes: &'a [u8],
    at: usize,
}

impl Reader<'_> {
    fn skip_space(&mut self) {
        while self.at < self.bytes.len() && self.bytes[self.at].is_ascii_whitespace() {
            self.at += 1;
        }
    }

    fn take(&mut self, byte: u8) -> Option<()> {
        self.skip_space();
        (self.bytes.get(self.at) == Some(&byte)).then(|| self.at += 1)
    }

    fn word(&mut self, word: &str, value: Value) -> Option<Value> {
        self.bytes[self.at..].starts_with(word.as_bytes()).then(|| {
            self.at += word.len();
            value
        })
    }

    fn value(&mut self) -> Option<Value> {
        self.skip_space();
        match self.bytes.get(self.at)? {
            b'{' => self.map(),
            b'[' => self.list(),
            b'"' => Some(Value::Text(self.text()?)),
            b't' => self.word("true", Value::Bool),
            b'f' => self.word("false", Value::Bool),
            b'n' => self.word("null", Value::Null),
            _ => self.number(),
        }
    }

    fn map(&mut self) -> Option<Value> {
        self.take(b'{')?;
        let mut map = BTreeMap::new();
        if self.take(b'}').is_some() {
            return Some(Value::Map(map));
        }
        loop {
            self.skip_space();
            let name = self.text()?;
            self.take(b':')?;
            map.insert(name, self.value()?);
            if self.take(b',').is_none() {
                self.take(b'}')?;
                return Some(Value::Map(map));
            }
        }
    }

    fn list(&mut self) -> Option<Value> {
        self.take(b'[')?;
        let mut list = Vec::new();
        if self.take(b']').is_some() {
            return Some(Value::List(list));
        }
        loop {
            list.push(self.value()?);
            if self.take(b',').is_none() {
                self.take(b']')?;
                return Some(Value::List(list));
            }
        }
    }

    fn number(&mut self) -> Option<Value> {
        let start = self.at;
        while self.at < self.bytes.len() && b"+-.eE0123456789".contains(&self.bytes[self.at]) {
            self.at += 1;
        }
        let text = std::str::from_utf8(&self.bytes[start..self.at]).ok()?;
        text.parse().ok().map(Value::Number)
    }

    fn text(&mut self) -> Option<String> {
        self.take(b'"')?;
        let mut out = Vec::new();
        loop {
            match *self.bytes.get(self.at)? {
                b'"' => {
                    self.at += 1;
                    return String::from_utf8(out).ok();
                }
                b'\\' => {
                    let escaped = *self.bytes.get(self.at + 1)?;
                    self.at += 2;
                    match escaped {
                        b'n' => out.push(b'\n'),
                        b't' => out.push(b'\t'),
                        b'r' => out.push(b'\r'),
                        b'b' => out.push(8),
                        b'f' => out.push(12),
                        b'u' => {
                            let hex = std::str::from_utf8(self.bytes.get(self.at..self.at + 4)?);
                            let code = u32::from_str_radix(hex.ok()?, 16).ok()?;
                            self.at += 4;
                            let c = char::from_u32(code).unwrap_or('?');
                            out.extend_from_slice(c.to_string().as_bytes());
                        }
                        other => out.push(other),
                    }
                }
                byte => {
                    out.push(byte);
                    self.at += 1;
                }
            }
        }
    }
}
