"""Admission and communication of a daemon with its local backend server."""
