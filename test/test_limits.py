"""Tests of the limit on requests in service."""

import random
import unittest

from whinwinch import limits


class LimitTest(unittest.TestCase):
    def observe(self, limit, measure, windows, start=0.0):
        """Keep the limit full; a job takes what `measure` says of those inside."""
        now = start
        for _ in range(windows * 4 * limit.slots):
            busy = limit.value
            time = measure(busy)
            now += time / busy
            limit.observe(time, busy, now)
        return now

    def share(self, real):
        """Return the time of a job where above `real` jobs share the server."""
        return lambda busy: 0.1 * max(1.0, busy / real)

    def test_falls_when_more_work_brings_no_more_throughput(self):
        """A backend server announces 40 slots and has turned slower.

        Filled to the announced number it queues inside, where neither deadline
        nor importance counts, and every answer comes late.
        """
        limit = limits.Limit(40)
        now = self.observe(limit, self.share(40.0), 3)
        self.assertEqual(limit.settled, 40)
        self.observe(limit, self.share(10.0), 60, now)
        self.assertLess(limit.settled, 25)
        self.assertLess(limit.value, 25)

    def test_comes_back_up_to_the_slots(self):
        limit = limits.Limit(40)
        now = self.observe(limit, self.share(10.0), 60)
        self.assertLess(limit.settled, 25)
        self.observe(limit, self.share(40.0), 40, now)
        self.assertEqual(limit.settled, 40)

    def test_finds_where_a_full_backend_server_slows_down(self):
        """Guards against keeping the last slots filled where that slows all."""
        for slots, best in ((11, 10), (27, 25), (84, 79)):
            draw = random.Random(slots)

            def measure(busy, draw=draw, best=best):
                return draw.uniform(0.5, 1.5) * (1.3 if busy > best else 1.0)

            limit = limits.Limit(slots)
            self.observe(limit, measure, 40)
            self.assertLessEqual(limit.settled, best)
            self.assertGreater(limit.settled, 0.85 * best)

    def test_backend_server_that_waits_for_others_keeps_its_slots(self):
        """Guards against taking the delay of a deep service for one's own load."""
        draw = random.Random(1)
        delay = [0.1]

        def measure(busy):
            delay[0] *= 1.0003
            return delay[0] * draw.uniform(0.5, 1.5)

        limit = limits.Limit(40)
        self.observe(limit, measure, 60)
        self.assertEqual(limit.settled, 40)

    def test_a_limit_that_holds_nothing_back_is_not_tried(self):
        limit = limits.Limit(40)
        now = 0.0
        for _ in range(4000):
            now += 0.01
            limit.observe(0.1, 10, now)
        self.assertEqual(limit.value, 40)

    def test_jobs_that_take_no_time_say_nothing(self):
        limit = limits.Limit(4)
        for number in range(400):
            limit.observe(0.0, 4, 0.001 * number)
        self.assertEqual(limit.value, 4)

    def test_single_slot_stays(self):
        limit = limits.Limit(1)
        self.observe(limit, self.share(1.0), 500)
        self.assertEqual(limit.value, 1)

    def test_announced_slots_keep_the_proportion(self):
        limit = limits.Limit(40)
        self.observe(limit, self.share(10.0), 60)
        share = limit.settled / 40
        limit.resize(80)
        self.assertAlmostEqual(limit.settled / 80, share, delta=0.02)


class TrialTest(unittest.TestCase):
    def test_chance_alone_decides_nothing(self):
        trial = limits.Trial(25, 27)
        orders = []
        for seconds in (0.10, 0.11, 0.11, 0.10):
            orders.append(trial.limit)
            times = limits.Times()
            # As spread as jobs of exponential length.
            for each in (0.0, 2.0 * seconds) * 10:
                times.add(each)
            trial.add(times)
        self.assertEqual(orders, [25, 27, 27, 25])
        self.assertIsNone(trial.decide())
