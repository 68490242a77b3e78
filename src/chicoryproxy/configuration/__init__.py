"""Configuration of the fleet and settings of an instance: parsing, validation, publication."""
