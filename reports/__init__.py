"""Reports on loads of the emulated mesh, on logs of daemons and on scores."""
