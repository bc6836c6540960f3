"""Fake store, instances and peers for tests of the direct entry VM."""

import asyncio
import dataclasses

from oriolefold_coordination import ranges
from oriolefold_core import data, errors, tasks
from oriolefold_direct import messages, ports
from oriolefold_routing import policy, topology
from oriolefold_store import ports as store_ports

ANSWER = data.Answer(200, (), b'ok', 'i')


class ScriptedStore(store_ports.Store):
    """Store whose watches return scripted results.

    Attributes:
        script: Changes to return, or errors to raise.
        revisions: Revision argument of each watch.
        timeouts_s: Time limit of each watch.
        is_down: Whether stale reads fail, too.
        stale_reads: Number of stale reads.
    """

    def __init__(self):
        self.is_down = False
        self.stale_reads = 0
        self.script: asyncio.Queue = asyncio.Queue()
        self.revisions: list[int] = []
        self.timeouts_s: list[float] = []

    async def read(self, name):
        raise errors.ObjectNotFoundError(name)

    async def read_stale(self, name):
        self.stale_reads += 1
        if self.is_down:
            raise errors.StoreUnavailableError('down')
        return await self.read(name)

    async def write(self, name, content, expected_version):
        raise errors.StoreUnavailableError('writes are not supported')

    async def watch(self, prefix, after_revision, timeout_s):
        self.revisions.append(after_revision)
        self.timeouts_s.append(timeout_s)
        item = await self.script.get()
        if isinstance(item, Exception):
            raise item
        return item


@dataclasses.dataclass
class Sent:
    """A request that reached an instance."""

    instance_id: str
    request_id: str


class FakeInstances(ports.Instances):
    """Instances with scripted outcomes that record all calls.

    Attributes:
        outcomes: Outcomes of the next sends by instance: answers, errors,
            seconds to wait before the default answer, or a pair of seconds to
            wait and an outcome.
        connect_s_by_id: How long the next sends wait for a connection.
        sent: Requests in the order they were sent.
        cancelled_ids: Requests that were cancelled.
        grants: Key ranges that were granted.
        releases: Released key ranges with their holders.
        silent_ids: Instances that answer no grant and no release.
        replaced_ids: Instances whose address another one has; it answers no
            release here.
        rejected_grants: Key ranges whose grants another instance rejected.
        connections_lost: Whether connections are closed after each call.
        leaving_ids: Instances that announce their leaving beside grants.
        health_checks: Instances whose health was checked.
        health_outcomes: Outcomes of the next checks by instance: seconds for
            which it is still cold, or errors; by default it is warm.
        grant_error: Raised by grants after they were recorded.
        may_answer: Set while grants, which take effect at once, are answered.
    """

    def __init__(self):
        self.outcomes: dict[str, list] = {}
        self.connect_s_by_id: dict[str, list[float]] = {}
        self.sent: list[Sent] = []
        self.cancelled_ids: list[str] = []
        self.grants: list[ranges.KeyRange] = []
        self.releases: list[tuple[ranges.KeyRange, str]] = []
        self.silent_ids: set[str] = set()
        self.replaced_ids: set[str] = set()
        self.leaving_ids: set[str] = set()
        self.rejected_grants: list[ranges.KeyRange] = []
        self.connections_lost = False
        self.grant_error: Exception | None = None
        self.health_checks: list[str] = []
        self.health_outcomes: dict[str, list] = {}
        self.may_answer = asyncio.Event()
        self.may_answer.set()

    async def send(self, endpoint, call, remaining_s, may_send=None):
        delays_s = self.connect_s_by_id.get(endpoint.instance_id)
        if delays_s:
            await asyncio.sleep(delays_s.pop(0))
        if may_send is not None and not may_send():
            raise errors.UnreachableError('the permission has expired')
        self.sent.append(Sent(endpoint.instance_id, call.request_id))
        outcomes = self.outcomes.get(endpoint.instance_id, [])
        outcome = outcomes.pop(0) if outcomes else ANSWER
        try:
            if isinstance(outcome, float):
                outcome = (outcome, ANSWER)
            if isinstance(outcome, tuple):
                delay_s, outcome = outcome
                await asyncio.sleep(delay_s)
        except asyncio.CancelledError:
            self.cancelled_ids.append(call.request_id)
            raise
        if isinstance(outcome, Exception):
            raise outcome
        return outcome

    async def grant(
        self, key_range, lease_s, handover, may_send, newest_connection=None
    ):
        if not may_send() or key_range.owner.instance_id in self.silent_ids:
            return ports.GrantOutcome(ports.GrantResult.UNKNOWN)
        if newest_connection is not None and self.connections_lost:
            return ports.GrantOutcome(ports.GrantResult.NO_CONNECTION)
        if key_range.owner.instance_id in self.replaced_ids:
            self.rejected_grants.append(key_range)
            return ports.GrantOutcome(ports.GrantResult.OTHER_INSTANCE, 1)
        self.grants.append(key_range)
        if self.grant_error is not None:
            raise self.grant_error
        await self.may_answer.wait()
        return ports.GrantOutcome(
            ports.GrantResult.ACCEPTED,
            1,
            leaving=key_range.owner.instance_id in self.leaving_ids,
        )

    async def check_health(self, endpoint, path, timeout_s):
        self.health_checks.append(endpoint.instance_id)
        outcomes = self.health_outcomes.get(endpoint.instance_id, [])
        outcome = outcomes.pop(0) if outcomes else 0.0
        await self.may_answer.wait()
        if isinstance(outcome, Exception):
            raise outcome
        return ports.HealthReport(outcome)

    async def release(self, key_range, holder):
        if holder.instance_id in self.silent_ids | self.replaced_ids:
            return ports.ReleaseResult(False)
        self.releases.append((key_range, holder.instance_id))
        return ports.ReleaseResult(True, 'state')


