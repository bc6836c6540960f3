"""Tests of oriolefold_store.salvage."""

import asyncio
import json
import time

import hypothesis
from hypothesis import strategies as st

from oriolefold_store import salvage
from oriolefold_testbed import basecase

DEEP = b'[' * 100_000 + b']' * 100_000
VALUES = st.recursive(
    st.none() | st.booleans() | st.integers() | st.text('[]{}",\\:a'),
    lambda inner: (
        st.lists(inner, max_size=3)
        | st.dictionaries(st.text('[]{}",\\:a'), inner, max_size=3)
    ),
    max_leaves=8,
)


class ReplaceUnreadableTest(basecase.AsyncCase):
    """Only the unreadable parts are replaced, down to the given level."""

    async def test_parts_are_replaced_down_to_the_level(self):
        cases = [
            (b'{"a":1}', 0, b'{"a":1}'),
            (b'{"a":NaN}', 0, b'null'),
            (b'{"a":NaN,"b":[1]}', 1, b'{"a":null,"b":[1]}'),
            (b'[1,{"a":[NaN]},{"b":2}]', 1, b'[1,null,{"b":2}]'),
            (b'[1,{"a":[NaN]},{"b":2}]', 2, b'[1,{"a":null},{"b":2}]'),
            (b'[%s,"]}[{,"]' % DEEP, 1, b'[null,"]}[{,"]'),
            (b'{"a":%s,"b":"\\"]"}' % DEEP, 1, b'{"a":null,"b":"\\"]"}'),
            (b'{"\\ud800":1,"b":2}', 1, b'{"b":2}'),
            (b' [ NaN , 2 ] \n', 1, b'[null, 2 ]'),
        ]
        for text, levels, expected in cases:
            with self.subTest(text=text[:40], levels=levels):
                found = await salvage.replace_unreadable(text, levels)
                self.assertEqual(found, expected)

    async def test_text_without_end_or_beginning_is_null(self):
        for text in (b'', b'[1,', b']', b'"\\', b'[NaN}', b'{"a":"]}'):
            with self.subTest(text):
                found = await salvage.replace_unreadable(text, 3)
                self.assertEqual(found, b'null')

    @hypothesis.given(st.lists(VALUES, max_size=5), st.integers(0, 5))
    def test_values_beside_an_unreadable_one_are_kept(self, values, index):
        texts = [json.dumps(value).encode() for value in values]
        texts.insert(index, b'[{"a":NaN}]')
        text = b'[%s]' % b', '.join(texts)
        found = asyncio.run(salvage.replace_unreadable(text, 1))
        expected = list(values)
        expected.insert(index, None)
        self.assertEqual(json.loads(found), expected)

    @hypothesis.given(st.text('[]{}",\\:a1 ', max_size=30), st.integers(0, 4))
    def test_any_text_becomes_readable(self, text, levels):
        found = asyncio.run(salvage.replace_unreadable(text.encode(), levels))
        json.loads(found)

    async def test_other_tasks_run_during_a_long_scan(self):
        longest_s = 0.0

        async def measure():
            nonlocal longest_s
            while True:
                began_s = time.process_time()
                await asyncio.sleep(0)
                longest_s = max(longest_s, time.process_time() - began_s)

        measuring = asyncio.create_task(measure())
        await asyncio.sleep(0)
        for filler in (b'[[1],1],', b'[],', b'"",', b'1,'):
            text = b'[[%sNaN]]' % (filler * (1_000_000 // len(filler)))
            began_s = time.process_time()
            longest_s = 0.0
            found = await salvage.replace_unreadable(text, 1)
            took_s = time.process_time() - began_s
            with self.subTest(filler):
                self.assertEqual(found, b'[null]')
                self.assertLess(longest_s, max(0.05, took_s / 4))
        measuring.cancel()
