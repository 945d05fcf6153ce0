//! `ibiscove-bench`: takes the measurements that the book shows.

use ibiscove_bench::losses::{self, LossSettings};
use ibiscove_bench::pipelines;
use ibiscove_bench::scenarios::{self, Scenario};
use ibiscove_bench::slopes::{self, Group, SlopeSettings, Slopes, Taken};
use ibiscove_bench::{BenchError, capacity, plot};
use std::collections::BTreeMap;
use std::path::{Path, PathBuf};
use std::process::{Command, ExitCode, Stdio};
use std::time::Duration;

const HELP: &str = "\
ibiscove-bench: measures ibiscove on one machine, on loopback

Usage: ibiscove-bench COMMAND [FLAGS]

Commands:
  slopes   measure what a node costs and work out docs/CAPACITY.md from it
             --out FILE       the file of slopes (default docs/capacity/slopes.toml)
             --page FILE      the page whose figures are remade (default docs/CAPACITY.md)
             --machine TEXT   the machine, in general words
             --commit ID      the commit that is measured
             --quiet          nothing else was running, so the figures are no trials
             --nodes LIST     numbers of nodes (default 10,30,70; beyond some 95 all of
                              them connected to all pass 20,000 open files)
             --idle SECONDS   length of each idle interval (default 10)
  run      play scenarios and show what callers see
             --scenario NAME  steady, hot-key, slow-upstream, overload, drain, loss,
                              data-centre-loss, loss-in-outage (default: all)
             --site NAME      dakar or tunis (default dakar)
             --seconds N      length of each scenario (default 12)
             --out FOLDER     results as JSON and pictures as SVG (default target/bench)
  losses   measure the time from a loss until the lost keys are served
             --nodes N        nodes of the cluster (default 6)
             --losses N       losses, one after the other (default 10)
             --table-down     with the table down during each loss
             --data-centre    lose all nodes of a data centre at once
  pipelines  load a server with look-ahead beside one without, with pipelines
           of 1, 4 and 16 reads
             --connections N  connections to each (default 200)
             --seconds N      length of each load (default 5)
  page     remake the page's figures from the file of slopes
             --out FILE, --page FILE as above
";

fn main() -> ExitCode {
    match run() {
        Ok(()) => ExitCode::SUCCESS,
        Err(err) => {
            eprintln!("ibiscove-bench: {err}");
            ExitCode::FAILURE
        }
    }
}

fn run() -> Result<(), BenchError> {
    let mut args = pico_args::Arguments::from_env();
    match args.subcommand()?.as_deref() {
        Some("slopes") => run_slopes(args),
        Some("run") => run_scenarios(args),
        Some("part") => run_part(args),
        Some("losses") => run_losses(args),
        Some("pipelines") => run_pipelines(args),
        Some("page") => {
            let files = Files::parse(&mut args)?;
            let slopes = Slopes::parse(&read(&files.slopes)?)?;
            files.write_page(&slopes)
        }
        _ => {
            print!("{HELP}");
            Ok(())
        }
    }
}

/// Plays scenarios one after another and writes what they gave.
fn run_scenarios(mut args: pico_args::Arguments) -> Result<(), BenchError> {
    let name: Option<String> = args.opt_value_from_str("--scenario")?;
    let site: Option<String> = args.opt_value_from_str("--site")?;
    let seconds: Option<u64> = args.opt_value_from_str("--seconds")?;
    let folder: Option<PathBuf> = args.opt_value_from_str("--out")?;
    let folder = folder.unwrap_or_else(|| "target/bench".into());
    std::fs::create_dir_all(&folder)?;
    let site = match site.as_deref() {
        None | Some("dakar") => scenarios::DAKAR,
        Some("tunis") => scenarios::TUNIS,
        Some(other) => return Err(BenchError::Usage(format!("unknown site {other:?}"))),
    };
    let length = Duration::from_secs(seconds.unwrap_or(12));
    let wanted = Scenario::ALL.into_iter();
    let wanted = wanted.filter(|scenario| name.as_deref().is_none_or(|n| n == scenario.as_str()));
    for scenario in wanted {
        eprintln!("{} in {}, {length:?}", scenario.as_str(), site.name);
        let report = smol::block_on(scenarios::run(scenario, site, length))?;
        let file = folder.join(format!("{}-{}", site.name, scenario.as_str()));
        let json = serde_json::to_string(&report).expect("a report is plain data");
        write(&file.with_extension("json"), &json)?;
        plot::draw(&report, &file.with_extension("svg"))?;
        println!("{}", report.to_row());
    }
    Ok(())
}

struct Files {
    slopes: PathBuf,
    page: PathBuf,
}

