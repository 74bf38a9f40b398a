"""Demonstration of a complete mesh with stand-ins for the external systems."""
