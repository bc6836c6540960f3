"""Requests to a draining instance from a machine whose relay is frozen."""

import asyncio
import json
import pathlib
import signal
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / 'common'))

import standins  # pylint: disable=wrong-import-position

VMS = 4
CLIENTS = 10  # At each machine that has no disruption.
IN_TOUCH_S = 4.0  # More than stability-window-s.
DRAIN_S = 2.0  # drain-s
SLACK_S = 0.1  # So that nothing at the edge of the bound counts.
SILENT_S = 4.5  # How long the store turns the leader away.
FREEZE_AFTER_S = 1.2
FREEZE_S = 4.0
EXIT_S = 2.5  # `drain-s` after the acknowledgement and a little longer.
END_S = 7.0


def events(folder: pathlib.Path, vm: standins.Vm, name: str) -> list[dict]:
    """Returns the log lines of a kind that a machine has written."""
    found = []
    for line in (folder / f'{vm.name}.log').read_text().splitlines():
        try:
            entry = json.loads(line)
        except ValueError:
            continue
        if entry.get('message_type') == name:
            found.append(entry)
    return found


def find_roles(folder, vms):
    """Returns the leader and the relay, or None while there are not both."""
    leaders = [vm for vm in vms if events(folder, vm, 'leadership.acquired')]
    for vm in vms:
        for entry in events(folder, vm, 'feed.redirected'):
            for relay in vms:
                if entry['relay'].endswith(f':{relay.ready_port}') and leaders:
                    return leaders[0], relay
    return None


async def case(record: standins.Record, folder: pathlib.Path) -> bool:
    store = standins.Store(record)
    await store.start()
    document = standins.configuration(
        3,
        orders={'service': 'plain', 'type': 'unsafe'},
        keyed={'service': 'keyed'},
    )
    document['services']['keyed'] |= {'sharded': True, 'grants': 'request'}
    store.put('config', 'main', document)
    instances = [
        standins.Instance(record, store, f'i-{name}-{index}', name, 0.1)
        for name in ('plain', 'keyed')
        for index in range(3)
    ]
    first, leaving = instances[0], instances[1]
    for instance in instances:
        await instance.start()
        instance.register()
    links = [standins.Link(store.port) for _ in range(VMS)]
    vms = []
    for index, link in enumerate(links):
        await link.start()
        name = f'vm-{index}'
        vms.append(standins.Vm(record, folder, name, link.address))
    sent_by_id: dict[str, tuple[str, float]] = {}
    status_by_id: dict[str, int] = {}
    sending = True

    async def press(vm, client: int) -> None:
        number = 0
        while sending:
            number += 1
            request_id = f'{vms.index(vm):02x}{client:06x}{number:08x}'
            sent_by_id[request_id] = vm.name, record.now_s()
            status, _, _ = await standins.request(
                vm.port, request_id, '/orders/x', 'POST', b'one pallet'
            )
            status_by_id[request_id] = status
            record.add(f'{vm.name}: {request_id}: answer {status}')
            await asyncio.sleep(0.02)

    pressing = []
    frozen = None
    try:
        for vm in vms:
            await vm.start()
        for vm in vms:
            await vm.wait_ready()
        async with asyncio.timeout(20):
            while (roles := find_roles(folder, vms)) is None:
                await asyncio.sleep(0.2)
        await asyncio.sleep(IN_TOUCH_S)
        leader, relay = find_roles(folder, vms)
        if leader is relay:
            raise RuntimeError('the relay leads')
        calm = [vm for vm in vms if vm not in (leader, relay)]
        record.add(f'{leader.name} leads, {relay.name} is the relay')
        pressing = [
            asyncio.create_task(press(vm, client))
            for vm in calm
            for client in range(CLIENTS)
        ]
        await asyncio.sleep(0.5)
        first.register('draining')
        await asyncio.sleep(0.06)
        link = links[vms.index(leader)]
        if standins.has_trouble():
            link.silence()
            record.add(f'the store is silent to {leader.name}')
        await asyncio.sleep(0.02)
        leaving.register('draining')
        draining_s = record.now_s()
        record.add(f'the store acknowledges that {leaving.instance_id} drains')
        await asyncio.sleep(FREEZE_AFTER_S)
        if standins.has_trouble():
            frozen = relay
            relay.signal(signal.SIGSTOP)
        await asyncio.sleep(EXIT_S - FREEZE_AFTER_S)
        await leaving.stop()
        record.add(f'{leaving.instance_id} exits')
        await asyncio.sleep(SILENT_S - EXIT_S)
        link.heal()
        await asyncio.sleep(FREEZE_S + FREEZE_AFTER_S - SILENT_S)
        if frozen is not None:
            relay.signal(signal.SIGCONT)
            frozen = None
        await asyncio.sleep(draining_s + END_S - record.now_s())
        sending = False
        await asyncio.gather(*pressing)
    finally:
        sending = False
        if frozen is not None:
            frozen.signal(signal.SIGCONT)
        for task in pressing:
            task.cancel()
        for vm in vms:
            await vm.kill()
        for instance in instances:
            if instance is not leaving:
                await instance.stop()
        for link in links:
            await link.stop()
        await store.stop()
    bound_s = draining_s + DRAIN_S + SLACK_S
    late = [
        (at_s - draining_s, request_id)
        for at_s, request_id, _ in leaving.arrivals
        if at_s > bound_s
    ]
    for late_s, request_id in late:
        vm, sent_s = sent_by_id[request_id]
        record.add(
            f'{request_id} reached {leaving.instance_id} {late_s:.3f} s after '
            f'the acknowledgement, sent by its client to {vm} '
            f'{sent_s - draining_s:.3f} s after it'
        )
    before = sum(at_s < draining_s for at_s, _, _ in leaving.arrivals)
    record.add(
        f'{len(sent_by_id)} requests; at {leaving.instance_id} {before} before '
        f'the acknowledgement and {len(late)} later than {DRAIN_S + SLACK_S} s '
        'after it'
    )
    run_ids = {request_id for _, request_id, _ in leaving.runs}
    lost = [
        i for _, i in late if i in run_ids and status_by_id.get(i) != 200
    ]
    record.add(
        f'{len(lost)} of the late ones had begun to run and got no success: '
        f'{sorted({status_by_id.get(i, 0) for i in lost})}'
    )
    if not before:
        raise RuntimeError('the instance got no requests before')
    return not late


standins.run(case, pathlib.Path(__file__).with_name('record.txt'))
