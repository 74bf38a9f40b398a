"""Tests of the stand-ins and the demo."""
