"""Workspaces: who may send requests, and how many."""
