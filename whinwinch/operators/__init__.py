"""The resource API that operators and their tooling use."""
