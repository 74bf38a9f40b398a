"""Connections to other daemons, one for each, shared by all calls.

What goes wrong between two daemons is a connection that breaks or falls silent
while calls are out on it. One would see payouts of unknown outcome each time a
switch resets connections. So a call has a number, the called side remembers what
it was given, and after a new connection to the same start of the daemon all open
calls are simply sent again: what had arrived goes on, what had not starts, and
nothing runs twice. Only where the daemon itself has ended are they unknown.
"""

import asyncio
import itertools
from typing import NamedTuple

from absl import logging

from .. import events
from ..messages import Outcome, Reason, build_failure
from ..subsets import Reachability
from . import frames, traffic

# A new connection takes one round trip, 2 ms between zones; ten times that on a
# busy machine. A lost packet costs a second: by then another endpoint is better.
CONNECT_SECONDS = 0.4
# Time in which a broken connection must be back before its calls are given up.
RESUME_SECONDS = 0.8
# A link that carried nothing for this long is asked whether it still works.
QUIET_SECONDS = 0.4
# An idle link is asked more rarely: a message of 4 bytes a second and peer.
IDLE_SECONDS = 2.0
# A daemon busy for this long is of no use either.
PONG_SECONDS = 0.8
TICK_SECONDS = 0.1
# A partner of gossip is used every second; an endpoint that gets no call for
# this long is worth a new connection. A link that is kept costs pings, and partners
# change every ten seconds.
UNUSED_SECONDS = 30.0
# First pause and longest pause before an address that refused is tried again.
FIRST_PAUSE = 0.05
LONGEST_PAUSE = 1.0
# Connections that are lost sooner, so many in a row, are closed on purpose, by a daemon
# that lets this one not in: at once again, they would be tried a thousand times a
# second. A switch that resets some in a row isn't that: with a
# pause after the first, calls that came meanwhile found no endpoint and failed.
SHORT_LIFE = 0.1
MOST_SHORT_LIVES = 8
# The called side answers by the deadline; its answer may travel a little longer.
ANSWER_SECONDS = 0.1
# What a daemon tells those connected with it, besides answers.
TOLD = (frames.News, frames.LevelSum, frames.Graph, *frames.TOPIC_KINDS)


class Pending(NamedTuple):
    """A call that is out: the attempt, and the future of its answer."""

    request: object
    future: asyncio.Future


class Link(asyncio.Protocol):
    """One connection to one peer."""

    def __init__(self, peer, loop):
        self._peer = peer
        self._loop = loop
        self._unpacker = frames.build_unpacker()
        self.transport = None
        self.since = loop.time()
        self.received = self.since
        self.pinged = None
        self.greeted = loop.create_future()

    def connection_made(self, transport):
        """Introduce this daemon."""
        self.transport = transport
        self.received = self._loop.time()
        self.send(self._peer.hello)

    def connection_lost(self, exc):
        """Tell the peer, which opens another connection if calls are out."""
        self.transport = None
        if not self.greeted.done():
            self.greeted.cancel()
        self._peer.lose_link(self, exc)

    def data_received(self, data):
        """Hand the messages on."""
        now = self._loop.time()
        self.received = now
        self.pinged = None
        try:
            for frame in frames.decode_frames(self._unpacker, data, now):
                self._peer.receive(self, frame)
        except frames.FrameError as error:
            logging.warning("peer %s sent no message: %s", self._peer.address, error)
            self.transport.abort()

    def send(self, frame):
        """Send a message."""
        data = frames.encode_frame(frame, self._loop.time())
        self._peer.traffic.note(type(frame), self._peer.address, len(data))
        self.transport.write(data)


