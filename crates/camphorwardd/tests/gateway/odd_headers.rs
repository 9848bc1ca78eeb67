//! Headers with numbers that are far too high.

use crate::caller::{self, new_id, post, request, send};
use crate::fleet::{Fleet, NOTES, ORDERS};

#[tokio::test]
async fn a_callers_deadline_that_is_far_too_high_is_no_reason_to_refuse_its_request() {
    let fleet = Fleet::start(1, 0).await;
    let gateway = fleet.gateway("gateway-1").await;
    for deadline in ["18446744073709551615", "1e300", "inf"] {
        let text = request(ORDERS, &new_id(), "", "body");
        let text = text.replace("X-Deadline-Ms: 6000", &format!("X-Deadline-Ms: {deadline}"));
        assert_eq!(send(gateway.callers, &text).await.status, 200, "{deadline}");
    }
}

#[tokio::test]
async fn a_prompt_that_is_far_too_long_is_rejected_as_if_the_server_were_full() {
    let fleet = Fleet::start(0, 1).await;
    let gateway = fleet.gateway("gateway-1").await;
    let max = u64::MAX;
    for (tokens, segments) in [
        (format!("{max},5"), "1:900".to_owned()),
        (format!("{max},{max}"), format!("1:{max},2:{max},3:{max}")),
    ] {
        let text = request(NOTES, &new_id(), "", "body");
        let lines = text.split("\r\n").map(|line| match line.split_once(':') {
            Some(("X-Token-Count", _)) => format!("X-Token-Count: {tokens}"),
            Some(("X-Prompt-Prefix", _)) => format!("X-Prompt-Prefix: {segments}"),
            _ => line.to_owned(),
        });
        let text = lines.collect::<Vec<_>>().join("\r\n");
        assert_eq!(send(gateway.callers, &text).await.status, 503, "{tokens}");
    }
    assert_eq!(post(&gateway, NOTES).await.status, 200);
}

#[tokio::test]
async fn a_servers_keep_alive_time_may_be_far_too_high() {
    let fleet = Fleet::start(1, 0).await;
    let gateway = fleet.gateway("gateway-1").await;
    fleet.desks[0].set_extra_headers(&[("Keep-Alive", "timeout=18446744073709551615")]);
    for _ in 0..3 {
        let response = post(&gateway, ORDERS).await;
        assert_eq!((response.status, response.is_complete), (200, true));
    }
    assert!(caller::metrics(&gateway).await.contains("answers{kind=\"success\"} 3"));
}
