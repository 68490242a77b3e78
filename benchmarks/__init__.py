"""Benchmarks and soak runs, started manually: ``make bench``, ``make capacity``, ``make soak``."""
