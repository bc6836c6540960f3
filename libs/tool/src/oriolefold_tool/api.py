"""Commands of the tool; Fire exposes each public method as a command."""

import asyncio
import json
import pathlib
import sys

from oriolefold_core import errors, findings
from oriolefold_experiment import experiments
from oriolefold_tool import (
    addresses,
    checking,
    formats,
    loadgenerator,
    logfiles,
    operations,
    tracing,
    version,
    workloads,
)

DEFAULT_ADMIN = '127.0.0.1:8082'
DEFAULT_STORE = '127.0.0.1:9000'
DEFAULT_ENTRY = '127.0.0.1:8080'


class Tool:
    """Manages oriolefold: configuration, status, load tests and experiments."""

    def version(self) -> None:
        """Prints the version."""
        print(f'oriolefold {version.VERSION}')

    def check(self, file: str, against: str = '', json: bool = False) -> None:  # pylint: disable=redefined-outer-name
        """Checks a configuration before it is sent.

        Args:
            file: Folder with register.yaml and rules.yaml, or a file in a
                format that an installed adapter adds.
            against: Configuration to compare with; no comparison by default.
            json: Print JSON.
        """
        report = checking.run(formats.find(str(file)), str(file), str(against))
        checking.finish(report, json)

    def apply(
        self,
        folder: str,
        store: str = DEFAULT_STORE,
        expect: int | None = None,
        json: bool = False,  # pylint: disable=redefined-outer-name
    ) -> None:
        """Writes the register and the rules in a folder to the store.

        Args:
            folder: Folder with register.yaml and rules.yaml.
            store: IP:PORT of the store.
            expect: Version that must be current, or nothing is written; any
                version by default.
            json: Print JSON.
        """
        address = addresses.parse(store, '--store')
        applied = asyncio.run(operations.apply(str(folder), address, expect))
        record = {'version': applied.version, 'changed': applied.changed}
        text = f'version {applied.version} was written'
        if not applied.changed:
            text = f'no changes; version {applied.version} is current'
        _print(record, text, json)

    def status(self, admin: str = DEFAULT_ADMIN, json: bool = False) -> None:  # pylint: disable=redefined-outer-name
        """Shows configuration version, send lease and shard maps of daemons.

        Args:
            admin: IP:PORT of one or more daemons, separated by commas.
            json: Print JSON.
        """
        parsed = addresses.parse_list(admin, '--admin')
        records = [
            asyncio.run(operations.query_daemon(address, '/status', {}))
            for address in parsed
        ]
        text = '\n'.join(_status_line(record) for record in records)
        _print(records, text, json)

    def explain(
        self,
        target: str,
        method: str = 'GET',
        header: str = '',
        admin: str = DEFAULT_ADMIN,
        json: bool = False,  # pylint: disable=redefined-outer-name
    ) -> None:
        """Shows the rule, shard and owner of a request.

        Args:
            target: Path and query of the request.
            method: HTTP method of the request.
            header: One request header as NAME:VALUE.
            admin: IP:PORT of a daemon.
            json: Print JSON.
        """
        arguments = {'target': target, 'method': method}
        if header:
            name, _, value = str(header).partition(':')
            arguments[f'h.{name.strip()}'] = value.strip()
        address = addresses.parse(admin, '--admin')
        record = asyncio.run(
            operations.query_daemon(address, '/explain', arguments)
        )
        text = '\n'.join(f'{name}: {value}' for name, value in record.items())
        _print(record, text, json)

    def load(
        self,
        file: str,
        to: str = DEFAULT_ENTRY,
        scale: float = 1.0,
        json: bool = False,  # pylint: disable=redefined-outer-name
    ) -> None:
        """Sends the requests of a workload and reports their outcomes.

        Args:
            file: Workload file.
            to: IP:PORT of one or more entry VMs, separated by commas.
            scale: Factor applied to all request rates.
            json: Print JSON.
        """
        targets = addresses.parse_list(to, '--to')
        workload = workloads.read(_read_text(file), str(file))
        report = asyncio.run(_load(targets, workload, scale))
        _print(report.to_record(), _report_text(report), json)
        if not report.accounted:
            sys.exit(1)

    def trace(self, request_id: str, *logs: str) -> None:
        """Prints what logs tell about a request, and whether it has run.

        Args:
            request_id: Id of the request.
            *logs: Log files of VMs; those that end in .xz are decompressed.
        """
        if not logs:
            found = findings.Finding(
                findings.Location('trace'), 'name at least one log file'
            )
            raise errors.ConfigurationError([found])
        read = logfiles.read([str(path) for path in logs])
        print(tracing.trace(read, str(request_id)))

    def experiment(
        self, scenario: str, plot: str = '', policies: str = ''
    ) -> None:
        """Simulates a scenario once per routing policy and compares them.

        Args:
            scenario: Scenario file.
            plot: File for an SVG of the worth over time; none by default.
            policies: Names of the policies, separated by commas; all by
                default.
        """
        if not isinstance(policies, str):
            # Fire parses an argument such as `a,b` into a tuple.
            policies = ','.join(policies)
        print(experiments.run(str(scenario), str(plot), policies))

    def experiment_ages(
        self,
        scenario: str,
        choosers: tuple[int, ...] = (67,),
        ages: tuple[float, ...] = (0.0, 0.5),
        plot: str = '',
        policies: str = '',
    ) -> None:
        """Compares policies that choose by load figures of given ages.

        Args:
            scenario: Scenario file.
            choosers: Numbers of VMs, separated by commas.
            ages: Ages of the figures in seconds, separated by commas.
            plot: File for an SVG of the 99th percentile; none by default.
            policies: Names of the policies, separated by commas; all by
                default.
        """
        # Fire parses `a,b` into a tuple and `1` into a number.
        if not isinstance(policies, str):
            policies = ','.join(policies)
        if not isinstance(choosers, tuple):
            choosers = (choosers,)
        if not isinstance(ages, tuple):
            ages = (ages,)
        print(
            experiments.run_ages(
                str(scenario), choosers, ages, str(plot), policies
            )
        )


