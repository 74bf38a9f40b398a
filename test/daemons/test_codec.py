"""Tests for messages between daemons to and from their protobuf form."""

import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from whinwinch import messages
from whinwinch.daemons import codec

TEXT = st.text(max_size=20)
HEADERS = st.lists(st.tuples(TEXT, TEXT), max_size=3).map(tuple)
REQUESTS = st.builds(
    messages.Request,
    attempt=TEXT,
    root=TEXT,
    service=TEXT,
    call=TEXT,
    method=TEXT,
    path=TEXT,
    importance=st.sampled_from(messages.Importance),
    deadline=st.floats(0, 1000),
    key=TEXT,
    budget=st.integers(0, 1000),
    caller=TEXT,
    via=st.lists(TEXT, max_size=3).map(tuple),
    headers=HEADERS,
    body=st.binary(max_size=20),
    # Known to the sending hop only.
    repeatable=st.just(True),
)
COUNTS = st.integers(0, 99)
ANSWERS = st.builds(
    messages.Answer,
    attempt=TEXT,
    outcome=st.sampled_from(messages.Outcome),
    reason=st.sampled_from(messages.Reason),
    status=st.integers(100, 599),
    headers=HEADERS,
    body=st.binary(max_size=20),
    unused=st.integers(0, 1000),
    retry_after=st.floats(0, 100),
    deeper=st.booleans(),
    load=st.builds(
        messages.Load,
        level=st.floats(0, 4),
        below=st.floats(0, 4),
        in_service=COUNTS,
        waiting=COUNTS,
        limit=COUNTS,
    ),
)


class CodecTest(unittest.TestCase):
    @settings(derandomize=True, max_examples=50, deadline=None)
    @given(REQUESTS)
    def test_a_request_survives_and_its_deadline_moves_to_the_other_clock(
        self, request
    ):
        message = codec.encode_request(request, now=100.0)
        decoded = codec.decode_request(message, now=5000.0)
        self.assertAlmostEqual(request.deadline + 4900.0, decoded.deadline)
        self.assertEqual(request, decoded._replace(deadline=request.deadline))

    @settings(derandomize=True, max_examples=50, deadline=None)
    @given(ANSWERS)
    def test_an_answer_survives(self, answer):
        self.assertEqual(answer, codec.decode_answer(codec.encode_answer(answer)))

    def test_an_outcome_of_another_version_is_an_error(self):
        message = codec.encode_answer(messages.Answer("a", messages.Outcome.NOT_RUN))
        message.outcome = "perhaps"
        with self.assertRaises(ValueError):
            codec.decode_answer(message)


if __name__ == "__main__":
    unittest.main()
