"""Specifications of the core protocol, checked exhaustively for small bounds.

Each model runs the package's own decision functions wherever it can. A test of
a model asserts that its invariants hold and, for each mechanism, that the
checker finds a counterexample once the mechanism is taken out.
"""
