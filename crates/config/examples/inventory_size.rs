//! Measures a 1,300-instance inventory: its size, and the time to import,
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

const INSTANCES: usize = 1_300;
const SERVICES: usize = 40;
const DATA_CENTRES: usize = 8;
const REGIONS: usize = 2;
/// Times that each step is run; the median is printed.
const RUNS: usize = 21;

fn register() -> String {
    let mut csv = "asset,service,data_centre,region,kind,concurrency,connections\n".to_owned();
    for number in 0..INSTANCES {
        let (service, data_centre) = (number % SERVICES, number / SERVICES % DATA_CENTRES);
        let region = data_centre % REGIONS;
        writeln!(
            csv,
            "instance-{number},service-{service},dc-{data_centre},region-{region},divided,12,130"
        )
        .expect("a string takes everything");
    }
    csv
}

/// Median time of a step, in microseconds.
fn median<R>(mut step: impl FnMut() -> R) -> u128 {
    let mut times: Vec<_> = (0..RUNS)
        .map(|_| {
            let began = Instant::now();
            std::hint::black_box(step());
            began.elapsed().as_micros()
        })
        .collect();
    times.sort_unstable();
    times[RUNS / 2]
}

fn main() -> Result<(), Box<dyn std::error::Error>> {
    let csv = register();
    let text = import(&csv)?.to_toml()?;
    // Half of the instances declared lost is the longest file to expect.
    let mut lost = text.clone();
    for number in 0..INSTANCES / 2 {
        write!(lost, "[[lost]]\ninstance = \"instance-{number}\"\n")?;
    }
    println!(
        "register {} bytes, inventory {} bytes",
        csv.len(),
        text.len()
    );
    println!("inventory with {} lost {} bytes", INSTANCES / 2, lost.len());
    println!("import {} us", median(|| import(&csv)));
    for (name, text) in [("inventory", &text), ("with lost", &lost)] {
        println!("{name}: check {} us", median(|| check_inventory("i", text)));
        println!("{name}: load {} us", median(|| Inventory::parse(text)));
    }
    let (before, after) = (Inventory::parse(&text)?, Inventory::parse(&lost)?);
    println!("compare {} us", median(|| diff(&before, &after)));
    let store = ConfigStore::new(MemoryPlatform::default(), SystemClock);
    let mut expect = 0;
    let apply = median(|| {
        let req = ChangeRequest {
            expect,
            author: "measurement".to_owned(),
            body: format!("# {expect}\n{text}"),
            force: false,
            dry_run: false,
        };
        expect += 1;
        smol::block_on(store.change(ConfigKind::Inventory, &req, &LocalState::default()))
            .expect("the platform in memory answers")
    });
    println!("apply to a platform in memory {apply} us, {expect} versions");
    Ok(())
}
