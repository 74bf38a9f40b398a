"""The workspaces of one configuration, and which of them a request belongs to."""

import math
from typing import NamedTuple

from ..messages import Reason, prefer
from . import keys


class Quota(NamedTuple):
    """Limit on the requests of a workspace over all daemons.

    Attributes:
        rate: Requests a second.
        burst: Requests beyond the rate that may come at once.
    """

    rate: float = math.inf
    burst: float = math.inf


class Workspace(NamedTuple):
    """A workspace with its keys.

    Attributes:
        name: Name of the workspace, which backend servers are told.
        digests: `keys.digest_key` of each of its keys.
        quota: `Quota` over all daemons.
        is_preferred: Whether its requests go before those of other workspaces.
    """

    name: str
    digests: tuple[bytes, ...] = ()
    quota: Quota = Quota()
    is_preferred: bool = False


class Identity(NamedTuple):
    """Result of the identification of a request.

    Attributes:
        workspace: `Workspace` that it belongs to, None for none.
        refusal: `messages.Reason` for which it is refused, None if it isn't.
        is_checked: Whether there are workspaces, so that its credentials are meant
            for the daemon and not for the backend server.
    """

    workspace: Workspace | None = None
    refusal: Reason | None = None
    is_checked: bool = True

    @property
    def name(self):
        """Name of the workspace, "" for none."""
        return self.workspace.name if self.workspace is not None else ""

    def choose_importance(self, declared):
        """Return the importance of a request, given that of its route.

        A preferred workspace takes precedence over what routes declare.
        """
        if self.workspace is not None and self.workspace.is_preferred:
            return prefer(declared)
        return declared


NOBODY = Identity()
UNCHECKED = Identity(is_checked=False)


class Registry:
    """The workspaces of one configuration.

    Args:
        workspaces: `Workspace` tuples; without any, no request needs a key.

    Raises:
        ValueError: When two workspaces share a key.
    """

    def __init__(self, workspaces=()):
        self._workspaces = {each.name: each for each in workspaces}
        self._by_digest = {}
        for workspace in workspaces:
            for digest in workspace.digests:
                other = self._by_digest.setdefault(digest, workspace)
                if other is not workspace:
                    raise ValueError(
                        f"workspaces {other.name} and {workspace.name} share a key"
                    )

    @property
    def is_empty(self):
        """Whether there are no workspaces."""
        return not self._workspaces

    def find(self, name):
        """Return the `Workspace` of a name, or None."""
        return self._workspaces.get(name)

    def identify(self, key, is_public):
        """Return the `Identity` of a request.

        Args:
            key: Key that the request carries, None for none.
            is_public: Whether requests of its route need no key.
        """
        if self.is_empty:
            return UNCHECKED
        workspace = None
        if key is not None:
            workspace = self._by_digest.get(keys.digest_key(key))
        if workspace is not None:
            return Identity(workspace)
        return NOBODY if is_public else Identity(refusal=Reason.UNKNOWN_KEY)
