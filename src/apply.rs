//! `ibiscove apply`: puts a new version of inventory or rules in force.

use crate::cli::CliError;
use crate::diff::kind;
use crate::operator::{CONFLICT_CODE, FLAGS_HELP, HARMFUL_CODE, LAGGING_CODE, Operator};
use crate::output::{Output, lines, read_file};
use crate::settings::Settings;
use ibiscove_config::change::{ChangeAnswer, ChangeRequest, ConfigKind, VersionInfo};
use ibiscove_node::status::ClusterStatus;
use std::sync::LazyLock;
use std::time::{Duration, Instant};

pub(crate) static HELP: LazyLock<String> = LazyLock::new(|| {
    format!(
        "\
Puts a new version in force, if the version in force is the expected one.

Usage: ibiscove apply inventory|rules FILE --expect VERSION [FLAGS]

Flags:
  --expect VERSION       the version that the file replaces; 0 for the first
{CHANGE_FLAGS_HELP}{FLAGS_HELP}"
    )
});

/// Help on the flags of commands that change something.
pub(crate) const CHANGE_FLAGS_HELP: &str = "\
  --author NAME          who makes the change [the USER variable]
  --wait                 return when every live node has the change
  --wait-timeout-ms N    how long to wait for that [10000]
  --dry-run              do everything but the write
  --force                accept harm that may be forced
";

/// Time between two looks at which nodes have a change.
const LOOK_INTERVAL: Duration = Duration::from_millis(200);
/// Longest wait, in milliseconds.
const MAX_WAIT_MS: u64 = 600_000;

/// What the flags of a change say.
pub(crate) struct ChangeFlags {
    pub(crate) operator: Operator,
    pub(crate) output: Output,
    pub(crate) expect: u64,
    author: String,
    wait: bool,
    wait_timeout: Duration,
    dry_run: bool,
    force: bool,
}

impl ChangeFlags {
    pub(crate) fn from_settings(settings: &mut Settings) -> Result<Self, CliError> {
        let expect: Option<u64> = settings.optional("--expect", "a version, such as 7")?;
        let expect = expect.ok_or_else(|| {
            CliError::Usage("--expect is missing; `ibiscove get` prints the version".to_owned())
        })?;
        let user = std::env::var("USER").unwrap_or_else(|_| "unknown".to_owned());
        Ok(Self {
            operator: Operator::from_settings(settings)?,
            output: Output::from_settings(settings)?,
            expect,
            author: settings.value("--author", user, "a name")?,
            wait: settings.switch("--wait"),
            wait_timeout: settings.millis(
                "--wait-timeout-ms",
                Duration::from_secs(10),
                1..=MAX_WAIT_MS,
            )?,
            dry_run: settings.switch("--dry-run"),
            force: settings.switch("--force"),
        })
    }

    /// Asks for the change, prints what became of it, and waits if told to.
    pub(crate) async fn apply(&self, kind: ConfigKind, body: String) -> Result<(), CliError> {
        let req = ChangeRequest {
            expect: self.expect,
            author: self.author.clone(),
            body,
            force: self.force,
            dry_run: self.dry_run,
        };
        let answer = self.operator.change(kind, &req).await?;
        self.output.print(&answer, |answer| describe(kind, answer));
        match answer {
            ChangeAnswer::Accepted { version, .. } if self.wait => {
                self.wait_for(kind, &version).await
            }
            answer => verdict(&answer),
        }
    }

    async fn wait_for(&self, kind: ConfigKind, version: &VersionInfo) -> Result<(), CliError> {
        let began = Instant::now();
        loop {
            let status: ClusterStatus = self.operator.get("status").await?;
            let lacking: Vec<_> = status.nodes_without(kind, version.version).collect();
            if lacking.is_empty() {
                return Ok(());
            }
            if began.elapsed() > self.wait_timeout {
                let lacking = lacking.iter().map(|node| match &node.lag {
                    Some(lag) => format!("{} ({lag})", node.name),
                    None => node.name.clone(),
                });
                let names: Vec<_> = lacking.collect();
                return Err(CliError::Coded {
                    code: LAGGING_CODE,
                    text: format!("accepted, but not yet on {}", names.join(", ")),
                });
            }
            smol::Timer::after(LOOK_INTERVAL).await;
        }
    }
}

pub(crate) fn run(mut settings: Settings) -> Result<(), CliError> {
    let flags = ChangeFlags::from_settings(&mut settings)?;
    let kind = kind(&mut settings)?;
    let path = settings.positional("FILE")?;
    settings.finish()?;
    smol::block_on(flags.apply(kind, read_file(&path)?))
}

fn describe(kind: ConfigKind, answer: &ChangeAnswer) -> Vec<String> {
    match answer {
        ChangeAnswer::Accepted { version, changes } => {
            let mut text = vec![format!("accepted as {kind} version {}", version.version)];
            text.extend(lines(changes));
            text
        }
        ChangeAnswer::WouldAccept {
            changes,
            harms,
            findings,
        } => {
            let mut text = vec!["would be accepted; nothing was changed".to_owned()];
            text.extend(lines(changes));
            text.extend(lines(harms));
            text.extend(lines(findings));
            text
        }
        ChangeAnswer::Conflict { current, changes } => {
            let mut text = vec![match current {
                Some(current) => format!(
                    "{kind} version {} by {} is in force; from it to your file:",
                    current.version, current.author
                ),
                None => format!("no version of {kind} is in force yet; use --expect 0"),
            }];
            text.extend(lines(changes));
            text
        }
        ChangeAnswer::Invalid { findings } => lines(findings),
        ChangeAnswer::Harmful { harms } => lines(harms),
    }
}

fn verdict(answer: &ChangeAnswer) -> Result<(), CliError> {
    match answer {
        ChangeAnswer::Accepted { .. } | ChangeAnswer::WouldAccept { .. } => Ok(()),
        ChangeAnswer::Conflict { .. } => Err(CliError::Coded {
            code: CONFLICT_CODE,
            text: "another change came first; nothing was changed".to_owned(),
        }),
        ChangeAnswer::Invalid { .. } => Err(CliError::Failed(
            "the file has errors; nothing was changed".to_owned(),
        )),
        ChangeAnswer::Harmful { .. } => Err(CliError::Coded {
            code: HARMFUL_CODE,
            text: "it would do harm; nothing was changed".to_owned(),
        }),
    }
}
