"""Connections between processes of the product: encoding, links, authentication, data sockets."""
