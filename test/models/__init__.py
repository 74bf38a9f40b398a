"""Models of the core protocol, checked exhaustively within small bounds.

Each model calls the package's own decision functions where possible. The test of a
model asserts that its invariants hold and that the checker finds a counterexample
when a mechanism is disabled.
"""
