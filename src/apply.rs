//! `ibiscove apply`: puts a new version of the inventory or the rules in force.

use crate::cli::CliError;
use crate::diff::take_kind;
use crate::operator::{
    CONFLICT_EXIT_CODE, FLAGS_HELP, HARMFUL_EXIT_CODE, LAGGING_EXIT_CODE, OperatorClient,
};
use crate::output::{Output, display_lines, read_file};
use crate::settings::Settings;
use ibiscove_config::change::{ChangeRequest, ChangeResponse, ConfigKind, VersionInfo};
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

/// Help on the flags shared by commands that change the configuration.
pub(crate) const CHANGE_FLAGS_HELP: &str = "\
  --author NAME          who makes the change [the USER variable]
  --wait                 return when every live node has the change
  --wait-timeout-ms N    how long to wait for that [10000]
  --dry-run              do everything but the write
  --force                accept harm that may be forced
";

/// Interval at which the nodes' status is polled for a change.
const STATUS_POLL_INTERVAL: Duration = Duration::from_millis(200);
/// Largest value of `--wait-timeout-ms`.
const MAX_WAIT_MS: u64 = 600_000;

/// Flags of commands that change the configuration.
pub(crate) struct ChangeFlags {
    pub(crate) operator: OperatorClient,
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
            operator: OperatorClient::from_settings(settings)?,
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

    /// Requests the change, prints the response and, with `--wait`, waits until
    /// every live node has the change.
    pub(crate) async fn apply(&self, kind: ConfigKind, body: String) -> Result<(), CliError> {
        let req = ChangeRequest {
            expect: self.expect,
            author: self.author.clone(),
            body,
            force: self.force,
            dry_run: self.dry_run,
        };
        let response = self.operator.change(kind, &req).await?;
        self.output
            .print(&response, |response| format_response(kind, response));
        match response {
            ChangeResponse::Accepted { version, .. } if self.wait => {
                self.wait_for_nodes(kind, &version).await
            }
            response => require_accepted(&response),
        }
    }

    async fn wait_for_nodes(
        &self,
        kind: ConfigKind,
        version: &VersionInfo,
    ) -> Result<(), CliError> {
        let started = Instant::now();
        loop {
            let status: ClusterStatus = self.operator.get("status").await?;
            let lagging: Vec<_> = status.nodes_without(kind, version.version).collect();
            if lagging.is_empty() {
                return Ok(());
            }
            if started.elapsed() > self.wait_timeout {
                let lagging = lagging.iter().map(|node| match &node.lag {
                    Some(lag) => format!("{} ({lag})", node.name),
                    None => node.name.clone(),
                });
                let names: Vec<_> = lagging.collect();
                return Err(CliError::WithExitCode {
                    code: LAGGING_EXIT_CODE,
                    text: format!("accepted, but not yet on {}", names.join(", ")),
                });
            }
            smol::Timer::after(STATUS_POLL_INTERVAL).await;
        }
    }
}

pub(crate) fn run(mut settings: Settings) -> Result<(), CliError> {
    let flags = ChangeFlags::from_settings(&mut settings)?;
    let kind = take_kind(&mut settings)?;
    let path = settings.positional("FILE")?;
    settings.finish()?;
    smol::block_on(flags.apply(kind, read_file(&path)?))
}

fn format_response(kind: ConfigKind, response: &ChangeResponse) -> Vec<String> {
    match response {
        ChangeResponse::Accepted { version, changes } => {
            let mut lines = vec![format!("accepted as {kind} version {}", version.version)];
            lines.extend(display_lines(changes));
            lines
        }
        ChangeResponse::WouldAccept {
            changes,
            harms,
            findings,
        } => {
            let mut lines = vec!["would be accepted; nothing was changed".to_owned()];
            lines.extend(display_lines(changes));
            lines.extend(display_lines(harms));
            lines.extend(display_lines(findings));
            lines
        }
        ChangeResponse::Conflict { current, changes } => {
            let mut lines = vec![match current {
                Some(current) => format!(
                    "{kind} version {} by {} is in force; from it to your file:",
                    current.version, current.author
                ),
                None => format!("no version of {kind} is in force yet; use --expect 0"),
            }];
            lines.extend(display_lines(changes));
            lines
        }
        ChangeResponse::Invalid { findings } => display_lines(findings),
        ChangeResponse::Harmful { harms } => display_lines(harms),
    }
}

fn require_accepted(response: &ChangeResponse) -> Result<(), CliError> {
    match response {
        ChangeResponse::Accepted { .. } | ChangeResponse::WouldAccept { .. } => Ok(()),
        ChangeResponse::Conflict { .. } => Err(CliError::WithExitCode {
            code: CONFLICT_EXIT_CODE,
            text: "another change came first; nothing was changed".to_owned(),
        }),
        ChangeResponse::Invalid { .. } => Err(CliError::Failed(
            "the file has errors; nothing was changed".to_owned(),
        )),
        ChangeResponse::Harmful { .. } => Err(CliError::WithExitCode {
            code: HARMFUL_EXIT_CODE,
            text: "it would do harm; nothing was changed".to_owned(),
        }),
    }
}
