"""Server side of the connections between daemons.

Records each received attempt by the calling process and the attempt's number until
the caller can no longer send it again. An attempt that is sent again over a new
connection is matched to the recorded one; otherwise a payout would run twice each
time a connection is reset.
"""

import asyncio
import collections
from typing import NamedTuple

from absl import logging

from .. import background, messages
from . import frames, traffic

# Callers fail their pending calls 0.8 s after losing a connection, and may take a few
# seconds to detect a silent one.
REPLY_RETENTION_SECONDS = 4.0
# Bound on the replies retained for sending again. 6 kB replies at 100 per second
# take 2.4 MB within the retention time; only large replies reach the bound.
MAX_RETAINED_BYTES = 16 << 20
# A caller that has been disconnected for this long is considered gone. Nobody waits
# for its calls any more, so those that have not begun or may be repeated are cancelled.
CALLER_ABSENCE_SECONDS = 1.0
CLEANUP_INTERVAL_SECONDS = 0.25
# Messages that daemons send to a relay, relays to each other, and, of crashes, callers
# to the daemon that is to run suspect work.
RELAYED_KINDS = (
    frames.Levels,
    frames.LevelSum,
    frames.Graph,
    frames.Crash,
    frames.Usages,
    frames.UsageSum,
)


class RunningCall(NamedTuple):
    """A call that is being served: its `messages.Request` and its task."""

    request: messages.Request
    task: asyncio.Task


class FinishedCall(NamedTuple):
    """A call that has finished.

    Attributes:
        data: Bytes of the reply, b"" if the call was cancelled.
        time: Time of the loop's clock at which the call finished.
    """

    data: bytes
    time: float


class CallingDaemon:
    """The calls of one process of another daemon."""

    def __init__(self):
        self.session = None
        # Time of the loop's clock at which the last connection was lost.
        self.lost = 0.0
        self.running = {}
        self.done = collections.OrderedDict()
        # Attempts up to this number that have no record any more may have run.
        self.last_forgotten = 0
        # Time of the loop's clock after which none of its attempts is sent again.
        self.last_deadline = 0.0


class Session(asyncio.Protocol):
    """A connection accepted from another daemon."""

    def __init__(self, exchange, loop):
        self._exchange = exchange
        self._loop = loop
        self._unpacker = frames.build_unpacker()
        self._caller = None
        self.transport = None
        # Address of the other daemon, set once its Hello has been received.
        self.address = ""

    def connection_made(self, transport):
        """Send this daemon's Hello and the state of its backend server."""
        self.transport = transport
        self._exchange.sessions.add(self)
        self.send(self._exchange.hello)
        if self._exchange.news is not None:
            self.send(self._exchange.news)

    def connection_lost(self, exc):
        """Detach the caller; its calls go on for a while in case it reconnects."""
        self.transport = None
        self._exchange.sessions.discard(self)
        if self._caller is not None and self._caller.session is self:
            self._caller.session = None
            self._caller.lost = self._loop.time()

    def data_received(self, data):
        """Decode and handle the messages of the other daemon."""
        try:
            for frame in frames.decode_frames(self._unpacker, data, self._loop.time()):
                self._receive(frame)
        except frames.FrameError as error:
            logging.warning("invalid message from a daemon: %s", error)
            self.transport.abort()

    def send(self, frame):
        """Encode and send a message."""
        if self.transport is not None:
            data = frames.encode_frame(frame, self._loop.time())
            self.write(type(frame), data)

    def write(self, kind, data):
        """Send an encoded message and count its bytes.

        Args:
            kind: Type of the message, one of `frames.KINDS`.
            data: Its bytes.
        """
        self._exchange.traffic.record_sent(kind, self.address, len(data))
        self.transport.write(data)

    def _receive(self, frame):
        if isinstance(frame, frames.Hello):
            self._exchange.check_token(frame.token)
            self.address = frame.address
            self._caller = self._exchange.get_or_create_caller(frame.daemon)
            self._caller.session = self
            self._exchange.handle_hello(self.send, frame)
        elif isinstance(frame, frames.Ping):
            self.send(frames.Pong(frame.number))
        elif self._caller is None:
            raise frames.FrameError("message received before Hello")
        elif isinstance(frame, frames.Call):
            self._exchange.handle_call(self._caller, frame)
        elif isinstance(frame, frames.Cancel):
            self._exchange.cancel(self._caller, frame.number)
        elif isinstance(frame, frames.Gossip):
            self._exchange.handle_gossip(self, frame)
        elif isinstance(frame, frames.TOPIC_KINDS):
            self._exchange.handle_topic(self.send, frame)
        elif isinstance(frame, RELAYED_KINDS):
            self._exchange.handle_relayed(self.address, frame)


