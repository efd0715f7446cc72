//! Runs the scenario files in `tests/site/` and, with instances of two builds, in
//! `tests/upgrade/`.

mod node;
mod site;

datatest_stable::harness! {
    { test = site::run, root = "../../tests/site", pattern = r"\.scenario$" },
    { test = site::run, root = "../../tests/upgrade", pattern = r"\.scenario$" },
}
