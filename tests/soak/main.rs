//! A seeded soak test. It runs the real program as separate processes against fakes of the
//! users' platform, injects faults, and checks what callers and servers observe.
//!
//! `cargo test -p cli --test soak` runs the seeds that failed before and a few fixed ones;
//! `cargo test -p cli --test soak -- --from 100 --seeds 50` runs others.

mod caller;
mod faults;
#[path = "../runner/node.rs"]
#[allow(dead_code, reason = "shared with the scenario tests, which use all of it")]
mod node;
mod testbed;

use std::process::ExitCode;

use anyhow::Result;

/// Seeds that failed before and aren't among [`DEFAULT_SEEDS`]; `tests/soak/README.md` lists
/// the causes.
const REGRESSION_SEEDS: [u64; 1] = [410];
/// Seeds that are run without arguments. Seeds from 1,000 run with many instances.
const DEFAULT_SEEDS: [u64; 4] = [1, 2, 3, 1_000];

fn main() -> ExitCode {
    let seeds = match seeds() {
        Ok(seeds) => seeds,
        Err(error) => {
            eprintln!("soak: {error}; use --from N --seeds N");
            return ExitCode::from(2);
        }
    };
    let (mut passed, mut failed) = (0, 0);
    for seed in seeds {
        match run(seed) {
            Ok(summary) => {
                println!("seed {seed}: {summary}");
                passed += 1;
            }
            Err(error) => {
                println!("seed {seed} FAILED: {error:#}");
                failed += 1;
            }
        }
    }
    println!("{passed} passed, {failed} failed");
    ExitCode::from(u8::from(failed > 0))
}

/// Returns the seeds to run, as selected by the arguments.
fn seeds() -> Result<Vec<u64>> {
    let args: Vec<String> = std::env::args().collect();
    let number = |name: &str| -> Result<Option<u64>> {
        let at = args.iter().position(|arg| arg == name);
        let value = at.and_then(|at| args.get(at + 1));
        Ok(value.map(|value| value.parse()).transpose()?)
    };
    match (number("--from")?, number("--seeds")?) {
        (None, None) => Ok(REGRESSION_SEEDS.into_iter().chain(DEFAULT_SEEDS).collect()),
        (from, count) => {
            let from = from.unwrap_or(1);
            Ok((from..from + count.unwrap_or(1)).collect())
        }
    }
}

fn run(seed: u64) -> Result<String> {
    let mut runtime = tokio::runtime::Builder::new_multi_thread();
    runtime.worker_threads(2).enable_all().build()?.block_on(testbed::run_seed(seed))
}
