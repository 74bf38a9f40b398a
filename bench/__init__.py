"""Measurements: latency, decisions under load, slopes."""
