"""Calls and gossip between daemons."""
