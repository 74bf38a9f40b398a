"""Tests of the HTTP/1.1 client and server."""
