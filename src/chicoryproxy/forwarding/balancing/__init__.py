"""The choice of an upstream for an opening."""
