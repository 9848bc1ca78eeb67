//! Checks for duplicate names, models and key digests.

use crate::findings::Findings;
use crate::locate::Node;
use crate::unique::UniqueValues;

/// Checks that region names are unique and that each failure domain is listed once.
pub(super) fn check_regions(root: &Node<'_>, findings: &mut Findings) {
    let mut names = UniqueValues::new("region");
    let mut domains = UniqueValues::new("failure domain");
    for region in root.elements_of("regions") {
        check_text(&mut names, region.field("name"), findings);
        for domain in region.elements_of("domains") {
            check_text(&mut domains, Some(domain), findings);
        }
    }
}

/// Checks that organisation names and key digests are unique.
pub(super) fn check_organisations(root: &Node<'_>, findings: &mut Findings) {
    let mut names = UniqueValues::new("organisation");
    let mut digests = UniqueValues::new("key digest");
    for organisation in root.elements_of("organisations") {
        check_text(&mut names, organisation.field("name"), findings);
        for digest in organisation.elements_of("key_digests") {
            check_text(&mut digests, Some(digest), findings);
        }
    }
}

/// Checks that service names are unique, and that no two services serve the same version of a
/// model.
pub(super) fn check_services(root: &Node<'_>, findings: &mut Findings) {
    let mut names = UniqueValues::new("service");
    let mut models = UniqueValues::new("model with its weight version");
    for service in root.elements_of("services") {
        check_text(&mut names, service.field("name"), findings);
        check_model(&mut models, &service, findings);
    }
}

fn check_model(models: &mut UniqueValues, service: &Node<'_>, findings: &mut Findings) {
    let Some(model) = service.field("model") else {
        return;
    };
    let version = service.field("weight_version");
    let names = model.as_text().zip(version.as_ref().and_then(Node::as_text));
    if let Some((name, version)) = names {
        models.check(&model, &format!("{name} {version}"), findings);
    }
}

fn check_text(values: &mut UniqueValues, node: Option<Node<'_>>, findings: &mut Findings) {
    let Some(node) = node else {
        return;
    };
    if let Some(text) = node.as_text() {
        values.check(&node, text, findings);
    }
}
