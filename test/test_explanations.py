"""Tests of explaining a failed request from logs."""

import contextlib
import io
import json
import os
import tempfile
import unittest

from whinwinch import commands, explanations, messages


def write_line(time, event, **fields):
    return json.dumps({"time": time, "event": event, **fields})


def refuse(time, root, attempt, reason):
    return write_line(
        time, "refused", root=root, attempt=attempt, reason=reason, at="gatekeeper"
    )


def answer(time, root, attempt, reason, again):
    return write_line(
        time, "answered", root=root, attempt=attempt, reason=reason, again=again
    )


class ExplanationTest(unittest.TestCase):
    def setUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = folder.name

    def save(self, name, *lines):
        path = os.path.join(self.folder, name)
        with open(path, "w", encoding="utf-8") as file:
            file.write("\n".join(lines) + "\n")
        return path

    def run_command(self, *words):
        output = io.StringIO()
        with contextlib.redirect_stdout(output):
            code = commands.main(["explain", *words])
        return code, output.getvalue()

    def test_sends_of_a_request_are_shown_and_decide_nothing(self):
        """Guards against a first send that passes for the end of the request."""
        sent = {"root": "q1", "connection": 14, "reason": "backend-shed"}
        path = self.save(
            "gatekeeper.log",
            write_line(3.0, "exchanged", attempt="a1", use=46, repeated=False, **sent),
            write_line(3.1, "exchanged", attempt="a2", use=47, repeated=True, **sent),
        )
        code, text = self.run_command("q1", path)
        self.assertEqual(code, 0)
        self.assertEqual(text.count("connection=14"), 2)
        self.assertNotIn("Decided", text)

    def test_refusals_of_workspaces_are_explained(self):
        """Guards against a 401 or 429 of which nobody can tell the reason."""
        state = {"workspace": "w1", "rate": 12.0, "demand": 36.4, "version": 7}
        path = self.save(
            "entry.log",
            write_line(3.0, "unidentified", root="q1", reason="unknown-key", version=7),
            write_line(3.1, "overquota", root="q2", reason="workspace-quota", **state),
        )
        code, text = self.run_command("q1", path)
        self.assertEqual(code, 0)
        self.assertIn("version=7", text)
        self.assertIn(explanations.MEANINGS[messages.Reason.UNKNOWN_KEY], text)
        code, text = self.run_command("q2", path)
        self.assertEqual(code, 0)
        self.assertIn("workspace=w1 rate=12.000 demand=36.400", text)
        self.assertIn(explanations.MEANINGS[messages.Reason.QUOTA], text)

    def test_refusal_further_down_is_found(self):
        """A payout fails with 500 because a call three services down was refused.

        The daemon that answered the caller has no record of the reason; the daemon
        of the refusing service does.
        """
        entry = self.save("entry.log", answer(3.2, "pay-1", "b", "deadline", False))
        deep = self.save(
            "deep.log",
            refuse(3.0, "pay-1", "a", "queue-full"),
            refuse(3.1, "pay-1", "b", "deadline"),
            refuse(3.1, "other", "c", "queue-full"),
        )
        middle = self.save("mid.log", answer(3.05, "pay-1", "a", "queue-full", True))
        code, text = self.run_command("pay-1", entry, deep, middle)
        self.assertEqual(code, 0)
        lines = text.splitlines()
        self.assertTrue(lines[0].startswith("  3.000 deep.log: refused"))
        self.assertEqual([line[0] for line in lines[:4]], [" ", " ", ">", " "])
        self.assertIn("Decided at deep.log: it could not be answered", text)
        self.assertNotIn("other", text)

    def test_recently_lost_dependencies_are_shown(self):
        log = self.save(
            "d.log",
            write_line(1.0, "dependency", name="daemon d2", state="lost"),
            write_line(-60.0, "dependency", name="store", state="lost"),
            answer(2.0, "r", "a", "connection-broken", False),
        )
        _, text = self.run_command("r", log)
        self.assertIn("dependency name=daemon d2 state=lost", text)
        self.assertNotIn("store", text)
        self.assertIn("the connection broke", text)

    def test_prefix_of_a_line_names_its_daemon(self):
        log = self.save("all.log", "  1.0 side-1 " + refuse(1.0, "r", "a", "leaving"))
        _, text = self.run_command("r", log)
        self.assertIn("Decided at side-1: the backend server", text)

    def test_lines_left_out_and_unreadable_are_counted(self):
        log = self.save(
            "d.log",
            "WARNING: {cut",
            "no structured line at all",
            write_line(1.0, "refused", root="r", reason="queue-full", left_out=7),
        )
        _, text = self.run_command("r", log)
        self.assertIn("7 lines of these daemons were left out", text)
        self.assertIn("1 lines could not be read", text)

    def test_unknown_request(self):
        code, text = self.run_command("r", self.save("d.log", "{}"))
        self.assertEqual(code, 1)
        self.assertIn("No line mentions r", text)

    def test_missing_file(self):
        with contextlib.redirect_stderr(io.StringIO()) as errors:
            self.assertEqual(commands.main(["explain", "r", "/nowhere/x"]), 1)
        self.assertIn("/nowhere/x", errors.getvalue())

    def test_every_reason_has_a_meaning(self):
        self.assertEqual(set(explanations.MEANINGS), set(messages.Reason))


if __name__ == "__main__":
    unittest.main()
