//! One log line as JSON.

use log::kv::{Key, Value, VisitSource};
use serde_json::{Map, json};
use std::time::SystemTime;

/// Longest text of one field, in bytes. Ids and addresses are far shorter; what
/// a caller made longer is cut.
pub const MAX_TEXT: usize = 512;

/// A record as one line that ends in a newline. `suppressed` lines of its call
/// site were left out before it.
pub fn format(time: SystemTime, record: &log::Record<'_>, suppressed: u64) -> String {
    let mut fields = Fields(Map::new());
    // A field that cannot be read must not cost the line.
    let _ = record.key_values().visit(&mut fields);
    let mut fields = fields.0;
    let time = humantime::format_rfc3339_millis(time).to_string();
    fields.insert("time".to_owned(), json!(time));
    fields.insert("level".to_owned(), json!(record.level().as_str()));
    fields.insert("target".to_owned(), json!(record.target()));
    fields.insert("message".to_owned(), json!(cut(record.args().to_string())));
    if suppressed > 0 {
        fields.insert("suppressed".to_owned(), json!(suppressed));
    }
    let mut line = serde_json::Value::Object(fields).to_string();
    line.push('\n');
    line
}

struct Fields(Map<String, serde_json::Value>);

impl<'kvs> VisitSource<'kvs> for Fields {
    fn visit_pair(&mut self, key: Key<'kvs>, value: Value<'kvs>) -> Result<(), log::kv::Error> {
        let value = if let Some(flag) = value.to_bool() {
            json!(flag)
        } else if let Some(number) = value.to_u64() {
            json!(number)
        } else if let Some(number) = value.to_i64() {
            json!(number)
        } else if let Some(number) = value.to_f64() {
            json!(number)
        } else {
            json!(cut(value.to_string()))
        };
        self.0.insert(key.as_str().to_owned(), value);
        Ok(())
    }
}

/// Cuts a text that is too long, and marks that it was cut.
fn cut(mut text: String) -> String {
    if text.len() > MAX_TEXT {
        text.truncate(text.floor_char_boundary(MAX_TEXT));
        text.push('…');
    }
    text
}
