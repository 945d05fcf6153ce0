//! Recomputes the figures of `docs/CAPACITY.md` from the measured slopes.

use ibiscove_bench::capacity::{self, Role};
use ibiscove_bench::slopes::Slopes;

const PAGE: &str = include_str!("../../docs/CAPACITY.md");
const SLOPES: &str = include_str!("../../docs/capacity/slopes.toml");

fn slopes() -> Slopes {
    Slopes::parse(SLOPES).expect("the committed slopes can be read")
}

#[test]
fn capacity_page_matches_its_slopes() {
    let page = capacity::render(PAGE, &slopes()).expect("the page has a block for each role");
    assert!(
        page == PAGE,
        "the page and the slopes differ; regenerate the page: cargo run -p ibiscove-bench -- page"
    );
}

#[test]
fn changing_any_slope_changes_the_page() {
    for name in slopes().slope.keys() {
        let mut altered = slopes();
        let slope = altered.slope.get_mut(name).expect("a name from the file");
        slope.line.base = slope.line.base * 2.0 + 1e6;
        for (_, value) in &mut slope.points {
            *value = *value * 2.0 + 1e6;
        }
        let page = capacity::render(PAGE, &altered).expect("the page has a block for each role");
        assert!(page != PAGE, "{name} has no effect on the page");
    }
}

#[test]
fn each_slope_line_is_the_fit_of_its_points() {
    for (name, slope) in &slopes().slope {
        let fitted = ibiscove_bench::fit::Line::fit(&slope.points);
        for x in slope.points.iter().map(|(x, _)| *x) {
            let (expected, stated) = (fitted.at(x), slope.line.at(x));
            let tolerance = expected.abs().max(stated.abs()) * 1e-3 + 1e-9;
            assert!(
                (expected - stated).abs() <= tolerance,
                "{name} at {x}: {stated} stated, {expected} from its points"
            );
        }
    }
}

#[test]
fn every_control_budget_has_a_figure() {
    let figures = capacity::figures(&slopes()).expect("every slope is there");
    for role in Role::ALL {
        assert!(figures.iter().any(|figure| figure.role == role), "{role:?}");
    }
    for budget in [
        "1.8% of a core",
        "64 MB",
        "27 KB/s",
        "3 s",
        "several hundred/s",
        "2,000/s",
    ] {
        let stated = |figure: &capacity::Figure| figure.budget.is_some_and(|b| b.text == budget);
        assert!(figures.iter().any(stated), "{budget}");
    }
}

#[test]
fn rendering_fails_without_the_block_of_a_role() {
    for role in Role::ALL {
        let page = PAGE.replace(&format!("<!-- figures: {} -->", role.name()), "");
        assert!(capacity::render(&page, &slopes()).is_err(), "{role:?}");
    }
}

#[test]
fn costs_do_not_fall_beyond_the_measured_sizes() {
    for (name, slope) in &slopes().slope {
        let max_cost = slope.points.iter().map(|(_, value)| *value);
        let max_cost = max_cost.fold(0.0, f64::max);
        let max_size = slope.points.iter().map(|(size, _)| *size);
        let extrapolated_size = max_size.fold(0.0, f64::max) * 20.0 + 1.0;
        let cost = slopes()
            .cost(name, extrapolated_size)
            .expect("a name from the file");
        assert!(
            cost >= max_cost * 0.9,
            "{name}: {cost} at {extrapolated_size}, {max_cost} measured"
        );
    }
}
