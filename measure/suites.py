"""Base class of the benchmark suites, and their result files."""

import abc
import dataclasses
import json
import os
import pathlib
import platform
import statistics
import subprocess

ROOT = pathlib.Path(__file__).resolve().parent.parent
RESULTS_FOLDER = ROOT / 'measurements'
SEED = 7


@dataclasses.dataclass(slots=True)
class Metric:
    """A measured quantity with its value in each run.

    Attributes:
        unit: Unit of the values.
        values: Value of each run, in that unit.
        target: Target for the value, or None.
    """

    unit: str
    values: list[float] = dataclasses.field(default_factory=list)
    target: float | None = None

    def to_record(self) -> dict:
        """Returns the metric for JSON, with the median of the runs as value."""
        return {
            'value': round(statistics.median(self.values), 6),
            'unit': self.unit,
            'n': len(self.values),
            'min': round(min(self.values), 6),
            'max': round(max(self.values), 6),
            'target': self.target,
        }


class Suite(abc.ABC):
    """A group of measurements that share a setup and a result file.

    Attributes:
        name: Name of the suite in file names.
        metrics_by_name: Metrics measured so far.
    """

    name: str

    def __init__(self):
        self.metrics_by_name: dict[str, Metric] = {}

    @abc.abstractmethod
    async def run(self) -> None:
        """Measures and adds the metrics."""

    def add(
        self,
        name: str,
        value: float,
        unit: str,
        target: float | None = None,
    ) -> None:
        """Adds the value of one run to a metric, and prints it."""
        metric = self.metrics_by_name.setdefault(
            name, Metric(unit, target=target)
        )
        metric.values.append(value)
        print(f'{self.name}: {name} = {value:.4g} {unit}', flush=True)

    def write(self) -> pathlib.Path:
        """Writes the metrics to a new, numbered file and returns its path."""
        RESULTS_FOLDER.mkdir(exist_ok=True)
        numbers = [
            int(path.name[:4]) for path in RESULTS_FOLDER.glob('[0-9]*.json')
        ]
        number = max(numbers, default=0) + 1
        path = RESULTS_FOLDER / f'{number:04}-{self.name}.json'
        record = {
            'suite': self.name,
            'commit': _commit(),
            'seed': SEED,
            'cores': os.cpu_count(),
            'python': platform.python_version(),
            'metrics': {
                name: metric.to_record()
                for name, metric in self.metrics_by_name.items()
                if metric.values
            },
        }
        path.write_text(json.dumps(record, indent=2) + '\n', 'utf-8')
        return path


def _commit() -> str:
    completed = subprocess.run(
        ['git', 'describe', '--always', '--dirty', '--abbrev=7'],
        cwd=ROOT,
        capture_output=True,
        text=True,
        check=False,
    )
    return completed.stdout.strip() or 'unknown'
