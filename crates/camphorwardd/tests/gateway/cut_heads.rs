//! A server stops in the middle of its answer's head, and closes or resets the connection: the caller
//! gets no success, and nothing that looks like a whole answer.

use crate::caller::{self, Response, new_id, post, read, request, send};
use crate::cut_off;
use crate::fleet::{Fleet, NOTES, ORDERS, QUICK, STATUS};
use crate::hedges::{Site, assert_whole};
use crate::process::Gateway;
use standins::fleet::{Script, ScriptEnd, ScriptTarget};

const PLAIN_HEAD: &str = "HTTP/1.1 200 OK\r\nX-Attempt-Id: {id}\r\nX-Server-Seal: s\r\n\
                          Keep-Alive: timeout=5\r\nContent-Length: 14\r\n\r\n";
const STREAM_HEAD: &str = "HTTP/1.1 200 OK\r\nX-Attempt-Id: {id}\r\nX-Server-Seal: s\r\n\
                           Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n";
/// Heads of answers that come before the final one.
const INTERIM: [&str; 3] =
    ["", "HTTP/1.1 100 Continue\r\n\r\n", "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n"];
const CUT_STEP_BYTES: usize = 9;

/// Returns scripts that stop in the head, from before its first byte to before its last.
fn cuts(target: ScriptTarget, head: &str) -> Vec<Script> {
    let lengths = (0..head.len()).step_by(CUT_STEP_BYTES).chain([head.len() - 2, head.len() - 1]);
    let mut scripts = Vec::new();
    for (index, length) in lengths.enumerate() {
        let end = if index % 2 == 0 { ScriptEnd::Closes } else { ScriptEnd::Resets };
        let interim = INTERIM[index % INTERIM.len()];
        scripts.push(Script::new(target, format!("{interim}{}", &head[..length]), end));
    }
    scripts
}

fn head_for(path: &str) -> &'static str {
    if [NOTES, QUICK].contains(&path) { STREAM_HEAD } else { PLAIN_HEAD }
}

/// Builds a request whose content is like no other, so that it is not taken for one that crashes
/// servers, and returns its id too.
fn new_request(path: &str) -> (String, String) {
    let id = new_id();
    (request(path, &id, "", &id), id)
}

async fn post_anew(gateway: &Gateway, path: &str) -> Response {
    send(gateway.callers, &new_request(path).0).await
}

#[tokio::test]
async fn a_cut_head_is_a_failure_on_new_and_kept_connections() {
    for path in [ORDERS, QUICK] {
        for is_kept in [false, true] {
            let fleet = Fleet::start(1, 1).await;
            let gateway = fleet.gateway("gateway-1").await;
            let server = if path == ORDERS { &fleet.desks[0] } else { &fleet.engines[0] };
            for script in cuts(ScriptTarget::Requests, head_for(path)) {
                if is_kept {
                    caller::until_status(&gateway, path, 200).await;
                }
                server.set_script(Some(script.clone()));
                let (text, id) = new_request(path);
                let response = send(gateway.callers, &text).await;
                assert_eq!(response.status, 502, "{path} {script:?}: {response:?}");
                server.set_script(None);
                let sent = caller::sent_line(&gateway, &id).await;
                assert_eq!(sent["reused_connection"], is_kept, "{path} {script:?}");
            }
        }
    }
}

#[tokio::test]
async fn a_request_that_may_be_repeated_moves_away_from_a_cut_head() {
    for path in [STATUS, NOTES] {
        for script in cuts(ScriptTarget::Requests, head_for(path)) {
            let fleet = Fleet::start(2, 2).await;
            let gateway = fleet.gateway("gateway-1").await;
            let server = if path == STATUS { &fleet.desks[0] } else { &fleet.engines[0] };
            server.set_script(Some(script.clone()));
            while server.executed().is_empty() {
                let response = post_anew(&gateway, path).await;
                let is_whole = response.status == 200 && response.is_complete;
                assert!(is_whole && !response.body.is_empty(), "{path} {script:?}: {response:?}");
            }
        }
    }
}

#[tokio::test]
async fn a_stream_goes_on_with_no_cut_head() {
    for script in cuts(ScriptTarget::Resumptions, STREAM_HEAD) {
        let (response, _other) = Site::start().await.break_onto(&script).await;
        let is_joined = response.is_complete || response.body.contains("HTTP");
        assert!(!is_joined, "{script:?}: {response:?}");
        assert_whole(&Site::start().await.hedge_with(&script).await);
    }
}

