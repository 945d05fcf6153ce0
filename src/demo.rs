//! `ibiscove demo`: the Dakar mesh on loopback, with sample traffic and the loss
//! of a node.
//!
//! Nodes, upstreams and the platform all run in this process; requests are real
//! HTTP requests to real listeners. The demo prints each request's outcome and
//! the slots of each node, before and after one node is killed without a drain.

mod mesh;
mod traffic;

use crate::cli::CliError;
use crate::settings::Settings;
use ibiscove_logging as logging;
use ibiscove_routing::dedup::DedupSettings;
use ibiscove_types::{Clock, SystemClock};
use mesh::Mesh;
use std::time::Duration;
use traffic::{SampleClient, SampleRequest};

pub(crate) const HELP: &str = "\
Runs the Dakar mesh on loopback, loses one node on the way and ends with a
summary, in under a minute.

Usage: ibiscove demo [FLAGS]

  --verbose   print warnings of the nodes, too
";

/// Requests for portfolio pages.
const PAGE_READS: usize = 8;
/// Bookings, spread over three painters' calendars.
const BOOKINGS: usize = 6;
/// Families that pay a deposit; each payment is sent twice.
const DEPOSITS: usize = 6;
/// Longest wait until a key of the lost node is served again.
const RECOVERY_TIMEOUT: Duration = Duration::from_secs(15);
/// Interval between two requests for that key.
const RECOVERY_POLL_INTERVAL: Duration = Duration::from_millis(50);

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
    let started = clock.now();
    println!("# Starting three data centres, 12 upstreams and a node beside each\n");
    let mut mesh = Mesh::start().await?;
    mesh.wait_for_owners(&clock).await?;
    mesh.print_owners();

    let mut client = SampleClient::default();
    println!("\n# Traffic: any node takes any request\n");
    sample_traffic(&mesh, &mut client).await?;

    let lost_node = mesh.owner_of("deposits", &account_key(0))?;
    println!("\n# Losing node {lost_node}: killed without a word, with its upstream\n");
    mesh.lose(&lost_node).await;
    let outage = wait_for_recovery(&mesh, &mut client, &clock).await?;
    println!("{} was served again after {outage:.1?}", account_key(0));
    mesh.wait_for_owners(&clock).await?;
    println!();
    mesh.print_owners();

    println!("\n# Traffic after the loss\n");
    traffic_after_loss(&mesh, &mut client, &clock).await?;

    println!("\n# Summary\n");
    client.print_outcomes();
    println!(
        "runs of one payment or booking beyond the first: {}",
        mesh.duplicate_runs()
    );
    println!("time for which a key of the lost node was not served: {outage:.1?}");
    mesh.drain().await?;
    let elapsed = clock.now().saturating_duration_since(started);
    println!("the remaining nodes drained; {elapsed:.1?} in all");
    Ok(())
}

/// Returns the deposits key of a family's account.
fn account_key(index: usize) -> String {
    format!("family-{index}")
}

/// Sends page reads, bookings and deposits, each deposit twice.
async fn sample_traffic(mesh: &Mesh, client: &mut SampleClient) -> Result<(), CliError> {
    println!("Portfolio pages: shared, any upstream of the gallery answers.\n");
    for index in 0..PAGE_READS {
        let req = SampleRequest::get(format!("/gallery/portfolio-{index}"));
        client.send_and_print(mesh, req).await?;
    }
    println!("\nBookings: one owner for each painter's calendar.\n");
    for index in 0..BOOKINGS {
        let path = format!("/calendar/painter-{}", index % 3);
        let req = SampleRequest::post(path, &format!("booking-{index}"));
        client.send_and_print(mesh, req).await?;
    }
    println!("\nDeposits: one owner for each account; each payment is sent twice.\n");
    for index in 0..DEPOSITS {
        let key = format!("deposit-{index}");
        client
            .send_and_print(mesh, payment(index, &key).marked_first_sent())
            .await?;
        client.send_and_print(mesh, payment(index, &key)).await?;
    }
    Ok(())
}

/// Sends a payment again that the lost owner may have run, then new payments.
async fn traffic_after_loss(
    mesh: &Mesh,
    client: &mut SampleClient,
    clock: &impl Clock,
) -> Result<(), CliError> {
    println!("A payment that the lost owner may have run is never run again:\n");
    client.send_and_print(mesh, payment(0, "deposit-0")).await?;
    // A new owner accepts a payment as new only if it was first sent after the
    // takeover by more than the largest difference between callers' clocks.
    clock.sleep(DedupSettings::default().clock_margin).await;
    println!("\nNew payments, marked as sent for the first time, run at the new owners:\n");
    for index in 0..DEPOSITS {
        let req = payment(index, &format!("second-{index}")).marked_first_sent();
        client.send_and_print(mesh, req).await?;
    }
    Ok(())
}

fn payment(index: usize, key: &str) -> SampleRequest {
    SampleRequest::post(format!("/deposits/{}", account_key(index)), key)
}

/// Reads a key of the lost node until it is served; returns the time taken.
async fn wait_for_recovery(
    mesh: &Mesh,
    client: &mut SampleClient,
    clock: &impl Clock,
) -> Result<Duration, CliError> {
    let started = clock.now();
    loop {
        let req = SampleRequest::get(format!("/deposits/{}", account_key(0)));
        let is_served = client.send_quietly(mesh, req).await?;
        let elapsed = clock.now().saturating_duration_since(started);
        if is_served {
            return Ok(elapsed);
        }
        if elapsed > RECOVERY_TIMEOUT {
            let text = format!("{} is not served after {elapsed:.1?}", account_key(0));
            return Err(CliError::Failed(text));
        }
        clock.sleep(RECOVERY_POLL_INTERVAL).await;
    }
}
