//! Finds disjoint dependency cycles, in time that grows with the size of the graph rather than with
//! the number of its cycles.

use smallvec::SmallVec;
use std::collections::HashMap;

/// The dependencies or the dependents of a node.
pub(super) type Neighbours = SmallVec<[usize; 4]>;

/// A dependency graph from which nodes are removed.
struct Graph {
    dependencies: Vec<Neighbours>,
    dependents: Vec<Neighbours>,
    /// The number of dependencies of each node that are not removed.
    remaining_dependencies: Vec<usize>,
    is_removed: Vec<bool>,
}

/// Returns disjoint cycles, each starting at its lowest node. Without their nodes the graph is
/// acyclic.
pub(super) fn find(dependencies: Vec<Neighbours>) -> Vec<Vec<usize>> {
    let mut graph = Graph::new(dependencies);
    let independent = (0..graph.dependencies.len())
        .filter(|node| graph.remaining_dependencies[*node] == 0)
        .collect();
    graph.remove(independent);
    let mut cycles = Vec::new();
    for start in 0..graph.dependencies.len() {
        // Each node that remains after a removal has a remaining dependency, so that a walk ends in
        // a cycle.
        while !graph.is_removed[start] {
            let cycle = graph.walk_to_cycle(start);
            graph.remove(cycle.clone());
            cycles.push(cycle);
        }
    }
    cycles
}

impl Graph {
    fn new(dependencies: Vec<Neighbours>) -> Self {
        let mut dependents = vec![Neighbours::new(); dependencies.len()];
        for (node, dependencies) in dependencies.iter().enumerate() {
            dependencies.iter().for_each(|dependency| dependents[*dependency].push(node));
        }
        let remaining_dependencies = dependencies.iter().map(Neighbours::len).collect();
        let is_removed = vec![false; dependencies.len()];
        Self { dependencies, dependents, remaining_dependencies, is_removed }
    }

    /// Removes nodes, and then each node whose dependencies are all removed.
    fn remove(&mut self, nodes: Vec<usize>) {
        let mut stack = nodes;
        while let Some(node) = stack.pop() {
            if std::mem::replace(&mut self.is_removed[node], true) {
                continue;
            }
            for dependent in &self.dependents[node] {
                self.remaining_dependencies[*dependent] -= 1;
                if self.remaining_dependencies[*dependent] == 0 {
                    stack.push(*dependent);
                }
            }
        }
    }

    /// Follows the first remaining dependency of each node until a node is revisited, and returns
    /// the cycle.
    fn walk_to_cycle(&self, start: usize) -> Vec<usize> {
        let mut path = vec![start];
        let mut positions = HashMap::from([(start, 0)]);
        let mut current = start;
        while let Some(next) =
            self.dependencies[current].iter().find(|node| !self.is_removed[**node])
        {
            if let Some(position) = positions.get(next) {
                return rotate_to_lowest(path.split_off(*position));
            }
            positions.insert(*next, path.len());
            path.push(*next);
            current = *next;
        }
        path
    }
}

fn rotate_to_lowest(mut cycle: Vec<usize>) -> Vec<usize> {
    let lowest = cycle.iter().enumerate().min_by_key(|(_, node)| **node);
    let position = lowest.map_or(0, |(position, _)| position);
    cycle.rotate_left(position);
    cycle
}
