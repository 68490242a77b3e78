"""Packet core with homes and slots: decides where each packet goes; no I/O, no clock."""
