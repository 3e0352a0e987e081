//! Which target takes a request, and in which order requests are served.
