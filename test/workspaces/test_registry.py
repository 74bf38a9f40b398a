"""Tests of the workspaces of one configuration."""

import unittest

from whinwinch.messages import Importance, Reason
from whinwinch.workspaces.keys import digest_key
from whinwinch.workspaces.registry import NOBODY, UNCHECKED, Registry, Workspace

ONE = Workspace("one", (digest_key("k1"), digest_key("k2")))
TWO = Workspace("two", (digest_key("k3"),))


class RegistryTest(unittest.TestCase):
    def setUp(self):
        self.registry = Registry((ONE, TWO))

    def test_each_key_identifies_its_workspace(self):
        for key, workspace in (("k1", ONE), ("k2", ONE), ("k3", TWO)):
            identity = self.registry.identify(key, is_public=False)
            self.assertEqual(identity.workspace, workspace)
            self.assertIsNone(identity.refusal)

    def test_requests_without_a_known_key_are_refused(self):
        for key in (None, "k4"):
            identity = self.registry.identify(key, is_public=False)
            self.assertIs(identity.refusal, Reason.UNKNOWN_KEY)

    def test_requests_of_public_routes_need_no_key(self):
        for key in (None, "k4"):
            self.assertEqual(self.registry.identify(key, is_public=True), NOBODY)
        known = self.registry.identify("k1", is_public=True)
        self.assertEqual(known.workspace, ONE)

    def test_preferred_workspace_takes_precedence_over_routes(self):
        """Guards against a payment of others that goes before a preferred read."""
        preferred = Workspace("three", (digest_key("k5"),), is_preferred=True)
        registry = Registry((ONE, preferred))
        read = registry.identify("k5", False).choose_importance(Importance.NORMAL)
        payment = registry.identify("k5", False).choose_importance(Importance.CRITICAL)
        other = registry.identify("k1", False).choose_importance(Importance.CRITICAL)
        self.assertGreater(payment, read)
        self.assertGreater(read, other)
        self.assertIs(other, Importance.CRITICAL)

    def test_no_key_is_needed_without_workspaces(self):
        for key in (None, "k1"):
            identity = Registry().identify(key, is_public=False)
            self.assertEqual(identity, UNCHECKED)

    def test_workspace_without_keys_is_still_one(self):
        """Guards against serving everybody once the last key has been taken away."""
        registry = Registry((Workspace("one"),))
        identity = registry.identify("k1", is_public=False)
        self.assertIs(identity.refusal, Reason.UNKNOWN_KEY)

    def test_workspaces_must_not_share_a_key(self):
        with self.assertRaisesRegex(ValueError, "one and two share a key"):
            Registry((ONE, Workspace("two", (digest_key("k2"),))))
