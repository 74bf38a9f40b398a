"""Connections to other daemons, one for each, shared by all calls.

A connection may break or fall silent while calls are pending on it. Failing the calls
would leave payouts with an unknown outcome each time a switch resets connections.
Therefore each call has a number, and the called side records the calls it receives.
After reconnecting to the same process all pending calls are sent again: received calls
continue, the others start, and none runs twice. Their outcome becomes unknown only if
the daemon doesn't come back in time or its process has ended.
"""

import asyncio
import itertools
from typing import NamedTuple

from absl import logging

from .. import decisions, events
from ..messages import Outcome, Reason, build_failure
from ..subsets import Reachability
from . import frames, traffic

# Seconds until an attempt to connect fails. Connecting takes one round trip, 2 ms
# between zones and ten times that on a busy machine. A lost packet delays it by a
# second, by which time another endpoint is the better choice.
CONNECT_TIMEOUT = 0.4
# Seconds within which a lost connection must be re-established before its pending
# calls are failed.
RESUME_TIMEOUT = 0.8
# Seconds without received data after which a link with pending calls is pinged.
BUSY_PING_DELAY = 0.4
# The same for a link without pending calls, which limits the pings to some 4 bytes
# per second and peer.
IDLE_PING_DELAY = 2.0
# Seconds to wait for a Pong. A daemon that is busy for this long is no better than an
# unreachable one.
PONG_TIMEOUT = 0.8
# Seconds between two checks of all links and pending calls.
CHECK_INTERVAL = 0.1
# Seconds without use after which a connection is closed. Gossip partners are contacted
# every second and change every ten seconds, and an idle link costs pings. For an
# endpoint that gets no call for this long a new connection is acceptable.
UNUSED_TIMEOUT = 30.0
# Bounds of the backoff, in seconds, after a failed connection attempt.
INITIAL_BACKOFF = 0.05
MAX_BACKOFF = 1.0
# More than this number of consecutive connections that are lost within this number of
# seconds mean that the other daemon rejects this one. Without a backoff it would
# reconnect a thousand times per second. A switch may also reset several connections in
# a row: with a backoff after the first, calls found no endpoint meanwhile and failed.
SHORT_CONNECTION_SECONDS = 0.1
MAX_SHORT_CONNECTIONS = 8
# The called side answers by the deadline; the answer may take this many seconds longer
# to arrive.
ANSWER_TRANSIT_SECONDS = 0.1
# Messages that a daemon sends to connected daemons without a request.
REPORT_KINDS = (
    frames.News,
    frames.LevelSum,
    frames.UsageSum,
    frames.Graph,
    frames.Crash,
    *frames.TOPIC_KINDS,
)


class PendingCall(NamedTuple):
    """A call without an answer so far.

    Attributes:
        request: The attempt, a `messages.Request`.
        future: Future of its `messages.Answer`.
        started: Time of the loop's clock at which the call was first sent.
    """

    request: object
    future: asyncio.Future
    started: float


class Link(asyncio.Protocol):
    """A connection to a peer."""

    def __init__(self, peer, loop):
        self._peer = peer
        self._loop = loop
        self._unpacker = frames.build_unpacker()
        self.transport = None
        self.created_time = loop.time()
        self.last_received = self.created_time
        self.ping_time = None
        self.hello_received = loop.create_future()

    def connection_made(self, transport):
        """Send this daemon's Hello."""
        self.transport = transport
        self.last_received = self._loop.time()
        self.send(self._peer.hello)

    def connection_lost(self, exc):
        """Notify the peer, which reconnects if calls are pending."""
        self.transport = None
        if not self.hello_received.done():
            self.hello_received.cancel()
        self._peer.handle_link_loss(self, exc)

    def data_received(self, data):
        """Decode the messages and pass them to the peer."""
        now = self._loop.time()
        self.last_received = now
        self.ping_time = None
        try:
            for frame in frames.decode_frames(self._unpacker, data, now):
                self._peer.receive(self, frame)
        except frames.FrameError as error:
            logging.warning(
                "invalid message from peer %s: %s", self._peer.address, error
            )
            self.transport.abort()

    def send(self, frame):
        """Encode and send a message."""
        data = frames.encode_frame(frame, self._loop.time())
        self._peer.traffic.record_sent(type(frame), self._peer.address, len(data))
        self.transport.write(data)


