"""Plays one scenario with several policies and reports on them together."""

import pathlib

from oriolefold_core import errors, findings
from oriolefold_experiment import model, policies, reports, scenarios


def run(path: str, plot: str = '', names: str = '') -> str:
    """Plays a scenario file.

    Args:
        path: The file.
        plot: File for an SVG of the worth over time, or empty.
        names: Names of policies, separated by commas; all if empty.

    Returns:
        A table.

    Raises:
        ConfigurationError: If the file or a name is wrong, or the plot cannot
            be written.
    """
    chosen = _chosen(names)
    scenario = scenarios.read(path)
    ended_by_policy = {
        policy.name: model.World(scenario, policy).play() for policy in chosen
    }
    if plot:
        try:
            reports.plot(scenario, ended_by_policy, pathlib.Path(plot))
        except OSError as error:
            raise _invalid(plot, f'cannot be written: {error}') from error
    head = f'mean load {scenario.load:.2f}, seed {scenario.seed}'
    return f'{head}\n{reports.table(scenario, ended_by_policy)}'


def _chosen(names: str) -> list[type[policies.Policy]]:
    by_name = {policy.name: policy for policy in policies.ALL}
    if not names:
        return list(by_name.values())
    wanted = [name.strip() for name in names.split(',')]
    unknown = [name for name in wanted if name not in by_name]
    if unknown:
        known = ', '.join(by_name)
        raise _invalid('--policies', f'{unknown[0]!r} is not one of {known}')
    return [by_name[name] for name in wanted]


def _invalid(source: str, text: str) -> errors.ConfigurationError:
    finding = findings.Finding(findings.Place(source), text)
    return errors.ConfigurationError((finding,))
