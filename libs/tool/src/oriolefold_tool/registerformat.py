"""The project's own format: a folder with the register and the rules."""

import pathlib

from oriolefold_config import checks, documents, locations
from oriolefold_core import data, errors, findings, issues
from oriolefold_tool import checking

_FILES = ('register.yaml', 'rules.yaml')
_RULES = 'rules'
# Field of a document that names an entry of a list.
_ID_FIELDS = ('id', 'service')
# Fields of the documents whose names or units differ from the data classes.
_DOCUMENT_FIELDS = {
    'instances_by_id': 'instances',
    'shard_count': 'shards',
    'deadline_s': 'deadline_ms',
    'zone_id': 'zone',
}


class RegisterFormat(checking.Format[documents.Documents]):
    """Folders with `register.yaml` and `rules.yaml`."""

    def recognizes(self, path: str) -> bool:
        """Whether a path is a folder, or named like a file of one."""
        given = pathlib.Path(path)
        return given.is_dir() or given.name in _FILES

    def read(self, path: str) -> documents.Documents:
        """Reads the folder, also given as one of the two files in it."""
        folder = pathlib.Path(path)
        if folder.name in _FILES:
            folder = folder.parent
        return documents.read_folder(str(folder))

    def validate(
        self, document: documents.Documents
    ) -> tuple[data.Configuration | None, findings.Findings]:
        """Validates the documents as the daemon does."""
        found = findings.Findings()
        try:
            return documents.validate(document), found
        except errors.ConfigurationError as error:
            for finding in error.findings:
                found.add(finding.location, finding.message)
        return None, found

    def check(self, configuration: data.Configuration) -> list[issues.Issue]:
        """Returns the issues of a register with its rules."""
        return checks.check(configuration)

    def compare(
        self, before: data.Configuration, after: data.Configuration
    ) -> list[issues.Issue]:
        """Returns the differences of two registers with their rules."""
        return checks.compare(before, after)

    def locate(
        self, document: documents.Documents, path: issues.Path
    ) -> findings.Location:
        """Returns file, line and path; entries of lists have numbers there."""
        located = document.rules if path[0] == _RULES else document.register
        return located.location_of(_to_document_path(located, path))

    def summarize(self, configuration: data.Configuration) -> dict[str, int]:
        """Returns the numbers of VMs, services and instances."""
        services = configuration.register.services_by_id.values()
        return {
            'vms': len(configuration.register.vms_by_id),
            'services': len(services),
            'instances': sum(len(s.instances_by_id) for s in services),
        }


def _to_document_path(
    located: locations.LocatedDocument, path: issues.Path
) -> issues.Path:
    value = located.value
    found: issues.Path = ()
    for name in path:
        step = _DOCUMENT_FIELDS.get(name, name)
        if isinstance(value, list):
            step = _find_index(value, name)
            value = value[step] if isinstance(step, int) else None
        else:
            value = value.get(step) if isinstance(value, dict) else None
        found += (step,)
    return found


def _find_index(entries: list, entry_id: str | int) -> str | int:
    """Returns the index of an entry, or its ID if it is not in the list."""
    for index, entry in enumerate(entries):
        if any(entry.get(field) == entry_id for field in _ID_FIELDS):
            return index
    return entry_id
