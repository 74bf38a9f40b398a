"""Stand-ins for the external systems: log service, backend servers and callers."""
