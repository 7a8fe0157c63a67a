//! Modules of a crate do not import each other in a circle, so that each can be read, and tested,
//! with only what lies below it.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

#[path = "sources/sources.rs"]
mod sources;

use sources::files;

/// What each module imports of its crate.
type Graph = BTreeMap<String, BTreeSet<String>>;

/// The modules of a crate, by their paths in it.
type Modules = BTreeMap<String, String>;

/// Returns the modules of each crate, by the crate's folder.
fn crates() -> BTreeMap<String, Modules> {
    let mut crates: BTreeMap<String, Modules> = BTreeMap::new();
    for file in files() {
        let Some((folder, path)) = file.path.split_once("/src/") else {
            continue;
        };
        let name = path.trim_end_matches(".rs").replace('/', "::");
        let modules = crates.entry(folder.to_owned()).or_default();
        modules.insert(name, file.text);
    }
    crates
}

/// Returns the types that `lib.rs` offers under another path, and the modules that they are in.
fn reexports(lib: &str) -> BTreeMap<String, String> {
    let uses = lib.lines().filter_map(|it| it.strip_prefix("pub use "));
    let paths = uses.filter_map(|it| it.trim_end_matches(';').rsplit_once("::"));
    paths
        .map(|(module, name)| (name.to_owned(), module.replace("crate::", "")))
        .collect()
}

fn graph(modules: &Modules, lib: &str) -> Graph {
    let reexports = reexports(lib);
    let module_of = |path: &str| {
        let first = path.split("::").next().unwrap_or_default();
        let mut path = reexports
            .get(first)
            .cloned()
            .unwrap_or_else(|| path.to_owned());
        while !modules.contains_key(&path) {
            path.truncate(path.rfind("::")?);
        }
        Some(path)
    };
    let is_path = |it: char| it.is_alphanumeric() || it == '_' || it == ':';
    let imports = |name: &str, text: &str| {
        let mentions = text.split("crate::").skip(1);
        let paths = mentions.map(|it| it.split(|it| !is_path(it)).next().unwrap_or_default());
        let found = paths.filter_map(|it| module_of(it.trim_end_matches(':')));
        found.filter(|it| it != name).collect()
    };
    modules
        .iter()
        .map(|(name, text)| (name.clone(), imports(name, text)))
        .collect()
}

/// Takes modules away that import none of the rest, until only circles and what uses them is left.
fn circles(mut graph: Graph) -> Graph {
    loop {
        let leaves = graph.iter().filter(|it| it.1.is_empty());
        let leaves: Vec<String> = leaves.map(|it| it.0.clone()).collect();
        if leaves.is_empty() {
            return graph;
        }
        graph.retain(|name, _| !leaves.contains(name));
        for imports in graph.values_mut() {
            imports.retain(|it| !leaves.contains(it));
        }
    }
}

fn check(modules: &[(&str, &str)], expected: &[&str]) {
    let owned = |it: &(&str, &str)| (it.0.to_owned(), it.1.to_owned());
    let modules = modules.iter().map(owned).collect();
    let left = circles(graph(&modules, "pub use b::Type;\n"));
    assert_eq!(left.keys().collect::<Vec<_>>(), expected);
}

#[test]
fn circles_are_found() {
    check(&[("a", "use crate::b;"), ("b", "")], &[]);
    check(
        &[("a", "use crate::b;"), ("b", "use crate::a::X;")],
        &["a", "b"],
    );
    check(
        &[("a", "crate::Type"), ("b", "crate::a::call()")],
        &["a", "b"],
    );
    check(
        &[("a::c", "use crate::b;"), ("b", "use crate::a::c;")],
        &["a::c", "b"],
    );
}

#[test]
fn modules_import_no_circle() {
    for (folder, mut modules) in crates() {
        let lib = modules.remove("lib").unwrap_or_default();
        modules.remove("main");
        let left = circles(graph(&modules, &lib));
        assert!(left.is_empty(), "{folder}: {left:#?}");
    }
}
