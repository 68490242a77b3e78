"""The entry process on the platform: sockets, timers and signals around the core."""
