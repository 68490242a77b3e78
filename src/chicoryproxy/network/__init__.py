"""Network I/O of the processes: message codec, transports, authentication and data sockets."""
