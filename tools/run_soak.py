"""Soak test of the lease protocol: runs its model on random event sequences.

`make soak` runs it for ten minutes; `--seconds` and `--seed` change that. A
sequence that violates an invariant is printed step by step, with its seed.
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


def _settle(simulation, generator):
    seconds = generator.choice(SETTLE_S)
    cut_off_vm_ids = set(
        generator.sample(model.VM_IDS, generator.randint(0, 2))
    )
    simulation.settle(seconds, cut_off_vm_ids)
    return f'settle for {seconds} s, cut off: {sorted(cut_off_vm_ids)}'


def _advance_clock(simulation, generator):
    ticks = generator.randint(1, 12)
    simulation.time_s += ticks * 0.1
    simulation.retry_hand_backs()
    return f'advance the clock by {ticks / 10} s'


def _tick(simulation, generator):
    vm_id = generator.choice(model.VM_IDS)
    simulation.tick(vm_id)
    return f'tick {vm_id}'


def _restart(simulation, generator):
    vm_id = generator.choice(model.VM_IDS)
    simulation.start(vm_id)
    return f'restart {vm_id}'


def _deliver(simulation, generator):
    if not simulation.packets:
        return 'nothing to deliver'
    index = generator.randrange(len(simulation.packets))
    packet = simulation.packets[index]
    simulation.deliver(index)
    kind = type(packet.call.body).__name__
    return f'deliver {kind} {packet.sender.vm_id} -> {packet.call.vm_id}'


def _record(simulation, generator):
    if not simulation.epochs_to_record:
        return 'nothing to record'
    succeeds = generator.random() < 0.8
    simulation.record(0, succeeds)
    return f'record an epoch, success: {succeeds}'


ACTIONS = (_settle, _settle, _advance_clock, _tick, _restart, _deliver, _record)


def run_sequence(seed: int) -> list[str] | None:
    """Runs a random sequence and returns its steps if an invariant fails."""
    generator = random.Random(seed)
    simulation = model.Simulation()
    steps = []
    for _ in range(STEPS):
        steps.append(generator.choice(ACTIONS)(simulation, generator))
        try:
            simulation.check()
        except AssertionError as error:
            return [*steps, str(error)]
    return None


def main(seconds: float = 600.0, seed: int = 1) -> None:
    """Runs sequences with consecutive seeds until the time has passed.

    Args:
        seconds: Duration of the soak test.
        seed: First seed.
    """
    ends_s = time.monotonic() + seconds
    sequence_count = 0
    while time.monotonic() < ends_s:
        steps = run_sequence(seed)
        if steps is not None:
            print(f'seed {seed}:', *steps, sep='\n  ')
            sys.exit(1)
        seed += 1
        sequence_count += 1
    print(f'{sequence_count} sequences, no violations; next seed {seed}')


if __name__ == '__main__':
    fire.Fire(main)
