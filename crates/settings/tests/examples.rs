//! Parses all files under `examples/` and checks that the files of each site are consistent.

use clients::wire::host_list::HostRole;
use protocol::ids::{FailureDomain, HostName, Region, ServiceName};
use serde_json::Value;
use settings::process::ProcessSettings;
use settings::services::{ModelService, ServiceKind, ServicesText};
use standins::engine::EngineConfig;
use standins::site::{ServerEntry, SiteConfig};
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};

/// The parsed files of a site.
struct Site {
    name: String,
    services: ServicesText,
    stand_ins: SiteConfig,
    entry_hosts: Vec<ProcessSettings>,
}

fn examples_folder() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../../examples")
}

fn paths_in(folder: &Path) -> Vec<PathBuf> {
    let entries = std::fs::read_dir(folder).expect("the folder exists");
    let mut paths: Vec<PathBuf> =
        entries.map(|entry| entry.expect("the entry can be read").path()).collect();
    paths.sort();
    paths
}

fn read(path: &Path) -> String {
    std::fs::read_to_string(path).expect("the file can be read")
}

fn load(folder: &Path) -> Site {
    let name = folder.file_name().expect("the folder has a name").to_string_lossy().into_owned();
    let in_folder = |file: &str| read(&folder.join(file));
    let services = settings::parse_services_text(&in_folder("services.jsonc"));
    let client = settings::parse_client_settings(&in_folder("client.jsonc"));
    let is_entry = |path: &&PathBuf| {
        path.file_name().is_some_and(|name| name.to_string_lossy().starts_with("entry-"))
    };
    let paths = paths_in(folder);
    assert_eq!(paths.len(), 3 + paths.iter().filter(is_entry).count(), "{name}: unexpected file");
    let entry_hosts = paths.iter().filter(is_entry).map(|path| {
        let settings = settings::parse_process_settings(&read(path));
        settings.unwrap_or_else(|report| panic!("{}: {report}", path.display()))
    });
    let site = Site {
        services: services.unwrap_or_else(|report| panic!("{name}: {report}")),
        stand_ins: SiteConfig::parse(&in_folder("site.jsonc")).expect("the site file is valid"),
        entry_hosts: entry_hosts.collect(),
        name,
    };
    let client = client.unwrap_or_else(|report| panic!("{}: {report}", site.name));
    assert_eq!(client.log, Some(site.stand_ins.log.address), "{}", site.name);
    let operators = site.entry_hosts.iter().map(|settings| settings.listen.operators);
    let operators: Vec<SocketAddr> = operators.collect();
    assert!(client.nodes.iter().all(|node| operators.contains(node)), "{}", site.name);
    site
}

fn sites() -> Vec<Site> {
    paths_in(&examples_folder()).iter().map(|folder| load(folder)).collect()
}

/// Returns the host, location, service and address of each server of a site.
fn servers(
    site: &SiteConfig,
) -> Vec<(&HostName, &Region, &FailureDomain, &ServiceName, SocketAddr)> {
    fn location<C>(entry: &ServerEntry<C>) -> (&HostName, &Region, &FailureDomain, &ServiceName) {
        (&entry.host, &entry.region, &entry.failure_domain, &entry.service)
    }
    let engines = site.engines.iter().map(|entry| (location(entry), entry.config.address));
    let stores = site.stores.iter().map(|entry| (location(entry), entry.config.address));
    let orders = site.order_servers.iter().map(|entry| (location(entry), entry.config.address));
    let all = engines.chain(stores).chain(orders);
    all.map(|((host, region, domain, service), address)| (host, region, domain, service, address))
        .collect()
}

#[test]
fn listed_entry_hosts_match_their_settings() {
    for site in sites() {
        assert_eq!(site.stand_ins.entry_hosts.len(), site.entry_hosts.len(), "{}", site.name);
        for settings in &site.entry_hosts {
            let listed =
                site.stand_ins.entry_hosts.iter().find(|entry| entry.host == settings.host);
            let listed = listed.unwrap_or_else(|| panic!("{} is not listed", settings.host));
            let entry = listed.host_entry();
            let listen = &settings.listen;
            assert_eq!(
                (&entry.region, &entry.failure_domain, entry.role),
                (
                    &settings.region,
                    &settings.failure_domain,
                    HostRole::Entry {
                        callers: listen.callers,
                        peers: listen.peers,
                        operators: listen.operators
                    }
                )
            );
            assert_eq!(settings.platform.log, site.stand_ins.log.address);
            assert_eq!(settings.platform.host_list, site.stand_ins.host_list.address);
        }
    }
}

