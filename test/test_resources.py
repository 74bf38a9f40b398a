"""Tests of the validation of resources and of matching requests to calls."""

import copy
import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from whinwinch import resources
from whinwinch.errors import InputErrors
from whinwinch.messages import Importance

ROYALTIES = {
    "kind": "Service",
    "name": "royalties",
    "spec": {
        "importance": "normal",
        "retry_budget": 3,
        "timeout": 2.0,
        "max_wait": 0.2,
        "calls": [
            {"name": "read", "method": "GET", "path": "/payouts", "importance": "low"},
            {
                "name": "payout",
                "method": "POST",
                "path": "/payouts",
                "importance": "critical",
                "idempotent": False,
                "key_window": 900,
            },
            {"name": "statement", "path": "/payouts/*/statement"},
        ],
    },
}


def find_problems(document, **options):
    try:
        resources.check_resource(document, **options)
    except InputErrors as error:
        return {finding.place: finding.problem for finding in error.findings}
    return {}


def change_spec(**fields):
    document = copy.deepcopy(ROYALTIES)
    document["spec"].update(fields)
    return document


class CheckTest(unittest.TestCase):
    def test_parses_every_field(self):
        spec = resources.check_resource(ROYALTIES).spec
        payout = next(call for call in spec.calls if call.name == "payout")
        self.assertEqual(payout.importance, Importance.CRITICAL)
        self.assertFalse(payout.idempotent)
        self.assertFalse(payout.repeatable)
        self.assertEqual((spec.retry_budget, spec.timeout), (3, 2.0))

    def test_reports_all_findings_with_their_place(self):
        calls = [{"name": "a", "method": "POST"}, {"name": "b", "importance": "big"}]
        document = change_spec(retry_buget=1, timeout=float("nan"), calls=calls)
        document["kind"] = "Servce"
        problems = find_problems(document)
        places = {
            "kind",
            "spec.retry_buget",
            "spec.timeout",
            "spec.calls[0].idempotent",
            "spec.calls[1].importance",
        }
        self.assertLessEqual(places, set(problems))
        self.assertIn("did you mean 'retry_budget'?", problems["spec.retry_buget"])

    def test_true_is_not_a_number_and_one_is_not_true(self):
        calls = [{"name": "a", "idempotent": 1}]
        problems = find_problems(change_spec(retry_budget=True, calls=calls))
        self.assertEqual(
            set(problems), {"spec.retry_budget", "spec.calls[0].idempotent"}
        )

    def test_limits_sizes(self):
        many = [{"name": f"c{n}", "path": f"/{n}"} for n in range(201)]
        self.assertIn("spec.calls", find_problems(change_spec(calls=many)))
        self.assertIn("spec.max_wait", find_problems(change_spec(max_wait=3)))
        long = change_spec(calls=[{"name": "a", "path": "/" + "x" * 70000}])
        self.assertIn("document", find_problems(long))

    def test_key_window_stays_below_the_retention_of_the_log(self):
        """Guards against a key that is valid for longer than its claim is kept.

        Once the log has dropped the claim, the same key would win a second claim,
        and a royalty would be paid twice.
        """
        self.assertEqual(find_problems(ROYALTIES, max_key_window=900), {})
        problems = find_problems(ROYALTIES, max_key_window=600)
        self.assertIn("spec.calls[1].key_window", problems)

    def test_repeated_names_and_routes(self):
        calls = [{"name": "a", "path": "/x"}, {"name": "a", "path": "/x/"}]
        problems = find_problems(change_spec(calls=calls))
        self.assertEqual(set(problems), {"spec.calls[1].name", "spec.calls[1].path"})

    def test_invalid_idempotent_field_counts_as_non_idempotent(self):
        """Guards against repeating a payout after an unknown outcome.

        A record of another version of this program has an unexpected value in
        `idempotent`; the call must not count as idempotent.
        """
        document = change_spec(calls=[{"name": "a", "idempotent": "no"}])
        call = resources.parse_resource(document).resource.spec.calls[0]
        self.assertEqual((call.idempotent, call.repeatable), (False, False))

    def test_huge_numbers(self):
        problems = find_problems(change_spec(timeout=10**400, retry_budget=10**400))
        self.assertEqual(set(problems), {"spec.timeout", "spec.retry_budget"})

    @settings(derandomize=True, max_examples=60, deadline=None)
    @given(
        st.recursive(
            st.none() | st.booleans() | st.floats() | st.integers() | st.text(),
            lambda inner: (
                st.lists(inner)
                | st.dictionaries(
                    st.sampled_from(
                        ["kind", "name", "spec", "calls", "path", "timeout"]
                    )
                    | st.text(),
                    inner,
                )
            ),
        )
    )
    def test_any_json_is_parsed_or_refused(self, document):
        resources.parse_resource(document)
        find_problems(document)


class MatchTest(unittest.TestCase):
    def setUp(self):
        self.spec = resources.check_resource(ROYALTIES).spec

    def match(self, method, path):
        return resources.match_call(self.spec, method, path).name

    def test_most_specific_call_first(self):
        self.assertEqual(self.match("POST", "/payouts"), "payout")
        self.assertEqual(self.match("POST", "/payouts/7?x=/a"), "payout")
        self.assertEqual(self.match("GET", "/payouts/7/statement"), "statement")
        self.assertEqual(self.match("HEAD", "/payouts"), "read")

    def test_whole_segments_only(self):
        self.assertEqual(self.match("POST", "/payouts-old"), "")

    def test_other_spellings_of_a_path_are_the_same_call(self):
        """Guards against repeating a payout whose path is spelled unusually.

        The backend server decodes the path and pays. A daemon that compared the
        path as sent would not recognize the payout as non-idempotent.
        """
        spellings = ["/%70ayouts", "//payouts", "/./payouts", "/x/../payouts"]
        spellings += ["/x/%2e%2e/payouts", "/payouts%2F7"]
        for path in spellings:
            self.assertEqual(self.match("POST", path), "payout", path)
        self.assertEqual(self.match("post", "/payouts"), "payout")

    def test_importance_alone_does_not_make_a_post_repeatable(self):
        """Guards against repeating POSTs of a call that only states importance.

        An operator declares a call for everything below a path. If its POSTs were
        therefore sent again after an unknown outcome, a notification would go out
        twice.
        """
        document = change_spec(calls=[{"name": "a", "path": "/reports"}])
        spec = resources.check_resource(document).spec
        post = resources.match_call(spec, "POST", "/reports/7")
        self.assertEqual(
            (post.name, post.idempotent, post.repeatable), ("a", True, False)
        )
        self.assertTrue(resources.match_call(spec, "GET", "/reports/7").repeatable)
        document = change_spec(calls=[{"name": "a", "idempotent": True}])
        spec = resources.check_resource(document).spec
        self.assertTrue(resources.match_call(spec, "POST", "/reports").repeatable)

    def test_undeclared_calls_use_the_service_default(self):
        spec = resources.default_service("archive")
        call = resources.match_call(spec, "POST", "/lists")
        self.assertEqual((call.idempotent, call.repeatable), (True, False))
        self.assertTrue(resources.match_call(spec, "GET", "/lists").repeatable)


if __name__ == "__main__":
    unittest.main()
