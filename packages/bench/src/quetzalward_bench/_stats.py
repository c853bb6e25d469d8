"""Small statistics for experiments."""

import json
import typing


def quantile(values: typing.Sequence[float], share: float) -> float:
    """Return the value below which `share` of the values lie."""
    ranked = sorted(values)
    if not ranked:
        return 0.0
    return ranked[min(len(ranked) - 1, int(share * len(ranked)))]


def mean(values: typing.Sequence[float]) -> float:
    """Return the arithmetic mean, 0 without values."""
    return sum(values) / len(values) if values else 0.0


def ratios(
    results: dict[str, dict[str, float]], present: str
) -> dict[str, dict[str, float]]:
    """Return each policy's figures divided by those of `present`."""
    base = results[present]
    return {
        name: {
            key: round(value / base[key], 3)
            for key, value in figures.items()
            if base.get(key)
        }
        for name, figures in results.items()
        if name != present
    }


def show(document: dict[str, typing.Any]) -> None:
    """Print a result as JSON."""
    print(json.dumps(document, indent=1, sort_keys=True))
