"""Tests of the member table: service index, digests, precedence of updates."""

import random
import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from whinwinch import membertable, messages
from whinwinch.membertable import Member, State


def build_member(daemon, service="catalog", state=State.ALIVE, version=1, region="r"):
    endpoint = messages.Endpoint(
        daemon, f"10.0.0.1:{len(daemon)}", service, "z", region, 10
    )
    return Member(endpoint, state, version)


members = st.builds(
    build_member,
    st.sampled_from("abcdef"),
    st.sampled_from(["", "catalog", "archive"]),
    st.sampled_from(State),
    st.integers(1, 3),
    st.sampled_from(["r", "s"]),
)


class MemberTableTest(unittest.TestCase):
    @settings(derandomize=True, max_examples=200)
    @given(st.lists(st.one_of(members, st.sampled_from("abcdef")), max_size=30))
    def test_index_digests_and_count_follow_any_changes(self, steps):
        table = membertable.MemberTable()
        expected = {}
        for step in steps:
            if isinstance(step, Member):
                table.put(step)
                expected[step.endpoint.daemon] = step
            else:
                table.remove(step)
                expected.pop(step, None)
        fresh = membertable.MemberTable()
        for member in expected.values():
            fresh.put(member)
        self.assertCountEqual(table.members(), expected.values())
        self.assertEqual(len(table), len(fresh))
        for service in ("catalog", "archive"):
            self.assertCountEqual(
                table.find_endpoints(service), fresh.find_endpoints(service)
            )
        self.assertEqual(
            table.find_digests(0, membertable.BUCKETS),
            fresh.find_digests(0, membertable.BUCKETS),
        )

    def test_suspects_are_excluded_while_others_remain(self):
        table = membertable.MemberTable()
        healthy = build_member("a")
        suspect = build_member("b", state=State.SUSPECT)
        table.put(healthy)
        table.put(suspect)
        self.assertEqual(table.find_endpoints("catalog"), (healthy.endpoint,))
        table.remove("a")
        self.assertEqual(table.find_endpoints("catalog"), (suspect.endpoint,))

    def test_unreachable_regions_are_excluded_while_others_remain(self):
        table = membertable.MemberTable()
        near, far = build_member("a"), build_member("b", region="s")
        table.put(near)
        table.put(far)
        table.exclude_regions({"s"})
        self.assertEqual(table.find_endpoints("catalog"), (near.endpoint,))
        table.exclude_regions(())
        self.assertEqual(len(table.find_endpoints("catalog")), 2)
        table.exclude_regions({"r", "s"})
        self.assertEqual(len(table.find_endpoints("catalog")), 2)

    def test_gone_members_have_no_endpoint(self):
        table = membertable.MemberTable()
        table.put(build_member("a"))
        table.put(build_member("a", state=State.GONE))
        self.assertEqual(table.find_endpoints("catalog"), ())
        self.assertEqual(len(table), 0)

    @settings(derandomize=True)
    @given(st.lists(members.map(lambda m: build_member("a", "", m.state, m.version))))
    def test_news_in_any_order_end_in_the_same_state(self, news):
        def settle(order):
            known = None
            for item in order:
                if known is None or membertable.supersedes(item, known):
                    known = item
            return known and (known.version, known.state is State.GONE)

        shuffled = list(news)
        random.Random(1).shuffle(shuffled)
        self.assertEqual(settle(news), settle(shuffled))


if __name__ == "__main__":
    unittest.main()
