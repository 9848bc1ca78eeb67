//! Finds the cycles of a graph, in time that grows with its size.

use smallvec::SmallVec;
use std::collections::HashMap;

/// Lists the nodes that one node needs, or that need it.
pub(super) type Neighbours = SmallVec<[usize; 4]>;

/// Holds what is left of a graph while its nodes are removed.
struct Graph {
    needs: Vec<Neighbours>,
    needed_by: Vec<Neighbours>,
    /// How many needs of each node are left.
    open_needs: Vec<usize>,
    is_removed: Vec<bool>,
}

/// Returns cycles that share no node, each from its least node on, such that without them the
/// graph has none.
pub(super) fn find(needs: Vec<Neighbours>) -> Vec<Vec<usize>> {
    let mut graph = Graph::new(needs);
    let free = (0..graph.needs.len()).filter(|node| graph.open_needs[*node] == 0).collect();
    graph.remove(free);
    let mut cycles = Vec::new();
    for start in 0..graph.needs.len() {
        // What is left after each removal has a need that is left, so a walk ends in a cycle.
        while !graph.is_removed[start] {
            let cycle = graph.walk_to_cycle(start);
            graph.remove(cycle.clone());
            cycles.push(cycle);
        }
    }
    cycles
}

impl Graph {
    fn new(needs: Vec<Neighbours>) -> Self {
        let mut needed_by = vec![Neighbours::new(); needs.len()];
        for (node, needs) in needs.iter().enumerate() {
            needs.iter().for_each(|need| needed_by[*need].push(node));
        }
        let open_needs = needs.iter().map(Neighbours::len).collect();
        let is_removed = vec![false; needs.len()];
        Self { needs, needed_by, open_needs, is_removed }
    }

    /// Removes nodes, and then all that are left without a need.
    fn remove(&mut self, nodes: Vec<usize>) {
        let mut queue = nodes;
        while let Some(node) = queue.pop() {
            if std::mem::replace(&mut self.is_removed[node], true) {
                continue;
            }
            for dependent in &self.needed_by[node] {
                self.open_needs[*dependent] -= 1;
                if self.open_needs[*dependent] == 0 {
                    queue.push(*dependent);
                }
            }
        }
    }

    /// Follows the first need that is left until a node comes again.
    fn walk_to_cycle(&self, start: usize) -> Vec<usize> {
        let mut path = vec![start];
        let mut places = HashMap::from([(start, 0)]);
        let mut at = start;
        while let Some(next) = self.needs[at].iter().find(|need| !self.is_removed[**need]) {
            if let Some(place) = places.get(next) {
                return from_least(path.split_off(*place));
            }
            places.insert(*next, path.len());
            path.push(*next);
            at = *next;
        }
        path
    }
}

fn from_least(mut cycle: Vec<usize>) -> Vec<usize> {
    let least = cycle.iter().enumerate().min_by_key(|(_, node)| **node);
    let place = least.map_or(0, |(place, _)| place);
    cycle.rotate_left(place);
    cycle
}
