"""Tasks that report the use of quotas to the relay, and totals to all daemons."""

import asyncio
import itertools

from ..daemons import frames
from . import usages

# Seconds between two reports of a daemon, and until it reports that it has nothing.
REPORT_INTERVAL = 0.2
KEEP_ALIVE_INTERVAL = 0.4
# Seconds between two sums of a relay.
RELAY_INTERVAL = 0.2


class Reporting:
    """Reports of one daemon, and of the zone while it is the relay.

    Args:
        ledger: `ledger.Ledger`.
        relays: `daemons.relays.Relays`.
        local_address: Address of this daemon.
        count_daemons: Function that returns the number of daemons, heard or not.
        is_active: Function that returns whether there are workspaces.
    """

    def __init__(self, ledger, relays, local_address, count_daemons, is_active):
        self._ledger = ledger
        self._relays = relays
        self._local_address = local_address
        self._count_daemons = count_daemons
        self._is_active = is_active
        self._reports = usages.UsageReports()

    def apply(self, address, frame, now):
        """Apply a `frames.Usages` or `frames.UsageSum` of the daemon at an address."""
        if isinstance(frame, frames.Usages):
            self._reports.record_daemon(address, frame.usages, now)
        elif frame.is_total:
            self._ledger.apply_total(frame.total, now)
        else:
            self._reports.record_zone(address, frame.total, now)

    async def report_usages(self):
        """Report the use of quotas at this daemon to the relay until cancelled."""
        clock = asyncio.get_running_loop().time
        next_report = 0.0
        while True:
            await asyncio.sleep(REPORT_INTERVAL)
            now = clock()
            if not self._is_active():
                continue
            listed = self._ledger.list_usages(now)
            if not listed and now < next_report:
                continue
            next_report = now + KEEP_ALIVE_INTERVAL
            self._reports.record_daemon(self._local_address, listed, now)
            self._relays.report(frames.Usages(listed))

    async def relay_usages(self):
        """Send the sums of the zone, while this is its relay, until cancelled."""
        clock = asyncio.get_running_loop().time
        next_total = 0.0
        for number in itertools.count():
            await asyncio.sleep(RELAY_INTERVAL)
            if not self._relays.is_relay or not self._is_active():
                continue
            now = clock()
            self._tell_relays(number % usages.TURNS, now)
            total = self._reports.sum_all(now)
            share = self._find_share(total)
            total = usages.select_busy(total, self._ledger.find_rate, share)
            self._ledger.apply_total(total, now)
            if total.usages or now >= next_total:
                next_total = now + KEEP_ALIVE_INTERVAL
                self._relays.tell_zone(frames.UsageSum(True, total))

    def _tell_relays(self, turn, now):
        zone = self._reports.sum_daemons(now)
        share = self._find_share(zone)
        zone = usages.select_turn(zone, self._ledger.find_rate, share, turn)
        self._relays.tell_relays(frames.UsageSum(False, zone))

    def _find_share(self, total):
        """Return the part of each quota that the daemons of a `UsageTotal` share."""
        return min(1.0, total.daemons / max(1, self._count_daemons()))
