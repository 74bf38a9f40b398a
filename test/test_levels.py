"""Tests of admission levels learned from answers."""

import unittest

from whinwinch import levels, messages


class LevelsTest(unittest.TestCase):
    def test_holds_the_level_of_answers_and_decays(self):
        """An overload ends while no request is admitted any more.

        A level that didn't decay would keep every caller out for ever.
        """
        learned = levels.LearnedLevels()
        for step in range(20):
            load = messages.Load(level=0.5, below=1.5)
            learned.learn("catalog", "list", load, step * 0.01)
        self.assertAlmostEqual(learned.level("catalog", "list", 0.2), 1.5)
        self.assertEqual(learned.level("catalog", "list", 3.0), 0.0)
        self.assertEqual(learned.level("catalog", "other", 0.2), 0.0)

    def test_refuses_only_below_the_level(self):
        learned = levels.LearnedLevels()
        learned.learn("catalog", "list", messages.Load(level=2.0), 0.0)
        request = messages.Request(
            "a", "a", "catalog", "list", "GET", "/", messages.Importance.NORMAL, 9.0
        )
        self.assertIsNotNone(learned.refuse(request, 0.01))
        important = request._replace(importance=messages.Importance.HIGH)
        self.assertIsNone(learned.refuse(important, 0.01))

    def test_level_of_a_hot_caller_does_not_apply_to_others(self):
        learned = levels.LearnedLevels()
        request = messages.Request(
            "a", "a", "catalog", "", "GET", "/x", messages.Importance.NORMAL, 9.0
        )
        hot = request._replace(caller="hot")
        normal = request._replace(caller="usual")
        for step in range(16):
            now = step * 0.01
            for caller, level in ((hot, 1.9), (normal, 0.0)):
                learned.learn("catalog", "", messages.Load(level=level), now, caller)
        self.assertAlmostEqual(learned.level("catalog", "", 0.2, hot), 1.9)
        self.assertEqual(learned.level("catalog", "", 0.2, normal), 0.0)

    def test_nested_call_is_refused_only_when_clearly_below(self):
        """A request admitted at the entry passes many hops.

        The level differs slightly at each hop. If the highest of them decided, the
        work of all previous hops would be lost.
        """
        learned = levels.LearnedLevels()
        request = messages.Request(
            "a", "a", "catalog", "", "GET", "/", messages.Importance.NORMAL, 9.0
        )
        level = messages.rank_request(request) + 0.1
        learned.learn_below(request, level, 0.0)
        self.assertIsNotNone(learned.refuse_below(request, 0.01))
        forwarded = request._replace(via=("royalties",))
        self.assertIsNone(learned.refuse_below(forwarded, 0.01))

    def test_number_of_tracks_is_bounded(self):
        learned = levels.LearnedLevels()
        for index in range(5000):
            request = messages.Request(
                "a", "a", "s", "", "GET", f"/{index}", messages.Importance.LOW, 9.0
            )
            learned.learn("s", "", messages.Load(level=0.5), 0.0, request)
        self.assertLessEqual(len(learned._tracks), levels.MAX_TRACKS)
        self.assertGreater(learned.level("s", "", 0.01), 0.0)
