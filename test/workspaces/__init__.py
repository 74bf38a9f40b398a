"""Tests of workspaces."""
