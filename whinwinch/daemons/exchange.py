"""The called side of the connections between daemons.

It remembers each attempt that it was given, under the caller's start and the
attempt's number, until the caller can't ask for it again. An attempt that is sent
once more over a new connection is joined to the first; without this a payout
would run twice each time a connection is reset.
"""

import asyncio
import collections
from typing import NamedTuple

from absl import logging

from .. import background
from . import frames, traffic

# The caller gives up its open calls 0.8 s after it lost a connection, and may
# need some seconds to notice that one has fallen silent.
KEEP_SECONDS = 4.0
# Answers kept for callers that lost them: 6 kB each at 100 a second for the time
# above are 2.4 MB; the bound holds for large ones.
KEEP_BYTES = 16 << 20
# A caller whose connection is gone for this long is itself gone, and nobody
# waits for what runs on its behalf.
ABSENT_SECONDS = 1.0
TICK_SECONDS = 0.25
# What daemons tell a relay, and relays each other.
RELAYED_KINDS = (frames.Levels, frames.LevelSum, frames.Graph)


class Done(NamedTuple):
    """An answer that was given: its bytes, b"" when it was cancelled, and when."""

    data: bytes
    time: float


class Caller:
    """One start of another daemon, and what it has asked for."""

    def __init__(self):
        self.session = None
        self.lost = 0.0
        self.running = {}
        self.done = collections.OrderedDict()
        # Numbers up to this one that are not known any more may have run.
        self.forgotten = 0


class Session(asyncio.Protocol):
    """One accepted connection of another daemon."""

    def __init__(self, exchange, loop):
        self._exchange = exchange
        self._loop = loop
        self._unpacker = frames.build_unpacker()
        self._caller = None
        self.transport = None
        # Of the daemon that has connected, once it has introduced itself.
        self.address = ""

    def connection_made(self, transport):
        """Introduce this daemon and its backend server."""
        self.transport = transport
        self._exchange.sessions.add(self)
        self.send(self._exchange.hello)
        if self._exchange.news is not None:
            self.send(self._exchange.news)

    def connection_lost(self, exc):
        """Keep what runs for a while: the caller may come back."""
        self.transport = None
        self._exchange.sessions.discard(self)
        if self._caller is not None and self._caller.session is self:
            self._caller.session = None
            self._caller.lost = self._loop.time()

    def data_received(self, data):
        """Take the messages of the other daemon."""
        try:
            for frame in frames.decode_frames(self._unpacker, data, self._loop.time()):
                self._receive(frame)
        except frames.FrameError as error:
            logging.warning("a daemon sent no message: %s", error)
            self.transport.abort()

    def send(self, frame):
        """Send a message."""
        if self.transport is not None:
            data = frames.encode_frame(frame, self._loop.time())
            self.write(type(frame), data)

    def write(self, kind, data):
        """Send the bytes of a message of some type."""
        self._exchange.traffic.note(kind, self.address, len(data))
        self.transport.write(data)

    def _receive(self, frame):
        if isinstance(frame, frames.Hello):
            self._exchange.check_token(frame.token)
            self.address = frame.address
            self._caller = self._exchange.find_caller(frame.daemon)
            self._caller.session = self
            self._exchange.greet(self.send, frame)
        elif isinstance(frame, frames.Ping):
            self.send(frames.Pong(frame.number))
        elif self._caller is None:
            raise frames.FrameError("a call before the greeting")
        elif isinstance(frame, frames.Call):
            self._exchange.take_call(self._caller, frame)
        elif isinstance(frame, frames.Cancel):
            self._exchange.cancel(self._caller, frame.number)
        elif isinstance(frame, frames.Gossip):
            self._exchange.take_gossip(self, frame)
        elif isinstance(frame, frames.TOPIC_KINDS):
            self._exchange.take_topic(self.send, frame)
        elif isinstance(frame, RELAYED_KINDS):
            self._exchange.take_relayed(self.address, frame)