class Peer:
    """Another daemon and the calls pending on it.

    Args:
        address: "host:port" at which it accepts connections of daemons.
        hello: `frames.Hello` of this daemon.
        handle_report: Function called with the address and each received message of
            `REPORT_KINDS`.
        sent_traffic: `traffic.Traffic` that counts the messages sent.
        numbers: Iterator over the numbers of calls, shared by all peers. The called
            daemon knows calls by their numbers longer than this peer may be kept.
    """

    def __init__(self, address, hello, handle_report, sent_traffic, numbers):
        self._loop = asyncio.get_running_loop()
        self.traffic = sent_traffic
        self._handle_report = handle_report
        self._numbers = numbers
        self._pending = {}
        self._pending_gossip = {}
        self._link = None
        self._connecting = None
        self._backoff = 0.0
        self._next_connect_time = 0.0
        self._short_connections = 0
        self._lost_time = 0.0
        self._last_used = self._loop.time()
        self.address = address
        self.hello = hello
        self.daemon = ""

    @property
    def is_up(self):
        """Whether there is a connection on which calls can be sent at once."""
        return self._link is not None

    @property
    def reachability(self):
        """The `Reachability` of the other daemon."""
        if self.is_up:
            return Reachability.UP
        if not self._backoff:
            return Reachability.UNTRIED
        return (
            Reachability.RETRY_DUE
            if self._loop.time() >= self._next_connect_time
            else Reachability.BACKING_OFF
        )

    async def call(self, request):
        """Send one attempt and return its answer; network errors become answers."""
        self._last_used = self._loop.time()
        if not self.is_up:
            remaining = request.deadline - self._loop.time()
            if not await self._wait_connected(min(remaining, CONNECT_TIMEOUT)):
                return build_failure(request, Outcome.NOT_RUN, Reason.NOT_SENT)
        number = next(self._numbers)
        future = self._loop.create_future()
        self._pending[number] = PendingCall(request, future, self._loop.time())
        expiry = request.deadline + ANSWER_TRANSIT_SECONDS
        timer = self._loop.call_at(expiry, self._expire, number)
        self._link.send(frames.Call(number, request))
        try:
            return await future
        except asyncio.CancelledError:
            self._cancel(number)
            raise
        finally:
            timer.cancel()
            self._pending.pop(number, None)

    async def send_gossip(self, data):
        """Send a gossip message and return the bytes of its answer.

        It isn't sent again after a reconnect, since its content is outdated by then.

        Raises:
            ConnectionError: If no connection can be made, or it is lost.
        """
        self._last_used = self._loop.time()
        if not self.is_up and not await self._wait_connected(CONNECT_TIMEOUT):
            raise ConnectionError(f"{self.address}: no connection")
        number = next(self._numbers)
        future = self._loop.create_future()
        self._pending_gossip[number] = future
        self._link.send(frames.Gossip(number, data))
        try:
            return await future
        finally:
            self._pending_gossip.pop(number, None)

    def send_if_connected(self, frame):
        """Send a message if connected; otherwise drop it."""
        if self._link is not None and self._link.transport is not None:
            self._link.send(frame)

    def is_unused(self, since):
        """Return whether nothing is pending and nothing was requested since a time."""
        return (
            not self._pending and not self._pending_gossip and self._last_used < since
        )

    def connect(self):
        """Start to connect, unless connected, connecting or backing off."""
        if self._link is not None or self._connecting is not None:
            return
        if self._loop.time() >= self._next_connect_time:
            self._connecting = self._loop.create_task(self._connect())

    def keep_connected(self):
        """Keep the connection open although no call uses it."""
        self._last_used = self._loop.time()
        self.connect()

    def receive(self, link, frame):
        """Handle a message of the other daemon."""
        if isinstance(frame, frames.Reply):
            self._complete_call(frame)
        elif isinstance(frame, frames.Hello):
            self._handle_hello(link, frame)
        elif isinstance(frame, REPORT_KINDS):
            self._handle_report(self.address, frame)
        elif isinstance(frame, frames.Ping):
            link.send(frames.Pong(frame.number))
        elif isinstance(frame, frames.GossipReply):
            self._complete_gossip(frame)

    def handle_link_loss(self, link, exc):
        """Handle a lost connection; reconnect at once if calls are pending."""
        if link is not self._link:
            return
        self._link = None
        self._lost_time = self._loop.time()
        is_short = self._lost_time - link.created_time < SHORT_CONNECTION_SECONDS
        self._short_connections = self._short_connections + 1 if is_short else 0
        if self._short_connections > MAX_SHORT_CONNECTIONS:
            self._increase_backoff()
        else:
            self._backoff = 0.0
            self._next_connect_time = 0.0
        self._log("lost", str(exc or "closed"), calls=len(self._pending))
        self._fail_gossip()
        if self._pending:
            self.connect()

    def check(self, now):
        """Ping a silent link, and fail calls whose connection isn't restored."""
        if self._link is not None:
            self._check_link(now)
        elif self._pending:
            if now - self._lost_time > RESUME_TIMEOUT:
                self._fail_pending_calls("no connection")
            else:
                self.connect()

    def close(self):
        """Close the connection."""
        self._fail_gossip()
        if self._connecting is not None:
            self._connecting.cancel()
        if self._link is not None and self._link.transport is not None:
            self._link.transport.close()

    def _check_link(self, now):
        link = self._link
        if link.transport is None:
            return
        if link.ping_time is not None:
            if now - link.ping_time > PONG_TIMEOUT:
                # A connection can fail without a reset; only a missing Pong shows it.
                logging.info("no pong from peer %s, closing the link", self.address)
                link.transport.abort()
            return
        quiet = BUSY_PING_DELAY if self._pending else IDLE_PING_DELAY
        if now - link.last_received > quiet:
            link.ping_time = now
            link.send(frames.Ping(0))

    def _cancel(self, number):
        if self._link is not None and self._link.transport is not None:
            self._link.send(frames.Cancel(number))

    def _expire(self, number):
        """Fail a call that has not been answered in time, and cancel it."""
        pending = self._pending.get(number)
        if pending is None or pending.future.done():
            return
        self._cancel(number)
        failure = build_failure(pending.request, Outcome.UNKNOWN, Reason.DEADLINE, 504)
        pending.future.set_result(failure)

    def _complete_call(self, reply):
        pending = self._pending.get(reply.number)
        if pending is None or pending.future.done():
            # The call has failed already; a late answer must be dropped.
            return
        if reply.answer.attempt != pending.request.attempt:
            logging.warning("peer %s answered a different attempt", self.address)
            return
        pending.future.set_result(reply.answer)

    def _complete_gossip(self, reply):
        future = self._pending_gossip.get(reply.number)
        if future is not None and not future.done():
            future.set_result(reply.data)

    def _fail_gossip(self):
        """Fail all pending gossip messages."""
        for future in self._pending_gossip.values():
            if not future.done():
                future.set_exception(
                    ConnectionError(f"{self.address}: connection lost")
                )

    def _handle_hello(self, link, hello):
        """Send the pending calls again, or fail them if the daemon has restarted."""
        if link.hello_received.done():
            return
        link.hello_received.set_result(None)
        if self.daemon and hello.daemon != self.daemon:
            self._fail_pending_calls("daemon restarted")
        self.daemon = hello.daemon
        self._link = link
        if self._lost_time:
            seconds = self._loop.time() - self._lost_time
            self._log("regained", calls=len(self._pending), seconds=seconds)
        for number, pending in sorted(self._pending.items()):
            seconds = self._loop.time() - pending.started
            decisions.log_resend(pending.request, self.address, seconds)
            self._link.send(frames.Call(number, pending.request))

    def _log(self, state, problem="", **more):
        name = f"daemon {self.address}"
        event = events.Dependency(name, state, problem, **more)
        events.sample("dependency", event)

    def _fail_pending_calls(self, problem):
        if self._pending:
            self._log("lost", f"calls failed: {problem}", calls=len(self._pending))
        for pending in self._pending.values():
            if not pending.future.done():
                pending.future.set_result(
                    build_failure(pending.request, Outcome.UNKNOWN, Reason.BROKEN, 502)
                )
        self._pending.clear()

    async def _wait_connected(self, timeout):
        """Connect if needed; return whether the link is up within the timeout."""
        self.connect()
        if self._connecting is None:
            return self.is_up
        try:
            async with asyncio.timeout(max(timeout, 0.0)):
                await asyncio.shield(self._connecting)
        except TimeoutError:
            return False
        return self.is_up

    async def _connect(self):
        host, _, port = self.address.rpartition(":")
        link = Link(self, self._loop)
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT):
                await self._loop.create_connection(lambda: link, host, int(port))
                await link.hello_received
        except (OSError, TimeoutError) as error:
            self._handle_connect_failure(link, error)
        except (OverflowError, ValueError) as error:
            # Nothing can be reached at such an address, however often it is tried.
            logging.warning("invalid address of a daemon: %r: %s", self.address, error)
            self._handle_connect_failure(link, error)
        except asyncio.CancelledError:
            # The link was closed before a Hello came, or this daemon stops.
            self._handle_connect_failure(
                link, ConnectionResetError("closed before Hello")
            )
        finally:
            self._connecting = None

    def _increase_backoff(self):
        """Double the backoff until the next connection attempt."""
        self._backoff = min(max(INITIAL_BACKOFF, 2 * self._backoff), MAX_BACKOFF)
        self._next_connect_time = self._loop.time() + self._backoff

    def _handle_connect_failure(self, link, error):
        self._increase_backoff()
        if link.transport is not None:
            link.transport.abort()
        if isinstance(error, ConnectionRefusedError):
            # Nothing listens there: the process has ended, and its calls with it.
            self.daemon = ""
            self._fail_pending_calls("connection refused")


