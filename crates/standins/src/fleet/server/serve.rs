//! How a server serves its connections.

use crate::fleet::endless::write_endless;
use crate::fleet::http::{ReceivedRequest, head, read_request, write_chunk};
use crate::fleet::script::ScriptEnd;
use crate::fleet::server::{
    Behaviour, ExecutedRequest, Framing, ServerKind, State, begin, crash, end, lock,
};
use crate::fleet::store::encode;
use serde_json::{Value, json};
use socket2::SockRef;
use std::convert::Infallible;
use std::io;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};
use tokio::io::{AsyncReadExt, AsyncWriteExt, BufReader};
use tokio::net::TcpStream;

/// The header that names the kind of content of a stream.
const EVENT_STREAM: &[u8] = b"Content-Type: text/event-stream\r\n";
/// The delay between the last bytes of an answer and the reset of its connection.
const RESET_DELAY: Duration = Duration::from_millis(30);

/// Serves the requests of one connection.
///
/// # Errors
///
/// Returns an error if the connection breaks.
pub async fn serve(
    mut stream: BufReader<TcpStream>,
    kind: ServerKind,
    state: &Mutex<State>,
) -> io::Result<()> {
    let mut was_played = false;
    while let Some(request) = read_request(&mut stream).await? {
        let (id, behaviour) = {
            let mut state = lock(state);
            state.received.push(request.path().to_owned());
            if !request.header("x-attempt-id").is_empty() {
                state.arrivals.push(Instant::now());
                let attempt =
                    ["x-expect-instance", "x-attempt-id"].map(|name| request.header(name));
                state.attempts.push((attempt[0].to_owned(), attempt[1].to_owned()));
            }
            (state.id.clone(), state.behaviour)
        };
        let expected = request.header("x-expect-instance");
        if !expected.is_empty() && expected != id {
            until_resumed(state).await;
            let headers =
                [("X-Instance-Id", id.as_str()), ("X-Attempt-Id", request.header("x-attempt-id"))];
            answer(&mut stream, state, 421, &headers, b"").await?;
            continue;
        }
        if behaviour == Behaviour::Unresponsive {
            if !request.header("x-attempt-id").is_empty() {
                record_executed(state, &request);
            }
            return std::future::pending().await;
        }
        match request.path() {
            "/health" => {
                until_resumed(state).await;
                answer(&mut stream, state, 200, &[("X-Instance-Id", &id)], b"").await?;
            }
            "/camphorward/report" => report(&mut stream, state).await?,
            "/camphorward/order" if lock(state).ignores_commands => return Ok(()),
            "/camphorward/order" => execute_command(&mut stream, state, &request).await?,
            "/camphorward/kv-events" => {
                match play_script(&mut stream, state, &request, was_played).await? {
                    AfterScript::Answer => kv_events(&mut stream, state, &request).await?,
                    AfterScript::Keep => was_played = true,
                    AfterScript::Close => return Ok(()),
                }
            }
            _ if has_other_version(kind, state, &request) => {
                until_resumed(state).await;
                let headers = [
                    ("X-Instance-Id", id.as_str()),
                    ("X-Attempt-Id", request.header("x-attempt-id")),
                ];
                answer(&mut stream, state, 421, &headers, b"").await?;
            }
            _ => {
                if !execute(&mut stream, kind, state, &request, behaviour).await? {
                    return Ok(());
                }
            }
        }
    }
    Ok(())
}

/// What a server does after the script for a request.
enum AfterScript {
    Answer,
    Keep,
    Close,
}

/// Writes the script, if there is one for a request; `was_played` is whether one was played on the
/// connection before.
async fn play_script(
    stream: &mut BufReader<TcpStream>,
    state: &Mutex<State>,
    request: &ReceivedRequest,
    was_played: bool,
) -> io::Result<AfterScript> {
    let script = lock(state).script.clone().filter(|script| script.is_for(request, was_played));
    let Some(script) = script else { return Ok(AfterScript::Answer) };
    stream.write_all(&script.bytes(request)).await?;
    stream.flush().await?;
    match script.end() {
        ScriptEnd::Answers => Ok(AfterScript::Answer),
        ScriptEnd::Keeps => Ok(AfterScript::Keep),
        ScriptEnd::Closes => Ok(AfterScript::Close),
        ScriptEnd::Resets => {
            // A reset may overtake bytes that the caller has not read.
            tokio::time::sleep(RESET_DELAY).await;
            reset(stream).map(|_| AfterScript::Close)
        }
    }
}

