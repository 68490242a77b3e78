"""chicoryproxy: a layer-4 load balancer whose entry instances agree without shared state."""
