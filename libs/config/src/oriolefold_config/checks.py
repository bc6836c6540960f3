"""Checks of a valid register with its rules, and of their changes."""

from collections.abc import Iterator

from oriolefold_core import data, issues

_NESTED = frozenset({'instances_by_id'})


def check(configuration: data.Configuration) -> list[issues.Issue]:
    """Returns the entries that never match and the contradictory limits."""
    register = configuration.register
    found = []
    used_region_ids = set()
    for service in register.services_by_id.values():
        found += _check_service(service)
        used_region_ids.update(
            register.region_of(instance.zone_id)
            for instance in service.instances_by_id.values()
        )
    for region_id in register.region_ids:
        if region_id not in used_region_ids:
            found.append(
                issues.Issue(
                    issues.Kind.NEVER_MATCHES,
                    ('regions', region_id),
                    'no service has an instance in this region',
                )
            )
    return found


def compare(
    before: data.Configuration, after: data.Configuration
) -> list[issues.Issue]:
    """Returns the differences by service, VM, zone, rule and field."""
    old, new = before.register, after.register
    return [
        *issues.compare_entries(('zones',), old.zones_by_id, new.zones_by_id),
        *issues.compare_entries(('vms',), old.vms_by_id, new.vms_by_id),
        *issues.compare_entries(
            ('services',), old.services_by_id, new.services_by_id, _NESTED
        ),
        *issues.compare_entries(
            ('rules',), before.rules_by_service_id, after.rules_by_service_id
        ),
    ]


def _check_service(service: data.Service) -> Iterator[issues.Issue]:
    instance_count = len(service.instances_by_id)
    if service.keyed and instance_count > service.shard_count:
        yield issues.Issue(
            issues.Kind.NEVER_MATCHES,
            ('rules', service.service_id, 'shards'),
            f'{instance_count} instances share {service.shard_count} shards, '
            f'so {instance_count - service.shard_count} of them own none',
        )
    # All instances of a service have the same limits.
    instance = next(iter(service.instances_by_id.values()))
    if instance.connections < instance.slots:
        yield issues.Issue(
            issues.Kind.CONTRADICTION,
            ('services', service.service_id, 'connections'),
            f'{instance.connections} connections are below the '
            f'{instance.slots} slots, which therefore never fill up',
        )
