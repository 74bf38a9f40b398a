"""Authentication of operators to the resource API and of daemons to each other.

Only digests of operators' tokens are stored. The `repr` of an object with the token
itself could leak it into a log line or a traceback.
"""

import hashlib
import hmac
import re
from typing import NamedTuple

from .. import errors

AUTHOR_PATTERN = re.compile(r"[A-Za-z0-9._@-]{1,64}")
# Token lengths in characters. 16 random base64 characters are 96 bits, too many to
# guess over a network.
MIN_TOKEN_LENGTH = 16
MAX_TOKEN_LENGTH = 512
SCHEME = "bearer"


class Operator(NamedTuple):
    """An operator who may change resources.

    Attributes:
        author: Name recorded in the history.
        digest: SHA-256 digest of the operator's token.
    """

    author: str
    digest: bytes


class AccessError(errors.UserError):
    """The request carries no valid operator token.

    Attributes:
        closed: Whether the API accepts no token because none is configured.
    """

    def __init__(self, problem, closed=False):
        super().__init__(problem)
        self.closed = closed


def parse_operators(text, place="WHINWINCH_OPERATOR_TOKENS"):
    """Parse the setting with the operators' tokens.

    Args:
        text: Comma-separated ``author:token`` pairs. An author may have several
            tokens, so that a token can be rotated without interruption.
        place: Name of the setting, for findings.

    Returns:
        A tuple of `Operator`.

    Raises:
        errors.InputErrors: With all findings; no finding contains a token.
    """
    operators = []
    findings = []
    for index, pair in enumerate(_split(text)):
        author, _, token = pair.partition(":")
        where = f"{place}[{index}]"
        if not AUTHOR_PATTERN.fullmatch(author):
            problem = "must be AUTHOR:TOKEN, with 1 to 64 of A-Za-z0-9._@- in AUTHOR"
            findings.append(errors.Finding(where, problem))
        findings.extend(_check_token(token, where))
        digest = digest_token(token)
        if any(hmac.compare_digest(digest, other.digest) for other in operators):
            problem = "duplicates another token, so the author would be ambiguous"
            findings.append(errors.Finding(where, problem))
        operators.append(Operator(author, digest))
    errors.raise_findings("operators' tokens", findings)
    return tuple(operators)


def check_peer_setting(text, place="WHINWINCH_PEER_TOKEN"):
    """Validate the setting with the tokens that daemons authenticate with.

    Args:
        text: Comma-separated tokens. The first one is sent and all are accepted,
            so that a token can be rotated without interruption: append the new
            token at all daemons, then move it to the front, then remove the old
            one.
        place: Name of the setting, for findings.

    Raises:
        errors.InputErrors: With all findings; no finding contains a token.
    """
    findings = [
        finding
        for index, token in enumerate(_split(text))
        for finding in _check_token(token, f"{place}[{index}]")
    ]
    errors.raise_findings("tokens between daemons", findings)


def choose_peer_token(text):
    """Return the token to send to other daemons, or "" if none is configured."""
    return next(iter(_split(text)), "")


def find_author(operators, header):
    """Return the author whose token an ``Authorization`` header contains.

    Args:
        operators: Tuple of `Operator`.
        header: Value of the header, or None.

    Returns:
        The author's name.

    Raises:
        AccessError: If the header contains no valid token.
    """
    if not operators:
        problem = "the admin API is closed because no operator tokens are configured"
        raise AccessError(f"{problem}; set WHINWINCH_OPERATOR_TOKENS", closed=True)
    scheme, _, token = (header or "").strip().partition(" ")
    if scheme.lower() != SCHEME or not token.strip():
        raise AccessError("the header 'Authorization: Bearer TOKEN' is required")
    digest = digest_token(token.strip())
    author = None
    # Compare all digests even after a match: if the loop ended at the first match,
    # its duration would reveal which operator a token belongs to.
    for operator in operators:
        if hmac.compare_digest(operator.digest, digest):
            author = operator.author
    if author is None:
        raise AccessError("the token is invalid")
    return author


def check_peer_token(token, text):
    """Return whether another daemon's token is valid.

    Args:
        token: Token that the other daemon sent.
        text: Comma-separated tokens, as for `check_peer_setting`.
    """
    sent = token.encode("utf-8", "replace")
    matches = [hmac.compare_digest(valid.encode(), sent) for valid in _split(text)]
    return any(matches)


def digest_token(token):
    """Return the SHA-256 digest of a token."""
    return hashlib.sha256(token.encode("utf-8", "surrogateescape")).digest()


def _split(text):
    return [part.strip() for part in text.split(",") if part.strip()]


def _check_token(token, place):
    if not MIN_TOKEN_LENGTH <= len(token) <= MAX_TOKEN_LENGTH:
        problem = f"has a token of {len(token)} characters"
        limits = f"{MIN_TOKEN_LENGTH} to {MAX_TOKEN_LENGTH} are allowed"
        yield errors.Finding(place, f"{problem}; {limits}")
    elif not (token.isascii() and token.isprintable()) or " " in token:
        yield errors.Finding(
            place, "has a token with spaces or characters other than printable ASCII"
        )
