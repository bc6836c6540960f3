"""Reads, validates and converts the register and rules documents."""

import dataclasses
import json
import pathlib

import pydantic

from oriolefold_config import locations, models
from oriolefold_core import data, errors, findings


@dataclasses.dataclass(frozen=True, slots=True)
class Documents:
    """Parsed register and rules documents, each with its source locations."""

    register: locations.LocatedDocument
    rules: locations.LocatedDocument


def read_folder(folder: str) -> Documents:
    """Parses `register.yaml` and `rules.yaml` in a folder.

    Raises:
        ConfigurationError: If a file is missing or is not valid YAML.
    """
    found = findings.Findings()
    parsed = {}
    for name in ('register.yaml', 'rules.yaml'):
        path = pathlib.Path(folder) / name
        try:
            parsed[name] = locations.parse(path.read_text('utf-8'), str(path))
        except (OSError, UnicodeDecodeError) as error:
            found.add(findings.Location(str(path)), f'cannot be read: {error}')
        except errors.ConfigurationError as error:
            for finding in error.findings:
                found.add(finding.location, finding.message)
    found.raise_if_any()
    return Documents(parsed['register.yaml'], parsed['rules.yaml'])


def encode(documents: Documents) -> bytes:
    """Encodes the documents as stored in the object store."""
    body = {
        'register': documents.register.value,
        'rules': documents.rules.value or {},
    }
    return json.dumps(body, sort_keys=True).encode()


def decode(content: bytes, source: str) -> Documents:
    """Decodes the documents as stored in the object store.

    Args:
        content: Bytes as stored.
        source: Name of the stored object, quoted in findings.

    Raises:
        ConfigurationError: If the content is malformed.
    """
    try:
        body = json.loads(content)
        register, rules = body['register'], body['rules']
    except (ValueError, KeyError, TypeError, RecursionError) as error:
        finding = findings.Finding(
            findings.Location(source), f'malformed configuration: {error}'
        )
        raise errors.ConfigurationError((finding,)) from error
    return Documents(
        locations.LocatedDocument(f'{source} register', register, {}),
        locations.LocatedDocument(f'{source} rules', rules, {}),
    )


def validate(documents: Documents, version: int = 0) -> data.Configuration:
    """Validates documents and returns the configuration that they describe.

    Args:
        documents: Parsed register and rules.
        version: Version of the documents in the store.

    Raises:
        ConfigurationError: With all findings.
    """
    found = findings.Findings()
    register = validate_model(models.RegisterModel, documents.register, found)
    rules = validate_model(models.RulesModel, documents.rules, found)
    if register is not None:
        _check_register(register, documents.register, found)
    if register is not None and rules is not None:
        _check_rules(register, rules, documents.rules, found)
    found.raise_if_any()
    return _build_configuration(register, rules, version)


def validate_model(
    model_class: type[pydantic.BaseModel],
    document: locations.LocatedDocument,
    found: findings.Findings,
):
    """Returns a document as a validated model, or None if it is invalid.

    Args:
        model_class: Class of the model.
        document: Parsed document.
        found: Findings to which the validation errors are added.
    """
    value = document.value if document.value is not None else {}
    try:
        return model_class.model_validate(value)
    except pydantic.ValidationError as error:
        for item in error.errors():
            location = document.location_of(tuple(item['loc']))
            found.add(location, item['msg'])
    return None


def _check_register(register, document, found) -> None:
    zone_ids = set()
    region_ids = set()
    for i, region in enumerate(register.regions):
        path = ('regions', i)
        _check_unique(region.id, region_ids, document, path + ('id',), found)
        for j, zone in enumerate(region.zones):
            zone_path = path + ('zones', j, 'id')
            _check_unique(zone.id, zone_ids, document, zone_path, found)
    addresses = set()
    _check_vms(register, zone_ids, addresses, document, found)
    _check_services(register, zone_ids, addresses, document, found)


def _check_vms(register, zone_ids, addresses, document, found) -> None:
    vm_ids = set()
    for i, vm in enumerate(register.vms):
        path = ('vms', i)
        _check_unique(vm.id, vm_ids, document, path + ('id',), found)
        _check_zone(vm.zone, zone_ids, document, path + ('zone',), found)
        for field in ('caller_port', 'peer_port', 'admin_port'):
            address = f'{vm.ip}:{getattr(vm, field)}'
            _check_unique(address, addresses, document, path + (field,), found)


