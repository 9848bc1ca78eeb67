//! Sequential and overlapping faults, drawn from a seed.

use crate::fleet::configuration;
use crate::world::World;
use rand::Rng;
use rand::rngs::SmallRng;
use standins::fleet::{Availability, Behaviour};
use standins::relay::Partition;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};
use tokio::task::JoinSet;

const BEHAVIOURS: [Behaviour; 10] = [
    Behaviour::Serves,
    Behaviour::Sheds,
    Behaviour::Fails,
    Behaviour::Resets,
    Behaviour::Unresponsive,
    Behaviour::Mismatched,
    Behaviour::Truncates,
    Behaviour::UnframedReset,
    Behaviour::Unframed,
    Behaviour::Extra,
];

/// Injects faults for a period; several may overlap.
pub async fn inject(world: &Arc<World>, random: &mut SmallRng, period: Duration) {
    let mut active = JoinSet::new();
    let until = Instant::now() + period;
    while Instant::now() < until {
        tokio::time::sleep(Duration::from_millis(random.random_range(20..400))).await;
        let slot = random.random_range(0..world.slots.len());
        let member = random.random_range(0..world.members.len());
        let duration = Duration::from_millis(random.random_range(100..2_500));
        let behaviour = BEHAVIOURS[random.random_range(0..BEHAVIOURS.len())];
        let kind = random.random_range(0..14);
        active.spawn(inject_one(Arc::clone(world), kind, slot, member, duration, behaviour));
    }
    while active.join_next().await.is_some() {}
}

async fn inject_one(
    world: Arc<World>,
    kind: u32,
    slot: usize,
    member: usize,
    duration: Duration,
    behaviour: Behaviour,
) {
    let slot = &world.slots[slot];
    let member = &world.members[member];
    match kind {
        0 => {
            slot.kill().await;
            tokio::time::sleep(duration).await;
            slot.restart().await;
        }
        1 => slot.replace().await,
        2 => {
            slot.pause().await;
            tokio::time::sleep(duration).await;
            slot.resume().await;
        }
        3 | 4 => {
            let partition = if kind == 3 { Partition::Refuse } else { Partition::Blackhole };
            slot.store_link.set_partition(partition);
            tokio::time::sleep(duration).await;
            slot.store_link.set_partition(Partition::None);
        }
        5 => {
            let availability = if duration.as_millis().is_multiple_of(2) {
                Availability::Refuses
            } else {
                Availability::Unresponsive
            };
            world.store.set_availability(availability);
            tokio::time::sleep(duration).await;
            world.store.set_availability(Availability::Up);
        }
        6 => {
            member.link.set_partition(Partition::Blackhole);
            tokio::time::sleep(duration).await;
            member.link.set_partition(Partition::None);
        }
        7 => {
            member.link.set_partition(Partition::Refuse);
            tokio::time::sleep(duration).await;
            member.link.set_partition(Partition::None);
        }
        8 => {
            member.link.stall_open_connections();
            slot.store_link.stall_open_connections();
        }
        9 => {
            let version = world.version.fetch_add(1, Ordering::Relaxed) + 1;
            world.store.put_configuration(&configuration(version, &["alpha-key"]));
        }
        10 => {
            let version = world.weights.fetch_add(1, Ordering::Relaxed) + 1;
            world.store.set_target_version("m", version);
        }
        11 => {
            member.server.reset_streams_after(Some(2));
            tokio::time::sleep(duration).await;
            member.server.reset_streams_after(None);
        }
        _ => {
            member.server.set_behaviour(behaviour);
            tokio::time::sleep(duration).await;
            member.server.set_behaviour(Behaviour::Serves);
        }
    }
}