/// Builds a head with the extra headers, which replace those of the same name.
fn answer_head(state: &Mutex<State>, status: u16, headers: &[(&str, &str)]) -> Vec<u8> {
    let state = lock(state);
    let extra = state.extra_headers.iter().map(|(name, value)| (name.as_str(), value.as_str()));
    let is_replaced = |name: &str| extra.clone().any(|(other, _)| other == name);
    let kept = headers.iter().copied().filter(|(name, _)| !is_replaced(name));
    let all: Vec<(&str, &str)> = kept.chain(extra.clone()).collect();
    head(status, &all)
}

/// Writes an answer with the extra headers.
async fn answer(
    stream: &mut BufReader<TcpStream>,
    state: &Mutex<State>,
    status: u16,
    headers: &[(&str, &str)],
    body: &[u8],
) -> io::Result<()> {
    let mut bytes = answer_head(state, status, headers);
    bytes.extend(format!("Content-Length: {}\r\n\r\n", body.len()).into_bytes());
    bytes.extend_from_slice(body);
    stream.write_all(&bytes).await?;
    stream.flush().await
}

fn has_other_version(kind: ServerKind, state: &Mutex<State>, request: &ReceivedRequest) -> bool {
    let expected: Option<u64> = request.header("x-expect-version").parse().ok();
    kind == ServerKind::Engine
        && expected.is_some_and(|expected| expected != lock(state).weight_version)
}

async fn report(stream: &mut BufReader<TcpStream>, state: &Mutex<State>) -> io::Result<()> {
    until_resumed(state).await;
    let body = {
        let state = lock(state);
        json!({
            "models": [{ "name": "m", "version": state.weight_version }], "busy": false,
            "sequence": state.commands.len(), "born": state.started_unix_ms, "waiting": 0,
        })
    };
    answer(stream, state, 200, &[], &encode(&body)).await
}

async fn execute_command(
    stream: &mut BufReader<TcpStream>,
    state: &Mutex<State>,
    request: &ReceivedRequest,
) -> io::Result<()> {
    let command: Value = rmp_serde::from_slice(&request.body).unwrap_or_default();
    let status = {
        let mut state = lock(state);
        let is_expected = command["expect"].as_u64() == Some(state.commands.len() as u64);
        if is_expected && !state.refuses_commands {
            state.weight_version = command["version"].as_u64().unwrap_or(0);
            state.commands.push(command);
            202
        } else {
            409
        }
    };
    until_resumed(state).await;
    answer(stream, state, status, &[], b"").await
}

async fn kv_events(
    stream: &mut BufReader<TcpStream>,
    state: &Mutex<State>,
    request: &ReceivedRequest,
) -> io::Result<()> {
    let wait_ms = request.header("wait-ms").parse().unwrap_or(0);
    tokio::time::sleep(Duration::from_millis(wait_ms)).await;
    until_resumed(state).await;
    let clock_ms = SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |time| time.as_millis());
    let body = json!({
        "bootEpoch": 1, "nextPageToken": 0, "lost": false, "events": [], "clock_ms": clock_ms as u64,
    });
    answer(stream, state, 200, &[], &encode(&body)).await
}

fn record_executed(state: &Mutex<State>, request: &ReceivedRequest) -> usize {
    let mut state = lock(state);
    state.executed.push(ExecutedRequest {
        request: request.clone(),
        caller_disconnected: false,
        is_answered: false,
    });
    state.executed.len() - 1
}

/// A request in progress, which ends when dropped.
struct Running<'a>(&'a Mutex<State>);

impl Drop for Running<'_> {
    fn drop(&mut self) {
        end(self.0);
    }
}

