"""Tests of `emulator`."""
