"""Packet core: decides where each packet goes, by slots and their homes; no I/O, no clock."""
