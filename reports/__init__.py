"""Drawn reports: a load on the emulated mesh, and scores over time."""
