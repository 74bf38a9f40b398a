"""Who may use the resource API, and which daemons may call each other.

Of operators' tokens only digests are kept. A token that stood in an object could
get into a log line or a traceback through its `repr`; its digest there is harmless.
"""

import hashlib
import hmac
import re
from typing import NamedTuple

from .. import errors

AUTHOR_PATTERN = re.compile(r"[A-Za-z0-9._@-]{1,64}")
# 16 letters of a random base64 text are 96 bits, out of reach of guessing over
# a network.
MIN_TOKEN = 16
MAX_TOKEN = 512
SCHEME = "bearer"


class Operator(NamedTuple):
    """Someone who may change resources.

    Attributes:
        author: Name that goes into the history.
        digest: SHA-256 of the token.
    """

    author: str
    digest: bytes


class AccessError(errors.UserError):
    """The request carries no token that is known here.

    Attributes:
        closed: Whether no token at all would be, because none is set.
    """

    def __init__(self, problem, closed=False):
        super().__init__(problem)
        self.closed = closed


def parse_operators(text, place="WHINWINCH_OPERATOR_TOKENS"):
    """Read the operators' tokens from a setting.

    Args:
        text: ``author:token`` pairs with commas between them. An author may
            have several tokens, so that a token can be replaced without a gap.
        place: Name of the setting, for findings.

    Returns:
        A tuple of `Operator`.

    Raises:
        errors.InputErrors: With all findings; none shows a token.
    """
    operators = []
    findings = []
    for index, pair in enumerate(_split(text)):
        author, _, token = pair.partition(":")
        where = f"{place}[{index}]"
        if not AUTHOR_PATTERN.fullmatch(author):
            problem = "has to be AUTHOR:TOKEN, the author 1 to 64 of A-Za-z0-9._@-"
            findings.append(errors.Finding(where, problem))
        findings.extend(_check_token(token, where))
        digest = digest_token(token)
        if any(hmac.compare_digest(digest, known.digest) for known in operators):
            problem = "has the same token as another, so the author is not certain"
            findings.append(errors.Finding(where, problem))
        operators.append(Operator(author, digest))
    errors.raise_findings("operators' tokens", findings)
    return tuple(operators)


def check_peer_setting(text, place="WHINWINCH_PEER_TOKEN"):
    """Check the setting with the tokens that daemons show each other.

    Args:
        text: Tokens with commas between them. The first is sent, all are
            taken, so that a new one can be brought in without a gap: add it
            last everywhere, then move it first, then drop the old one.
        place: Name of the setting, for findings.

    Raises:
        errors.InputErrors: With all findings; none shows a token.
    """
    findings = [
        finding
        for index, token in enumerate(_split(text))
        for finding in _check_token(token, f"{place}[{index}]")
    ]
    errors.raise_findings("tokens between daemons", findings)


def choose_peer_token(text):
    """Return the token to send to other daemons, "" when none is set."""
    return next(iter(_split(text)), "")


def find_author(operators, header):
    """Return the author that an ``Authorization`` header's token belongs to.

    Args:
        operators: Tuple of `Operator`.
        header: Value of the header, or None.

    Returns:
        The author's name.

    Raises:
        AccessError: When there is none.
    """
    if not operators:
        problem = "this daemon has no operators' tokens, so its admin API is closed"
        raise AccessError(f"{problem}; set WHINWINCH_OPERATOR_TOKENS", closed=True)
    scheme, _, token = (header or "").strip().partition(" ")
    if scheme.lower() != SCHEME or not token.strip():
        raise AccessError("send 'Authorization: Bearer TOKEN'")
    digest = digest_token(token.strip())
    author = None
    # All are compared, whichever fits: a loop that ended at the first that does
    # would tell by its duration which operator a token belongs to.
    for operator in operators:
        if hmac.compare_digest(operator.digest, digest):
            author = operator.author
    if author is None:
        raise AccessError("the token is not known here")
    return author


def check_peer_token(token, text):
    """Return whether another daemon's token is known.

    Args:
        token: What the daemon showed.
        text: The setting, as for `check_peer_setting`.
    """
    given = token.encode("utf-8", "replace")
    matches = [hmac.compare_digest(known.encode(), given) for known in _split(text)]
    return any(matches)


def digest_token(token):
    """Return the SHA-256 of a token."""
    return hashlib.sha256(token.encode("utf-8", "surrogateescape")).digest()


def _split(text):
    return [part.strip() for part in text.split(",") if part.strip()]


def _check_token(token, place):
    if not MIN_TOKEN <= len(token) <= MAX_TOKEN:
        problem = f"has a token of {len(token)} letters"
        right = f"{MIN_TOKEN} to {MAX_TOKEN} are right"
        yield errors.Finding(place, f"{problem}; {right}")
    elif not (token.isascii() and token.isprintable()) or " " in token:
        yield errors.Finding(place, "has a token with spaces or odd letters")
