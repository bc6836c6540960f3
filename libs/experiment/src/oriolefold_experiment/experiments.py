"""Simulates one scenario with several policies and compares the results."""

import pathlib
from collections.abc import Sequence
from typing import TypeVar

from oriolefold_core import errors, findings
from oriolefold_experiment import (
    ages,
    figurepolicies,
    policies,
    reports,
    scenarios,
    simulation,
)

_Policy = TypeVar('_Policy', bound=policies.Policy)


def run(path: str, plot: str = '', policy_names: str = '') -> str:
    """Simulates a scenario file.

    Args:
        path: Scenario file.
        plot: File for an SVG of the worth over time, or empty.
        policy_names: Names of policies, separated by commas; all if empty.

    Returns:
        The results as a table.

    Raises:
        ConfigurationError: If the file or a name is wrong, or the plot cannot
            be written.
    """
    selected = _select_policies(policy_names, policies.ALL)
    scenario = scenarios.read(path)
    completed_by_policy = {
        policy.name: simulation.Simulation(scenario, policy).run()
        for policy in selected
    }
    if plot:
        try:
            reports.plot(scenario, completed_by_policy, pathlib.Path(plot))
        except OSError as error:
            raise _configuration_error(
                plot, f'cannot be written: {error}'
            ) from error
    head = f'mean load {scenario.load:.2f}, seed {scenario.seed}'
    return f'{head}\n{reports.table(scenario, completed_by_policy)}'


def run_ages(
    path: str,
    choosers: Sequence[int],
    ages_s: Sequence[float],
    plot: str = '',
    policy_names: str = '',
) -> str:
    """Compares policies that choose by load figures of given ages.

    Args:
        path: Scenario file.
        choosers: Numbers of VMs.
        ages_s: Ages of the figures, in seconds.
        plot: File for an SVG of the 99th percentile, or empty.
        policy_names: Names of policies, separated by commas; all if empty.

    Returns:
        The results as a table.

    Raises:
        ConfigurationError: If the file or a name is wrong, or the plot cannot
            be written.
    """
    selected = _select_policies(policy_names, figurepolicies.ALL)
    scenario = scenarios.read(path)
    results = ages.run(scenario, choosers, ages_s, selected)
    if plot:
        try:
            ages.plot(results, pathlib.Path(plot))
        except OSError as error:
            raise _configuration_error(
                plot, f'cannot be written: {error}'
            ) from error
    head = f'mean load {scenario.load:.2f}, seed {scenario.seed}'
    return f'{head}\n{ages.table(results)}'


def _select_policies(
    policy_names: str, known: Sequence[type[_Policy]]
) -> list[type[_Policy]]:
    policies_by_name = {policy.name: policy for policy in known}
    if not policy_names:
        return list(policies_by_name.values())
    selected_names = [name.strip() for name in policy_names.split(',')]
    unknown = [name for name in selected_names if name not in policies_by_name]
    if unknown:
        names = ', '.join(policies_by_name)
        raise _configuration_error(
            '--policies', f'{unknown[0]!r} is not one of {names}'
        )
    return [policies_by_name[name] for name in selected_names]


def _configuration_error(source: str, text: str) -> errors.ConfigurationError:
    finding = findings.Finding(findings.Location(source), text)
    return errors.ConfigurationError((finding,))
