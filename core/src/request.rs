//! A live request: attempts, claims, recent answers, limits and poison.
