//! Faults in series and overlapping, drawn from a seed.

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

/// Injects faults for a while; several last beside each other.
pub async fn inject(world: &Arc<World>, random: &mut SmallRng, time: Duration) {
    let mut lasting = JoinSet::new();
    let until = Instant::now() + time;
    while Instant::now() < until {
        tokio::time::sleep(Duration::from_millis(random.random_range(20..400))).await;
        let place = random.random_range(0..world.places.len());
        let member = random.random_range(0..world.members.len());
        let lasts = Duration::from_millis(random.random_range(100..2_500));
        let behaviour = BEHAVIOURS[random.random_range(0..BEHAVIOURS.len())];
        let kind = random.random_range(0..14);
        lasting.spawn(inject_one(Arc::clone(world), kind, place, member, lasts, behaviour));
    }
    while lasting.join_next().await.is_some() {}
}

async fn inject_one(
    world: Arc<World>,
    kind: u32,
    place: usize,
    member: usize,
    lasts: Duration,
    behaviour: Behaviour,
) {
    let place = &world.places[place];
    let member = &world.members[member];
    match kind {
        0 => {
            place.kill().await;
            tokio::time::sleep(lasts).await;
            place.restart().await;
        }
        1 => place.replace().await,
        2 => {
            place.pause().await;
            tokio::time::sleep(lasts).await;
            place.resume().await;
        }
        3 | 4 => {
            let cut = if kind == 3 { Cut::Refuse } else { Cut::Blackhole };
            place.store_link.set_cut(cut);
            tokio::time::sleep(lasts).await;
            place.store_link.set_cut(Cut::None);
        }
        5 => {
            let availability = if lasts.as_millis().is_multiple_of(2) {
                Availability::Refuses
            } else {
                Availability::Silent
            };
            world.store.set_availability(availability);
            tokio::time::sleep(lasts).await;
            world.store.set_availability(Availability::Up);
        }
        6 => {
            member.link.set_cut(Cut::Blackhole);
            tokio::time::sleep(lasts).await;
            member.link.set_cut(Cut::None);
        }
        7 => {
            member.link.set_cut(Cut::Refuse);
            tokio::time::sleep(lasts).await;
            member.link.set_cut(Cut::None);
        }
        8 => {
            member.link.silence_open();
            place.store_link.silence_open();
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
            tokio::time::sleep(lasts).await;
            member.server.cut_after_events(None);
        }
        _ => {
            member.server.behave(behaviour);
            tokio::time::sleep(lasts).await;
            member.server.behave(Behaviour::Serves);
        }
    }
}
