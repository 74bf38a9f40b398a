"""Stand-ins for the outside systems: log service, backend server, caller."""
