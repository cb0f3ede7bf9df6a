//! Distribution decisions: which revision of each entry is in force, without I/O.
#![deny(missing_docs, rust_2018_idioms)]
#![forbid(unsafe_code)]

pub mod catalog;

pub use catalog::Catalog;
