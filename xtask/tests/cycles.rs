//! Modules of a crate must not import each other in a cycle, so that each module can be read and
//! tested with only its dependencies.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

#[path = "sources/sources.rs"]
mod sources;

use sources::files;

/// The modules of the same crate that each module imports.
type Graph = BTreeMap<String, BTreeSet<String>>;

/// The source texts of the modules of a crate, by module path.
type Modules = BTreeMap<String, String>;

/// Returns the modules of each crate, by the folder of the crate.
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

/// Returns the modules of the items that `lib.rs` re-exports, by the name of the item.
fn reexports(lib: &str) -> BTreeMap<String, String> {
    let uses = lib.lines().filter_map(|it| it.strip_prefix("pub use "));
    let paths = uses.filter_map(|it| it.trim_end_matches(';').rsplit_once("::"));
    paths
        .map(|(module, name)| (name.to_owned(), module.replace("crate::", "")))
        .collect()
}

fn import_graph(modules: &Modules, lib: &str) -> Graph {
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
    let is_path_char = |it: char| it.is_alphanumeric() || it == '_' || it == ':';
    let imports = |name: &str, text: &str| {
        let mentions = text.split("crate::").skip(1);
        let paths = mentions.map(|it| it.split(|it| !is_path_char(it)).next().unwrap_or_default());
        let found = paths.filter_map(|it| module_of(it.trim_end_matches(':')));
        found.filter(|it| it != name).collect()
    };
    modules
        .iter()
        .map(|(name, text)| (name.clone(), imports(name, text)))
        .collect()
}

/// Repeatedly removes the modules without imports. Only cycles and the modules that import them
/// remain.
fn find_cycles(mut graph: Graph) -> Graph {
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

fn check_cycles(modules: &[(&str, &str)], expected: &[&str]) {
    let owned = |it: &(&str, &str)| (it.0.to_owned(), it.1.to_owned());
    let modules = modules.iter().map(owned).collect();
    let cyclic = find_cycles(import_graph(&modules, "pub use b::Type;\n"));
    assert_eq!(cyclic.keys().collect::<Vec<_>>(), expected);
}

#[test]
fn find_cycles_reports_all_modules() {
    check_cycles(&[("a", "use crate::b;"), ("b", "")], &[]);
    check_cycles(
        &[("a", "use crate::b;"), ("b", "use crate::a::X;")],
        &["a", "b"],
    );
    check_cycles(
        &[("a", "crate::Type"), ("b", "crate::a::call()")],
        &["a", "b"],
    );
    check_cycles(
        &[("a::c", "use crate::b;"), ("b", "use crate::a::c;")],
        &["a::c", "b"],
    );
}

#[test]
fn modules_have_no_import_cycles() {
    for (folder, mut modules) in crates() {
        let lib = modules.remove("lib").unwrap_or_default();
        modules.remove("main");
        let cyclic = find_cycles(import_graph(&modules, &lib));
        assert!(cyclic.is_empty(), "{folder}: {cyclic:#?}");
    }
}
