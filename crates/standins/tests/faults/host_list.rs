//! Tests of the host list's lag and of the site file.

use super::support::Caller;
use clients::wire::host_list::{HostList, HostState};
use http::StatusCode;
use standins::host_list::{HostListConfig, HostListFaults, HostListService};
use standins::site::{Site, SiteConfig};

const SITE: &str = r#"{
    // One server of each kind.
    "engines": [{ "host": "e1", "region": "r", "failure_domain": "d", "service": "shade",
                  "config": {} }],
    "stores": [{ "host": "s1", "region": "r", "failure_domain": "d", "service": "kept",
                 "config": {} }],
    "order_servers": [{ "host": "o1", "region": "r", "failure_domain": "d", "service": "desk",
                        "config": {} }],
    "entry_hosts": [{ "host": "n1", "region": "r", "failure_domain": "d",
                      "callers": "127.0.0.1:1", "peers": "127.0.0.1:2",
                      "operators": "127.0.0.1:3" }],
}"#;

#[tokio::test]
async fn a_site_file_starts_and_lists_its_hosts() {
    let site = Site::start(SiteConfig::parse(SITE).unwrap()).await.unwrap();
    let list: HostList = Caller::new().get(site.host_list.address(), "/hosts").await;
    let hosts: Vec<&str> = list.hosts.iter().map(|entry| entry.host.as_str()).collect();
    assert_eq!(hosts, ["n1", "e1", "s1", "o1"]);
}

#[test]
fn an_unknown_field_in_a_site_file_is_named() {
    let error = SiteConfig::parse(r#"{ "log": { "retained_days": 1 } }"#).unwrap_err();
    assert!(error.to_string().contains("retained_days"));
}

#[tokio::test]
async fn a_change_is_visible_only_after_the_lag() {
    const HOUR_MS: u64 = 3_600_000;
    let site = Site::start(SiteConfig::parse(SITE).unwrap()).await.unwrap();
    let caller = Caller::new();
    let listed: HostList = caller.get(site.host_list.address(), "/hosts").await;
    for (lag_ms, visible) in [(0, HostState::Leaving), (HOUR_MS, HostState::Live)] {
        let config = HostListConfig { lag_ms, ..HostListConfig::default() };
        let service = HostListService::start(config, listed.hosts.clone()).await.unwrap();
        let path = "/hosts/e1/leaving";
        let (status, _) = caller.post(service.address(), path, &()).await.unwrap();
        assert_eq!(status, StatusCode::NO_CONTENT);
        let list: HostList = caller.get(service.address(), "/hosts").await;
        let entry = list.hosts.iter().find(|entry| entry.host.as_str() == "e1").unwrap();
        assert_eq!(entry.state, visible);
    }
}

#[tokio::test]
async fn a_frozen_list_shows_no_change() {
    let site = Site::start(SiteConfig::parse(SITE).unwrap()).await.unwrap();
    let caller = Caller::new();
    let listed: HostList = caller.get(site.host_list.address(), "/hosts").await;
    let config = HostListConfig { lag_ms: 0, ..HostListConfig::default() };
    let service = HostListService::start(config, listed.hosts).await.unwrap();
    service.set_faults(HostListFaults { frozen: true, ..HostListFaults::default() });
    service.remove("e1");
    let frozen: HostList = caller.get(service.address(), "/hosts").await;
    service.set_faults(HostListFaults::default());
    let thawed: HostList = caller.get(service.address(), "/hosts").await;
    assert_eq!((frozen.hosts.len(), thawed.hosts.len()), (4, 3));
}