/// Serves one request; returns whether the connection stays open.
async fn execute(
    stream: &mut BufReader<TcpStream>,
    kind: ServerKind,
    state: &Mutex<State>,
    request: &ReceivedRequest,
    behaviour: Behaviour,
) -> io::Result<bool> {
    let id = request.header("x-attempt-id").to_owned();
    let is_full = behaviour != Behaviour::Sheds && !begin(state);
    if behaviour == Behaviour::Sheds || is_full {
        if !is_full {
            lock(state).refused += 1;
        }
        until_resumed(state).await;
        let headers = [("X-Attempt-Id", id.as_str()), ("X-Not-Executed", "1")];
        answer(stream, state, 503, &headers, b"").await?;
        return Ok(true);
    }
    let _running = Running(state);
    let index = record_executed(state, request);
    let crash_plan = lock(state).crash_plan.clone();
    let seal = format!("seal.{}.{index}", lock(state).id);
    let padding = "x".repeat(lock(state).padding_bytes);
    let body = format!("answer to {id} with {} bytes{padding}", request.body.len());
    let headers = [
        ("X-Attempt-Id", id.as_str()),
        ("X-Server-Seal", seal.as_str()),
        ("Keep-Alive", "timeout=5"),
    ];
    if !wait_while_connected(stream, state, index, Duration::ZERO).await {
        return Ok(false);
    }
    if crash_plan.trigger.is_request(request) {
        match crash_later(state).await {}
    }
    if crash_plan.trigger.is_answer(request) {
        let mut bytes = answer_head(state, 200, &headers);
        bytes.extend_from_slice(EVENT_STREAM);
        bytes.extend_from_slice(b"Transfer-Encoding: chunked\r\n\r\n");
        stream.write_all(&bytes).await?;
        stream.flush().await?;
        match crash_later(state).await {}
    }
    match play_script(stream, state, request, false).await? {
        AfterScript::Answer => {}
        AfterScript::Keep => return Ok(true),
        AfterScript::Close => return Ok(false),
    }
    match behaviour {
        Behaviour::Serves | Behaviour::Unresponsive | Behaviour::Sheds => match kind {
            ServerKind::Engine => {
                return stream_events(stream, state, request, &headers, index).await;
            }
            ServerKind::Plain => {
                if !wait_for_execution(stream, state, index).await {
                    return Ok(false);
                }
                let framing = lock(state).framing;
                if framing != Framing::Framed {
                    let bytes = body.as_bytes();
                    let is_cut = framing == Framing::UnframedCut;
                    let written = if is_cut { &bytes[..bytes.len() / 2] } else { bytes };
                    write_unframed(stream, state, &headers, written).await?;
                    lock(state).executed[index].is_answered = !is_cut;
                    return Ok(false);
                }
                answer(stream, state, 200, &headers, body.as_bytes()).await?;
            }
        },
        Behaviour::Fails => answer(stream, state, 500, &headers, b"failed").await?,
        Behaviour::Resets => return reset(stream),
        Behaviour::Mismatched => {
            let headers = [("X-Attempt-Id", "another"), ("X-Server-Seal", seal.as_str())];
            answer(stream, state, 200, &headers, b"for somebody else").await?;
        }
        Behaviour::Truncates => {
            let mut bytes = answer_head(state, 200, &headers);
            bytes.extend_from_slice(b"Content-Length: 1000\r\n\r\nhalf");
            stream.write_all(&bytes).await?;
            return Ok(false);
        }
        Behaviour::Unframed | Behaviour::UnframedReset => {
            write_unframed(stream, state, &headers, body.as_bytes()).await?;
            if behaviour == Behaviour::UnframedReset {
                tokio::time::sleep(RESET_DELAY).await;
                return reset(stream);
            }
            return Ok(false);
        }
        Behaviour::Endless(endless) => {
            let closed = write_endless(stream, endless, &headers).await;
            lock(state).executed[index].caller_disconnected = true;
            return closed.map(|never| match never {});
        }
        Behaviour::Extra => {
            answer(stream, state, 200, &headers, body.as_bytes()).await?;
            answer(stream, state, 200, &headers, b"extra").await?;
        }
    }
    lock(state).executed[index].is_answered = true;
    Ok(true)
}

/// Writes an answer that ends with its connection.
async fn write_unframed(
    stream: &mut BufReader<TcpStream>,
    state: &Mutex<State>,
    headers: &[(&str, &str)],
    body: &[u8],
) -> io::Result<()> {
    let mut bytes = answer_head(state, 200, headers);
    bytes.extend_from_slice(b"Connection: close\r\n\r\n");
    bytes.extend_from_slice(body);
    stream.write_all(&bytes).await?;
    stream.flush().await
}

fn reset(stream: &BufReader<TcpStream>) -> io::Result<bool> {
    SockRef::from(stream.get_ref()).set_linger(Some(Duration::ZERO))?;
    Ok(false)
}

