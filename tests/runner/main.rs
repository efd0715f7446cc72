//! Runs the scenario files in `tests/site/`.

mod node;
mod site;

datatest_stable::harness! {
    { test = site::run, root = "../../tests/site", pattern = r"\.scenario$" },
}
