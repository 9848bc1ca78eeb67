//! Refusals: which status, and whether nothing ran.

use crate::caller::{self, new_id, post, read, request, send};
use crate::fleet::{Fleet, ORDERS, configuration};
use crate::process::Gateway;
use standins::fleet::{Behaviour, Store};
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;

#[tokio::test]
async fn without_a_configuration_nothing_is_denied() {
    let store = Store::start().await.unwrap();
    let settings = crate::fleet::settings("gateway-1", &store.address().to_string(), &[]);
    let gateway = Gateway::start(&settings).await;
    let got = post(&gateway, ORDERS).await;
    assert_eq!(got.status, 503);
    assert!(got.header("retry-after").is_some());
    assert!(!caller::is_ready(&gateway).await);
    store.put_configuration(&configuration(3, &["alpha-key"]));
    caller::until_status(&gateway, "/nowhere/", 404).await;
}

#[tokio::test]
async fn unknown_routes_and_keys_are_denied() {
    let fleet = Fleet::start(1, 0).await;
    let gateway = fleet.gateway("gateway-1").await;
    assert_eq!(post(&gateway, "/nowhere/").await.status, 404);
    let text = request(ORDERS, &new_id(), "", "body");
    assert_eq!(send(gateway.callers, &text.replace("alpha-key", "other")).await.status, 401);
    let keyless = text.replace("Authorization: Bearer alpha-key\r\n", "");
    assert_eq!(send(gateway.callers, &keyless).await.status, 401);
    assert!(fleet.desks[0].executed().is_empty());
}

#[tokio::test]
async fn a_request_that_all_servers_shed_comes_back_later() {
    let fleet = Fleet::start(2, 0).await;
    let gateway = fleet.gateway("gateway-1").await;
    fleet.desks.iter().for_each(|desk| desk.set_behaviour(Behaviour::Sheds));
    let got = post(&gateway, ORDERS).await;
    assert_eq!((got.status, got.header("x-server-seal")), (503, None));
    let after: f64 = got.header("retry-after").unwrap().parse().unwrap();
    assert!(after > 0.0 && after <= 2.0, "{after} s is beyond a third of the caller's time");
    assert!(fleet.desks.iter().all(|desk| desk.executed().is_empty()));
    assert!(fleet.desks.iter().map(standins::fleet::Server::refused).sum::<u64>() <= 3);
}

#[tokio::test]
async fn a_request_with_two_framings_runs_nowhere_nor_what_it_hides() {
    let fleet = Fleet::start(1, 0).await;
    let gateway = fleet.gateway("gateway-1").await;
    let hidden = request(ORDERS, &new_id(), "", "");
    let framings = [
        "Content-Length: 5\r\nTransfer-Encoding: chunked\r\n",
        "Transfer-Encoding: chunked\r\nContent-Length: 5\r\n",
    ];
    for framing in framings {
        let outer = request(ORDERS, &new_id(), "", "").replace("Content-Length: 0\r\n", framing);
        let mut stream = TcpStream::connect(gateway.callers).await.unwrap();
        stream.write_all(format!("{outer}0\r\n\r\n{hidden}").as_bytes()).await.unwrap();
        let got = read(&mut stream).await;
        assert_eq!(got.status, 400);
        assert_eq!(got.header("connection").as_deref(), Some("close"));
    }
    assert_eq!(post(&gateway, ORDERS).await.status, 200);
    assert_eq!(fleet.desks[0].executed().len(), 1);
}

#[tokio::test]
async fn bodies_beyond_the_limit_are_refused() {
    let fleet = Fleet::start(1, 0).await;
    let gateway = fleet.gateway("gateway-1").await;
    let body = "x".repeat(100_001);
    assert_eq!(send(gateway.callers, &request(ORDERS, &new_id(), "", &body)).await.status, 413);
    let no_id = request(ORDERS, "x", "", "").replace("X-Attempt-Id: x\r\n", "");
    assert_eq!(send(gateway.callers, &no_id).await.status, 400);
    assert!(fleet.desks[0].executed().is_empty());
}

#[tokio::test]
async fn a_request_that_breaks_servers_is_refused_by_all_gateways() {
    let fleet = Fleet::start(0, 4).await;
    let first = fleet.gateway("gateway-1").await;
    let second = fleet.gateway("gateway-2").await;
    caller::until_listed(&first, 2).await;
    caller::until_listed(&second, 2).await;
    fleet.engines.iter().for_each(|engine| engine.set_behaviour(Behaviour::Resets));
    let ran = || fleet.engines.iter().map(|engine| engine.executed().len()).sum::<usize>();
    while ran() < 3 {
        post(&first, crate::fleet::QUICK).await;
    }
    let before = ran();
    loop {
        let got = post(&second, crate::fleet::QUICK).await;
        if got.body.contains("crashes_servers") {
            break;
        }
        assert!(ran() <= before + 3, "the second gateway does not hear of it");
    }
}

#[tokio::test]
async fn an_address_that_another_server_has_runs_nothing() {
    let fleet = Fleet::start(2, 0).await;
    let gateway = fleet.gateway("gateway-1").await;
    fleet.desks[0].set_id("somebody-else");
    for _ in 0..6 {
        assert_eq!(post(&gateway, ORDERS).await.status, 200);
    }
    assert!(fleet.desks[0].executed().is_empty());
    assert_eq!(fleet.desks[1].executed().len(), 6);
}
