//! Runs the scenario files below `tests/`.

mod node;
mod site;

datatest_stable::harness! {
    { test = site::run, root = "../../tests/site", pattern = r"\.scenario$" },
}
