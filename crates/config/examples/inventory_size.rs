//! Benchmark of a 1,300-instance inventory: its size, and the time to import,
//! check, compare, apply and load it.
//!
//!     cargo run --release -p ibiscove-config --example inventory_size

use ibiscove_config::change::{ChangeRequest, ConfigKind};
use ibiscove_config::import::import;
use ibiscove_config::store::{ConfigStore, LocalState};
use ibiscove_config::{Inventory, check_inventory, diff};
use ibiscove_store::MemoryPlatform;
use ibiscove_types::SystemClock;
use std::fmt::Write;
use std::time::Instant;

const INSTANCE_COUNT: usize = 1_300;
const SERVICE_COUNT: usize = 40;
const DATA_CENTRE_COUNT: usize = 8;
const REGION_COUNT: usize = 2;
/// Number of runs of each step, of which the median is printed.
const RUNS: usize = 21;

fn register_csv() -> String {
    let mut csv = "asset,service,data_centre,region,kind,concurrency,connections\n".to_owned();
    for index in 0..INSTANCE_COUNT {
        let (service, data_centre) = (
            index % SERVICE_COUNT,
            index / SERVICE_COUNT % DATA_CENTRE_COUNT,
        );
        let region = data_centre % REGION_COUNT;
        writeln!(
            csv,
            "instance-{index},service-{service},dc-{data_centre},region-{region},divided,12,130"
        )
        .expect("writing to a string cannot fail");
    }
    csv
}

/// Returns the median duration of a step, in microseconds.
fn median_micros<R>(mut step: impl FnMut() -> R) -> u128 {
    let mut times: Vec<_> = (0..RUNS)
        .map(|_| {
            let started = Instant::now();
            std::hint::black_box(step());
            started.elapsed().as_micros()
        })
        .collect();
    times.sort_unstable();
    times[RUNS / 2]
}

fn main() -> Result<(), Box<dyn std::error::Error>> {
    let csv = register_csv();
    let text = import(&csv)?.to_toml()?;
    // The longest file to expect declares half of the instances lost.
    let mut lost = text.clone();
    for index in 0..INSTANCE_COUNT / 2 {
        write!(lost, "[[lost]]\ninstance = \"instance-{index}\"\n")?;
    }
    println!(
        "register {} bytes, inventory {} bytes",
        csv.len(),
        text.len()
    );
    println!(
        "inventory with {} lost {} bytes",
        INSTANCE_COUNT / 2,
        lost.len()
    );
    println!("import {} us", median_micros(|| import(&csv)));
    for (name, text) in [("inventory", &text), ("with lost", &lost)] {
        println!(
            "{name}: check {} us",
            median_micros(|| check_inventory("i", text))
        );
        println!(
            "{name}: load {} us",
            median_micros(|| Inventory::parse(text))
        );
    }
    let (before, after) = (Inventory::parse(&text)?, Inventory::parse(&lost)?);
    println!("compare {} us", median_micros(|| diff(&before, &after)));
    let store = ConfigStore::new(MemoryPlatform::default(), SystemClock);
    let mut expect = 0;
    let apply = median_micros(|| {
        let req = ChangeRequest {
            expect,
            author: "measurement".to_owned(),
            body: format!("# {expect}\n{text}"),
            force: false,
            dry_run: false,
        };
        expect += 1;
        smol::block_on(store.change(ConfigKind::Inventory, &req, &LocalState::default()))
            .expect("the in-memory platform responds")
    });
    println!("apply to a platform in memory {apply} us, {expect} versions");
    Ok(())
}
