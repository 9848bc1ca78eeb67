//! Sequential and overlapping faults, drawn from a seed.

use crate::fleet::configuration;
use crate::world::World;
use rand::Rng;
use rand::rngs::SmallRng;
use standins::fleet::{Availability, Behaviour};
use standins::relay::Cut;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};
use tokio::task::JoinSet;

const BEHAVIOURS: [Behaviour; 10] = [
    Behaviour::Serves,
    Behaviour::Sheds,
    Behaviour::Fails,
    Behaviour::Resets,
    Behaviour::Silent,
    Behaviour::Foreign,
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
            let cut = if kind == 3 { Cut::Refuse } else { Cut::Blackhole };
            slot.store_link.set_cut(cut);
            tokio::time::sleep(duration).await;
            slot.store_link.set_cut(Cut::None);
        }
        5 => {
            let availability = if duration.as_millis().is_multiple_of(2) {
                Availability::Refuses
            } else {
                Availability::Silent
            };
            world.store.set_availability(availability);
            tokio::time::sleep(duration).await;
            world.store.set_availability(Availability::Up);
        }
        6 => {
            member.link.set_cut(Cut::Blackhole);
            tokio::time::sleep(duration).await;
            member.link.set_cut(Cut::None);
        }
        7 => {
            member.link.set_cut(Cut::Refuse);
            tokio::time::sleep(duration).await;
            member.link.set_cut(Cut::None);
        }
        8 => {
            member.link.silence_open();
            slot.store_link.silence_open();
        }
        9 => {
            let version = world.version.fetch_add(1, Ordering::Relaxed) + 1;
            world.store.put_configuration(&configuration(version, &["alpha-key"]));
        }
        10 => {
            let version = world.weights.fetch_add(1, Ordering::Relaxed) + 1;
            world.store.name_weights("m", version);
        }
        11 => {
            member.server.cut_after_events(Some(2));
            tokio::time::sleep(duration).await;
            member.server.cut_after_events(None);
        }
        _ => {
            member.server.behave(behaviour);
            tokio::time::sleep(duration).await;
            member.server.behave(Behaviour::Serves);
        }
    }
}
