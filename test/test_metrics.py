"""Tests of counters, histograms and their text format."""

import threading
import unittest

from whinwinch import metrics
from whinwinch.messages import Importance, Outcome, Reason


class MetricsTest(unittest.TestCase):
    def setUp(self):
        self.metrics = metrics.Metrics(lambda: [metrics.Gauge("members", 4)])

    def lines(self):
        return self.metrics.render_metrics().splitlines()

    def test_renders_counters_and_gauges(self):
        self.metrics.count_outcome("archive", Outcome.NOT_RUN, Reason.LEVEL)
        self.metrics.count_retry("archive")
        self.metrics.count_claim('w"o\\n')
        lines = self.lines()
        self.assertIn(
            'whinwinch_calls_total{outcome="not-run",reason="admission-level",'
            'service="archive"} 1.0',
            lines,
        )
        self.assertIn('whinwinch_retries_total{service="archive"} 1.0', lines)
        self.assertIn('whinwinch_claims_total{result="w\\"o\\\\n"} 1.0', lines)
        self.assertIn("whinwinch_members 4.0", lines)

    def test_series_have_type_and_help(self):
        self.metrics.count_retry("archive")
        self.metrics.record_latency("archive", Importance.HIGH, 0.1)
        lines = self.lines()
        self.assertIn("# TYPE whinwinch_retries_total counter", lines)
        self.assertIn("# TYPE whinwinch_latency_seconds summary", lines)
        self.assertIn(
            f"# HELP whinwinch_retries_total {metrics.HELP['retries_total']}", lines
        )

    def test_latency_by_service_and_importance(self):
        for milliseconds in range(1, 101):
            self.metrics.record_latency("archive", Importance.HIGH, milliseconds / 1000)
        self.metrics.record_latency("archive", Importance.LOW, 1e9)
        values = dict(line.rsplit(" ", 1) for line in self.lines())
        labels = 'importance="high",service="archive"'
        name = "whinwinch_latency_seconds"
        p90 = float(
            values[f'{name}{{importance="high",quantile="0.9",service="archive"}}']
        )
        self.assertAlmostEqual(p90, 0.09, delta=0.001)
        self.assertEqual(values[f"{name}_count{{{labels}}}"], "100.0")
        self.assertEqual(values[f"{name}_sum{{{labels}}}"], "5.05")

    def test_refusals_do_not_count_towards_latency(self):
        """An overloaded service refuses most calls immediately.

        If refusals counted towards latency, the service would look fast.
        """
        parts = (Importance.LOW, Outcome.NOT_RUN, Reason.LEVEL, 0.0001, 0)
        for _ in range(99):
            self.metrics.record_call("archive", *parts)
        parts = (Importance.LOW, Outcome.COMPLETED, Reason.NONE, 2.0, 3)
        self.metrics.record_call("archive", *parts)
        text = self.metrics.render_metrics()
        count = 'latency_seconds_count{importance="low",service="archive"} 1.0\n'
        self.assertIn(count, text)
        self.assertIn('retries_total{service="archive"} 3.0\n', text)
        self.assertIn('reason="admission-level",service="archive"} 99.0\n', text)

    def test_names_without_endpoints_do_not_use_up_the_bound(self):
        parts = (Importance.LOW, Outcome.NOT_RUN, Reason.NO_ENDPOINT, 0.0001, 0)
        for number in range(2 * metrics.MAX_SERVICES):
            self.metrics.record_call(f"s{number}", *parts)
        self.metrics.count_retry("archive")
        text = self.metrics.render_metrics()
        self.assertIn('retries_total{service="archive"} 1.0\n', text)
        self.assertNotIn('"s0"', text)

    def test_invented_services_are_counted_together(self):
        """A caller sends a new service name with every request.

        If each name had its own series, the daemon would run out of memory.
        """
        for number in range(5 * metrics.MAX_SERVICES):
            self.metrics.record_latency(f"s{number}", Importance.LOW, 0.001)
            self.metrics.count_retry(f"s{number}")
            self.metrics.count("x", metrics.Label("n", str(number)))
        lines = self.lines()
        retries = [line for line in lines if "retries_total{" in line]
        self.assertEqual(len(retries), metrics.MAX_SERVICES + 1)
        rest = 4 * metrics.MAX_SERVICES
        self.assertIn(f'whinwinch_retries_total{{service="other"}} {rest}.0', retries)
        for number in range(2 * metrics.MAX_COUNTERS):
            self.metrics.count("y", metrics.Label("n", str(number)))
        self.assertLess(len(self.lines()), 2 * metrics.MAX_COUNTERS)

    def test_threads_lose_no_count(self):
        def record():
            for _ in range(500):
                self.metrics.record_latency("a", Importance.LOW, 0.01)
                self.metrics.count_retry("a")

        threads = [threading.Thread(target=record) for _ in range(4)]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
        lines = self.lines()
        self.assertIn('whinwinch_retries_total{service="a"} 2000.0', lines)
        count = 'latency_seconds_count{importance="low",service="a"} 2000.0'
        self.assertIn(f"whinwinch_{count}", lines)


if __name__ == "__main__":
    unittest.main()
