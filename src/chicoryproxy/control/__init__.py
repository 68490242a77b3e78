"""Control core: membership, versions, readers and upstream health; no I/O and no clock."""
