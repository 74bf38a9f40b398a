"""Tests of the ranks of requests."""

import unittest

from whinwinch import messages


def build_request(root, importance):
    return messages.Request(
        attempt="a",
        root=root,
        service="catalog",
        call="",
        method="GET",
        path="/",
        importance=importance,
        deadline=1.0,
    )


class RankTest(unittest.TestCase):
    def test_importance_outweighs_the_hash(self):
        for number in range(200):
            low = build_request(str(number), messages.Importance.NORMAL)
            high = build_request(str(number + 1), messages.Importance.HIGH)
            self.assertLess(messages.rank_request(low), messages.rank_request(high))

    def test_hashes_are_spread_evenly(self):
        hashes = [messages.hash_root(str(number)) for number in range(2000)]
        self.assertAlmostEqual(0.5, sum(hashes) / len(hashes), delta=0.03)


if __name__ == "__main__":
    unittest.main()
