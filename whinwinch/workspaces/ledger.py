"""The quotas of all workspaces at one daemon."""

import math
from typing import NamedTuple

from . import quotas, usages
from .registry import Registry

# Seconds after its last request in which a workspace is reported: its rates have
# fallen to nothing by then.
REPORTED_SECONDS = 5.0
# Seconds without a request after which a workspace's account is dropped.
IDLE_SECONDS = 30.0


class QuotaState(NamedTuple):
    """State of a workspace's quota when one of its requests is refused.

    Attributes:
        workspace: Name of the workspace.
        rate: Rate of its quota in requests a second.
        demand: Requests a second that arrive at all daemons that are heard.
        admitted: Those that are admitted.
        daemons: Daemons that are heard, 0 if this one is alone.
        age: Seconds since the last report of the others; infinite without one.
    """

    workspace: str
    rate: float
    demand: float
    admitted: float
    daemons: int
    age: float


class _Entry:
    """An account and when it was last used, by the loop's clock in seconds."""

    __slots__ = ("account", "used_at")

    def __init__(self, account, now):
        self.account = account
        self.used_at = now


class Ledger:
    """Accounts of the workspaces that this daemon had requests of.

    Args:
        terms: `quotas.QuotaTerms`.
        count_daemons: Function that returns the number of daemons, heard or not.
        now: Time of the loop's clock in seconds.
    """

    def __init__(self, terms, count_daemons, now):
        self._started_at = now
        self._terms = terms
        self._count_daemons = count_daemons
        self._registry = Registry()
        self._entries = {}
        self._totals = {}
        self._heard_daemons = 0
        self._heard_at = -math.inf

    def install(self, registry, now):
        """Install the `registry.Registry` of a new configuration."""
        self._registry = registry
        for name, entry in tuple(self._entries.items()):
            workspace = registry.find(name)
            if workspace is None or math.isinf(workspace.quota.rate):
                del self._entries[name]
            else:
                entry.account.change_quota(workspace.quota, now)

    def find_rate(self, name):
        """Return the rate of a workspace's quota, infinite for none."""
        workspace = self._registry.find(name)
        return workspace.quota.rate if workspace is not None else math.inf

    def try_spend(self, request, now):
        """Return whether the quota of a request's workspace admits it.

        Args:
            request: The `messages.Request`; its caller is the workspace.
            now: Time of the loop's clock in seconds.
        """
        if not request.caller or math.isinf(self.find_rate(request.caller)):
            return True
        entry = self._find_entry(request.caller, now)
        entry.used_at = now
        view = self._view(request.caller, now)
        return entry.account.try_spend(request, view, now)

    def refund(self, request, now):
        """Give back the token of an admitted request that has not run."""
        entry = self._entries.get(request.caller)
        if entry is not None:
            entry.account.refund(now)

    def find_retry_after(self, request):
        """Return the seconds after which a refused request may find a token."""
        return self._entries[request.caller].account.find_retry_after()

    def read_state(self, name, now):
        """Return the `QuotaState` of a workspace."""
        total = self._totals.get(name)
        view = self._view(name, now)
        return QuotaState(
            name,
            self.find_rate(name),
            sum(total.demand) if total else 0.0,
            total.admitted if total else 0.0,
            view.heard_daemons,
            now - self._heard_at,
        )

    def apply_total(self, total, now):
        """Apply the `usages.UsageTotal` of the busy workspaces at all daemons."""
        self._heard_daemons, self._heard_at = total.daemons, now
        self._totals = {
            entry.workspace: usages.read_entry(entry) for entry in total.usages
        }
        for name in self._totals:
            if not math.isinf(self.find_rate(name)):
                account = self._find_entry(name, now).account
                account.advance(self._view(name, now), now)

    def list_usages(self, now):
        """Return the `usages.WorkspaceUsage` tuples of this daemon, and drop idle ones.

        Those without a request in the last seconds are left out.
        """
        listed = []
        for name, entry in tuple(self._entries.items()):
            if now - entry.used_at > IDLE_SECONDS:
                del self._entries[name]
                continue
            if now - entry.used_at > REPORTED_SECONDS:
                continue
            usage = usages.build_entry(name, entry.account.read_usage(now))
            if any(usage.demand):
                listed.append(usage)
        return tuple(listed)

    def list_busiest(self, now, count):
        """Return the `usages.WorkspaceUsage` tuples with the most requests here."""
        listed = self.list_usages(now)
        return sorted(listed, key=lambda usage: sum(usage.demand), reverse=True)[:count]

    def _find_entry(self, name, now):
        entry = self._entries.get(name)
        if entry is None:
            quota = self._registry.find(name).quota
            account = quotas.Account(quota, self._terms, self._started_at)
            entry = self._entries[name] = _Entry(account, now)
        return entry

    def _view(self, name, now):
        all_daemons = max(1, self._count_daemons())
        is_recent = now - self._heard_at < quotas.MAX_REPORT_AGE_SECONDS
        if not is_recent or self._heard_daemons < min(2, all_daemons):
            return quotas.View(all_daemons)
        return quotas.View(all_daemons, self._heard_daemons, self._totals.get(name))
