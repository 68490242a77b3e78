"""Measurements that are run by hand: ``make bench``, ``make capacity``, ``make soak``."""
