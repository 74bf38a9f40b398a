"""Tests of the resource API and its client."""
