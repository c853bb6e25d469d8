"""Tests of the series and the plot of a day."""

import json
import pathlib
import tempfile
import unittest

from quetzalward_bench import _day_series
from quetzalward_bench import day


def line(time_ms: int, event: str, **fields: object) -> str:
    """Return a line of a node's log with the prefix that a bench adds."""
    document = {"time_ms": time_ms, "node": "a", "event": event, **fields}
    return f"  1.0 a {json.dumps(document)}\n"


LOG = [
    line(10_000, "duty_taken", term=1),
    line(10_100, "group", group="g1.large", epoch=1, phase="open"),
    line(10_200, "group", group="g2.small", epoch=2, phase="open"),
    line(11_900, "stream", first_ms=80, load_age_ms=200),
    line(11_950, "stream", first_ms=120, load_age_ms=300),
    line(12_100, "group", group="g1.large", epoch=1, phase="broken"),
    line(12_500, "refused", reason="no group", left_out=7),
    line(12_600, "attempt_failed", result="stalled"),
    "a traceback, or {broken JSON\n",
    line(13_000, "duty_taken", term=2),
]


class SeriesTest(unittest.TestCase):
    """Guards against plots that show another day than the logs."""

    def setUp(self) -> None:
        """Make the series of a short log."""
        self.series = _day_series.make_series(_day_series.parse_lines(LOG))

    def test_requests_are_counted_by_second(self) -> None:
        """Times count from the first line."""
        self.assertEqual({1: 2}, dict(self.series.results["answered"]))
        self.assertEqual({2: 1}, dict(self.series.results["refused"]))
        self.assertEqual({2: 1}, dict(self.series.failures["stalled"]))
        self.assertEqual({1: 100}, self.series.first_event_ms)
        self.assertEqual({1: 250}, self.series.load_age_ms)

    def test_groups_are_counted_by_model(self) -> None:
        """A broken group is no longer open."""
        self.assertEqual({0: 1, 2: 0}, self.series.open_groups["large"])
        self.assertEqual({0: 1, 2: 1}, self.series.open_groups["small"])

    def test_takeovers_and_missing_lines_are_told(self) -> None:
        """Lines over the limit of a kind do not go unnoticed."""
        self.assertEqual([0.0, 3.0], self.series.takeovers_s)
        self.assertEqual({"refused": 7}, dict(self.series.left_out))

    def test_second_without_a_request_counts_as_zero(self) -> None:
        """A line that goes on at the last value would hide an outage."""
        answered = self.series.results["answered"]
        self.assertEqual(
            [0, 2, 0, 0], _day_series.fill(answered, self.series.length_s)
        )
        groups = self.series.open_groups["large"]
        self.assertEqual([1, 1, 0, 0], _day_series.fill(groups, 4, hold=True))


class PlotTest(unittest.TestCase):
    """Guards against a command that ends without its picture."""

    def test_picture_is_written(self) -> None:
        """The command writes the file that it names."""
        with tempfile.TemporaryDirectory() as name:
            log = pathlib.Path(name) / "day.log"
            log.write_text("".join(LOG))
            output = pathlib.Path(name) / "day.png"
            totals = day.main(str(log), str(output))
            self.assertEqual(b"\x89PNG", output.read_bytes()[:4])
        self.assertEqual({"answered": 2, "refused": 1}, totals["requests"])
        self.assertEqual(2, totals["terms"])

    def test_log_without_events_is_an_error(self) -> None:
        """An empty picture would look like a quiet day."""
        with tempfile.TemporaryDirectory() as name:
            log = pathlib.Path(name) / "day.log"
            log.write_text("nothing\n")
            with self.assertRaises(ValueError):
                day.main(str(log), str(log) + ".png")


if __name__ == "__main__":
    unittest.main()