#[tokio::test]
async fn a_cut_head_is_a_failure_through_a_peer() {
    let site = cut_off::Site::start().await;
    site.cut_off().await;
    for path in [ORDERS, QUICK] {
        let servers = if path == ORDERS { &site.fleet.desks } else { &site.fleet.engines };
        for script in cuts(ScriptTarget::Requests, head_for(path)) {
            servers.iter().for_each(|server| server.set_script(Some(script.clone())));
            let response = post_anew(&site.cut.gateway, path).await;
            assert_eq!(response.status, 502, "{path} {script:?}: {response:?}");
        }
        servers.iter().for_each(|server| server.set_script(None));
    }
    let (text, id) = new_request(ORDERS);
    assert_eq!(send(site.cut.gateway.callers, &text).await.status, 200);
    assert_eq!(caller::sent_line(&site.cut.gateway, &id).await["through_peer"], true);
}

/// The gateway is killed while it writes an answer.
#[tokio::test]
async fn an_answer_that_its_gateway_does_not_finish_is_not_complete() {
    let fleet = Fleet::start(1, 1).await;
    fleet.desks[0].set_padding_bytes(8_000_000);
    fleet.engines[0].set_events(1_000, std::time::Duration::from_millis(5));
    for path in [ORDERS, NOTES] {
        let mut gateway = fleet.gateway("gateway-1").await;
        let mut stream = tokio::net::TcpStream::connect(gateway.callers).await.unwrap();
        let text = request(path, &new_id(), "", "body");
        tokio::io::AsyncWriteExt::write_all(&mut stream, text.as_bytes()).await.unwrap();
        let mut first = [0; 1];
        stream.peek(&mut first).await.unwrap();
        gateway.kill();
        let response = read(&mut stream).await;
        assert!(!response.is_complete, "{path}: {} {}", response.status, response.body.len());
    }
}

#[tokio::test]
async fn a_change_of_protocol_is_no_answer() {
    let fleet = Fleet::start(1, 0).await;
    let gateway = fleet.gateway("gateway-1").await;
    let text = "HTTP/1.1 101 X\r\nX-Attempt-Id: {id}\r\nX-Server-Seal: s\r\n\
                Connection: upgrade\r\nUpgrade: x\r\n\r\n";
    let script = Script::new(ScriptTarget::Requests, text, ScriptEnd::Closes);
    fleet.desks[0].set_script(Some(script));
    assert_eq!(post(&gateway, ORDERS).await.status, 502);
}

/// Guards against the status of a server in trouble that reaches the caller as an answer's.
#[tokio::test]
async fn a_status_that_is_none_is_no_answer() {
    const STATUSES: [&str; 10] =
        ["000", "0", "001", "099", "20", "2x0", "1000", "600", "999", "199"];
    let fleet = Fleet::start(1, 1).await;
    let gateway = fleet.gateway("gateway-1").await;
    for status in STATUSES {
        for extra in ["X-Server-Seal: s", "X-Not-Executed: 1"] {
            let text = format!(
                "HTTP/1.1 {status} X\r\nX-Attempt-Id: {{id}}\r\n{extra}\r\n\
                 Content-Length: 4\r\n\r\nbody"
            );
            let script = Script::new(ScriptTarget::Requests, text, ScriptEnd::Closes);
            for server in fleet.desks.iter().chain(&fleet.engines) {
                server.set_script(Some(script.clone()));
            }
            for path in [ORDERS, STATUS, NOTES, QUICK] {
                let response = post_anew(&gateway, path).await;
                assert_eq!(response.status, 502, "{path} {status} {extra}: {response:?}");
            }
        }
    }
}

/// Guards against the same where a stream goes on.
#[tokio::test]
async fn a_stream_goes_on_with_no_status_that_is_none() {
    for status in ["000", "600", "999"] {
        let text = format!(
            "HTTP/1.1 {status} X\r\nX-Attempt-Id: {{id}}\r\nX-Server-Seal: s\r\n\
             Content-Type: text/event-stream\r\nContent-Length: 24\r\n\r\n\
             id: 4\ndata: trouble!!\n\n"
        );
        let script = Script::new(ScriptTarget::Resumptions, text, ScriptEnd::Closes);
        let (response, _other) = Site::start().await.break_onto(&script).await;
        assert!(!response.is_complete && !response.body.contains("trouble"), "{response:?}");
        assert_whole(&Site::start().await.hedge_with(&script).await);
    }
}
