use crate::{Document, Rollout, Route, Service, Version};

impl Document {
    /// The service that the document declares.
    pub fn service(&self) -> &Service {
        &self.service
    }

    /// The current version, which a [`Rollout`] moves traffic away from.
    pub fn version(&self) -> &Version {
        &self.version
    }

    /// The routes, in descending order of path length.
    pub fn routes(&self) -> &[Route] {
        &self.routes
    }

    /// The rollout of a new version, if one is declared.
    pub fn rollout(&self) -> Option<&Rollout> {
        self.rollout.as_ref()
    }

    /// The route with the longest prefix of a request path, if any matches.
    pub fn route(&self, path: &str) -> Option<&Route> {
        self.routes.iter().find(|route| route.matches(path))
    }

    /// Every version that may receive traffic under this document.
    pub fn versions(&self) -> impl Iterator<Item = &Version> {
        std::iter::once(&self.version).chain(self.rollout.as_ref().map(Rollout::to))
    }

    /// Other services that routes of the document lead to.
    pub fn dependencies(&self) -> impl Iterator<Item = &Service> {
        self.routes.iter().filter_map(Route::destination)
    }
}
