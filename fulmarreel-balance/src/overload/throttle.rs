//! Fewer new runs of a route whose own calls are refused at other targets.
