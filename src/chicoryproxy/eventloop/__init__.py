"""Event loop, TCP and UDP sockets, and HTTP/1.1 for the entry process on the platform."""
