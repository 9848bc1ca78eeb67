//! Finds names, models and key digests that are given twice.

use crate::findings::Findings;
use crate::locate::Node;
use crate::unique::Unique;

/// Checks that no two regions have one name and no failure domain lies in two places.
pub(super) fn check_regions(root: &Node<'_>, findings: &mut Findings) {
    let mut names = Unique::new("region");
    let mut domains = Unique::new("failure domain");
    for region in root.elements_of("regions") {
        check_text(&mut names, region.field("name"), findings);
        for domain in region.elements_of("domains") {
            check_text(&mut domains, Some(domain), findings);
        }
    }
}

/// Checks that no two organisations have one name or one key digest.
pub(super) fn check_organisations(root: &Node<'_>, findings: &mut Findings) {
    let mut names = Unique::new("organisation");
    let mut digests = Unique::new("key digest");
    for organisation in root.elements_of("organisations") {
        check_text(&mut names, organisation.field("name"), findings);
        for digest in organisation.elements_of("key_digests") {
            check_text(&mut digests, Some(digest), findings);
        }
    }
}

/// Checks that no two services have one name, and no two serve one version of a model.
pub(super) fn check_services(root: &Node<'_>, findings: &mut Findings) {
    let mut names = Unique::new("service");
    let mut models = Unique::new("model with its weight version");
    for service in root.elements_of("services") {
        check_text(&mut names, service.field("name"), findings);
        check_model(&mut models, &service, findings);
    }
}

fn check_model(models: &mut Unique, service: &Node<'_>, findings: &mut Findings) {
    let Some(model) = service.field("model") else {
        return;
    };
    let version = service.field("weight_version");
    let names = model.as_text().zip(version.as_ref().and_then(Node::as_text));
    if let Some((name, version)) = names {
        models.check(&model, &format!("{name} {version}"), findings);
    }
}

fn check_text(seen: &mut Unique, node: Option<Node<'_>>, findings: &mut Findings) {
    let Some(node) = node else {
        return;
    };
    if let Some(text) = node.as_text() {
        seen.check(&node, text, findings);
    }
}
