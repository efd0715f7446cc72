//! Fault injection: a sequence of random faults, which may overlap.

use std::sync::Arc;
use std::time::{Duration, Instant};

use anyhow::Result;
use fakes::{BrittleCapacity, RelayMode, SiteFault};
use rand::RngExt;
use rand_chacha::ChaCha8Rng;

use crate::testbed::{PLAIN_SLOTS, Server, Testbed};

/// The pause before each fault, in milliseconds.
const PAUSE_MS: std::ops::Range<u64> = 60..350;
/// The duration of a fault, in milliseconds.
const DURATION_MS: std::ops::Range<u64> = 200..1_500;
/// Faults of a server that affect a single request.
const REQUEST_FAULTS: [SiteFault; 13] = [
    SiteFault::Reject,
    SiteFault::RejectOther,
    SiteFault::RejectUnnamed,
    SiteFault::RejectFor(600),
    SiteFault::Reset,
    SiteFault::WrongId,
    SiteFault::Cut,
    SiteFault::Fail,
    SiteFault::Hang,
    SiteFault::Unsealed,
    SiteFault::CutAfter(2),
    SiteFault::CutWithinEventAfter(3),
    SiteFault::StallAfter(1),
];

/// Injects faults for `length`, then waits until all are over and every instance runs again.
pub async fn run(testbed: &Arc<Testbed>, mut rng: ChaCha8Rng, length: Duration) -> Result<()> {
    let end = Instant::now() + length;
    let mut config_version = 1;
    let mut server_number = 100;
    let mut active = Vec::new();
    while Instant::now() < end {
        tokio::time::sleep(Duration::from_millis(rng.random_range(PAUSE_MS))).await;
        let duration = Duration::from_millis(rng.random_range(DURATION_MS));
        match rng.random_range(0..15) {
            0..=3 => {
                let server = random_server(testbed, &mut rng);
                server
                    .server
                    .queue_fault(REQUEST_FAULTS[rng.random_range(0..REQUEST_FAULTS.len())]);
            }
            4 => {
                let modes = [RelayMode::Disconnect, RelayMode::StallExisting, RelayMode::StallAll];
                let relay = random_server(testbed, &mut rng).relay;
                relay.set_mode(modes[rng.random_range(0..3)]);
                active.push(tokio::spawn(async move {
                    tokio::time::sleep(duration).await;
                    relay.set_mode(RelayMode::Forward);
                }));
            }
            5 => active.push(store_fault(testbed, rng.random_range(0..6), duration)),
            12 => active.push(revert_store(testbed, duration)),
            13 => active.push(make_brittle(testbed, duration)),
            14 => active.push(limit_rate(testbed, duration)),
            6 => {
                config_version += rng.random_range(1..4);
                testbed.configure(config_version);
            }
            7 => {
                server_number += 1;
                replace_server(testbed, &mut rng, server_number).await?;
            }
            8 => {
                let index = rng.random_range(0..testbed.instance_count);
                signal(testbed, index, "STOP").await;
                let testbed = testbed.clone();
                active.push(tokio::spawn(async move {
                    tokio::time::sleep(duration).await;
                    signal(&testbed, index, "CONT").await;
                }));
            }
            9 => signal(testbed, rng.random_range(0..testbed.instance_count), "HUP").await,
            10 => restart(testbed, rng.random_range(0..testbed.instance_count), "KILL").await?,
            _ => {
                let (testbed, index) =
                    (testbed.clone(), rng.random_range(0..testbed.instance_count));
                active.push(tokio::spawn(async move {
                    if let Err(error) = restart(&testbed, index, "TERM").await {
                        println!("restarting an instance failed: {error:#}");
                    }
                }));
            }
        }
    }
    for fault in active {
        fault.await?;
    }
    Ok(())
}

fn random_server(testbed: &Testbed, rng: &mut ChaCha8Rng) -> Server {
    let servers = testbed.servers.lock().unwrap();
    servers[rng.random_range(0..servers.len())].clone()
}

