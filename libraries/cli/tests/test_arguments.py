"""Tests of binding command-line arguments to parameters."""

from __future__ import annotations

import unittest

from bamboopier_cli.arguments import bind_arguments, find_command
from bamboopier_cli.exit_codes import USAGE_ERROR, CommandError


def move(*names: str, platform: str, json: bool = False, count: int = 1) -> str:
    """Serve as a command with all kinds of parameters."""
    return f"{names} {platform} {json} {count}"


MISTAKES = [
    ([], "--platform is missing"),
    (["--platfrom", "x"], "did you mean '--platform'"),
    (["--platform", "x", "--count", "many"], "many"),
    (["--platform", "x", "--json=7"], "allowed: true, false"),
]


class ArgumentsTests(unittest.TestCase):
    def test_values_that_look_like_numbers_stay_text(self) -> None:
        arguments = ["1e3", "0x10", "None", "[1]", "--platform", "7", "--json"]
        bound = bind_arguments("move", move, arguments)
        self.assertEqual(bound.positional, ("1e3", "0x10", "None", "[1]"))
        self.assertEqual(bound.named["platform"], "7")
        self.assertIs(bound.named["json"], True)

    def test_a_number_and_a_flag_are_parsed_as_annotated(self) -> None:
        arguments = ["--platform=p", "--count=3", "--json=false", "a"]
        bound = bind_arguments("move", move, arguments)
        self.assertEqual(bound.run(), "('a',) p False 3")

    def test_each_mistake_is_one_line_that_names_the_fix(self) -> None:
        for arguments, text in MISTAKES:
            with self.subTest(arguments), self.assertRaises(CommandError) as caught:
                bind_arguments("move", move, arguments)
            self.assertIn(text, str(caught.exception))
            self.assertNotIn("\n", str(caught.exception))
            self.assertEqual(caught.exception.status, USAGE_ERROR)

    def test_an_unknown_command_suggests_the_nearest(self) -> None:
        with self.assertRaisesRegex(CommandError, "did you mean 'move'"):
            find_command({"move": move}, "mvoe")
