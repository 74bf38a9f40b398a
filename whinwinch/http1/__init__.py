"""HTTP/1.1 on the event loop, by a C parser."""
