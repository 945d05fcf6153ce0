//! JSON values: parser and writer.

use std::collections::BTreeMap;
use std::fmt;

#[derive(Clone, Debug, PartialEq)]
pub enum Json {
    Null,
    Bool(bool),
    Number(f64),
    Text(String),
    List(Vec<Json>),
    Map(BTreeMap<String, Json>),
}

impl Json {
    pub fn parse(text: &str) -> Option<Json> {
        let chars: Vec<char> = text.chars().collect();
        let mut parser = Parser { chars, at: 0 };
        parser.value()
    }

    pub fn get(&self, field: &str) -> Option<&Json> {
        match self {
            Json::Map(fields) => fields.get(field),
            _ => None,
        }
    }

    pub fn text(&self, field: &str) -> String {
        match self.get(field) {
            Some(Json::Text(text)) => text.clone(),
            _ => String::new(),
        }
    }

    pub fn number(&self, field: &str) -> f64 {
        match self.get(field) {
            Some(Json::Number(number)) => *number,
            _ => 0.0,
        }
    }

    pub fn list(&self, field: &str) -> &[Json] {
        match self.get(field) {
            Some(Json::List(list)) => list,
            _ => &[],
        }
    }
}

struct Parser {
    chars: Vec<char>,
    at: usize,
}

impl Parser {
    fn peek(&mut self) -> Option<char> {
        while self.chars.get(self.at).is_some_and(|c| c.is_whitespace()) {
            self.at += 1;
        }
        self.chars.get(self.at).copied()
    }

    fn take(&mut self, expected: char) -> Option<()> {
        (self.peek()? == expected).then(|| self.at += 1)
    }

    fn value(&mut self) -> Option<Json> {
        match self.peek()? {
            '{' => self.map(),
            '[' => self.list(),
            '"' => self.string().map(Json::Text),
            _ => self.word(),
        }
    }

    fn map(&mut self) -> Option<Json> {
        self.take('{')?;
        let mut fields = BTreeMap::new();
        while self.peek()? != '}' {
            if !fields.is_empty() {
                self.take(',')?;
            }
            self.peek()?;
            let name = self.string()?;
            self.take(':')?;
            fields.insert(name, self.value()?);
        }
        self.take('}')?;
        Some(Json::Map(fields))
    }

    fn list(&mut self) -> Option<Json> {
        self.take('[')?;
        let mut items = Vec::new();
        while self.peek()? != ']' {
            if !items.is_empty() {
                self.take(',')?;
            }
            items.push(self.value()?);
        }
        self.take(']')?;
        Some(Json::List(items))
    }

    fn string(&mut self) -> Option<String> {
        self.take('"')?;
        let mut text = String::new();
        loop {
            let c = *self.chars.get(self.at)?;
            self.at += 1;
            match c {
                '"' => return Some(text),
                '\\' => {
                    let escaped = *self.chars.get(self.at)?;
                    self.at += 1;
                    match escaped {
                        'n' => text.push('\n'),
                        't' => text.push('\t'),
                        'r' => text.push('\r'),
                        'u' => {
                            let digits: String = self.chars.get(self.at..self.at + 4)?.iter().collect();
                            self.at += 4;
                            text.push(char::from_u32(u32::from_str_radix(&digits, 16).ok()?)?);
                        }
                        other => text.push(other),
                    }
                }
                c => text.push(c),
            }
        }
    }

    fn word(&mut self) -> Option<Json> {
        let begin = self.at;
        let is_of_word = |c: &char| c.is_ascii_alphanumeric() || "+-.".contains(*c);
        while self.chars.get(self.at).is_some_and(is_of_word) {
            self.at += 1;
        }
        let word: String = self.chars[begin..self.at].iter().collect();
        match &*word {
            "null" => Some(Json::Null),
            "true" => Some(Json::Bool(true)),
            "false" => Some(Json::Bool(false)),
            _ => word.parse().ok().map(Json::Number),
        }
    }
}

pub fn quote(text: &str) -> String {
    let mut quoted = String::from("\"");
    for c in text.chars() {
        match c {
            '"' => quoted += "\\\"",
            '\\' => quoted += "\\\\",
            c if (c as u32) < 0x20 => quoted += &format!("\\u{:04x}", c as u32),
            c => quoted.push(c),
        }
    }
    quoted + "\""
}

impl fmt::Display for Json {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Json::Null => write!(f, "null"),
            Json::Bool(value) => write!(f, "{value}"),
            Json::Number(number) => write!(f, "{number}"),
            Json::Text(text) => write!(f, "{}", quote(text)),
            Json::List(items) => {
                let items: Vec<String> = items.iter().map(Json::to_string).collect();
                write!(f, "[{}]", items.join(","))
            }
            Json::Map(fields) => {
                let field = |(name, value): (&String, &Json)| format!("{}:{value}", quote(name));
                let fields: Vec<String> = fields.iter().map(field).collect();
                write!(f, "{{{}}}", fields.join(","))
            }
        }
    }
}
