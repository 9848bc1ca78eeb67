//! Tells the kinds of text apart.

use crate::locate::Node;
use crate::problem::Report;
use crate::process::shape::PROCESS_SETTINGS;
use crate::services::shape::SERVICES_TEXT;
use crate::shape::Shape;
use crate::source;

/// Tells what a text is meant to be.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum TextKind {
    /// Settings of one daemon.
    Process,
    /// The services text.
    Services,
}

/// Tells what a text is meant to be from the names of its fields; `None` if they do not say.
///
/// # Errors
///
/// Returns the first place at which the text is no JSON with comments.
pub fn kind_of(text: &str) -> Result<Option<TextKind>, Report> {
    let tree = source::parse(text)?;
    let root = Node::new_root(&tree);
    let process = count_known(&root, &PROCESS_SETTINGS);
    let services = count_known(&root, &SERVICES_TEXT);
    Ok(match process.cmp(&services) {
        std::cmp::Ordering::Greater => Some(TextKind::Process),
        std::cmp::Ordering::Less => Some(TextKind::Services),
        std::cmp::Ordering::Equal => None,
    })
}

fn count_known(root: &Node<'_>, shape: &Shape) -> usize {
    match shape {
        Shape::Object(fields) => {
            fields.iter().filter(|field| root.field(field.name).is_some()).count()
        }
        Shape::Tagged(_) | Shape::List(_) | Shape::AddressMap | Shape::Scalar(_) => 0,
    }
}
