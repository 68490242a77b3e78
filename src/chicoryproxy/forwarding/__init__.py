"""Forwarding core of an entry on the platform, which carries flow affinity in the packets.

The modules here do no I/O and read no clock: callers pass in events with their time and get
decisions back.
"""
