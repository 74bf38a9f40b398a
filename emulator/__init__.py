"""An emulator of a mesh on the users' platform: store, backend servers, callers."""
