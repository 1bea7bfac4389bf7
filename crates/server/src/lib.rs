//! An instance of the router, assembled from its packages.
//!
//! [`Instance::open`] starts the tasks of an instance. None of them keeps state that has to outlive
//! the process.

mod assembly;
mod assignments;
mod auth;
mod bill;
mod build;
mod call;
mod chat;
mod clock;
mod configuration;
mod contact;
mod context;
mod core;
mod couplings;
mod decider;
mod digest;
pub mod forward;
mod front;
mod gossip;
mod instance;
mod links;
mod loads;
mod members;
mod once;
mod peer_handler;
mod plain;
mod relay;
mod rendezvous;
mod replica;
mod reserves;
pub mod status;
mod tries;
mod verdicts;
mod version;
mod waiting;
pub mod writers;

pub use instance::Instance;
