"""Least squares lines through measured points."""

from __future__ import annotations

import dataclasses
from collections.abc import Sequence


@dataclasses.dataclass(frozen=True, slots=True)
class Line:
    """A line.

    Attributes:
        fixed: its value at 0.
        slope: its rise for each unit.
    """

    fixed: float
    slope: float


def fit_line(points: Sequence[tuple[float, float]]) -> Line:
    """Returns the line of least squares through (x, y) points.

    >>> fit_line([(0, 1), (1, 3), (2, 5)])
    Line(fixed=1.0, slope=2.0)

    Raises:
        ValueError: all points have the same x.
    """
    count = len(points)
    mean_x = sum(x for x, _ in points) / count
    mean_y = sum(y for _, y in points) / count
    spread = sum((x - mean_x) ** 2 for x, _ in points)
    if not spread:
        raise ValueError('the points have one x only')
    slope = sum((x - mean_x) * (y - mean_y) for x, y in points) / spread
    return Line(mean_y - slope * mean_x, slope)


def quantile(values: Sequence[float], share: float) -> float:
    """Returns the smallest value not exceeded by a share of the values.

    >>> quantile([3.0, 1.0, 2.0], 0.5)
    2.0
    """
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(share * len(ordered)))]
