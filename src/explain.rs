//! `ibiscove explain`: reconstructs a request's path from log files.

use crate::cli::CliError;
use crate::output::{Output, read_file};
use crate::settings::Settings;
use ibiscove_explain::{Log, Query, Role, Step, Timeline, build_timeline};
use serde_json::Value;
use std::path::Path;
use std::time::SystemTime;

pub(crate) const HELP: &str = "\
Finds in the log files of several processes what became of a request: its own
lines, and what the nodes on its path believed then (configuration, lease, owner
of the key, upstream). With --key, who had a key; with neither, every event of a
span of time. FILE may hold several processes' lines if each begins with the
process's name.

Usage: ibiscove explain ID FILE... [FLAGS]
       ibiscove explain --key KEY FILE... [FLAGS]
       ibiscove explain --from TIME --to TIME FILE... [FLAGS]

Flags:
  --key KEY           a key of a divided service, 0 to 65535
  --from TIME         nothing before this, as 2026-12-04T08:15:00.250Z
  --to TIME           nothing after this
  --output FORMAT     text or json [text]

Exit codes: 0 found, 1 a file cannot be read, 2 the command line was not
understood, 7 no line tells of what was asked.
";

/// Exit code when no log line matches the query.
const NOT_FOUND_EXIT_CODE: u8 = 7;

pub(crate) fn run(mut settings: Settings) -> Result<(), CliError> {
    let output = Output::from_settings(&mut settings)?;
    let key: Option<u64> = settings.optional("--key", "a number from 0 to 65535")?;
    if key.is_some_and(|key| key > u16::MAX.into()) {
        return Err(CliError::Usage(
            "--key takes a number from 0 to 65535".to_owned(),
        ));
    }
    let from = take_time(&mut settings, "--from")?;
    let to = take_time(&mut settings, "--to")?;
    let request = match (key, from, to) {
        (None, None, None) => Some(settings.positional("ID")?),
        _ => None,
    };
    let mut paths = vec![settings.positional("FILE")?];
    while let Ok(path) = settings.positional("FILE") {
        paths.push(path);
    }
    settings.finish()?;
    let mut log = Log::default();
    for path in &paths {
        log.add(&default_process_name(path), &read_file(path)?);
    }
    let query = Query {
        request,
        key,
        from,
        to,
    };
    let timeline = build_timeline(log, &query);
    if !timeline.is_found() {
        return Err(CliError::WithExitCode {
            code: NOT_FOUND_EXIT_CODE,
            text: format!(
                "none of {} log lines matches the query; {} could not be read, and the processes \
                 left {} out under load",
                timeline.read.lines, timeline.read.unreadable, timeline.read.left_out
            ),
        });
    }
    output.print(&timeline, format_timeline);
    Ok(())
}

fn take_time(settings: &mut Settings, flag: &'static str) -> Result<Option<SystemTime>, CliError> {
    let expected = "a time such as 2026-12-04T08:15:00.250Z";
    let time: Option<humantime::Timestamp> = settings.optional(flag, expected)?;
    Ok(time.map(Into::into))
}

/// Returns the name of a file's process until a line names its node.
fn default_process_name(path: &str) -> String {
    let stem = Path::new(path).file_stem();
    stem.map_or_else(
        || path.to_owned(),
        |stem| stem.to_string_lossy().into_owned(),
    )
}

fn format_timeline(timeline: &Timeline) -> Vec<String> {
    let width = timeline.steps.iter().map(|step| step.process.len()).max();
    let width = width.unwrap_or(0);
    let mut lines: Vec<String> = timeline
        .steps
        .iter()
        .map(|step| format_step(step, width))
        .collect();
    let read = &timeline.read;
    lines.push(format!(
        "{} of {} lines; {} unreadable, {} left out under load",
        timeline.steps.len(),
        read.lines,
        read.unreadable,
        read.left_out
    ));
    lines
}

/// Escapes control characters. Callers choose ids, so a logged text may hold
/// any character, even ones that move the cursor.
fn escape_control_chars(text: &str) -> String {
    let escape = |c: char| match c.is_control() {
        true => c.escape_default().to_string(),
        false => c.to_string(),
    };
    text.chars().map(escape).collect()
}

/// Formats one step as a line; a star marks lines of the query's subject.
fn format_step(step: &Step, width: usize) -> String {
    let mark = match step.role {
        Role::Path => '*',
        Role::Belief => ' ',
    };
    let time = humantime::format_rfc3339_millis(step.time);
    let fields: String = step
        .fields
        .iter()
        .map(|(name, value)| match value {
            Value::String(text) => format!(" {name}={}", escape_control_chars(text)),
            value => format!(" {name}={value}"),
        })
        .collect();
    let message = escape_control_chars(&step.message);
    format!("{mark} {time} {:width$} {message}{fields}", step.process)
}
