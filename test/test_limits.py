"""Tests of the limit on requests in service."""

import random
import unittest

from whinwinch import limits


class LimitTest(unittest.TestCase):
    def observe(self, limit, measure, batches, start=0.0):
        """Keep the limit reached while jobs end.

        Args:
            limit: The `limits.Limit`.
            measure: Function from the jobs in service to the time of a job in seconds.
            batches: Number of batches of jobs that end, each of four jobs for a slot.
            start: Time of the first job, in seconds.

        Returns:
            The time at the end.
        """
        now = start
        for _ in range(batches * 4 * limit.slots):
            busy = limit.value
            time = measure(busy)
            now += time / busy
            limit.observe(time, busy, now)
        return now

    def slow_above(self, real_slots):
        """Return a function from the jobs in service to the time of a job.

        Above `real_slots` jobs in service, the jobs share the backend server.
        """
        return lambda busy: 0.1 * max(1.0, busy / real_slots)

    def test_falls_when_more_jobs_add_no_throughput(self):
        """A backend server announces 40 slots and has become slower.

        If it is filled to the announced number, requests queue inside it, where neither
        deadline nor importance applies, and every answer is late.
        """
        limit = limits.Limit(40)
        now = self.observe(limit, self.slow_above(40.0), 3)
        self.assertEqual(limit.settled, 40)
        self.observe(limit, self.slow_above(10.0), 60, now)
        self.assertLess(limit.settled, 25)
        self.assertLess(limit.value, 25)

    def test_returns_to_the_announced_slots(self):
        limit = limits.Limit(40)
        now = self.observe(limit, self.slow_above(10.0), 60)
        self.assertLess(limit.settled, 25)
        self.observe(limit, self.slow_above(40.0), 40, now)
        self.assertEqual(limit.settled, 40)

    def test_finds_where_a_full_backend_server_slows_down(self):
        """Guards against filling the last slots where that slows down all jobs."""
        for slots, best in ((11, 10), (27, 25), (84, 79)):
            draw = random.Random(slots)

            def measure(busy, draw=draw, best=best):
                return draw.uniform(0.5, 1.5) * (1.3 if busy > best else 1.0)

            limit = limits.Limit(slots)
            self.observe(limit, measure, 40)
            self.assertLessEqual(limit.settled, best)
            self.assertGreater(limit.settled, 0.85 * best)

    def test_backend_server_that_waits_for_downstream_services_keeps_its_slots(self):
        """Guards against mistaking the delay of a downstream service for overload."""
        draw = random.Random(1)
        delay = [0.1]

        def measure(busy):
            delay[0] *= 1.0003
            return delay[0] * draw.uniform(0.5, 1.5)

        limit = limits.Limit(40)
        self.observe(limit, measure, 60)
        self.assertEqual(limit.settled, 40)

    def test_no_trial_while_the_limit_is_not_reached(self):
        limit = limits.Limit(40)
        now = 0.0
        for _ in range(4000):
            now += 0.01
            limit.observe(0.1, 10, now)
        self.assertEqual(limit.value, 40)

    def test_jobs_that_take_no_time_are_ignored(self):
        limit = limits.Limit(4)
        for number in range(400):
            limit.observe(0.0, 4, 0.001 * number)
        self.assertEqual(limit.value, 4)

    def test_single_slot_is_kept(self):
        limit = limits.Limit(1)
        self.observe(limit, self.slow_above(1.0), 500)
        self.assertEqual(limit.value, 1)

    def test_resize_keeps_the_proportion(self):
        limit = limits.Limit(40)
        self.observe(limit, self.slow_above(10.0), 60)
        share = limit.settled / 40
        limit.resize(80)
        self.assertAlmostEqual(limit.settled / 80, share, delta=0.02)


class TrialTest(unittest.TestCase):
    def test_difference_by_chance_does_not_decide(self):
        trial = limits.Trial(25, 27)
        orders = []
        for seconds in (0.10, 0.11, 0.11, 0.10):
            orders.append(trial.limit)
            times = limits.TimeSample()
            # The spread of jobs with exponentially distributed service times.
            for value in (0.0, 2.0 * seconds) * 10:
                times.add(value)
            trial.add(times)
        self.assertEqual(orders, [25, 27, 27, 25])
        self.assertIsNone(trial.decide())
