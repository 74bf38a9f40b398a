"""Tests of the connections, calls and gossip between daemons."""
