"""Tests of the output files and ports of a mesh's processes."""

import pathlib
import tempfile
import unittest

from standins import processes

OUTPUT = b"The Zen of Python"


class OutputTest(unittest.TestCase):
    def setUp(self):
        directory = tempfile.TemporaryDirectory()
        self.addCleanup(directory.cleanup)
        self.path = pathlib.Path(directory.name)

    def count_output(self, running, keep):
        running.finish([running.start("zen", "this", (), keep=keep)], 60.0)
        return (self.path / "zen.log").read_bytes().count(OUTPUT)

    def test_second_start_appends_to_the_output_on_request(self):
        with processes.Processes(self.path) as running:
            counts = [self.count_output(running, keep) for keep in (True, True, False)]
        self.assertEqual(counts, [1, 2, 1])

    def test_output_of_an_earlier_run_is_overwritten(self):
        """A directory is reused, and output of an earlier run is mistaken for new."""
        for _ in range(2):
            with processes.Processes(self.path) as running:
                self.assertEqual(self.count_output(running, True), 1)


class PortsTest(unittest.TestCase):
    def test_ports_are_outside_the_range_for_outgoing_connections(self):
        port_range = pathlib.Path("/proc/sys/net/ipv4/ip_local_port_range").read_text()
        first, last = map(int, port_range.split())
        ports = processes.find_ports(200)
        self.assertEqual(len(set(ports)), 200)
        self.assertFalse([port for port in ports if first <= port <= last])
