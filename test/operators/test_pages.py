"""Tests that the documentation pages match the code."""

import json
import pathlib
import re
import unittest

from whinwinch import commands, decisions, messages, resources, settings
from whinwinch.callers import answers, headers
from whinwinch.operators import access, api, client, forms, inputs, problems

DOCS = pathlib.Path(__file__).parents[2] / "docs"


def read_page(name):
    return (DOCS / name).read_text(encoding="utf-8")


def read_examples(text):
    """Yield the JSON resources that a page contains as examples."""
    decoder = json.JSONDecoder()
    for match in re.finditer(r'\{\s*"kind": "Service",\s*"name"', text):
        yield decoder.raw_decode(text, match.start())[0]


def read_rows(text):
    """Return the cells of all table rows of a page."""
    lines = [line for line in text.splitlines() if line.startswith("|")]
    return [[cell.strip() for cell in line.strip("|").split("|")] for line in lines]


class PagesTest(unittest.TestCase):
    def test_every_setting_with_its_default(self):
        rows = {row[1]: row for row in read_rows(read_page("reference/settings.md"))}
        for option in settings.OPTIONS:
            row = rows[f"`{option.variable}`"]
            flag = "none: a secret" if option.secret else f"`--{option.name}`"
            self.assertEqual(row[0], flag)
            default = f"`{option.default}`" if option.default else "none"
            expected = "required" if option.default is None else default
            self.assertEqual((row[2], row[3]), (expected, option.help))

    def test_every_decision_and_its_fields(self):
        page = read_page("reference/log-lines.md")
        kinds = [
            kind
            for kind in vars(decisions).values()
            if isinstance(kind, type) and hasattr(kind, "_fields")
        ]
        self.assertGreater(len(kinds), 3)
        for kind in kinds:
            name = f"**`{kind.__name__.lower()}`**"
            self.assertIn(name, page)
            paragraph = page.split(name)[1].split("\n\n")[0]
            for field in kind._fields:
                self.assertIn(f"`{field}`", paragraph, kind)

    def test_every_reason_with_its_status(self):
        rows = {row[0]: row for row in read_rows(read_page("guides/callers.md"))}
        for reason in messages.Reason:
            row = rows[f"`{reason.value}`"]
            status = answers.STATUSES.get(reason)
            if status:
                self.assertEqual(row[1], str(status))

    def test_limits_of_headers(self):
        page = read_page("guides/callers.md")
        for limit in (headers.MAX_TIMEOUT_MS, headers.MAX_CALLER_LENGTH):
            self.assertIn(str(limit), page)
        self.assertIn(f"{headers.MAX_KEY_LENGTH} characters", page)

    def test_examples_of_resources_are_valid(self):
        for page in ("reference/resources.md", "guides/operators.md"):
            examples = list(read_examples(read_page(page)))
            self.assertTrue(examples, page)
            for example in examples:
                resources.check_resource(example)

    def test_commands_can_be_parsed(self):
        page = read_page("guides/operators.md")
        found = re.findall(r"^ {4}whinwinch (.*)$", page, re.MULTILINE)
        self.assertGreater(len(found), 6)
        parser = commands.build_parser()
        for words in found:
            self.assertTrue(callable(parser.parse_args(words.split()).run), words)

    def test_every_field_of_a_resource_with_its_default(self):
        rows = {row[0]: row for row in read_rows(read_page("reference/resources.md"))}
        spec = resources.default_service("archive")
        for field in ("retry_budget", "timeout", "max_wait"):
            shown = f"{getattr(spec, field):g}"
            self.assertEqual(rows[f"`spec.{field}`"][2], shown)
        for field in resources.CallForm.__annotations__:
            self.assertIn(f"`{field}`", rows)
        window = f"{resources.DEFAULT_KEY_WINDOW:g}"
        self.assertEqual(rows["`key_window`"][2], window)
        self.assertIn(str(resources.MAX_CALLS), rows["`spec.calls`"][1])

    def test_every_code_of_the_api(self):
        page = read_page("reference/api.md")
        modules = (api, inputs, problems)
        files = [pathlib.Path(module.__file__) for module in modules]
        source = "".join(file.read_text(encoding="utf-8") for file in files)
        codes = set(re.findall(r'ApiError\(\s*\d{3},\s*"([a-z-]+)"', source))
        codes |= set(re.findall(r'code = "([a-z-]+)"', source))
        self.assertGreater(len(codes), 10)
        for code in codes:
            self.assertIn(f"`{code}`", page)
        self.assertIn(f"every {forms.HEARTBEAT_INTERVAL:g} s", page)
        self.assertIn(f"After {client.WATCH_READ_TIMEOUT:g} s", page)

    def test_limits_of_tokens(self):
        page = read_page("guides/operators.md")
        self.assertIn(
            f"{access.MIN_TOKEN_LENGTH} to {access.MAX_TOKEN_LENGTH} printable", page
        )


if __name__ == "__main__":
    unittest.main()
