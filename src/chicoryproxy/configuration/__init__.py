"""Configuration and settings: files, layers, exceptions, checks, published values."""
