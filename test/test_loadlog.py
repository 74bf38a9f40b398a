"""Tests of the log lines with a daemon's load."""

import collections
import json
import os
import types
import unittest

from whinwinch import events, gate, lanes, loadlog, messages, repeats
from whinwinch.backends.interface import Backend
from whinwinch.daemons import frames, traffic


class MeterTest(unittest.TestCase):
    def setUp(self):
        self.usage = lanes.SlotUsage()
        self.repeats = []
        self.guard = types.SimpleNamespace(
            backend=Backend("i-1", "deep", 4),
            refused=collections.Counter(),
            measure_usage=lambda: self.usage,
            list_repeats=lambda: self.repeats,
            load=lambda: messages.Load(in_service=4, waiting=2, limit=4),
        )
        self.forwarder = types.SimpleNamespace(refused=collections.Counter())
        instance = types.SimpleNamespace(
            guard=self.guard,
            forwarder=self.forwarder,
            list_route_levels=lambda: iter([loadlog.RouteLevel("browse", 0.0, 1.5)]),
            traffic=traffic.Traffic(lambda address: address == "far:1"),
        )
        self.traffic = instance.traffic
        self.meter = loadlog.LoadMeter(instance, 10.0)

    def test_reports_the_load_since_the_previous_line(self):
        refusal = messages.Refusal("browse", messages.Reason.LEVEL)
        self.usage = lanes.SlotUsage(100, 4.0)
        self.forwarder.refused[refusal] = 7
        first = self.meter.read(12.0)
        self.assertEqual((first.busy, first.ended, first.job_seconds), (2.0, 100, 0.04))
        refused = (loadlog.RefusalCount("entry", "browse", "admission-level", 7),)
        self.assertEqual(first.refused, refused)
        self.usage = lanes.SlotUsage(150, 8.0)
        second = self.meter.read(13.0)
        self.assertEqual((second.busy, second.ended, second.refused), (4.0, 50, ()))

    def test_repeats_are_reported_by_importance_and_calls_left(self):
        self.repeats = [repeats.RepeatCount("HIGH", 0, 5, 5)]
        self.assertEqual(self.meter.read(11.0).repeats, tuple(self.repeats))
        self.repeats = [
            repeats.RepeatCount("HIGH", 0, 5, 5),
            repeats.RepeatCount("LOW", 3, 9, 2),
        ]
        expected = (repeats.RepeatCount("LOW", 3, 9, 2),)
        self.assertEqual(self.meter.read(12.0).repeats, expected)

    def test_bytes_to_other_zones_are_reported_by_kind_of_message(self):
        self.traffic.record_sent(frames.Levels, "far:1", 50)
        self.traffic.record_sent(frames.Levels, "near:1", 50)
        self.meter.read(11.0)
        self.traffic.record_sent(frames.Levels, "far:1", 60)
        self.traffic.record_sent(frames.Levels, "far:1", 60)
        sent = (traffic.Sent("levels", traffic.OTHER_ZONE, 2, 120),)
        self.assertEqual(self.meter.read(12.0).sent, sent)
        self.assertEqual(self.meter.read(13.0).sent, ())

    def test_counters_of_another_backend_server_start_at_zero(self):
        self.usage = lanes.SlotUsage(1000, 40.0)
        self.meter.read(11.0)
        self.usage = lanes.SlotUsage(5, 0.5)
        self.assertEqual(self.meter.read(12.0).busy, 0.5)

    def test_rounding_does_not_look_like_another_backend_server(self):
        self.usage = lanes.SlotUsage(1000, 40.0)
        self.meter.read(11.0)
        self.usage = lanes.SlotUsage(1000, 40.0 - 1e-9)
        self.assertEqual(self.meter.read(12.0).busy, 0.0)

    def test_idle_daemon_logs_nothing(self):
        reading, writing = os.pipe()
        self.addCleanup(os.close, reading)
        self.addCleanup(os.close, writing)
        self.addCleanup(events.install, events.LogHolder.log)
        events.install(events.Log(writing))
        loadlog.write_load(self.meter.read(11.0))
        self.usage = lanes.SlotUsage(1, 0.5)
        loadlog.write_load(self.meter.read(12.0))
        (line,) = os.read(reading, 1 << 16).splitlines()
        self.assertEqual(json.loads(line)["service"], "deep")


class UseTest(unittest.TestCase):
    def test_includes_requests_still_in_service(self):
        guard = gate.Gate(2)
        for name in ("a", "b"):
            request = messages.Request(
                name, name, "s", "call", "GET", "/", messages.Importance.LOW, 9.0
            )
            guard.offer(request, 1.0)
        guard.finish("a", 1.5, 0.5, True)
        usage = guard.measure_usage(2.0)
        self.assertEqual((usage.ended, usage.seconds), (1, 1.5))
