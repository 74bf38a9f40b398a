"""Tests of the comparison of transports between daemons."""

import asyncio
import contextlib
import io
import unittest

from bench import ways


class WaysTest(unittest.TestCase):
    def test_each_transport_carries_the_same_calls(self):
        results = asyncio.run(ways.play(1, 40, 4))
        self.assertEqual(set(results), set(ways.WAYS))
        for rounds in results.values():
            self.assertGreater(rounds[0].used, 0.0)
            self.assertLessEqual(rounds[0].median, rounds[0].p99)

    def test_ratios_are_relative_to_the_first_transport(self):
        rounds = [ways.Round(0.002, 0.1, 0.2)]
        output = io.StringIO()
        with contextlib.redirect_stdout(output):
            ways.print_results({"one": rounds, "other": [ways.Round(0.004, 0.1, 0.2)]})
        self.assertIn("1.00", output.getvalue().splitlines()[1])
        self.assertIn("2.00", output.getvalue().splitlines()[2])


if __name__ == "__main__":
    unittest.main()
