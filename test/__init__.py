"""Tests of the package, laid out like its modules."""