/// Waits for the execution time; returns whether the caller stayed connected.
async fn wait_for_execution(
    stream: &mut BufReader<TcpStream>,
    state: &Mutex<State>,
    index: usize,
) -> bool {
    let (execution_time, slots) = {
        let current = lock(state);
        (current.execution_time, current.slots.as_ref().map(|(_, slots)| Arc::clone(slots)))
    };
    // The semaphore is never closed.
    let _slot = match &slots {
        Some(slots) => slots.acquire().await.ok(),
        None => None,
    };
    wait_while_connected(stream, state, index, execution_time).await
}

/// Waits, and longer while the server is paused; returns false and records it if the caller
/// disconnects meanwhile.
async fn wait_while_connected(
    stream: &mut BufReader<TcpStream>,
    state: &Mutex<State>,
    index: usize,
    wait: Duration,
) -> bool {
    let mut byte = [0; 1];
    let waited = async {
        tokio::time::sleep(wait).await;
        until_resumed(state).await;
    };
    tokio::select! {
        biased;
        // Callers send nothing before they have the answer, so a read ends only at a disconnect.
        _ = stream.read(&mut byte) => {
            lock(state).executed[index].caller_disconnected = true;
            false
        }
        () = waited => true,
    }
}

async fn stream_events(
    stream: &mut BufReader<TcpStream>,
    state: &Mutex<State>,
    request: &ReceivedRequest,
    headers: &[(&str, &str)],
    index: usize,
) -> io::Result<bool> {
    /// The event in whose middle a cut stream ends.
    const CUT_EVENT: u64 = 3;
    let (events, gap, reset_after, padding, framing) = {
        let state = lock(state);
        let padding = "x".repeat(state.padding_bytes);
        (state.events, state.event_gap, state.reset_after_events, padding, state.framing)
    };
    let is_framed = framing == Framing::Framed;
    let last_event: u64 = request.header("last-event-id").parse().unwrap_or(0);
    let mut bytes = answer_head(state, 200, headers);
    let end = if is_framed { "Transfer-Encoding: chunked" } else { "Connection: close" };
    bytes.extend_from_slice(EVENT_STREAM);
    bytes.extend(format!("{end}\r\n\r\n").into_bytes());
    let queueing = lock(state).queueing;
    if !queueing.sends_head && !wait_while_connected(stream, state, index, queueing.wait).await {
        return Ok(false);
    }
    stream.write_all(&bytes).await?;
    stream.flush().await?;
    if queueing.sends_head && !wait_while_connected(stream, state, index, queueing.wait).await {
        return Ok(false);
    }
    for event in last_event + 1..=events {
        let (version, resets_all) = {
            let state = lock(state);
            (state.software_version.clone(), state.resets_all_streams)
        };
        let text = format!("id: {event}\ndata: token {event} of {version}{padding}\n\n");
        if resets_all || reset_after.is_some_and(|reset_after| event > reset_after) {
            write_piece(stream, is_framed, &text.as_bytes()[..text.len() / 2]).await?;
            return reset(stream);
        }
        if framing == Framing::UnframedCut && event >= CUT_EVENT {
            write_piece(stream, is_framed, &text.as_bytes()[..text.len() / 2]).await?;
            return Ok(false);
        }
        write_piece(stream, is_framed, text.as_bytes()).await?;
        if !wait_while_connected(stream, state, index, gap).await {
            return Ok(false);
        }
    }
    if is_framed {
        write_chunk(stream, b"").await?;
    }
    lock(state).executed[index].is_answered = true;
    Ok(is_framed)
}

/// Writes part of a body, as a chunk if it is framed.
async fn write_piece(
    stream: &mut BufReader<TcpStream>,
    is_framed: bool,
    bytes: &[u8],
) -> io::Result<()> {
    if is_framed {
        return write_chunk(stream, bytes).await;
    }
    stream.write_all(bytes).await?;
    stream.flush().await
}

/// Waits while the server is paused.
async fn until_resumed(state: &Mutex<State>) {
    let mut is_paused = lock(state).is_paused.subscribe();
    // The sender lives as long as the state.
    drop(is_paused.wait_for(|is_paused| !is_paused).await);
}

/// Crashes after the delay of the plan; the caller's task ends with it.
async fn crash_later(state: &Mutex<State>) -> Infallible {
    let delay = lock(state).crash_plan.delay;
    tokio::time::sleep(delay).await;
    crash(state);
    std::future::pending().await
}
