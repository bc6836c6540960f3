"""Searches random histories of the lease protocol for as long as it is told.

`make soak` runs it for ten minutes; `--seconds` and `--seed` change that. A
history that breaks a promise is printed step by step, with its seed.
"""

import pathlib
import random
import sys
import time

import fire

ROOT = pathlib.Path(__file__).resolve().parent.parent
sys.path.insert(0, str(ROOT / 'libs' / 'coordination' / 'tests'))

import test_protocol as model  # noqa: E402

STEPS = 25
SETTLE_S = (0.2, 0.6, 1.2, 2.4)


def _settle(fakes, generator):
    seconds = generator.choice(SETTLE_S)
    cut_off = set(generator.sample(model.VM_IDS, generator.randint(0, 2)))
    fakes.settle(seconds, cut_off)
    return f'settle {seconds} s without {sorted(cut_off)}'


def _pass_time(fakes, generator):
    ticks = generator.randint(1, 12)
    fakes.time_s += ticks * 0.1
    fakes.ask_again()
    return f'pass {ticks / 10} s'


def _tick(fakes, generator):
    vm_id = generator.choice(model.VM_IDS)
    fakes.tick(vm_id)
    return f'tick {vm_id}'


def _restart(fakes, generator):
    vm_id = generator.choice(model.VM_IDS)
    fakes.start(vm_id)
    return f'restart {vm_id}'


def _deliver(fakes, generator):
    if not fakes.packets:
        return 'nothing to deliver'
    index = generator.randrange(len(fakes.packets))
    packet = fakes.packets[index]
    fakes.deliver(index)
    kind = type(packet.call.body).__name__
    return f'deliver {kind} {packet.sender.vm_id} -> {packet.call.vm_id}'


def _record(fakes, generator):
    if not fakes.epochs_to_record:
        return 'nothing to record'
    works = generator.random() < 0.8
    fakes.record(0, works)
    return f'record an epoch: {works}'


ACTIONS = (_settle, _settle, _pass_time, _tick, _restart, _deliver, _record)


def search(seed: int) -> list[str] | None:
    """Runs one history and returns its steps if it breaks a promise."""
    generator = random.Random(seed)
    fakes = model.Fakes()
    steps = []
    for _ in range(STEPS):
        steps.append(generator.choice(ACTIONS)(fakes, generator))
        try:
            fakes.check()
        except AssertionError as error:
            return [*steps, str(error)]
    return None


def main(seconds: float = 600.0, seed: int = 1) -> None:
    """Searches from a seed on until the time is over."""
    ends_s = time.monotonic() + seconds
    histories = 0
    while time.monotonic() < ends_s:
        steps = search(seed)
        if steps is not None:
            print(f'seed {seed}:', *steps, sep='\n  ')
            sys.exit(1)
        seed += 1
        histories += 1
    print(f'{histories} histories, none broke a promise; next seed {seed}')


if __name__ == '__main__':
    fire.Fire(main)
