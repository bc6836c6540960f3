"""Stand-in for the list of VMs and instances that the platform maintains.

`PUT /control` with `{"id": ..., "state": "live" | "leaving" | "gone"}` changes
an entry. The change becomes visible after a delay.
"""

import asyncio
import json

import fire

from oriolefold_config import documents
from oriolefold_testbed import standins


class VmListStandIn(standins.StandIn):
    """List of VMs and instances whose changes become visible after a delay.

    Attributes:
        states_by_id: Visible state of each VM and instance.
        lag_s: Delay until a change becomes visible.
    """

    def __init__(self, names, lag_s: float = 0.0):
        super().__init__({'/vms': _VmListHandler, '/control': _ControlHandler})
        self.states_by_id = dict.fromkeys(names, 'live')
        self.lag_s = lag_s

    def set_state(self, name: str, state: str) -> None:
        """Schedules a change of an entry after the delay."""
        loop = asyncio.get_running_loop()
        loop.call_later(self.lag_s, self._apply, name, state)

    def _apply(self, name: str, state: str) -> None:
        if state == 'gone':
            self.states_by_id.pop(name, None)
        else:
            self.states_by_id[name] = state


class _Handler(standins.Handler):
    """Base class of the request handlers."""

    def initialize(self, stand_in: VmListStandIn):
        """Stores the stand-in."""
        self._stand_in = stand_in


class _VmListHandler(_Handler):
    def get(self):
        """Returns the list."""
        vms = [
            {'id': name, 'state': state}
            for name, state in self._stand_in.states_by_id.items()
        ]
        self.finish({'vms': vms})


class _ControlHandler(_Handler):
    def put(self):
        """Changes an entry."""
        change = json.loads(self.request.body)
        self._stand_in.set_state(change['id'], change['state'])
        self.finish({})


def main(
    folder: str, ip: str = '127.0.0.1', port: int = 9001, lag_s: float = 2.0
) -> None:
    """Runs the list for the VMs and instances of a register.

    Args:
        folder: Folder with `register.yaml` and `rules.yaml`.
        ip: IP address to listen on.
        port: Port to listen on.
        lag_s: Delay until a change becomes visible.
    """
    register = documents.validate(documents.read_folder(folder)).register
    names = list(register.vms_by_id)
    for service in register.services_by_id.values():
        names.extend(service.instances_by_id)

    standins.run_until_interrupted(
        lambda: VmListStandIn(names, lag_s).start(ip, port)
    )


if __name__ == '__main__':
    fire.Fire(main)
