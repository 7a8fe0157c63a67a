//! Modules of a crate do not import each other in a circle, so that each can be read, and tested,
//! with only what lies below it.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::path::Path;
use std::path::PathBuf;

/// What each module imports of its crate.
type Graph = BTreeMap<String, BTreeSet<String>>;

fn root() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR"))
        .parent()
        .unwrap()
        .to_owned()
}

/// Reads the modules below `folder`, by their paths in the crate.
fn collect(folder: &Path, prefix: &str, modules: &mut BTreeMap<String, String>) {
    for entry in std::fs::read_dir(folder).unwrap() {
        let path = entry.unwrap().path();
        let stem = path.file_stem().unwrap().to_string_lossy().into_owned();
        let name = format!("{prefix}{stem}");
        if path.is_dir() {
            collect(&path, &format!("{name}::"), modules);
        } else if !["lib", "main"].contains(&name.as_str()) && !name.ends_with("_capnp") {
            modules.insert(name, std::fs::read_to_string(&path).unwrap());
        }
    }
}

/// Returns the types that `lib.rs` offers under another path, and the modules that they are in.
fn reexports(lib: &str) -> BTreeMap<String, String> {
    let uses = lib.lines().filter_map(|it| it.strip_prefix("pub use "));
    let paths = uses.filter_map(|it| it.trim_end_matches(';').rsplit_once("::"));
    paths
        .map(|(module, name)| (name.to_owned(), module.replace("crate::", "")))
        .collect()
}

fn graph(modules: &BTreeMap<String, String>, lib: &str) -> Graph {
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
    let crates = std::fs::read_dir(root().join("crates")).unwrap();
    let mut folders: Vec<PathBuf> = crates.map(|it| it.unwrap().path().join("src")).collect();
    folders.extend([root().join("platform/src"), root().join("xtask/src")]);
    for folder in folders.iter().filter(|it| it.exists()) {
        let mut modules = BTreeMap::new();
        collect(folder, "", &mut modules);
        let lib = std::fs::read_to_string(folder.join("lib.rs")).unwrap_or_default();
        let left = circles(graph(&modules, &lib));
        assert!(left.is_empty(), "{}: {left:#?}", folder.display());
    }
}
