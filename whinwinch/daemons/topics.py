"""Exchange of the log's topics between daemons.

A daemon that has read a topic to its end reports the end offset to the daemons
connected with it. A daemon that is behind requests the missing records; one that isn't
need not read the log.
"""

from . import frames


class Topics:
    """The topics that this daemon follows.

    Args:
        broadcast: Function that sends a frame to all daemons that get the log's
            topics from this one, and to those that this one gets them from.
    """

    def __init__(self, broadcast):
        self._broadcast = broadcast
        self._followings = {}

    def add(self, topic, following):
        """Add a topic with its `keyed.FollowedTopic`."""
        self._followings[topic] = following

    def record_read(self, topic, end, now):
        """Record that a topic was read from the log up to an end, and report it."""
        if self._followings[topic].record_read(end, now):
            self._broadcast(frames.TopicEnd(topic, end))

    def request_missing(self, reply, now):
        """Request the topics without any records from a daemon that has connected.

        A daemon that restarts while the log can't be read gets its configuration
        from its peers. They connect to it, though it doesn't know their addresses yet.
        """
        for topic, following in self._followings.items():
            if following.should_request_all(now):
                reply(frames.TopicAsk(topic, 0))

    def handle(self, reply, frame, now):
        """Handle a message of another daemon about a topic.

        Args:
            reply: Function that sends a frame to that daemon.
            frame: One of `frames.TOPIC_KINDS`.
            now: Time of the loop's clock in seconds.
        """
        following = self._followings.get(frame.topic)
        if following is None:
            # A daemon of another release may follow additional topics.
            return
        if isinstance(frame, frames.TopicAsk):
            _send_records(reply, frame, following.copy)
        elif isinstance(frame, frames.TopicRecords):
            following.apply_records(frame.records, frame.start, frame.end)
        elif following.apply_end(frame.end, now):
            reply(frames.TopicAsk(frame.topic, following.copy.end))


def _send_records(reply, request, copy):
    """Answer a `frames.TopicAsk` if the records are available.

    A daemon that gets no answer reads the log itself.
    """
    records = copy.list_newer(request.start)
    if records is not None:
        reply(frames.TopicRecords(request.topic, request.start, copy.end, records))
