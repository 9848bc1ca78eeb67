//! Callers that go on asking, on new and on kept connections.

use crate::caller::{self, Got};
use crate::fleet::{NOTES, ORDERS, QUICK, STATUS};
use crate::process::until;
use crate::world::World;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::task::JoinSet;

const CALLERS: u64 = 8;
/// How long a caller waits for an answer before it leaves.
const PATIENCE: Duration = Duration::from_secs(7);
/// How many requests a caller sends on one connection at most.
const KEPT_REQUESTS: u32 = 5;

/// What a caller saw of one request.
pub struct Answer {
    pub id: String,
    pub path: &'static str,
    pub got: Got,
}

pub struct Traffic {
    is_over: Arc<AtomicBool>,
    callers: JoinSet<Vec<Answer>>,
}

/// Starts the callers.
pub fn start(world: &Arc<World>, seed: u64) -> Traffic {
    let is_over = Arc::new(AtomicBool::new(false));
    let mut callers = JoinSet::new();
    for caller in 0..CALLERS {
        let random = SmallRng::seed_from_u64(seed * CALLERS + caller);
        callers.spawn(ask(Arc::clone(world), Arc::clone(&is_over), random));
    }
    Traffic { is_over, callers }
}

impl Traffic {
    /// Lets the callers finish and returns what they saw.
    pub async fn stop(mut self) -> Vec<Answer> {
        self.is_over.store(true, Ordering::Relaxed);
        let mut answers = Vec::new();
        while let Some(seen) = self.callers.join_next().await {
            answers.extend(seen.unwrap());
        }
        answers
    }
}

async fn ask(world: Arc<World>, is_over: Arc<AtomicBool>, mut random: SmallRng) -> Vec<Answer> {
    let mut answers = Vec::new();
    while !is_over.load(Ordering::Relaxed) {
        let place = &world.places[random.random_range(0..world.places.len())];
        let Ok(mut stream) = TcpStream::connect(place.callers.address()).await else { continue };
        for _ in 0..random.random_range(1..=KEPT_REQUESTS) {
            let path = [ORDERS, STATUS, NOTES, QUICK][random.random_range(0..4)];
            let id = caller::new_id();
            let body = "x".repeat(random.random_range(0..2_000));
            let request = caller::request(path, &id, "", &body);
            if stream.write_all(request.as_bytes()).await.is_err() {
                break;
            }
            let read = tokio::time::timeout(PATIENCE, caller::read(&mut stream)).await;
            let got = read.unwrap_or_default();
            let goes_on = got.is_whole && got.header("connection").as_deref() != Some("close");
            answers.push(Answer { id, path, got });
            if !goes_on {
                break;
            }
            tokio::time::sleep(Duration::from_millis(random.random_range(0..30))).await;
        }
    }
    answers
}

/// Waits until every gateway serves every kind of request; the bound only ends a play that would
/// never end.
pub async fn until_served(world: &World) -> Result<(), String> {
    const LONGEST: Duration = Duration::from_secs(45);
    let all_served = async {
        for place in &world.places {
            for path in [ORDERS, STATUS, NOTES, QUICK] {
                while !place.serves(path).await {
                    world.members.iter().for_each(|member| member.beat(&world.store));
                    tokio::time::sleep(Duration::from_millis(200)).await;
                }
            }
        }
    };
    let served = tokio::time::timeout(LONGEST, all_served).await;
    served.map_err(|_| "some gateway does not serve again after the faults".to_owned())?;
    let newest = world.weights.load(Ordering::Relaxed);
    let engines = || world.members.iter().filter(|member| member.service == "notes");
    let rolled_out = until("weights are rolled out", || {
        engines().all(|member| member.server.weight_version() >= newest)
    });
    let rolled_out = tokio::time::timeout(LONGEST, rolled_out).await;
    rolled_out.map_err(|_| format!("weights {newest} are not everywhere after the faults"))
}