class Peer:
    """One other daemon, and the calls that are out to it.

    Args:
        address: "host:port" at which it takes calls.
        hello: `frames.Hello` of this daemon.
        take_news: Function that is told the address, and what it tells, one of
            `TOLD`.
        counted: `traffic.Traffic` that is told what is sent.
    """

    def __init__(self, address, hello, take_news, counted):
        self._loop = asyncio.get_running_loop()
        self.traffic = counted
        self._take_news = take_news
        self._numbers = itertools.count(1)
        self._pending = {}
        self._asked = {}
        self._link = None
        self._connecting = None
        self._pause = 0.0
        self._next_try = 0.0
        self._short_lives = 0
        self._lost = 0.0
        self._last_used = self._loop.time()
        self.address = address
        self.hello = hello
        self.daemon = ""

    @property
    def is_up(self):
        """Whether calls can be sent at once."""
        return self._link is not None

    @property
    def reach(self):
        """The `Reachability` of the other daemon."""
        if self.is_up:
            return Reachability.UP
        if not self._pause:
            return Reachability.UNTRIED
        return (
            Reachability.RETRY_DUE
            if self._loop.time() >= self._next_try
            else Reachability.BACKING_OFF
        )

    async def call(self, request):
        """Send one attempt and return its answer; never raises for the network."""
        self._last_used = self._loop.time()
        if not self.is_up:
            left = request.deadline - self._loop.time()
            if not await self._wait_up(min(left, CONNECT_SECONDS)):
                return build_failure(request, Outcome.NOT_RUN, Reason.NOT_SENT)
        number = next(self._numbers)
        future = self._loop.create_future()
        self._pending[number] = Pending(request, future)
        latest = request.deadline + ANSWER_SECONDS
        timer = self._loop.call_at(latest, self._expire, number)
        self._link.send(frames.Call(number, request))
        try:
            return await future
        except asyncio.CancelledError:
            self._cancel(number)
            raise
        finally:
            timer.cancel()
            self._pending.pop(number, None)

    async def ask(self, data):
        """Send a gossip message and return the bytes of its answer.

        It isn't sent again: what it tells is old by then.

        Raises:
            ConnectionError: When there is no connection, or it breaks.
        """
        self._last_used = self._loop.time()
        if not self.is_up and not await self._wait_up(CONNECT_SECONDS):
            raise ConnectionError(f"{self.address}: no connection")
        number = next(self._numbers)
        future = self._loop.create_future()
        self._asked[number] = future
        self._link.send(frames.Gossip(number, data))
        try:
            return await future
        finally:
            self._asked.pop(number, None)

    def tell(self, frame):
        """Send a message where there is a connection; else it is lost."""
        if self._link is not None and self._link.transport is not None:
            self._link.send(frame)

    def is_unused(self, since):
        """Return whether nothing is out, and nothing was sent since a time."""
        return not self._pending and not self._asked and self._last_used < since

    def connect(self):
        """Open a connection unless there is one or it is too early."""
        if self._link is not None or self._connecting is not None:
            return
        if self._loop.time() >= self._next_try:
            self._connecting = self._loop.create_task(self._connect())

    def keep(self):
        """Stay connected though no call goes there."""
        self._last_used = self._loop.time()
        self.connect()

    def receive(self, link, frame):
        """Take a message of the other daemon."""
        if isinstance(frame, frames.Reply):
            self._settle(frame)
        elif isinstance(frame, frames.Hello):
            self._greet(link, frame)
        elif isinstance(frame, TOLD):
            self._take_news(self.address, frame)
        elif isinstance(frame, frames.Ping):
            link.send(frames.Pong(frame.number))
        elif isinstance(frame, frames.GossipReply):
            self._settle_gossip(frame)

    def lose_link(self, link, exc):
        """Open another connection at once where calls are out."""
        if link is not self._link:
            return
        self._link = None
        self._lost = self._loop.time()
        is_short = self._lost - link.since < SHORT_LIFE
        self._short_lives = self._short_lives + 1 if is_short else 0
        if self._short_lives > MOST_SHORT_LIVES:
            self._wait_longer()
        else:
            self._pause = 0.0
            self._next_try = 0.0
        self._log("lost", str(exc or "closed"), calls=len(self._pending))
        self._fail_gossip()
        if self._pending:
            self.connect()

    def check(self, now):
        """Ask a quiet link whether it works; give up what can't be resumed."""
        if self._link is not None:
            self._check_link(now)
        elif self._pending:
            if now - self._lost > RESUME_SECONDS:
                self._give_up("no connection")
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
        if link.pinged is not None:
            if now - link.pinged > PONG_SECONDS:
                # Silent without a reset: only this shows it.
                logging.info("link to %s is silent", self.address)
                link.transport.abort()
            return
        quiet = QUIET_SECONDS if self._pending else IDLE_SECONDS
        if now - link.received > quiet:
            link.pinged = now
            link.send(frames.Ping(0))

    def _cancel(self, number):
        if self._link is not None and self._link.transport is not None:
            self._link.send(frames.Cancel(number))

    def _expire(self, number):
        """Give up a call whose answer has not come in time."""
        pending = self._pending.get(number)
        if pending is None or pending.future.done():
            return
        self._cancel(number)
        failure = build_failure(pending.request, Outcome.UNKNOWN, Reason.DEADLINE, 504)
        pending.future.set_result(failure)

    def _settle(self, reply):
        pending = self._pending.get(reply.number)
        if pending is None or pending.future.done():
            # Given up on; a late answer must reach nobody.
            return
        if reply.answer.attempt != pending.request.attempt:
            logging.warning("peer %s answered another attempt", self.address)
            return
        pending.future.set_result(reply.answer)

    def _settle_gossip(self, reply):
        future = self._asked.get(reply.number)
        if future is not None and not future.done():
            future.set_result(reply.data)

    def _fail_gossip(self):
        """Tell those who wait for an answer to gossip that none will come."""
        for future in self._asked.values():
            if not future.done():
                future.set_exception(ConnectionError(f"{self.address}: lost"))

    def _greet(self, link, hello):
        """Send the open calls again, or give them up to another start of it."""
        if link.greeted.done():
            return
        link.greeted.set_result(None)
        if self.daemon and hello.daemon != self.daemon:
            self._give_up("the daemon has started anew")
        self.daemon = hello.daemon
        self._link = link
        if self._lost:
            seconds = self._loop.time() - self._lost
            self._log("regained", calls=len(self._pending), seconds=seconds)
        for number, pending in sorted(self._pending.items()):
            self._link.send(frames.Call(number, pending.request))

    def _log(self, state, problem="", **more):
        name = f"daemon {self.address}"
        event = events.Dependency(name, state, problem, **more)
        events.sample("dependency", event)

    def _give_up(self, why):
        if self._pending:
            self._log("lost", f"calls given up: {why}", calls=len(self._pending))
        for pending in self._pending.values():
            if not pending.future.done():
                pending.future.set_result(
                    build_failure(pending.request, Outcome.UNKNOWN, Reason.BROKEN, 502)
                )
        self._pending.clear()

    async def _wait_up(self, timeout):
        """Return whether the link is up within some seconds."""
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
            async with asyncio.timeout(CONNECT_SECONDS):
                await self._loop.create_connection(lambda: link, host, int(port))
                await link.greeted
        except (OSError, TimeoutError) as error:
            self._fail_connect(link, error)
        except asyncio.CancelledError:
            # The link was closed before it was greeted, or the daemon stops.
            self._fail_connect(link, ConnectionResetError("closed before a greeting"))
        finally:
            self._connecting = None

    def _wait_longer(self):
        """Put the next try off, twice as far as the last one."""
        self._pause = min(max(FIRST_PAUSE, 2 * self._pause), LONGEST_PAUSE)
        self._next_try = self._loop.time() + self._pause

    def _fail_connect(self, link, error):
        self._wait_longer()
        if link.transport is not None:
            link.transport.abort()
        if isinstance(error, ConnectionRefusedError):
            # Nobody listens there: the daemon has ended, and with it the calls.
            self.daemon = ""
            self._give_up("connection refused")


