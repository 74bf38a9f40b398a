"""Tests of `platform`."""
