//! Faults from outside: in series, and overlapping.

use std::sync::Arc;
use std::time::{Duration, Instant};

use anyhow::Result;
use fakes::{RelayMode, SiteFault};
use rand::RngExt;
use rand_chacha::ChaCha8Rng;

use crate::world::{Server, World};

/// The pause between two faults, in milliseconds.
const PAUSE_MS: std::ops::Range<u64> = 60..350;
/// How long a fault lasts, in milliseconds.
const LAST_MS: std::ops::Range<u64> = 200..1_500;
/// Faults that a single request meets at a server.
const FAULTS: [SiteFault; 10] = [
    SiteFault::Reject,
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

/// Injects faults for a time, heals them all, and has every process back.
pub async fn run(world: &Arc<World>, mut rng: ChaCha8Rng, length: Duration) -> Result<()> {
    let end = Instant::now() + length;
    let mut version = 1;
    let mut added = 100;
    let mut open = Vec::new();
    while Instant::now() < end {
        tokio::time::sleep(Duration::from_millis(rng.random_range(PAUSE_MS))).await;
        let last = Duration::from_millis(rng.random_range(LAST_MS));
        match rng.random_range(0..12) {
            0..=3 => {
                let server = any_server(world, &mut rng);
                server.server.queue_fault(FAULTS[rng.random_range(0..FAULTS.len())]);
            }
            4 => {
                let modes = [RelayMode::Disconnect, RelayMode::StallExisting, RelayMode::StallAll];
                let relay = any_server(world, &mut rng).relay;
                relay.set_mode(modes[rng.random_range(0..3)]);
                open.push(tokio::spawn(async move {
                    tokio::time::sleep(last).await;
                    relay.set_mode(RelayMode::Forward);
                }));
            }
            5 => open.push(store_fault(world, rng.random_range(0..6), last)),
            6 => {
                version += rng.random_range(1..4);
                world.configure(version);
            }
            7 => {
                added += 1;
                replace(world, &mut rng, added).await?;
            }
            8 => {
                let place = rng.random_range(0..world.size);
                signal(world, place, "STOP").await;
                let world = world.clone();
                open.push(tokio::spawn(async move {
                    tokio::time::sleep(last).await;
                    signal(&world, place, "CONT").await;
                }));
            }
            9 => signal(world, rng.random_range(0..world.size), "HUP").await,
            10 => restart(world, rng.random_range(0..world.size), "KILL").await?,
            _ => {
                let (world, place) = (world.clone(), rng.random_range(0..world.size));
                open.push(tokio::spawn(async move {
                    if let Err(error) = restart(&world, place, "TERM").await {
                        println!("restart: {error:#}");
                    }
                }));
            }
        }
    }
    for fault in open {
        fault.await?;
    }
    Ok(())
}

fn any_server(world: &World, rng: &mut ChaCha8Rng) -> Server {
    let servers = world.servers.lock().unwrap();
    servers[rng.random_range(0..servers.len())].clone()
}

fn store_fault(world: &Arc<World>, kind: u32, last: Duration) -> tokio::task::JoinHandle<()> {
    let world = world.clone();
    tokio::spawn(async move {
        match kind {
            0 => world.store.set_faults(|faults| faults.unavailable = true),
            1 => world.store.set_faults(|faults| faults.hang = true),
            2 => world.store.set_faults(|faults| faults.lose_replies += 1),
            3 => world.store.compact(),
            4 => world.store_relay.set_mode(RelayMode::StallExisting),
            _ => world.store_relay.set_mode(RelayMode::Disconnect),
        }
        tokio::time::sleep(last).await;
        world.store.set_faults(|faults| (faults.unavailable, faults.hang) = (false, false));
        world.store.close_connections();
        world.store_relay.set_mode(RelayMode::Forward);
        *world.store_sound.lock().unwrap() = Instant::now();
    })
}

/// Takes a server away in an orderly manner and brings in another.
async fn replace(world: &Arc<World>, rng: &mut ChaCha8Rng, number: u32) -> Result<()> {
    let server = any_server(world, rng);
    world.add_server(&format!("s{number}"), server.service).await?;
    world.list(&server, "draining");
    world.left.lock().unwrap().insert(server.id.clone(), Instant::now());
    world.servers.lock().unwrap().retain(|other| other.id != server.id);
    if rng.random_range(0..2) == 0 {
        world.store.remove("servers", &server.id);
    }
    Ok(())
}

/// Ends a process by a signal and starts another in its place.
async fn restart(world: &Arc<World>, place: usize, signal: &str) -> Result<()> {
    let Some(mut node) = world.nodes.lock().await[place].take() else { return Ok(()) };
    node.signal("CONT")?;
    node.signal(signal)?;
    node.until_ended().await?;
    world.start_node(place).await
}

/// Signals a process unless it is being restarted.
async fn signal(world: &World, place: usize, name: &str) {
    if let Some(node) = &world.nodes.lock().await[place]
        && let Err(error) = node.signal(name)
    {
        println!("signal {name}: {error:#}");
    }
}
