"""Utility modules that do not depend on the rest of the package."""
