"""Failures brought about in real daemons, as separate processes."""
