"""Tests of the package backends."""
