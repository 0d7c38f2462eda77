//! Keeps this box's view of the store current: the configuration, the entries of endpoints, the
//! other boxes.
//!
//! A few boxes, the watchers, know the store; all other boxes subscribe to one of them. Two of them,
//! the roots, watch the store itself, one of which has it confirm what they know (`confirmer`), and the
//! rest relay what a root knows. If every box watched the
//! store, that would cause most of all calls to it. A root also has to notice quickly when the store
//! is unreachable. A subscriber sends one long-poll request at a time
//! to a watcher, answered when there are updates, or after a moment as a heartbeat. Both apply what
//! they learn to the [`View`](view::View), which puts it in force on this box and keeps it for
//! subscribers in a [`ChangeLog`](change_log::ChangeLog).
//!
//! The source of an update does not matter: each object carries the version that the store gave it,
//! and a view never goes back to an older one. So a box may switch to another source at any time,
//! use two at once, or receive outdated updates from a box that was suspended.
//!
//! Where the watchers know nothing new, `deadline` says when a box reads the store itself, by the age of
//! what it knows, and `fallback` how boxes leave that to each other.
//!
//! What boxes find out themselves is passed on the same way: crash reports by `reporter`, signals
//! of endpoints by `signals`. `version_writer` keeps in the store which services have had only one
//! software version.

pub mod confirmer;
pub mod candidates;
pub mod directory;
pub mod evacuations;
pub mod fallback;
pub mod deadline;
pub mod setup;
pub mod subscriber;
pub mod subscription;
pub mod steps;
pub mod watcher;
pub mod reporter;
pub mod discovery;
pub mod change_log;
pub mod view;
pub mod signals;
pub mod version_writer;
