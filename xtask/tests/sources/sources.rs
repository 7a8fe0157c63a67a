//! Reads the source files of the project for the checks on them.

use std::path::Path;
use std::path::PathBuf;

/// A source file.
pub struct File {
    /// Its path relative to the root of the project.
    pub path: String,
    /// Its content.
    pub text: String,
}

fn root() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR"))
        .parent()
        .unwrap()
        .to_owned()
}

fn collect(folder: &Path, files: &mut Vec<File>) {
    for entry in std::fs::read_dir(folder).unwrap() {
        let path = entry.unwrap().path();
        if path.is_dir() {
            collect(&path, files);
        } else if path.extension().is_some_and(|it| it == "rs") {
            let text = std::fs::read_to_string(&path).unwrap();
            let path = path
                .strip_prefix(root())
                .unwrap()
                .to_string_lossy()
                .into_owned();
            files.push(File { path, text });
        }
    }
}

/// Returns all Rust files of the project apart from generated ones.
pub fn files() -> Vec<File> {
    let mut files = Vec::new();
    collect(&root().join("crates"), &mut files);
    collect(&root().join("platform"), &mut files);
    collect(&root().join("xtask"), &mut files);
    files.retain(|it| !it.path.ends_with("_capnp.rs"));
    assert!(files.len() > 50);
    files
}