class Peers:
    """The other daemons that this one calls.

    Args:
        hello: `frames.Hello` of this daemon.
        take_news: Function that is told an address, and what it tells, one of
            `TOLD`.
        counted: `traffic.Traffic` that is told what is sent.
    """

    def __init__(self, hello, take_news, counted=None):
        self._hello = hello
        self._traffic = counted or traffic.Traffic()
        self._take_news = take_news
        self._peers = {}

    def __len__(self):
        return len(self._peers)

    def count_up(self):
        """Return how many other daemons are connected."""
        return sum(peer.is_up for peer in self._peers.values())

    def find(self, address):
        """Return the `Peer` of an address, made at its first use."""
        peer = self._peers.get(address)
        if peer is None:
            peer = Peer(address, self._hello, self._take_news, self._traffic)
            self._peers[address] = peer
        return peer

    def forget(self, address):
        """Drop a peer that has left; calls that are out go on."""
        peer = self._peers.get(address)
        if peer is not None and not peer.is_up:
            del self._peers[address]
            peer.close()

    def drop_unused(self, now):
        """Close the connections that nobody has used for a while.

        Gossip changes its partners every few seconds, and instances are
        replaced: without this a daemon would hold a connection to every daemon
        that there has ever been, and its memory would grow for weeks.

        Returns:
            The addresses of those that were dropped.
        """
        unused = [
            address
            for address, peer in self._peers.items()
            if peer.is_unused(now - UNUSED_SECONDS)
        ]
        for address in unused:
            self._peers.pop(address).close()
        return unused

    async def keep(self):
        """Check all links, for ever."""
        loop = asyncio.get_running_loop()
        while True:
            await asyncio.sleep(TICK_SECONDS)
            now = loop.time()
            for peer in tuple(self._peers.values()):
                peer.check(now)

    def close(self):
        """Close all connections."""
        for peer in self._peers.values():
            peer.close()
