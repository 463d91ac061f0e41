"""Linear fits of a cost against a count."""

from __future__ import annotations

import statistics
from dataclasses import dataclass


@dataclass(frozen=True)
class Fit:
    """``cost = intercept + slope * count``; ``error`` is the slope's standard error."""

    name: str
    unit: str
    points: tuple[tuple[float, float], ...]
    slope: float
    intercept: float
    error: float

    def predict(self, count: float) -> float:
        """Return the cost at ``count``."""
        return self.intercept + self.slope * count


def fit_line(name: str, unit: str, points: list[tuple[float, float]]) -> Fit:
    """Fit a line through at least four points by least squares."""
    if len(points) < 4:
        raise ValueError(f"{name}: {len(points)} points; a slope needs at least 4")
    counts = [count for count, _ in points]
    costs = [cost for _, cost in points]
    slope, intercept = statistics.linear_regression(counts, costs)
    mean = statistics.fmean(counts)
    residual = sum((y - intercept - slope * x) ** 2 for x, y in points)
    spread = sum((x - mean) ** 2 for x in counts)
    error = (residual / (len(points) - 2) / spread) ** 0.5
    return Fit(name, unit, tuple(points), slope, intercept, error)
