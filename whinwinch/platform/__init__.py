"""Adapter between the users' platform and the daemon.

Names of the platform's protocols and files are used only in this package.
"""
