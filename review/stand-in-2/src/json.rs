//! A small JSON reader and writer, so that the stand-ins need no dependency.

use std::fmt;

/// A JSON value.
#[derive(Clone, Debug, PartialEq)]
pub enum Value {
    /// `null`.
    Null,
    /// `true` or `false`.
    Bool(bool),
    /// A number.
    Num(f64),
    /// A text.
    Str(String),
    /// A list.
    Arr(Vec<Self>),
    /// An object, in the order of its fields.
    Obj(Vec<(String, Self)>),
}

impl Value {
    /// Returns a field of an object; `Null` if it is absent.
    pub fn get(&self, name: &str) -> &Self {
        const NULL: &Value = &Value::Null;
        match self {
            Self::Obj(fields) => {
                fields.iter().find(|(key, _)| key == name).map_or(NULL, |(_, value)| value)
            }
            _ => NULL,
        }
    }

    /// Returns the entries of a list; none for any other value.
    pub fn items(&self) -> &[Self] {
        match self {
            Self::Arr(items) => items,
            _ => &[],
        }
    }

    /// Returns a text; empty for any other value.
    pub fn text(&self) -> &str {
        match self {
            Self::Str(text) => text,
            _ => "",
        }
    }

    /// Returns a whole number; zero for any other value.
    pub fn number(&self) -> u64 {
        match self {
            Self::Num(number) => *number as u64,
            _ => 0,
        }
    }

    /// Returns whether the value is present and not `null`.
    pub fn is_given(&self) -> bool {
        *self != Self::Null
    }
}

impl fmt::Display for Value {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Null => f.write_str("null"),
            Self::Bool(value) => write!(f, "{value}"),
            Self::Num(number) => write!(f, "{number}"),
            Self::Str(text) => f.write_str(&quoted(text)),
            Self::Arr(items) => {
                let items: Vec<String> = items.iter().map(Self::to_string).collect();
                write!(f, "[{}]", items.join(","))
            }
            Self::Obj(fields) => {
                let fields: Vec<String> = fields
                    .iter()
                    .map(|(name, value)| format!("{}:{value}", quoted(name)))
                    .collect();
                write!(f, "{{{}}}", fields.join(","))
            }
        }
    }
}

/// Returns a text as a JSON string.
pub fn quoted(text: &str) -> String {
    let mut out = String::with_capacity(text.len() + 2);
    out.push('"');
    for sign in text.chars() {
        match sign {
            '"' => out.push_str("\\\""),
            '\\' => out.push_str("\\\\"),
            sign if (sign as u32) < 0x20 => out.push_str(&format!("\\u{:04x}", sign as u32)),
            sign => out.push(sign),
        }
    }
    out.push('"');
    out
}

/// Parses a text; `None` if it is no JSON.
pub fn parse(text: &str) -> Option<Value> {
    let mut reader = Reader { bytes: text.as_bytes(), at: 0 };
    let value = reader.value()?;
    reader.skip_blanks();
    (reader.at == reader.bytes.len()).then_some(value)
}

/// A position in a text that is parsed.
struct Reader<'a> {
    /// The text.
    bytes: &'a [u8],
    /// The next byte.
    at: usize,
}

impl Reader<'_> {
    /// Skips blanks.
    fn skip_blanks(&mut self) {
        while self.bytes.get(self.at).is_some_and(u8::is_ascii_whitespace) {
            self.at += 1;
        }
    }

    /// Skips blanks and takes the next byte if it is the given one.
    fn take(&mut self, byte: u8) -> bool {
        self.skip_blanks();
        let found = self.bytes.get(self.at) == Some(&byte);
        self.at += usize::from(found);
        found
    }

    /// Takes a word.
    fn word(&mut self, word: &str, value: Value) -> Option<Value> {
        let found = self.bytes[self.at..].starts_with(word.as_bytes());
        self.at += word.len();
        found.then_some(value)
    }

    /// Parses one value.
    fn value(&mut self) -> Option<Value> {
        self.skip_blanks();
        match *self.bytes.get(self.at)? {
            b'{' => self.object(),
            b'[' => self.list(),
            b'"' => Some(Value::Str(self.string()?)),
            b't' => self.word("true", Value::Bool(true)),
            b'f' => self.word("false", Value::Bool(false)),
            b'n' => self.word("null", Value::Null),
            _ => self.number(),
        }
    }

    /// Parses an object.
    fn object(&mut self) -> Option<Value> {
        self.at += 1;
        let mut fields = Vec::new();
        if self.take(b'}') {
            return Some(Value::Obj(fields));
        }
        loop {
            self.skip_blanks();
            let name = self.string()?;
            if !self.take(b':') {
                return None;
            }
            fields.push((name, self.value()?));
            if self.take(b'}') {
                return Some(Value::Obj(fields));
            }
            if !self.take(b',') {
                return None;
            }
        }
    }

    /// Parses a list.
    fn list(&mut self) -> Option<Value> {
        self.at += 1;
        let mut items = Vec::new();
        if self.take(b']') {
            return Some(Value::Arr(items));
        }
        loop {
            items.push(self.value()?);
            if self.take(b']') {
                return Some(Value::Arr(items));
            }
            if !self.take(b',') {
                return None;
            }
        }
    }

    /// Parses a string.
    fn string(&mut self) -> Option<String> {
        if self.bytes.get(self.at) != Some(&b'"') {
            return None;
        }
        self.at += 1;
        let mut out = Vec::new();
        loop {
            let byte = *self.bytes.get(self.at)?;
            self.at += 1;
            match byte {
                b'"' => return String::from_utf8(out).ok(),
                b'\\' => {
                    let sign = self.escape()?;
                    let mut buffer = [0; 4];
                    out.extend_from_slice(sign.encode_utf8(&mut buffer).as_bytes());
                }
                byte => out.push(byte),
            }
        }
    }

    /// Parses what follows a backslash.
    fn escape(&mut self) -> Option<char> {
        let byte = *self.bytes.get(self.at)?;
        self.at += 1;
        Some(match byte {
            b'n' => '\n',
            b't' => '\t',
            b'r' => '\r',
            b'b' => '\u{8}',
            b'f' => '\u{c}',
            b'u' => {
                let digits = std::str::from_utf8(self.bytes.get(self.at..self.at + 4)?).ok()?;
                self.at += 4;
                char::from_u32(u32::from_str_radix(digits, 16).ok()?)?
            }
            other => char::from(other),
        })
    }

    /// Parses a number.
    fn number(&mut self) -> Option<Value> {
        let rest = &self.bytes[self.at..];
        let length = rest.iter().take_while(|byte| b"+-.0123456789eE".contains(byte)).count();
        let text = std::str::from_utf8(&rest[..length]).ok()?;
        self.at += length;
        text.parse().ok().map(Value::Num)
    }
}
