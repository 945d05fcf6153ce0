//! Formatting of log lines as JSON.

use log::kv::{Key, Value, VisitSource};
use serde_json::{Map, json};
use std::time::SystemTime;

/// Length in bytes at which the text of one field is truncated. Ids and
/// addresses are far shorter; callers may send longer ones.
pub const MAX_FIELD_BYTES: usize = 512;

/// Formats a record as one line that ends in a newline. `suppressed` is the
/// number of lines of its call site left out before it.
pub fn format(time: SystemTime, record: &log::Record<'_>, suppressed: u64) -> String {
    let mut fields = Fields(Map::new());
    // An unreadable field must not prevent the line.
    let _ = record.key_values().visit(&mut fields);
    let mut fields = fields.0;
    let time = humantime::format_rfc3339_millis(time).to_string();
    fields.insert("time".to_owned(), json!(time));
    fields.insert("level".to_owned(), json!(record.level().as_str()));
    fields.insert("target".to_owned(), json!(record.target()));
    fields.insert(
        "message".to_owned(),
        json!(truncate_text(record.args().to_string())),
    );
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
            json!(truncate_text(value.to_string()))
        };
        self.0.insert(key.as_str().to_owned(), value);
        Ok(())
    }
}

/// Truncates a text that is too long, marked by an ellipsis.
fn truncate_text(mut text: String) -> String {
    if text.len() > MAX_FIELD_BYTES {
        text.truncate(text.floor_char_boundary(MAX_FIELD_BYTES));
        text.push('…');
    }
    text
}
