"""Leaf modules without dependencies on the rest of the package."""
