//! Service documents: parsing, checking and reading what a team declared.
#![deny(missing_docs, rust_2018_idioms)]
#![forbid(unsafe_code)]
