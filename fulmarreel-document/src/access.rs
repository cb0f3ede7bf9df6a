use crate::{Document, Route, Service, Shift, Version};

impl Document {
    /// The service that this document belongs to.
    pub fn service(&self) -> &Service {
        &self.service
    }

    /// The version that takes the traffic, and that a shift moves away from.
    pub fn version(&self) -> &Version {
        &self.version
    }

    /// The routes, longest path first.
    pub fn routes(&self) -> &[Route] {
        &self.routes
    }

    /// The move to a new version, if one is declared.
    pub fn shift(&self) -> Option<&Shift> {
        self.shift.as_ref()
    }

    /// The most specific route for a request path, if any matches.
    pub fn route(&self, path: &str) -> Option<&Route> {
        self.routes.iter().find(|route| route.matches(path))
    }

    /// Every version that may receive traffic under this document.
    pub fn versions(&self) -> impl Iterator<Item = &Version> {
        std::iter::once(&self.version).chain(self.shift.as_ref().map(Shift::to))
    }

    /// Services other than its own that routes of this document lead to.
    pub fn dependencies(&self) -> impl Iterator<Item = &Service> {
        self.routes.iter().filter_map(Route::destination)
    }
}
