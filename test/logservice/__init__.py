"""Tests of the platform's log."""
