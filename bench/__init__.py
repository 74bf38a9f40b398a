"""Benchmarks: latency, overload scenarios, and scaling of costs with size."""
