"""Tests of the package callers."""