class Exchange:
    """What other daemons have asked this one for.

    Args:
        hello: `frames.Hello` of this daemon.
        serve: Coroutine function from `messages.Request` to `messages.Answer`.
        refuse: Function from an attempt that may have run before and is no
            longer known to its `messages.Answer`.
        answer_gossip: Coroutine function from the bytes of a gossip message to
            those of its answer, None where there is no gossip.
        admits: Function from the token that a daemon shows to whether it is
            let in.
        take_topic: Function that is told one of `frames.TOPIC_KINDS`, and before it
            a function that sends a frame back.
        greet: Function that is told the `frames.Hello` of a daemon that has
            connected, and before it a function that sends a frame back.
        take_relayed: Function that is told the address of a daemon and one of
            `RELAYED_KINDS`.
        counted: `traffic.Traffic` that is told what is sent.
    """

    def __init__(
        self,
        hello,
        serve,
        refuse,
        answer_gossip=None,
        admits=lambda token: True,
        take_topic=lambda reply, frame: None,
        greet=lambda reply, hello: None,
        take_relayed=lambda address, frame: None,
        counted=None,
    ):
        self._loop = asyncio.get_running_loop()
        self.traffic = counted or traffic.Traffic()
        self._serve = serve
        self._refuse = refuse
        self._answer_gossip = answer_gossip
        self._admits = admits
        self.take_topic = take_topic
        self.greet = greet
        self.take_relayed = take_relayed
        self._background = background.Background()
        self._callers = {}
        self._listener = None
        self._kept = 0
        # Whoever connects has shown nothing yet and is shown no secret.
        self.hello = hello._replace(token="")
        self.news = None
        self.sessions = set()

    async def listen(self, host, port):
        """Accept connections of other daemons; return the port."""
        self._listener = await self._loop.create_server(
            lambda: Session(self, self._loop), host, port, reuse_address=True
        )
        return self._listener.sockets[0].getsockname()[1]

    def tell(self, news):
        """Tell all connected daemons what the backend server is from now on."""
        self.news = news
        self.tell_all(news)

    def tell_all(self, frame, wants=lambda address: True):
        """Send a message to the connected daemons, or to those that want it."""
        data = frames.encode_frame(frame)
        for session in self.sessions:
            if wants(session.address):
                session.write(type(frame), data)

    def find_addresses(self):
        """Return the addresses of the connected daemons."""
        return frozenset(session.address for session in self.sessions)

    def find_caller(self, daemon):
        """Return what is remembered of one start of another daemon."""
        return self._callers.setdefault(daemon, Caller())

    def take_call(self, caller, call):
        """Start an attempt, or join it to what was started before."""
        number = call.number
        if number in caller.running:
            return
        done = caller.done.get(number)
        if done is not None:
            self._write(caller, done.data)
        elif number <= caller.forgotten:
            reply = frames.Reply(number, self._refuse(call.request))
            self._write(caller, frames.encode_frame(reply))
        else:
            task = self._loop.create_task(self._run(caller, call))
            caller.running[number] = task

    def cancel(self, caller, number):
        """Drop an attempt whose answer is no longer wanted.

        Remembered also where it has not come yet: over a connection that was
        held up it may come behind its cancellation.
        """
        task = caller.running.get(number)
        if task is not None:
            task.cancel()
        caller.done.setdefault(number, Done(b"", self._loop.time()))

    def check_token(self, token):
        """Let a daemon in by the token that it shows.

        Raises:
            FrameError: When it is the wrong one.
        """
        if not self._admits(token):
            raise frames.FrameError("a wrong token")

    def take_gossip(self, session, message):
        """Answer a gossip message.

        Raises:
            FrameError: Where there is no gossip.
        """
        if self._answer_gossip is None:
            raise frames.FrameError("gossip is not spoken here")
        self._background.start(self._gossip(session, message))

    async def keep(self):
        """Forget old answers and callers that are gone, for ever."""
        while True:
            await asyncio.sleep(TICK_SECONDS)
            self._forget(self._loop.time())

    def close(self):
        """Stop listening and close the connections."""
        if self._listener is not None:
            self._listener.close()
        for session in tuple(self.sessions):
            session.transport.close()

    @property
    def running(self):
        """How many attempts of other daemons are under way."""
        return sum(len(caller.running) for caller in self._callers.values())

    async def _run(self, caller, call):
        try:
            answer = await self._serve(call.request)
        finally:
            caller.running.pop(call.number, None)
        data = frames.encode_frame(frames.Reply(call.number, answer))
        caller.done[call.number] = Done(data, self._loop.time())
        self._kept += len(data)
        self._write(caller, data)

    async def _gossip(self, session, message):
        try:
            data = await self._answer_gossip(message.data)
        except ValueError as error:
            logging.warning("a daemon sent no gossip: %s", error)
            return
        session.send(frames.GossipReply(message.number, data))

    def _write(self, caller, data):
        """Send bytes where the caller is connected; else it asks again."""
        session = caller.session
        if data and session is not None and session.transport is not None:
            session.write(frames.Reply, data)

    def _forget(self, now):
        for daemon, caller in tuple(self._callers.items()):
            while caller.done and self._is_old(next(iter(caller.done.values())), now):
                number, done = caller.done.popitem(last=False)
                caller.forgotten = max(caller.forgotten, number)
                self._kept -= len(done.data)
            if caller.session is None and now - caller.lost > ABSENT_SECONDS:
                for task in tuple(caller.running.values()):
                    task.cancel()
                if not caller.done and not caller.running:
                    del self._callers[daemon]

    def _is_old(self, done, now):
        return now - done.time > KEEP_SECONDS or self._kept > KEEP_BYTES
