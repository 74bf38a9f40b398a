"""Tests of the exchanges with the log service."""
