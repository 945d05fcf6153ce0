//! Discrete-event simulation that compares the routing decisions with baselines.
//!
//! Time is simulated: each upstream is a queue with servers, and the decisions are
//! made by the production code. The figures are those of this model; they compare
//! policies and say nothing about the speed of a node. Run with
//! `cargo run --release -p ibiscove-routing --example policies [SEED [divided]]`.

mod divided;
mod shared;
mod stats;
mod upstream;

use stats::Summary;

/// Default seed of every scenario.
const SEED: u64 = 1;

fn main() {
    let seed = std::env::args().nth(1).and_then(|text| text.parse().ok());
    let seed = seed.unwrap_or(SEED);
    let selected_part = std::env::args().nth(2);
    println!("model figures, seed {seed}");
    if selected_part.as_deref() != Some("divided") {
        compare_shared(seed);
    }
    println!("\nDeposits, 5 x 12, a hot key that moves every 3 minutes, 15 minutes");
    println!("{}", divided::HEADER);
    for run in divided::compare(seed) {
        println!("{}", run.row());
    }
}

fn compare_shared(seed: u64) {
    for shape in shared::SERVICE_SHAPES {
        for scenario in shared::SCENARIOS {
            println!("\n{}, {}", shape.name, scenario.name);
            println!("{}", Summary::HEADER);
            for (name, summary) in shared::compare(shape, scenario, seed) {
                println!("{}", summary.row(name));
            }
        }
    }
}