#[test]
fn seed_peers_are_entry_hosts_of_the_site() {
    for site in sites() {
        let peers: BTreeSet<SocketAddr> =
            site.entry_hosts.iter().map(|settings| settings.listen.peers).collect();
        for settings in &site.entry_hosts {
            assert!(!settings.seed_peers.is_empty(), "{}", settings.host);
            assert!(settings.seed_peers.iter().all(|peer| peers.contains(peer)));
        }
    }
}

#[test]
fn servers_match_the_services_and_regions_of_the_services_text() {
    for site in sites() {
        let services: BTreeSet<&ServiceName> =
            site.services.services.iter().map(|service| &service.name).collect();
        let mut served = BTreeSet::new();
        for (host, region, domain, service, _) in servers(&site.stand_ins) {
            let region_entry = site.services.regions.iter().find(|entry| entry.name == *region);
            assert!(region_entry.is_some_and(|entry| entry.domains.contains(domain)), "{host}");
            assert!(services.contains(service), "{host}");
            served.insert(service);
        }
        assert_eq!(served, services, "{}: each service has a server", site.name);
    }
}

#[test]
fn engine_settings_match_the_services_text() {
    let matches = |service: &ModelService, config: &EngineConfig| {
        service.weight_version == config.weight_version
            && service.kv_bytes_per_token == config.kv_bytes_per_token
            && service.token_gap_ms == config.token_gap_ms
    };
    for site in sites() {
        for engine in &site.stand_ins.engines {
            let service =
                site.services.services.iter().find(|service| service.name == engine.service);
            let Some(ServiceKind::Model(model)) = service.map(|service| &service.kind) else {
                panic!("{} runs no model service", engine.host);
            };
            assert!(matches(model, &engine.config), "{}", engine.host);
        }
    }
}

#[test]
fn addresses_and_host_names_are_unique() {
    let mut addresses = BTreeSet::new();
    for site in sites() {
        let mut names = BTreeSet::new();
        let stand_ins = &site.stand_ins;
        let mut add = |address: SocketAddr| {
            assert!(address.ip().is_loopback(), "{address}");
            assert!(addresses.insert(address), "{}: {address} is already used", site.name);
        };
        add(stand_ins.log.address);
        add(stand_ins.host_list.address);
        for settings in &site.entry_hosts {
            let listen = &settings.listen;
            [listen.callers, listen.peers, listen.operators].into_iter().for_each(&mut add);
            assert!(names.insert(settings.host.clone()), "{}", settings.host);
        }
        for (host, _, _, _, address) in servers(stand_ins) {
            add(address);
            assert!(names.insert(host.clone()), "{host}");
        }
    }
}

#[test]
fn site_sizes() {
    let sizes: Vec<String> = sites()
        .iter()
        .map(|site| {
            let count_in = |domain: &FailureDomain| {
                let hosts = site.entry_hosts.iter();
                hosts.filter(|host| host.failure_domain == *domain).count()
            };
            let domains = site.services.regions.iter().flat_map(|region| {
                let names = region.domains.iter();
                names.map(move |name| format!("{}/{name}: {}", region.name, count_in(name)))
            });
            format!(
                "{}: {} engines, {} order servers, {} organisations, entry hosts {}",
                site.name,
                site.stand_ins.engines.len(),
                site.stand_ins.order_servers.len(),
                site.services.organisations.len(),
                domains.collect::<Vec<String>>().join(", ")
            )
        })
        .collect();
    insta::assert_snapshot!(sizes.join("\n"));
}

#[test]
fn examples_without_comments_are_json() {
    for folder in paths_in(&examples_folder()) {
        for path in paths_in(&folder) {
            let text = read(&path);
            let lines = text.lines().filter(|line| !line.trim_start().starts_with("//"));
            let plain = lines.collect::<Vec<&str>>().join("\n");
            let value = serde_json::from_str::<Value>(&plain);
            assert!(value.is_ok(), "{}: {value:?}", path.display());
        }
    }
}
