"""Tests of the package reports."""
