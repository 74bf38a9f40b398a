"""Serving of callers over HTTP."""