class FakePeers(ports.Peers):
    """Peers that accept every report.

    Attributes:
        reports: Address and content of each report.
        vms_by_address: Peers that answer reports and the request to end their
            terms.
        asked: Address and version of each such request.
    """

    def __init__(self):
        self.reports: list[tuple[str, messages.LoadReport]] = []
        self.vms_by_address: dict[str, tasks.Task] = {}
        self.asked: list[tuple[str, int]] = []

    async def report(self, address, report):
        self.reports.append((address, report))
        if address not in self.vms_by_address:
            return messages.LoadReply({})
        return await self.vms_by_address[address].ask(report)

    async def end_terms(self, address, service_id, version):
        self.asked.append((address, version))
        if address not in self.vms_by_address:
            raise errors.UnreachableError(f'no answer from {address}')
        return await self.vms_by_address[address].ask(
            messages.EndTerms(service_id, version)
        )

    async def changes(self, address, follower, revisions_by_prefix):
        raise errors.UnreachableError('no change feed')


def follower(
    name='10.0.0.9:80', region='r1', link_mbps=100.0, **changes
) -> messages.Follower:
    """Returns a VM that polls for changes."""
    return messages.Follower(name, region, link_mbps, **changes)


def endpoint(name, zone='z1', service='svc', **changes) -> topology.Endpoint:
    """Returns an instance."""
    values = {
        'instance_id': name,
        'born_ms': 1,
        'service_id': service,
        'zone_id': zone,
        'address': data.Address('10.0.0.1', 1000 + len(name)),
        'slots': 4,
    }
    return topology.Endpoint(**(values | changes))


def route(**changes) -> policy.PrefixRoute:
    """Returns a route."""
    values = {
        'route_id': 'r',
        'host': 'h.example',
        'prefix': '/a/',
        'shares': (policy.Share('svc', 1.0),),
        'idempotent': True,
        'timeout_s': 1.0,
        'objective_s': 0.4,
        'max_instances': 2,
        'rank': 1,
    }
    return policy.PrefixRoute(**(values | changes))


def policy_updated(*routes, keyed=False) -> messages.PolicyUpdated:
    """Returns the message for a policy with one service."""
    return messages.PolicyUpdated(
        policy.Policy(
            1,
            policy.group_by_host(routes or [route()]),
            {'svc': policy.ServiceProfile('svc', keyed, 100)},
            policy.CallerLimits(16384, 1000, 3.0, 15.0),
        )
    )


def endpoints_updated(*endpoints) -> messages.EndpointsUpdated:
    """Returns the message for a set of registered instances."""
    return messages.EndpointsUpdated({e.instance_id: e for e in endpoints})


def load_report(service_id='svc', vm_id='other') -> messages.LoadReport:
    """Returns a report of a VM that has observed no load."""
    return messages.LoadReport(vm_id, service_id, messages.ObservedLoad((), {}))
