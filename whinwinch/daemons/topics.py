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
        self._followed_topics = {}

    def add(self, topic, followed):
        """Add a topic with its `keyed.FollowedTopic`."""
        self._followed_topics[topic] = followed

    def record_read(self, topic, end, now):
        """Record that a topic was read from the log up to an end, and report it."""
        if self._followed_topics[topic].record_read(end, now):
            self._broadcast(frames.TopicEnd(topic, end))

    def request_missing(self, reply, now):
        """Request the topics without any records from a daemon that has connected.

        A daemon that restarts while the log can't be read gets its configuration
        from its peers. They connect to it, though it doesn't know their addresses yet.
        """
        for topic, followed in self._followed_topics.items():
            if followed.should_request_all(now):
                reply(frames.TopicAsk(topic, 0))

    def handle(self, reply, frame, now):
        """Handle a message of another daemon about a topic.

        Args:
            reply: Function that sends a frame to that daemon.
            frame: One of `frames.TOPIC_KINDS`.
            now: Time of the loop's clock in seconds.
        """
        followed = self._followed_topics.get(frame.topic)
        if followed is None:
            # A daemon of another release may follow additional topics.
            return
        if isinstance(frame, frames.TopicAsk):
            _send_records(reply, frame, followed.copy)
        elif isinstance(frame, frames.TopicRecords):
            followed.apply_records(frame.records, frame.start, frame.end)
        elif followed.apply_end(frame.end, now):
            reply(frames.TopicAsk(frame.topic, followed.copy.end))


def _send_records(reply, request, copy):
    """Answer a `frames.TopicAsk` if the records are available.

    A daemon that gets no answer reads the log itself.
    """
    records = copy.list_newer(request.start)
    if records is not None:
        reply(frames.TopicRecords(request.topic, request.start, copy.end, records))
