"""Tests of failures with daemons that run as separate processes."""
