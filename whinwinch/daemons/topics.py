"""What daemons tell each other of the log's topics.

Whoever has read a topic to its end tells those connected with it where that is. One
that is behind asks for the records; one that isn't knows that it needn't read.
"""

from . import frames


class Topics:
    """The topics that this daemon follows.

    Args:
        tell_all: Function that sends a frame to all daemons that hear of the log from
            this one, and to those that it hears from.
    """

    def __init__(self, tell_all):
        self._tell_all = tell_all
        self._followings = {}

    def add(self, topic, following):
        """Follow a topic by its `keyed.Following`."""
        self._followings[topic] = following

    def note_read(self, topic, end, now):
        """Tell that a topic was read up to an end."""
        if self._followings[topic].note_read(end, now):
            self._tell_all(frames.TopicEnd(topic, end))

    def ask_missing(self, reply, now):
        """Ask a daemon that has connected for topics of which nothing is known.

        A daemon that starts anew while the log can't be read has its configuration
        from its peers, who call it, though it doesn't know them yet.
        """
        for topic, following in self._followings.items():
            if following.ask_all(now):
                reply(frames.TopicAsk(topic, 0))

    def take(self, reply, frame, now):
        """Take what another daemon says of a topic.

        Args:
            reply: Function that sends it a frame.
            frame: One of `frames.TOPIC_KINDS`.
            now: Time of the loop's clock in seconds.
        """
        following = self._followings.get(frame.topic)
        if following is None:
            # A daemon of another release may follow more topics.
            return
        if isinstance(frame, frames.TopicAsk):
            _give(reply, frame, following.copy)
        elif isinstance(frame, frames.TopicRecords):
            following.take_records(frame.records, frame.start, frame.end)
        elif following.take_end(frame.end, now):
            reply(frames.TopicAsk(frame.topic, following.copy.end))


def _give(reply, ask, copy):
    """Answer a `frames.TopicAsk`; who gets nothing reads the log itself."""
    records = copy.give(ask.start)
    if records is not None:
        reply(frames.TopicRecords(ask.topic, ask.start, copy.end, records))
