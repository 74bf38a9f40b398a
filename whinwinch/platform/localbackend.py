"""Reports of the local backend server, and what the daemon makes of them.

The backend server sends heartbeats and a leave request to its daemon's control address.
They decide whether it gets work, and whether the daemon takes callers.
"""

import asyncio
import math
import time
from urllib.parse import urlsplit

from .. import events
from ..announcements import Announcements, State
from ..backends.interface import Backend
from ..errors import InputErrors
from ..http1.messages import HttpResponse
from . import heartbeats, leaverecords

REPORT_PREFIX = "/whinwinch/instances/"
# Seconds after the start in which a backend server that runs sends its next heartbeat.
HEARTBEAT_WAIT = 2.0
# Seconds after the start in which the records of leaves are read before a heartbeat is
# believed. If the store is away for longer, the backend server would serve nobody.
LEAVES_WAIT = 2.0
# Seconds that the acknowledgement of a leave waits for its record. A backend server
# takes no answer after one second.
LEAVE_RECORD_WAIT = 0.8
# Longest identifier of a backend server in bytes: the store's keys have 255 at most.
MAX_IDENTIFIER_BYTES = 200


class LocalBackend:
    """The local backend server as it has announced itself to this daemon.

    Args:
        store: `store.Store`.
        instance: `instance.Instance`.
        find_service: Function that returns the name of its service by the settings.
        has_records: Function that returns whether the records of all daemons are read.
        note_change: Function called when the endpoint of this daemon may have changed.
        is_stopping: Function that returns whether the daemon is being stopped.
        read_wall_clock: Function that returns the time of day in seconds.
    """

    def __init__(
        self,
        store,
        instance,
        find_service,
        has_records,
        note_change,
        is_stopping,
        read_wall_clock=time.time,
    ):
        self._loop = asyncio.get_running_loop()
        self._instance = instance
        self._find_service = find_service
        self._has_records = has_records
        self._note_change = note_change
        self._is_stopping = is_stopping
        self._read_wall_clock = read_wall_clock
        self._announcements = Announcements()
        self._leaves = leaverecords.LeaveRecords(
            store, instance.location.address, self._apply_leaves, has_records
        )
        # Whether the backend server is to be installed once earlier leaves are known.
        self._is_install_deferred = False
        # Time of the loop's clock at which the daemon began to serve.
        self._started_at = math.inf
        self._timers = ()

    def begin(self):
        """Begin to wait for the first heartbeat and for the records of leaves."""
        self._started_at = self._loop.time()
        self._timers = (
            self._loop.call_later(HEARTBEAT_WAIT, self._route_callers),
            self._loop.call_later(LEAVES_WAIT, self.install_deferred),
        )

    def close(self):
        """End all waits and writes."""
        for timer in self._timers:
            timer.cancel()
        self._leaves.close()

    @property
    def leaves(self):
        """The `leaverecords.LeaveRecords` of this daemon's backend servers."""
        return self._leaves

    async def maintain_leaves(self, is_cleaner):
        """Maintain the records of leaves, as in `LeaveRecords.maintain`."""
        await self._leaves.maintain(is_cleaner)

    async def answer_report(self, http, sender):
        """Apply a heartbeat or a leave request and acknowledge it."""
        path = urlsplit(http.target).path
        identity = path.removeprefix(REPORT_PREFIX)
        if identity == path or not identity or "/" in identity:
            return HttpResponse(404, "Not Found")
        if http.method not in ("PUT", "DELETE"):
            return HttpResponse(405, "Method Not Allowed")
        try:
            is_leave = self._apply_report(identity, http)
        except (InputErrors, ValueError, RecursionError) as error:
            events.write("heartbeat-unread", events.Message(f"{identity}: {error}"))
            return HttpResponse(400, "Bad Request")
        if is_leave and self._announcements.gets_work(identity):
            # It is of another start than the one in effect, or its own start is still
            # in doubt. Work goes on reaching this identifier, so nothing is promised.
            events.write("leave-passed-over", events.Message(identity))
            return HttpResponse(503, "Not Applied")
        if is_leave and not await self._is_leave_recorded(identity):
            # A successor of this process would know nothing of the leave.
            events.write("leave-unacknowledged", events.Message(identity))
            return HttpResponse(503, "Not Recorded")
        return HttpResponse(200, "OK", (("Content-Type", "application/json"),), b"{}")

    def handle_leave(self, identity):
        """Give no new work to a backend server that says in an answer it leaves."""
        self._announcements.apply_leaving_answer(identity, self._read_wall_time_ms())
        self._leaves.begin_write(self._announcements.last_leave)
        self._install()

    def suspect_leave(self, identity):
        """Apply that this daemon's record, as others know it, names a leave."""
        if not self._leaves.is_read:
            self._announcements.suspect_leave(identity)
            self._route_callers()

    def install_deferred(self):
        """Install the backend server if that had to wait and needn't any more."""
        if self._is_install_deferred:
            self._install()

    def _apply_report(self, identity, http):
        """Apply a heartbeat or a leave request; return whether it says it leaves.

        Raises:
            InputErrors: With a finding for every missing or invalid field.
            ValueError: When it can't be read, or is not of this daemon's service.
        """
        if len(identity) > MAX_IDENTIFIER_BYTES:
            raise ValueError("the identifier is too long")
        if http.method == "DELETE":
            start_time_ms = heartbeats.parse_start(http.body)
            now_ms = self._read_wall_time_ms()
            self._announcements.apply_leave(identity, start_time_ms, now_ms)
            is_leave = True
        else:
            announcement = heartbeats.parse_heartbeat(identity, http.body)
            self._apply_heartbeat(announcement)
            is_leave = announcement.state is State.LEAVING
        self._install()
        return is_leave

    def _read_wall_time_ms(self):
        """Return the time of day in milliseconds, as start times are announced."""
        return int(self._read_wall_clock() * 1000)

    def _apply_heartbeat(self, announcement):
        service = self._find_service()
        if announcement.service != service:
            raise ValueError(f"service is {announcement.service}, must be {service}")
        confirmed = self._announcements.confirmed
        problem = self._announcements.apply(announcement, self._loop.time())
        if problem:
            events.write(
                "heartbeat-passed-over",
                events.Message(f"{announcement.identity}: {problem}"),
            )
        elif self._announcements.confirmed not in (None, confirmed):
            events.write("start-confirmed", self._announcements.confirmed)

    async def _is_leave_recorded(self, identity):
        """Return whether a successor of this process will know of a leave."""
        leave = self._announcements.find_leave(identity)
        return await self._leaves.write(leave, LEAVE_RECORD_WAIT)

    def _apply_leaves(self, leaves):
        """Apply the leaves that earlier processes of this daemon have recorded."""
        self._announcements.restore_leaves(leaves)
        self._install()

    def _knows_leaves(self):
        """Return whether a heartbeat can be told from one that was sent before a leave.

        While the store is away, what other daemons know has to do.
        """
        if not self._has_records():
            return False
        has_waited = self._loop.time() - self._started_at >= LEAVES_WAIT
        return self._leaves.is_read or has_waited

    def _install(self):
        """Install the backend server as announced, or none."""
        self._route_callers()
        if not self._knows_leaves():
            # The backend server may have told an earlier process that it leaves, and a
            # request could reach it after it was promised that none does.
            self._is_install_deferred = True
            return
        self._is_install_deferred = False
        self._instance.install_backend(_build_backend(self._announcements.newest))
        self._note_change()

    def _route_callers(self):
        """Route callers to other daemons while the backend server leaves or is missing.

        The instance, and this daemon with it, is removed soon after the backend server
        has left; where that was before this process started, no heartbeat comes.
        Callers are let in once a backend server announces itself.
        """
        drain, now = self._instance.caller_drain, self._loop.time()
        has_waited = now - self._started_at >= HEARTBEAT_WAIT
        is_missing = has_waited and self._announcements.newest is None
        if self._announcements.is_backend_leaving or is_missing:
            if drain.begin(now):
                events.write("callers", events.Message("routed to other daemons"))
        elif not self._is_stopping() and drain.cancel():
            events.write("callers", events.Message("let in again"))


def _build_backend(announcement):
    """Return the `interface.Backend` of an `Announcement`, None if there is none."""
    if announcement is None:
        return None
    return Backend(
        announcement.identity,
        announcement.service,
        announcement.slots,
        announcement.state is State.LEAVING,
        announcement.start_time_ms,
    )
