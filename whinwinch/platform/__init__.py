"""The users' platform, translated into the product's own terms.

All names of the platform's wire end in this package.
"""
