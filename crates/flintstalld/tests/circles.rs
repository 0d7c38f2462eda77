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
struct Paths(Vec<Vec<String>>);

impl Paths {
    fn follow(&mut self, tree: &UseTree, mut so_far: Vec<String>) {
        match tree {
            UseTree::Path(path) => {
                so_far.push(path.ident.to_string());
                self.follow(&path.tree, so_far);
            }
            UseTree::Name(name) => {
                so_far.push(name.ident.to_string());
                self.0.push(so_far);
            }
            UseTree::Rename(rename) => {
                so_far.push(rename.ident.to_string());
                self.0.push(so_far);
            }
            UseTree::Glob(_) => self.0.push(so_far),
            UseTree::Group(group) => {
                group.items.iter().for_each(|item| self.follow(item, so_far.clone()));
            }
        }
    }
}

impl Visit<'_> for Paths {
    fn visit_use_tree(&mut self, tree: &UseTree) {
        match tree {
            UseTree::Path(path) if path.ident == "crate" => self.follow(&path.tree, Vec::new()),
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
fn modules(folder: &Path, module: &[String], found: &mut BTreeMap<Vec<String>, PathBuf>) {
    for entry in fs::read_dir(folder).expect("a source folder is readable") {
        let path = entry.expect("a folder entry is readable").path();
        let stem = path.file_stem().expect("files have names").to_string_lossy().to_string();
        let mut name = module.to_vec();
        match path.extension() {
            None => {
                name.push(stem);
                modules(&path, &name, found);
            }
            Some(kind) if kind == "rs" && stem != "lib" && stem != "main" => {
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
    modules(sources, &[], &mut files);
    let needs = |module: &Vec<String>, path: &PathBuf| {
        let text = fs::read_to_string(path).expect("a source file is readable");
        let mut paths = Paths::default();
        paths.visit_file(&syn::parse_file(&text).expect("a source file that compiles parses"));
        let targets = paths.0.into_iter().filter_map(|path| {
            let prefixes = (1..=path.len()).rev().map(|length| path[..length].to_vec());
            prefixes.into_iter().find(|prefix| files.contains_key(prefix))
        });
        targets.filter(|target| target != module).collect()
    };
    files.iter().map(|(module, path)| (module.clone(), needs(module, path))).collect()
}

/// Modules that `from` imports, directly or indirectly.
fn reach(edges: &Edges, from: &Vec<String>) -> BTreeSet<Vec<String>> {
    let mut seen = BTreeSet::new();
    let mut open = vec![from];
    while let Some(module) = open.pop() {
        for next in &edges[module] {
            if seen.insert(next.clone()) {
                open.push(next);
            }
        }
    }
    seen
}

/// Which top-level folders of a crate import which; a top-level file counts as a folder.
fn rooms(edges: &Edges) -> Edges {
    let room = |module: &Vec<String>| module[..1].to_vec();
    let mut rooms = Edges::new();
    for (module, needs) in edges {
        let others = needs.iter().map(room).filter(|other| *other != room(module));
        rooms.entry(room(module)).or_default().extend(others);
    }
    rooms
}

fn circle(edges: &Edges) -> Vec<String> {
    let in_circle = edges.keys().filter(|module| reach(edges, module).contains(*module));
    in_circle.map(|module| module.join("::")).collect()
}

/// Crates with import cycles, and the modules in them.
fn circles(seen_as: impl Fn(Edges) -> Edges) -> Vec<String> {
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("../..");
    let crates = fs::read_dir(root.join("crates")).expect("the workspace has crates");
    let mut folders: Vec<PathBuf> = crates.map(|entry| entry.unwrap().path()).collect();
    folders.push(root.join("platform"));
    let mut circles = Vec::new();
    for folder in &folders {
        let found = circle(&seen_as(edges(&folder.join("src"))));
        if !found.is_empty() {
            circles.push(format!("{}: {}", folder.display(), found.join(", ")));
        }
    }
    assert!(folders.len() > 10, "all crates are searched");
    circles
}

#[test]
fn no_files_of_a_crate_need_each_other() {
    let found = circles(|edges| edges);
    assert!(found.is_empty(), "files that import each other: {found:#?}");
}

#[test]
fn no_folders_of_a_crate_need_each_other() {
    let found = circles(|edges| rooms(&edges));
    assert!(found.is_empty(), "folders that import each other: {found:#?}");
}

#[test]
fn a_circle_is_found() {
    let module = |name: &str| vec![name.to_owned()];
    let needs = |names: &[&str]| names.iter().map(|name| module(name)).collect();
    let edges = Edges::from([
        (module("a"), needs(&["b"])),
        (module("b"), needs(&["c"])),
        (module("c"), needs(&["a"])),
        (module("d"), needs(&["a"])),
    ]);
    assert_eq!(circle(&edges), ["a", "b", "c"]);
}
