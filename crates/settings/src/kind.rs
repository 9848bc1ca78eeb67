//! Detection of the kind of a text.

use crate::locate::Node;
use crate::problem::Report;
use crate::process::shape::PROCESS_SETTINGS;
use crate::services::shape::SERVICES_TEXT;
use crate::shape::Shape;
use crate::source;

/// The kind of a text.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum TextKind {
    /// Settings of one daemon.
    Process,
    /// The services text.
    Services,
}

/// Detects the kind of a text from the names of its top-level fields; `None` if both kinds match
/// equally well.
///
/// # Errors
///
/// Returns the first position at which the text is not valid JSON with comments.
pub fn detect_kind(text: &str) -> Result<Option<TextKind>, Report> {
    let tree = source::parse(text)?;
    let root = Node::new_root(&tree);
    let process = count_known_fields(&root, &PROCESS_SETTINGS);
    let services = count_known_fields(&root, &SERVICES_TEXT);
    Ok(match process.cmp(&services) {
        std::cmp::Ordering::Greater => Some(TextKind::Process),
        std::cmp::Ordering::Less => Some(TextKind::Services),
        std::cmp::Ordering::Equal => None,
    })
}

fn count_known_fields(root: &Node<'_>, shape: &Shape) -> usize {
    match shape {
        Shape::Object(fields) => {
            fields.iter().filter(|field| root.field(field.name).is_some()).count()
        }
        Shape::Tagged(_) | Shape::List(_) | Shape::AddressMap | Shape::Scalar(_) => 0,
    }
}