class Exchange:
    """Accepts connections of other daemons and serves their calls.

    Args:
        hello: `frames.Hello` of this daemon.
        serve: Coroutine function from `messages.Request` to `messages.Answer`.
        refuse: Function from the `messages.Request` of an attempt that may have run,
            but whose record was dropped, to its `messages.Answer`.
        answer_gossip: Coroutine function from the bytes of a gossip message to the
            bytes of its answer, None if this daemon doesn't gossip.
        admits: Function from a daemon's token to whether its connection is accepted.
        handle_topic: Function called with a function that sends a frame back, and a
            received frame of `frames.TOPIC_KINDS`.
        handle_hello: Function called with a function that sends a frame back, and the
            `frames.Hello` of a daemon that has connected.
        handle_relayed: Function called with the address of a daemon and a received
            frame of `RELAYED_KINDS`.
        sent_traffic: `traffic.Traffic` that counts the messages sent.
        is_at_work: Function from the identifier of an attempt to whether the backend
            server is running it.
    """

    def __init__(
        self,
        hello,
        serve,
        refuse,
        answer_gossip=None,
        admits=lambda token: True,
        handle_topic=lambda reply, frame: None,
        handle_hello=lambda reply, hello: None,
        handle_relayed=lambda address, frame: None,
        sent_traffic=None,
        is_at_work=lambda attempt: False,
    ):
        self._loop = asyncio.get_running_loop()
        self.traffic = sent_traffic or traffic.Traffic()
        self._serve = serve
        self._refuse = refuse
        self._answer_gossip = answer_gossip
        self._admits = admits
        self.handle_topic = handle_topic
        self.handle_hello = handle_hello
        self.handle_relayed = handle_relayed
        self._is_at_work = is_at_work
        self._background = background.Background()
        self._callers = {}
        self._listener = None
        self._retained_bytes = 0
        # Any program can connect and receives this Hello, so it carries no token.
        self.hello = hello._replace(token="")
        self.news = None
        self.sessions = set()

    async def listen(self, host, port):
        """Accept connections of other daemons and return the port."""
        self._listener = await self._loop.create_server(
            lambda: Session(self, self._loop), host, port, reuse_address=True
        )
        return self._listener.sockets[0].getsockname()[1]

    def publish_news(self, news):
        """Send the state of the backend server to all daemons, now and on connect."""
        self.news = news
        self.broadcast(news)

    def broadcast(self, frame, is_recipient=lambda address: True):
        """Send a message to all connected daemons, or to those selected by address."""
        data = frames.encode_frame(frame)
        for session in self.sessions:
            if is_recipient(session.address):
                session.write(type(frame), data)

    def find_addresses(self):
        """Return the addresses of the connected daemons."""
        return frozenset(session.address for session in self.sessions)

    def get_or_create_caller(self, daemon):
        """Return the calls of another daemon's process, by its identifier."""
        return self._callers.setdefault(daemon, CallingDaemon())

    def handle_call(self, caller, call):
        """Start an attempt, unless it has been received before.

        If it is still running, its reply will be sent when it finishes. If it has
        finished, the reply is sent again.
        """
        number = call.number
        caller.last_deadline = max(caller.last_deadline, call.request.deadline)
        if number in caller.running:
            return
        done = caller.done.get(number)
        if done is not None:
            self._send_reply(caller, done.data)
        elif number <= caller.last_forgotten:
            reply = frames.Reply(number, self._refuse(call.request))
            self._send_reply(caller, frames.encode_frame(reply))
        else:
            task = self._loop.create_task(self._run(caller, call))
            caller.running[number] = RunningCall(call.request, task)

    def cancel(self, caller, number):
        """Cancel an attempt whose reply is no longer needed.

        The cancellation is recorded even if the attempt hasn't been received yet: a
        delayed connection may deliver the attempt after its cancellation. A task that
        is cancelled before it has started never runs, so the attempt is removed here.
        """
        running = caller.running.pop(number, None)
        if running is not None:
            running.task.cancel()
        caller.done.setdefault(number, FinishedCall(b"", self._loop.time()))

    def check_token(self, token):
        """Check the token of a daemon that has connected.

        Raises:
            FrameError: If the token is wrong.
        """
        if not self._admits(token):
            raise frames.FrameError("wrong peer token")

    def handle_gossip(self, session, message):
        """Answer a gossip message.

        Raises:
            FrameError: If this daemon doesn't gossip.
        """
        if self._answer_gossip is None:
            raise frames.FrameError("this daemon does not support gossip")
        self._background.start(self._reply_to_gossip(session, message))

    async def clean_up_periodically(self):
        """Drop expired replies and callers that are gone, until cancelled."""
        while True:
            await asyncio.sleep(CLEANUP_INTERVAL_SECONDS)
            self._clean_up(self._loop.time())

    def close(self):
        """Stop listening and close the connections."""
        if self._listener is not None:
            self._listener.close()
        for session in tuple(self.sessions):
            session.transport.close()

    @property
    def running(self):
        """Number of attempts of other daemons that are running."""
        return sum(len(caller.running) for caller in self._callers.values())

    @property
    def has_unsent_bytes(self):
        """Whether bytes of a message wait for another daemon to read."""
        return any(
            session.transport.get_write_buffer_size() > 0 for session in self.sessions
        )

    async def _run(self, caller, call):
        try:
            answer = await self._serve(call.request)
        except Exception:
            # Without a record the attempt, which may have run, would run again.
            logging.exception("serving attempt %s failed", call.request.attempt)
            answer = self._refuse(call.request)
        finally:
            caller.running.pop(call.number, None)
        data = frames.encode_frame(frames.Reply(call.number, answer))
        caller.done[call.number] = FinishedCall(data, self._loop.time())
        self._retained_bytes += len(data)
        self._send_reply(caller, data)

    async def _reply_to_gossip(self, session, message):
        try:
            data = await self._answer_gossip(message.data)
        except ValueError as error:
            logging.warning("invalid gossip message from a daemon: %s", error)
            return
        session.send(frames.GossipReply(message.number, data))

    def _send_reply(self, caller, data):
        """Send a reply if the caller is connected; otherwise it repeats the call."""
        session = caller.session
        if data and session is not None and session.transport is not None:
            session.write(frames.Reply, data)

    def _clean_up(self, now):
        for daemon, caller in tuple(self._callers.items()):
            while caller.done and self._is_expired(
                next(iter(caller.done.values())), now
            ):
                number, done = caller.done.popitem(last=False)
                caller.last_forgotten = max(caller.last_forgotten, number)
                self._retained_bytes -= len(done.data)
            if caller.session is None and now - caller.lost > CALLER_ABSENCE_SECONDS:
                self._cancel_unneeded(caller)
                # A frozen caller may send its calls again up to their deadlines, and
                # only this record shows that they may have run.
                is_idle = not caller.done and not caller.running
                if is_idle and now > caller.last_deadline:
                    del self._callers[daemon]

    def _cancel_unneeded(self, caller):
        """Cancel the calls of an absent caller, but for work that it may not repeat.

        That goes on in any case, and the caller may come back for its answer.
        """
        for number, running in tuple(caller.running.items()):
            request = running.request
            if request.repeatable or not self._is_at_work(request.attempt):
                self.cancel(caller, number)

    def _is_expired(self, done, now):
        return (
            now - done.time > REPLY_RETENTION_SECONDS
            or self._retained_bytes > MAX_RETAINED_BYTES
        )