/// Injects a fault of the store, and ends all faults of the store after `duration`. Faults
/// that overlap end with the first of them.
fn store_fault(
    testbed: &Arc<Testbed>,
    kind: u32,
    duration: Duration,
) -> tokio::task::JoinHandle<()> {
    let testbed = testbed.clone();
    tokio::spawn(async move {
        match kind {
            0 => testbed.store.set_faults(|faults| faults.unavailable = true),
            1 => testbed.store.set_faults(|faults| faults.hang = true),
            2 => testbed.store.set_faults(|faults| faults.lose_replies += 1),
            3 => testbed.store.compact(),
            4 => testbed.store_relay.set_mode(RelayMode::StallExisting),
            _ => testbed.store_relay.set_mode(RelayMode::Disconnect),
        }
        tokio::time::sleep(duration).await;
        testbed.store.set_faults(|faults| (faults.unavailable, faults.hang) = (false, false));
        testbed.store.close_connections();
        testbed.store_relay.set_mode(RelayMode::Forward);
        *testbed.store_healthy_since.lock().unwrap() = Instant::now();
    })
}

/// Has all plain servers crash if they have to reject requests, until `duration` has passed.
fn make_brittle(testbed: &Arc<Testbed>, duration: Duration) -> tokio::task::JoinHandle<()> {
    // One request waits.
    let capacity = BrittleCapacity {
        slots: PLAIN_SLOTS + 1,
        work: Duration::from_millis(100),
        max_rejections: 3,
    };
    let testbed = testbed.clone();
    tokio::spawn(async move {
        let servers = testbed.plain_servers();
        servers.iter().for_each(|server| server.set_brittle(Some(capacity)));
        tokio::time::sleep(duration).await;
        servers.iter().for_each(|server| server.set_brittle(None));
    })
}

/// Has all plain servers limit their rate, until `duration` has passed.
fn limit_rate(testbed: &Arc<Testbed>, duration: Duration) -> tokio::task::JoinHandle<()> {
    let testbed = testbed.clone();
    tokio::spawn(async move {
        let servers = testbed.plain_servers();
        servers.iter().for_each(|server| server.set_rate_limit(Some("5")));
        tokio::time::sleep(duration).await;
        servers.iter().for_each(|server| server.set_rate_limit(None));
    })
}

/// Keeps a copy of the store, and after `duration` has the store come back from it. What the
/// operator and the servers wrote is then written again.
fn revert_store(testbed: &Arc<Testbed>, duration: Duration) -> tokio::task::JoinHandle<()> {
    let testbed = testbed.clone();
    testbed.store.take_copy();
    tokio::spawn(async move {
        tokio::time::sleep(duration).await;
        testbed.store.revert();
        testbed.write_again();
        *testbed.store_healthy_since.lock().unwrap() = Instant::now();
    })
}

/// Adds a server and retires another one of the same service: the server says so in its
/// answers, its entry is marked as draining, and sometimes removed, while it goes on answering.
async fn replace_server(testbed: &Arc<Testbed>, rng: &mut ChaCha8Rng, number: u32) -> Result<()> {
    let server = random_server(testbed, rng);
    testbed.add_server(&format!("s{number}"), server.service).await?;
    if rng.random_range(0..2) == 0 {
        server.server.announce_leaving();
    }
    testbed.list(&server, "draining");
    testbed.retired_at.lock().unwrap().insert(server.id.clone(), Instant::now());
    testbed.servers.lock().unwrap().retain(|other| other.id != server.id);
    let is_removed = rng.random_range(0..2) == 0;
    if is_removed {
        testbed.store.remove("servers", &server.id);
    }
    testbed.retired.lock().unwrap().push((server, is_removed));
    Ok(())
}

/// Stops an instance with a signal and starts another in its place.
async fn restart(testbed: &Arc<Testbed>, index: usize, signal: &str) -> Result<()> {
    let Some(mut node) = testbed.nodes.lock().await[index].take() else { return Ok(()) };
    node.signal("CONT")?;
    node.signal(signal)?;
    node.wait_exit().await?;
    testbed.start_node(index).await
}

/// Sends a signal to an instance, unless it is being restarted.
async fn signal(testbed: &Testbed, index: usize, name: &str) {
    if let Some(node) = &testbed.nodes.lock().await[index]
        && let Err(error) = node.signal(name)
    {
        println!("sending {name} to an instance failed: {error:#}");
    }
}
