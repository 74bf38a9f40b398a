"""Tests of the calls and gossip between daemons."""
