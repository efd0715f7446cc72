//! A seeded soak: the real program as separate processes between stand-ins,
//! with faults from outside, and checks of what callers and servers see.
//!
//! `cargo test -p cli --test soak` plays the seeds that ever failed and a few
//! fixed ones; `-- --from 100 --seeds 50` plays others by hand.

mod caller;
mod faults;
#[path = "../runner/node.rs"]
#[allow(dead_code, reason = "shared with the scenarios, which use all of it")]
mod node;
mod world;

use std::process::ExitCode;

use anyhow::Result;

/// Seeds that failed once, and what it was; see `tests/soak/README.md`.
const FAILED_ONCE: [u64; 0] = [];
/// Seeds of the short run.
const SHORT: [u64; 4] = [1, 2, 3, 1_000];

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

fn seeds() -> Result<Vec<u64>> {
    let args: Vec<String> = std::env::args().collect();
    let number = |name: &str| -> Result<Option<u64>> {
        let at = args.iter().position(|arg| arg == name);
        let value = at.and_then(|at| args.get(at + 1));
        Ok(value.map(|value| value.parse()).transpose()?)
    };
    match (number("--from")?, number("--seeds")?) {
        (None, None) => Ok(FAILED_ONCE.into_iter().chain(SHORT).collect()),
        (from, count) => {
            let from = from.unwrap_or(1);
            Ok((from..from + count.unwrap_or(1)).collect())
        }
    }
}

fn run(seed: u64) -> Result<String> {
    let mut runtime = tokio::runtime::Builder::new_multi_thread();
    runtime.worker_threads(2).enable_all().build()?.block_on(world::play(seed))
}
