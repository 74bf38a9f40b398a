"""Tests of `http1`."""
