//! Callers that send requests continuously, on new and reused connections.

use crate::caller::{self, Response};
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
/// How long a caller waits for an answer before it disconnects.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(7);
/// Maximum number of requests that a caller sends on one connection.
const MAX_REQUESTS_PER_CONNECTION: u32 = 5;

/// A caller's request and the response that it received.
pub struct Answer {
    pub id: String,
    pub path: &'static str,
    pub response: Response,
}

pub struct Traffic {
    is_stopped: Arc<AtomicBool>,
    callers: JoinSet<Vec<Answer>>,
}

/// Starts the callers.
pub fn start(world: &Arc<World>, seed: u64) -> Traffic {
    let is_stopped = Arc::new(AtomicBool::new(false));
    let mut callers = JoinSet::new();
    for caller in 0..CALLERS {
        let random = SmallRng::seed_from_u64(seed * CALLERS + caller);
        callers.spawn(send_requests(Arc::clone(world), Arc::clone(&is_stopped), random));
    }
    Traffic { is_stopped, callers }
}

impl Traffic {
    /// Stops the callers after their current connection and returns the answers that they received.
    pub async fn stop(mut self) -> Vec<Answer> {
        self.is_stopped.store(true, Ordering::Relaxed);
        let mut answers = Vec::new();
        while let Some(received) = self.callers.join_next().await {
            answers.extend(received.unwrap());
        }
        answers
    }
}

async fn send_requests(
    world: Arc<World>,
    is_stopped: Arc<AtomicBool>,
    mut random: SmallRng,
) -> Vec<Answer> {
    let mut answers = Vec::new();
    while !is_stopped.load(Ordering::Relaxed) {
        let slot = &world.slots[random.random_range(0..world.slots.len())];
        let Ok(mut stream) = TcpStream::connect(slot.callers.address()).await else { continue };
        for _ in 0..random.random_range(1..=MAX_REQUESTS_PER_CONNECTION) {
            let path = [ORDERS, STATUS, NOTES, QUICK][random.random_range(0..4)];
            let id = caller::new_id();
            let body = "x".repeat(random.random_range(0..2_000));
            let request = caller::request(path, &id, "", &body);
            if stream.write_all(request.as_bytes()).await.is_err() {
                break;
            }
            let read = tokio::time::timeout(ANSWER_TIMEOUT, caller::read(&mut stream)).await;
            let response = read.unwrap_or_default();
            let is_reusable =
                response.is_complete && response.header("connection").as_deref() != Some("close");
            answers.push(Answer { id, path, response });
            if !is_reusable {
                break;
            }
            tokio::time::sleep(Duration::from_millis(random.random_range(0..30))).await;
        }
    }
    answers
}

/// Waits until every gateway serves every kind of request and the weights are rolled out; the
/// timeout only stops a run that would hang.
pub async fn until_served(world: &World) -> Result<(), String> {
    const MAX_WAIT: Duration = Duration::from_secs(45);
    let all_served = async {
        for slot in &world.slots {
            for path in [ORDERS, STATUS, NOTES, QUICK] {
                while !slot.serves(path).await {
                    world.members.iter().for_each(|member| member.beat(&world.store));
                    tokio::time::sleep(Duration::from_millis(200)).await;
                }
            }
        }
    };
    let served = tokio::time::timeout(MAX_WAIT, all_served).await;
    served.map_err(|_| "a gateway does not serve again after the faults".to_owned())?;
    let newest = world.weights.load(Ordering::Relaxed);
    let engines = || world.members.iter().filter(|member| member.service == "notes");
    let rolled_out = until("weights are rolled out", || {
        engines().all(|member| member.server.weight_version() >= newest)
    });
    let rolled_out = tokio::time::timeout(MAX_WAIT, rolled_out).await;
    rolled_out.map_err(|_| format!("weights {newest} are not on all engines after the faults"))
}
