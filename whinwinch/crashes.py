"""Which work crashes the backend servers that run it, and how it is kept away.

Load pattern: a request crashes its backend server, is sent to the next one, and comes
again from its caller after that. Each crash also ends the requests that ran beside it.

Daemons share a record of each crash with the work that was in flight. Work that was in
flight at several crashes is suspect, but it may be innocent: it ran beside the cause,
or is asked for so often that it is always in flight. Two facts separate them. Innocent
work is answered sooner or later, and is then no longer suspect. And suspect work runs
alone among suspects, so that another crash proves which of them is the cause. Proven
work is refused at every daemon.
"""

import collections
import hashlib
import math
from typing import NamedTuple

from . import messages

FINGERPRINT_BYTES = 8
# Crashes after which work runs alone. After a single one, all that ran beside the cause
# would wait for each other.
MIN_SUSPECT_CRASHES = 2
# Crashes, one of them proven, after which work is refused.
MIN_REFUSED_CRASHES = 3
# Seconds after its last crash for which suspect work isn't given the last endpoint of
# its service: by then the others have started again.
LAST_ENDPOINT_HOLD_SECONDS = 5.0
# Seconds after its last crash for which such work is refused, and the factor by which
# each further crash extends them: the backend server may have been mended meanwhile.
REFUSAL_SECONDS = 300.0
REFUSAL_GROWTH = 4.0
# Seconds after which a crash is forgotten.
RETENTION_SECONDS = 3600.0
# Crashes remembered, the newest ones.
MAX_RECORDS = 64


class CrashRecord(NamedTuple):
    """A crash of a backend server.

    Attributes:
        identity: Identifier of the backend server.
        fingerprints: Fingerprints of the work that was in flight.
        proven: The only one of them that was suspect already, "" for none.
    """

    identity: str
    fingerprints: tuple[str, ...]
    proven: str = ""


class Involvement(NamedTuple):
    """That some work was in flight at a crash.

    Attributes:
        time: When this daemon learned of the crash, by the loop's clock in seconds.
        is_proven: Whether the crash proves that the work caused it.
    """

    time: float
    is_proven: bool


class KnownCrash(NamedTuple):
    """A crash that this daemon knows of.

    Attributes:
        time: When it learned of it, by the loop's clock in seconds.
        fingerprints: Set of the fingerprints of the work that was in flight, as far
            as they are known.
    """

    time: float
    fingerprints: set[str]


class CrashHistory:
    """The crashes that this daemon knows of, of all backend servers."""

    def __init__(self):
        # `KnownCrash` by identifier of the backend server, the oldest first.
        self._known = collections.OrderedDict()
        # By fingerprint, the `Involvement` by identifier of the backend server.
        self._involved = {}

    def apply(self, record, now):
        """Apply a `CrashRecord`, of which parts may be known already."""
        known = self._known.setdefault(record.identity, KnownCrash(now, set()))
        for fingerprint in record.fingerprints:
            is_proven = fingerprint == record.proven
            involved = self._involved.get(fingerprint, {})
            if fingerprint not in known.fingerprints:
                involved = self._involved.setdefault(fingerprint, involved)
            elif not is_proven or record.identity not in involved:
                # Known, or answered since.
                continue
            involved[record.identity] = Involvement(known.time, is_proven)
        known.fingerprints.update(record.fingerprints)
        if len(self._known) > MAX_RECORDS:
            self.forget(next(iter(self._known)))

    def forget(self, identity):
        """Forget the crash of a backend server."""
        known = self._known.pop(identity, None)
        for fingerprint in known.fingerprints if known is not None else ():
            involved = self._involved.get(fingerprint, {})
            involved.pop(identity, None)
            if not involved:
                self._involved.pop(fingerprint, None)

    def list_expired(self, now):
        """Return the identifiers of the backend servers whose crashes are too old."""
        return [
            identity
            for identity, known in self._known.items()
            if now - known.time > RETENTION_SECONDS
        ]

    def list_suspicions(self, request):
        """Return the part of each `CrashRecord` that makes a request suspect.

        Returns:
            An empty list for a request that isn't suspect.
        """
        if not self.is_suspect(request):
            return []
        fingerprint = build_fingerprint(request)
        return [
            CrashRecord(identity, (fingerprint,), fingerprint if each.is_proven else "")
            for identity, each in self._find_involved(request).items()
        ]

    def record_answer(self, request):
        """Record that a backend server answered a request: it did not crash of it."""
        if self._involved:
            self._involved.pop(build_fingerprint(request), None)

    def is_suspect(self, request):
        """Return whether a request must run alone among suspect ones."""
        return len(self._find_involved(request)) >= MIN_SUSPECT_CRASHES

    def is_involved(self, request):
        """Return whether a request was in flight at a crash and not answered since."""
        return bool(self._find_involved(request))

    def choose_endpoint(self, request, endpoints):
        """Return the only endpoint that runs work which was in flight at a crash.

        All daemons that know of the crash choose the same one. If the work causes
        crashes, attempts that run at the same moment then end one endpoint, not as many
        as they reach before the next crash is known.

        Args:
            request: The `messages.Request`.
            endpoints: The `messages.Endpoint` tuples that it may be sent to.

        Returns:
            None if there is no endpoint.
        """
        fingerprint = build_fingerprint(request)
        return max(
            endpoints,
            key=lambda endpoint: messages.hash_root(fingerprint + endpoint.address),
            default=None,
        )

    def find_hold(self, request, now):
        """Return for how many seconds suspect work spares a last endpoint."""
        crashes = self._find_involved(request).values()
        last = max((each.time for each in crashes), default=-math.inf)
        return max(0.0, last + LAST_ENDPOINT_HOLD_SECONDS - now)

    def find_refusal(self, request, now):
        """Return for how many more seconds a request is refused, 0 if it isn't."""
        crashes = self._find_involved(request).values()
        is_proven = any(each.is_proven for each in crashes)
        if not is_proven or len(crashes) < MIN_REFUSED_CRASHES:
            return 0.0
        growth = REFUSAL_GROWTH ** (len(crashes) - MIN_REFUSED_CRASHES)
        last = max(each.time for each in crashes)
        return max(0.0, last + REFUSAL_SECONDS * growth - now)

    def build_record(self, identity, requests):
        """Return the `CrashRecord` of a backend server and its requests in flight."""
        fingerprints = {build_fingerprint(each): each for each in requests}
        suspects = [key for key, each in fingerprints.items() if self.is_suspect(each)]
        proven = suspects[0] if len(suspects) == 1 else ""
        return CrashRecord(identity, tuple(sorted(fingerprints)), proven)

    def _find_involved(self, request):
        if not self._involved:
            return {}
        return self._involved.get(build_fingerprint(request), {})


def build_fingerprint(request):
    """Return a hash of what a request asks for, the same for each of its attempts.

    Identifiers and deadlines differ between the attempts of one caller, and the
    calling service between the instances at which it arrives, so they don't count.

    Args:
        request: The `messages.Request`.
    """
    host = next((v for name, v in request.headers if name.lower() == "host"), "")
    digest = hashlib.blake2b(request.body, digest_size=FINGERPRINT_BYTES)
    for text in (host, request.caller, request.method, request.path):
        digest.update(b"\0" + text.encode())
    return digest.hexdigest()
