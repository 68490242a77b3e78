"""Control core: membership, versions, readers and health of upstreams; no I/O, no clock."""
