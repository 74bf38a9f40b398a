"""Tasks that report levels and the call topology to the relay, and sums to all."""

import asyncio

from . import frames

# Seconds between two reports of levels; none are sent while nothing is refused.
LEVELS_INTERVAL = 0.1
# Seconds between two sums of a relay; short, because it adds to the age of the levels
# that the relay passes on.
RELAY_INTERVAL = 0.05
# Seconds between two checks of the call topology for changes, and until an unchanged
# topology is sent again for daemons that have connected since.
GRAPH_INTERVAL = 0.25
GRAPH_REPEAT_INTERVAL = 2.0


class Reporting:
    """Reports of levels and calls of one daemon, and of the zone while it is the relay.

    Args:
        relays: `relays.Relays`.
        reported_levels: `reportedlevels.ReportedLevels`.
        graph: `callgraph.CallGraph`.
        local_address: Address of this daemon.
        list_levels: Function that yields the name and level of each local route.
        find_available_share: Function that returns the share of the local slots that
            may be in use.
    """

    def __init__(
        self,
        relays,
        reported_levels,
        graph,
        local_address,
        list_levels,
        find_available_share,
    ):
        self._relays = relays
        self._reported_levels = reported_levels
        self._graph = graph
        self._local_address = local_address
        self._list_levels = list_levels
        self._find_available_share = find_available_share
        self._clock = asyncio.get_running_loop().time

    def apply(self, address, frame):
        """Apply levels, their sum or a topology of the daemon at an address."""
        now = self._clock()
        if isinstance(frame, frames.Graph):
            self._graph.merge_topology(frame.topology)
        elif isinstance(frame, frames.Levels):
            self._reported_levels.record_levels(
                address, frame.levels, now, frame.available
            )
        elif frame.is_total:
            self._reported_levels.record_total(frame.shed_shares, now)
        else:
            self._reported_levels.record_relay_sum(address, frame.shed_shares, now)

    async def report_levels(self):
        """Report the levels of the local routes to the relay until cancelled."""
        reported = ()
        while True:
            await asyncio.sleep(LEVELS_INTERVAL)
            levels = tuple(self._list_levels())
            if levels or reported:
                available = self._find_available_share()
                self._reported_levels.record_levels(
                    self._local_address, levels, self._clock(), available
                )
                self._relays.report(frames.Levels(levels, available))
            reported = levels

    async def relay_levels(self):
        """Send the sums of levels, while this is the zone's relay, until cancelled."""
        sent = ()
        while True:
            await asyncio.sleep(RELAY_INTERVAL)
            sent = self._send_level_sums(sent) if self._relays.is_relay else ()

    async def report_topology(self):
        """Report the call topology through the relay until cancelled.

        A daemon that has just started thereby learns which calls a level concerns
        before it has observed any.
        """
        sent, next_repeat = None, 0.0
        while True:
            await asyncio.sleep(GRAPH_INTERVAL)
            topology = self._graph.export_topology()
            reader = self._relays.sources.reader
            now = self._clock()
            if (topology, reader) != sent or now >= next_repeat:
                self._send_topology(frames.Graph(topology))
                sent, next_repeat = (topology, reader), now + GRAPH_REPEAT_INTERVAL

    def _send_level_sums(self, sent):
        """Send the zone's sum of levels to other relays, and the total to the zone.

        Args:
            sent: Total of the previous call. When the levels have dropped to zero,
                an empty sum is sent once.

        Returns:
            The total over all daemons.
        """
        now = self._clock()
        zone_sum = self._reported_levels.sum_daemons(now)
        total = self._reported_levels.sum_all(now)
        if total or sent:
            self._relays.tell_relays(frames.LevelSum(False, zone_sum))
            self._relays.tell_zone(frames.LevelSum(True, total))
            self._reported_levels.record_total(total, now)
        return total

    def _send_topology(self, frame):
        if not self._relays.is_relay:
            self._relays.report(frame)
            return
        self._relays.tell_relays(frame)
        self._relays.tell_zone(frame)