async def _load(targets, workload, scale) -> loadgenerator.Report:
    generator = loadgenerator.LoadGenerator(targets, _show_progress)
    return await generator.run(workloads.plan(workload, scale))


def _read_text(file: str) -> str:
    try:
        return pathlib.Path(file).read_text('utf-8')
    except (OSError, UnicodeDecodeError) as error:
        finding = findings.Finding(
            findings.Location(str(file)), f'cannot be read: {error}'
        )
        raise errors.ConfigurationError((finding,)) from error


def _show_progress(report: loadgenerator.Report) -> None:
    done = sum(report.counts_by_outcome.values())
    counts = ' '.join(
        f'{outcome}={count}'
        for outcome, count in sorted(report.counts_by_outcome.items())
    )
    print(
        f'sent={report.sent} done={done} {counts} '
        f'p99={report.latency.percentile_ms(99):.1f}ms',
        file=sys.stderr,
    )


def _report_text(report: loadgenerator.Report) -> str:
    record = report.to_record()
    lines = [
        f'sent {record["sent"]} in {record["took_s"]} s '
        f'({record["rate_per_s"]}/s)'
    ]
    for outcome, count in sorted(record['outcomes'].items()):
        lines.append(f'  {outcome:<10} {count}')
    lines.append(
        'latency '
        + ' '.join(f'{n}={v} ms' for n, v in record['latency_ms'].items())
    )
    lines.append('all requests accounted for: ' + str(record['accounted']))
    return '\n'.join(lines)


def _status_line(record: dict) -> str:
    lease = record['right']
    acts_for = ','.join(lease.get('acts_for', ())) or '-'
    epochs = ' '.join(f'{n}@{e}' for n, e in record['map_epochs'].items())
    return (
        f'{record["vm"]}: configuration {record["configuration_version"]}, '
        f'right {lease["phase"]}, acts for {acts_for}, maps {epochs or "-"}'
    )


def _print(record: object, text: str, as_json: bool) -> None:
    if as_json:
        print(json.dumps(record, indent=2))
    else:
        print(text)
