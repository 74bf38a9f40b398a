"""HTTP/1.1 client and server on the event loop, using a C parser."""