class Peers:
    """The other daemons that this one connects to.

    Args:
        hello: `frames.Hello` of this daemon.
        handle_report: Function called with the address of a daemon and each received
            message of `REPORT_KINDS`.
        sent_traffic: `traffic.Traffic` that counts the messages sent.
    """

    def __init__(self, hello, handle_report, sent_traffic=None):
        self._hello = hello
        self._traffic = sent_traffic or traffic.Traffic()
        self._handle_report = handle_report
        self._numbers = itertools.count(1)
        self._peers = {}

    def __len__(self):
        return len(self._peers)

    def count_connected(self):
        """Return the number of daemons that this one is connected to."""
        return sum(peer.is_up for peer in self._peers.values())

    def find(self, address):
        """Return the `Peer` of an address, creating it on first use."""
        peer = self._peers.get(address)
        if peer is None:
            peer = Peer(
                address,
                self._hello,
                self._handle_report,
                self._traffic,
                self._numbers,
            )
            self._peers[address] = peer
        return peer

    def forget(self, address):
        """Drop a peer that has left, unless connected, so that pending calls go on."""
        peer = self._peers.get(address)
        if peer is not None and not peer.is_up:
            del self._peers[address]
            peer.close()

    def drop_unused(self, now):
        """Close the connections that haven't been used for a while.

        Gossip changes its partners every few seconds, and instances are replaced.
        Without this a daemon would keep a connection to every daemon that ever
        existed, and its memory would grow for weeks.

        Returns:
            The addresses of the closed connections.
        """
        unused = [
            address
            for address, peer in self._peers.items()
            if peer.is_unused(now - UNUSED_TIMEOUT)
        ]
        for address in unused:
            self._peers.pop(address).close()
        return unused

    async def check_periodically(self):
        """Check all links periodically, until cancelled."""
        loop = asyncio.get_running_loop()
        while True:
            await asyncio.sleep(CHECK_INTERVAL)
            now = loop.time()
            for peer in tuple(self._peers.values()):
                peer.check(now)

    def close(self):
        """Close all connections."""
        for peer in self._peers.values():
            peer.close()
