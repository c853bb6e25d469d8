"""Tests of the token rule."""

import hashlib
import unittest

from quetzalward_standins import answers


class TokenRuleTest(unittest.TestCase):
    """Guards against a change of the rule that all checks rely on."""

    def test_tokens_come_from_the_last_user_message(self) -> None:
        body = {
            "messages": [
                {"role": "user", "content": "first"},
                {"role": "user", "content": [{"text": "la"}, {"text": "st"}]},
                {"role": "assistant", "content": "reply"},
            ]
        }
        mark = hashlib.sha256(b"last").hexdigest()[:8]
        self.assertEqual(f"{mark}:3 {mark}:4 ", answers.expected(body, 3, 5))

    def test_tokens_of_a_prompt(self) -> None:
        mark = hashlib.sha256(b"words").hexdigest()[:8]
        self.assertEqual(
            f"{mark}:0 ", answers.expected({"prompt": "words"}, 0, 1)
        )


class PrefixIdsTest(unittest.TestCase):
    """Guards against prompts that share a start but no cache entry."""

    def test_common_start_gives_common_ids(self) -> None:
        start = "x" * 2 * answers.PREFIX_BLOCK_CHARS
        one = answers.prefix_ids(start + "a" * answers.PREFIX_BLOCK_CHARS)
        other = answers.prefix_ids(start + "b" * answers.PREFIX_BLOCK_CHARS)
        self.assertEqual(one[:2], other[:2])
        self.assertNotEqual(one[2], other[2])

    def test_only_whole_blocks_have_ids(self) -> None:
        self.assertEqual([], answers.prefix_ids("short"))
        block = "x" * answers.PREFIX_BLOCK_CHARS
        digest = hashlib.sha256(block.encode()).hexdigest()
        self.assertEqual([digest[:16]], answers.prefix_ids(block + "rest"))