impl Files {
    fn parse(args: &mut pico_args::Arguments) -> Result<Self, BenchError> {
        let slopes: Option<PathBuf> = args.opt_value_from_str("--out")?;
        let page: Option<PathBuf> = args.opt_value_from_str("--page")?;
        Ok(Self {
            slopes: slopes.unwrap_or_else(|| "docs/capacity/slopes.toml".into()),
            page: page.unwrap_or_else(|| "docs/CAPACITY.md".into()),
        })
    }

    fn write_page(&self, slopes: &Slopes) -> Result<(), BenchError> {
        let page = capacity::render(&read(&self.page)?, slopes)?;
        write(&self.page, &page)
    }
}

fn run_losses(mut args: pico_args::Arguments) -> Result<(), BenchError> {
    let nodes: Option<usize> = args.opt_value_from_str("--nodes")?;
    let losses: Option<usize> = args.opt_value_from_str("--losses")?;
    let settings = LossSettings {
        nodes: nodes.unwrap_or(6),
        losses: losses.unwrap_or(10),
        table_down: args.contains("--table-down"),
        data_centre: args.contains("--data-centre"),
    };
    for loss in smol::block_on(losses::run(settings))? {
        println!(
            "first {} ms, last {} ms, slots changed {} of least {}",
            loss.first.as_millis(),
            loss.last.as_millis(),
            loss.changed,
            loss.least
        );
    }
    Ok(())
}

fn run_pipelines(mut args: pico_args::Arguments) -> Result<(), BenchError> {
    let connections: Option<usize> = args.opt_value_from_str("--connections")?;
    let seconds: Option<u64> = args.opt_value_from_str("--seconds")?;
    let length = Duration::from_secs(seconds.unwrap_or(5));
    println!("| depth | look-ahead | p50, ms | p99, ms | answers a second | KiB a connection |");
    println!("|---|---|---|---|---|---|");
    for report in smol::block_on(pipelines::run(connections.unwrap_or(200), length))? {
        println!("{}", report.to_row());
    }
    Ok(())
}

fn run_slopes(mut args: pico_args::Arguments) -> Result<(), BenchError> {
    let files = Files::parse(&mut args)?;
    let machine: Option<String> = args.opt_value_from_str("--machine")?;
    let commit: Option<String> = args.opt_value_from_str("--commit")?;
    let taken = Taken {
        command: "cargo run --release -p ibiscove-bench -- slopes".to_owned(),
        commit: commit.unwrap_or_else(|| "not stated".to_owned()),
        machine: machine.unwrap_or_else(|| "not stated".to_owned()),
        quiet: args.contains("--quiet"),
    };
    let rest = args.finish();
    let mut slopes = Slopes {
        taken,
        slope: BTreeMap::new(),
    };
    for group in Group::ALL {
        let part = Command::new(std::env::current_exe()?)
            .args(["part", "--group", group.as_str()])
            .args(&rest)
            .stderr(Stdio::inherit())
            .output()?;
        if !part.status.success() {
            return Err(BenchError::Slopes(format!("{} failed", group.as_str())));
        }
        let part = String::from_utf8_lossy(&part.stdout);
        slopes.slope.extend(Slopes::parse_part(&part)?);
    }
    if let Some(folder) = files.slopes.parent() {
        std::fs::create_dir_all(folder)?;
    }
    write(&files.slopes, &slopes.to_text()?)?;
    files.write_page(&slopes)
}

/// Measures one group in this process and prints it.
fn run_part(mut args: pico_args::Arguments) -> Result<(), BenchError> {
    let word: String = args.value_from_str("--group")?;
    let group = Group::parse(&word);
    let group = group.ok_or_else(|| BenchError::Usage(format!("unknown group {word:?}")))?;
    let mut settings = SlopeSettings::default();
    if let Some(nodes) = args.opt_value_from_fn("--nodes", parse_list)? {
        settings.nodes = nodes;
    }
    if let Some(seconds) = args.opt_value_from_str("--idle")? {
        settings.idle = Duration::from_secs(seconds);
    }
    let slopes = smol::block_on(slopes::measure(group, &settings))?;
    print!("{}", Slopes::part_text(&slopes)?);
    Ok(())
}

fn parse_list(text: &str) -> Result<Vec<usize>, std::num::ParseIntError> {
    text.split(',').map(str::parse).collect()
}

fn read(path: &Path) -> Result<String, BenchError> {
    std::fs::read_to_string(path).map_err(|cause| file_error(path, cause))
}

fn write(path: &Path, text: &str) -> Result<(), BenchError> {
    std::fs::write(path, text).map_err(|cause| file_error(path, cause))
}

fn file_error(path: &Path, cause: std::io::Error) -> BenchError {
    BenchError::File {
        path: path.display().to_string(),
        cause,
    }
}
