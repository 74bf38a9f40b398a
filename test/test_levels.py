"""Tests of admission levels learnt from answers."""

import unittest

from whinwinch import levels, messages


class LevelsTest(unittest.TestCase):
    def test_holds_what_answers_tell_and_decays(self):
        """An overload ends while nothing passes any more.

        A level that stayed would keep every caller out for ever.
        """
        learnt = levels.Levels()
        for step in range(20):
            load = messages.Load(level=0.5, below=1.5)
            learnt.learn("catalog", "list", load, step * 0.01)
        self.assertAlmostEqual(learnt.level("catalog", "list", 0.2), 1.5)
        self.assertEqual(learnt.level("catalog", "list", 3.0), 0.0)
        self.assertEqual(learnt.level("catalog", "other", 0.2), 0.0)

    def test_refuses_below_the_level_only(self):
        learnt = levels.Levels()
        learnt.learn("catalog", "list", messages.Load(level=2.0), 0.0)
        request = messages.Request(
            "a", "a", "catalog", "list", "GET", "/", messages.Importance.NORMAL, 9.0
        )
        self.assertIsNotNone(learnt.refuse(request, 0.01))
        important = request._replace(importance=messages.Importance.HIGH)
        self.assertIsNone(learnt.refuse(important, 0.01))

    def test_hot_caller_keeps_its_level_to_itself(self):
        learnt = levels.Levels()
        request = messages.Request(
            "a", "a", "catalog", "", "GET", "/x", messages.Importance.NORMAL, 9.0
        )
        hot = request._replace(caller="hot")
        usual = request._replace(caller="usual")
        for step in range(16):
            now = step * 0.01
            for caller, level in ((hot, 1.9), (usual, 0.0)):
                learnt.learn("catalog", "", messages.Load(level=level), now, caller)
        self.assertAlmostEqual(learnt.level("catalog", "", 0.2, hot), 1.9)
        self.assertEqual(learnt.level("catalog", "", 0.2, usual), 0.0)

    def test_work_already_done_is_refused_only_when_clearly_below(self):
        """A request let in at the entry passes many hops.

        Each sees the level a little differently; refused by the highest of
        them, the work of all hops before would be lost.
        """
        learnt = levels.Levels()
        request = messages.Request(
            "a", "a", "catalog", "", "GET", "/", messages.Importance.NORMAL, 9.0
        )
        level = messages.rank_request(request) + 0.1
        learnt.learn_below(request, level, 0.0)
        self.assertIsNotNone(learnt.refuse_below(request, 0.01))
        passed = request._replace(via=("royalties",))
        self.assertIsNone(learnt.refuse_below(passed, 0.01))

    def test_tracks_are_bounded(self):
        learnt = levels.Levels()
        for index in range(5000):
            request = messages.Request(
                "a", "a", "s", "", "GET", f"/{index}", messages.Importance.LOW, 9.0
            )
            learnt.learn("s", "", messages.Load(level=0.5), 0.0, request)
        self.assertLessEqual(len(learnt._tracks), levels.MOST_TRACKS)
        self.assertGreater(learnt.level("s", "", 0.01), 0.0)