def _check_services(register, zone_ids, addresses, document, found) -> None:
    service_ids = set()
    instance_ids = set()
    for i, service in enumerate(register.services):
        path = ('services', i)
        _check_unique(service.id, service_ids, document, path + ('id',), found)
        for j, instance in enumerate(service.instances):
            instance_path = path + ('instances', j)
            _check_unique(
                instance.id,
                instance_ids,
                document,
                instance_path + ('id',),
                found,
            )
            _check_zone(
                instance.zone,
                zone_ids,
                document,
                instance_path + ('zone',),
                found,
            )
            address = f'{instance.ip}:{instance.port}'
            _check_unique(
                address, addresses, document, instance_path + ('port',), found
            )


def _check_unique(value, seen: set, document, path, found) -> None:
    if value in seen:
        found.add(document.location_of(path), f'{value!r} is not unique')
    seen.add(value)


def _check_zone(zone_id, zone_ids, document, path, found) -> None:
    if zone_id not in zone_ids:
        location = document.location_of(path)
        found.add(location, f'no region contains the zone {zone_id!r}')


def _check_rules(register, rules, document, found) -> None:
    services_by_id = {service.id: service for service in register.services}
    seen: set[str] = set()
    for i, rule in enumerate(rules.rules):
        path = ('rules', i)
        service_path = path + ('service',)
        _check_unique(rule.service, seen, document, service_path, found)
        service = services_by_id.get(rule.service)
        if service is None:
            location = document.location_of(service_path)
            found.add(location, f'the register has no service {rule.service!r}')
        elif service.keyed and rule.key is None:
            location = document.location_of(path)
            found.add(location, 'keyed service needs a key (segment or header)')
        elif not service.keyed and rule.key is not None:
            location = document.location_of(path + ('key',))
            found.add(location, f'service {rule.service!r} is not keyed')
    for service in register.services:
        if service.keyed and service.id not in seen:
            location = document.location_of(('rules',))
            found.add(location, f'keyed service {service.id!r} has no rule')


def _build_configuration(register, rules, version) -> data.Configuration:
    rules_by_id = {rule.service: rule for rule in rules.rules}
    zones_by_id = {
        zone.id: data.Zone(zone.id, region.id)
        for region in register.regions
        for zone in region.zones
    }
    vms_by_id = {vm.id: _build_vm(vm) for vm in register.vms}
    services_by_id = {}
    rules_by_service_id = {}
    for service in register.services:
        rule = rules_by_id.get(service.id) or models.RuleModel(
            service=service.id
        )
        services_by_id[service.id] = _build_service(service, rule)
        rules_by_service_id[service.id] = _build_rule(rule)
    return data.Configuration(
        version,
        data.Register(
            tuple(region.id for region in register.regions),
            zones_by_id,
            vms_by_id,
            services_by_id,
        ),
        rules_by_service_id,
    )


def _build_vm(vm: models.VmModel) -> data.Vm:
    return data.Vm(
        vm.id,
        vm.zone,
        data.Address(vm.ip, vm.caller_port),
        data.Address(vm.ip, vm.peer_port),
        data.Address(vm.ip, vm.admin_port),
    )


def _build_service(service: models.ServiceModel, rule) -> data.Service:
    instances_by_id = {
        instance.id: data.Instance(
            instance.id,
            service.id,
            instance.zone,
            data.Address(instance.ip, instance.port),
            service.slots,
            service.connections,
            service.checks_tokens,
        )
        for instance in service.instances
    }
    shard_count = rule.shards if service.keyed else 0
    return data.Service(service.id, service.keyed, shard_count, instances_by_id)


def _build_rule(rule: models.RuleModel) -> data.ServiceRule:
    return data.ServiceRule(
        rule.service,
        _build_key_rule(rule.key),
        rule.deadline_ms / 1000,
        frozenset(rule.idempotent_methods),
        rule.placement,
        rule.importance,
    )


def _build_key_rule(key: models.KeyModel | None) -> data.KeyRule | None:
    if key is None:
        return None
    if key.segment is not None:
        return data.KeyRule(data.KeySource.SEGMENT, segment=key.segment)
    return data.KeyRule(data.KeySource.HEADER, header=key.header.lower())
