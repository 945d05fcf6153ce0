//! `ibiscove demo`: the Dakar mesh on loopback, with sample traffic and a loss.
//!
//! Nodes, upstreams and the platform are all in this process; the requests are
//! real HTTP requests to real listeners. It shows what each request got and who
//! owns what, before and after one node is lost without a word.

mod mesh;
mod traffic;

use crate::cli::CliError;
use crate::settings::Settings;
use ibiscove_logging as logging;
use ibiscove_routing::dedup::DedupSettings;
use ibiscove_types::{Clock, SystemClock};
use mesh::Mesh;
use std::time::Duration;
use traffic::{Asked, Tally};

pub(crate) const HELP: &str = "\
Runs the Dakar mesh on loopback, loses one node on the way and ends with a
summary, in under a minute.

Usage: ibiscove demo [FLAGS]

  --verbose   print warnings of the nodes, too
";

/// Portfolio pages asked for.
const PAGES: usize = 8;
/// Painters booked.
const BOOKINGS: usize = 6;
/// Families that pay a deposit; each sends its payment twice.
const DEPOSITS: usize = 6;
/// Longest wait for a key of the lost node to be served again.
const RECOVERY_LIMIT: Duration = Duration::from_secs(15);
/// Time between two looks at whether it is.
const RECOVERY_INTERVAL: Duration = Duration::from_millis(50);

pub(crate) fn run(mut settings: Settings) -> Result<(), CliError> {
    let level = match settings.switch("--verbose") {
        true => log::LevelFilter::Warn,
        false => log::LevelFilter::Off,
    };
    settings.finish()?;
    logging::init(level, logging::Output::Stderr).map_err(CliError::failed)?;
    smol::block_on(demo(SystemClock))
}

async fn demo(clock: impl Clock) -> Result<(), CliError> {
    let began = clock.now();
    println!("# Starting three data centres, 12 upstreams and a node beside each\n");
    let mut mesh = Mesh::start().await?;
    mesh.wait_for_owners(&clock).await?;
    mesh.print_owners();

    let mut tally = Tally::default();
    println!("\n# Traffic: any node takes any request\n");
    sample_traffic(&mesh, &mut tally).await?;

    let lost = mesh.owner_of("deposits", &family(0))?;
    println!("\n# Losing node {lost}: killed without a word, with its upstream\n");
    mesh.lose(&lost).await;
    let away = recover(&mesh, &mut tally, &clock).await?;
    println!("{} was served again after {away:.1?}", family(0));
    mesh.wait_for_owners(&clock).await?;
    println!();
    mesh.print_owners();

    println!("\n# Traffic after the loss\n");
    traffic_after_loss(&mesh, &mut tally, &clock).await?;

    println!("\n# Summary\n");
    tally.print();
    println!(
        "runs of one payment or booking beyond the first: {}",
        mesh.double_runs()
    );
    println!("time for which a key of the lost node was not served: {away:.1?}");
    mesh.drain().await?;
    let took = clock.now().saturating_duration_since(began);
    println!("the remaining nodes drained; {took:.1?} in all");
    Ok(())
}

fn family(number: usize) -> String {
    format!("family-{number}")
}

/// Reads, bookings and deposits, each deposit sent twice.
async fn sample_traffic(mesh: &Mesh, tally: &mut Tally) -> Result<(), CliError> {
    println!("Portfolio pages: shared, any upstream of the gallery answers.\n");
    for number in 0..PAGES {
        let asked = Asked::get(format!("/gallery/portfolio-{number}"));
        tally.ask(mesh, asked).await?;
    }
    println!("\nBookings: one owner for each painter's calendar.\n");
    for number in 0..BOOKINGS {
        let path = format!("/calendar/painter-{}", number % 3);
        let asked = Asked::post(path, &format!("booking-{number}"));
        tally.ask(mesh, asked).await?;
    }
    println!("\nDeposits: one owner for each account; each payment is sent twice.\n");
    for number in 0..DEPOSITS {
        let key = format!("deposit-{number}");
        tally.ask(mesh, payment(number, &key).first()).await?;
        tally.ask(mesh, payment(number, &key)).await?;
    }
    Ok(())
}

/// A payment of the lost owner's once more, then new ones.
async fn traffic_after_loss(
    mesh: &Mesh,
    tally: &mut Tally,
    clock: &impl Clock,
) -> Result<(), CliError> {
    println!("A payment that the lost owner may have run is never run again:\n");
    tally.ask(mesh, payment(0, "deposit-0")).await?;
    // A new owner takes a payment for new only when it was first sent after the
    // takeover by more than callers' clocks may run apart.
    clock.sleep(DedupSettings::default().clock_margin).await;
    println!("\nNew payments, marked as sent for the first time, run at the new owners:\n");
    for number in 0..DEPOSITS {
        let asked = payment(number, &format!("second-{number}")).first();
        tally.ask(mesh, asked).await?;
    }
    Ok(())
}

fn payment(number: usize, key: &str) -> Asked {
    Asked::post(format!("/deposits/{}", family(number)), key)
}

/// Reads a key of the lost node until somebody serves it; gives the time.
async fn recover(mesh: &Mesh, tally: &mut Tally, clock: &impl Clock) -> Result<Duration, CliError> {
    let began = clock.now();
    loop {
        let asked = Asked::get(format!("/deposits/{}", family(0)));
        let is_served = tally.ask_quietly(mesh, asked).await?;
        let took = clock.now().saturating_duration_since(began);
        if is_served {
            return Ok(took);
        }
        if took > RECOVERY_LIMIT {
            let text = format!("{} is not served after {took:.1?}", family(0));
            return Err(CliError::Failed(text));
        }
        clock.sleep(RECOVERY_INTERVAL).await;
    }
}
