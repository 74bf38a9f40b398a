"""Keys by which callers show their workspace, kept as digests.

A daemon keeps no key beyond the request that carries it. A digest with a salt of this
process finds the workspace in one lookup, whose time tells nothing about the keys that
exist, and is of no use to anybody who reads it elsewhere.
"""

import hashlib
import os

DIGEST_BYTES = 16
# Longer credentials are refused without being hashed.
MAX_KEY_LENGTH = 512
_SALT = os.urandom(DIGEST_BYTES)


def digest_key(key):
    """Return the digest of a key, which is valid in this process only."""
    return hashlib.blake2b(key.encode(), digest_size=DIGEST_BYTES, key=_SALT).digest()


def parse_credentials(values, scheme):
    """Return the key in the credentials of a request, or None.

    Credentials that are repeated, of another scheme, too long or without a key carry
    none: a daemon that took the first of two keys could disagree with the next one.

    Args:
        values: Values of all headers that carry credentials.
        scheme: Authentication scheme, compared without regard to case.
    """
    if len(values) != 1:
        return None
    given, _, key = values[0].partition(" ")
    if given.lower() != scheme.lower():
        return None
    key = key.strip(" ")
    if not key or len(key) > MAX_KEY_LENGTH or not key.isascii() or " " in key:
        return None
    return key
