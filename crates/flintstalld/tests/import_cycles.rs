//! The modules of a crate have no import cycles, neither between files nor between folders.
//!
//! Parses all sources of the workspace: an edge is a path that begins with `crate::` and names
//! another file of the same crate.

use std::{
    collections::{BTreeMap, BTreeSet},
    fs,
    path::{Path, PathBuf},
};

use syn::{UseTree, visit::Visit};

/// Paths into its own crate that a file uses, as segments after `crate`.
#[derive(Default)]
struct CratePaths(Vec<Vec<String>>);

impl CratePaths {
    fn collect(&mut self, tree: &UseTree, mut prefix: Vec<String>) {
        match tree {
            UseTree::Path(path) => {
                prefix.push(path.ident.to_string());
                self.collect(&path.tree, prefix);
            }
            UseTree::Name(name) => {
                prefix.push(name.ident.to_string());
                self.0.push(prefix);
            }
            UseTree::Rename(rename) => {
                prefix.push(rename.ident.to_string());
                self.0.push(prefix);
            }
            UseTree::Glob(_) => self.0.push(prefix),
            UseTree::Group(group) => {
                group.items.iter().for_each(|item| self.collect(item, prefix.clone()));
            }
        }
    }
}

impl Visit<'_> for CratePaths {
    fn visit_use_tree(&mut self, tree: &UseTree) {
        match tree {
            UseTree::Path(path) if path.ident == "crate" => self.collect(&path.tree, Vec::new()),
            _ => {}
        }
    }

    fn visit_path(&mut self, path: &syn::Path) {
        let names = path.segments.iter().map(|segment| segment.ident.to_string());
        let names: Vec<String> = names.collect();
        if names.first().is_some_and(|first| first == "crate") {
            self.0.push(names[1..].to_vec());
        }
        syn::visit::visit_path(self, path);
    }
}

/// Collects the files below a source folder by module path, such as `["witness"]`.
fn collect_modules(folder: &Path, module: &[String], found: &mut BTreeMap<Vec<String>, PathBuf>) {
    for entry in fs::read_dir(folder).expect("a source folder is readable") {
        let path = entry.expect("a folder entry is readable").path();
        let stem = path.file_stem().expect("files have names").to_string_lossy().to_string();
        let mut name = module.to_vec();
        match path.extension() {
            None => {
                name.push(stem);
                collect_modules(&path, &name, found);
            }
            Some(extension) if extension == "rs" && stem != "lib" && stem != "main" => {
                if stem != "mod" {
                    name.push(stem);
                }
                found.insert(name, path);
            }
            Some(_) => {}
        }
    }
}

type Edges = BTreeMap<Vec<String>, BTreeSet<Vec<String>>>;

/// Which files of a crate import which.
fn edges(sources: &Path) -> Edges {
    let mut files = BTreeMap::new();
    collect_modules(sources, &[], &mut files);
    let imports = |module: &Vec<String>, path: &PathBuf| {
        let text = fs::read_to_string(path).expect("a source file is readable");
        let mut paths = CratePaths::default();
        paths.visit_file(&syn::parse_file(&text).expect("a source file that compiles parses"));
        let targets = paths.0.into_iter().filter_map(|path| {
            let prefixes = (1..=path.len()).rev().map(|length| path[..length].to_vec());
            prefixes.into_iter().find(|prefix| files.contains_key(prefix))
        });
        targets.filter(|target| target != module).collect()
    };
    files.iter().map(|(module, path)| (module.clone(), imports(module, path))).collect()
}

/// Modules that `from` imports, directly or indirectly.
fn reachable(edges: &Edges, from: &Vec<String>) -> BTreeSet<Vec<String>> {
    let mut visited = BTreeSet::new();
    let mut pending = vec![from];
    while let Some(module) = pending.pop() {
        for next in &edges[module] {
            if visited.insert(next.clone()) {
                pending.push(next);
            }
        }
    }
    visited
}

/// Which top-level folders of a crate import which; a top-level file counts as a folder.
fn folder_edges(edges: &Edges) -> Edges {
    let folder_of = |module: &Vec<String>| module[..1].to_vec();
    let mut folder_edges = Edges::new();
    for (module, imports) in edges {
        let others = imports.iter().map(folder_of).filter(|other| *other != folder_of(module));
        folder_edges.entry(folder_of(module)).or_default().extend(others);
    }
    folder_edges
}

fn modules_in_cycles(edges: &Edges) -> Vec<String> {
    let in_cycles = edges.keys().filter(|module| reachable(edges, module).contains(*module));
    in_cycles.map(|module| module.join("::")).collect()
}

/// Crates with import cycles, and the modules in them.
fn crates_with_cycles(group: impl Fn(Edges) -> Edges) -> Vec<String> {
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("../..");
    let crates = fs::read_dir(root.join("crates")).expect("the workspace has crates");
    let mut folders: Vec<PathBuf> = crates.map(|entry| entry.unwrap().path()).collect();
    folders.push(root.join("platform"));
    let mut crates_with_cycles = Vec::new();
    for folder in &folders {
        let found = modules_in_cycles(&group(edges(&folder.join("src"))));
        if !found.is_empty() {
            crates_with_cycles.push(format!("{}: {}", folder.display(), found.join(", ")));
        }
    }
    assert!(folders.len() > 10, "all crates are searched");
    crates_with_cycles
}

#[test]
fn files_have_no_import_cycles() {
    let found = crates_with_cycles(|edges| edges);
    assert!(found.is_empty(), "files that import each other: {found:#?}");
}

#[test]
fn folders_have_no_import_cycles() {
    let found = crates_with_cycles(|edges| folder_edges(&edges));
    assert!(found.is_empty(), "folders that import each other: {found:#?}");
}

#[test]
fn cycles_are_detected() {
    let module = |name: &str| vec![name.to_owned()];
    let imports = |names: &[&str]| names.iter().map(|name| module(name)).collect();
    let edges = Edges::from([
        (module("a"), imports(&["b"])),
        (module("b"), imports(&["c"])),
        (module("c"), imports(&["a"])),
        (module("d"), imports(&["a"])),
    ]);
    assert_eq!(modules_in_cycles(&edges), ["a", "b", "c"]);
}
