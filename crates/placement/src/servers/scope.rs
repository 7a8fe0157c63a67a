//! The servers among which one is chosen for a request.

use domain::Homes;

/// The servers of a service in the home regions of a request.
#[derive(Clone, Debug)]
pub struct Scope<'a> {
    /// The service.
    pub service: &'a str,
    /// The regions in which the request may be served.
    pub homes: Homes,
}

impl<'a> From<&'a str> for Scope<'a> {
    /// Returns all servers of a service.
    fn from(service: &'a str) -> Self {
        Self {
            service,
            homes: Homes::default(),
        }
    }
}

impl<'a> From<&'a String> for Scope<'a> {
    fn from(service: &'a String) -> Self {
        service.as_str().into()
    }
}
