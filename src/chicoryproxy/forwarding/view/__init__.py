"""The view of the store: routes, lifetimes of upstreams, and how changes reach it."""
