"""Tests of oriolefold_coordination.protocol by model-based testing."""

import dataclasses
import os

import hypothesis
from hypothesis import stateful
from hypothesis import strategies as st

from oriolefold_coordination import (
    guardedhomes,
    homelease,
    lease,
    messages,
    protocol,
    shardmap,
)
from oriolefold_testbed import basecase

VM_IDS = ('a', 'b', 'c', 'd')
GUARDS = {
    'a': ('b', 'c'),
    'b': ('c', 'd'),
    'c': ('d', 'a'),
    'd': ('a', 'b'),
}
# Relative speed of each clock; the drift is within `lease.Terms.drift`.
CLOCK_RATES = {'a': 0.992, 'b': 1.0, 'c': 1.008, 'd': 1.0}
EXAMPLES = int(os.environ.get('ORIOLEFOLD_EXAMPLES', '60'))
# Hypothesis draws constants of the imported modules, too, so the number of
# histories until a fault is found differs between runs of other modules.
DETECTION_EXAMPLES = 8000
STEPS = 80


@dataclasses.dataclass(eq=False)
class Process:
    """A process of a VM.

    Attributes:
        vm_id: The VM.
        machine: Its protocol.
    """

    vm_id: str
    machine: protocol.LeaseProtocol


@dataclasses.dataclass(eq=False)
class Packet:
    """A call or a reply in transit.

    Attributes:
        sender: Process that made the call.
        call: The call.
        reply: The reply, or None before the call is delivered.
        abandoned: Whether the sender no longer waits.
    """

    sender: Process
    call: protocol.Call
    reply: object = None
    abandoned: bool = False


class Simulation:
    """Fake clock, network and store that connect several VMs."""

    def __init__(self, protocol_class=protocol.LeaseProtocol):
        self.time_s = 100.0
        self.protocol_class = protocol_class
        self.guards = {}
        self.processes = {}
        self.packets = []
        self.epochs_to_record = []
        self.retrying = []
        self.lost_ids_by_home = {}
        self.starts = 0
        for vm_id in VM_IDS:
            standby, witness = GUARDS[vm_id]
            self.guards[vm_id] = shardmap.Guard(standby, witness, 1)
            self.start(vm_id, created_here=True)

    def now(self, vm_id):
        return self.time_s * CLOCK_RATES[vm_id]

    def start(self, vm_id, created_here=False):
        self.starts += 1
        machine = self.protocol_class(
            vm_id,
            f'process-{self.starts}',
            lease.DEFAULT_TERMS,
            self.now(vm_id),
        )
        process = Process(vm_id, machine)
        self.processes[vm_id] = process
        machine.update_guards(dict(self.guards))
        commands = machine.begin(
            self.guards[vm_id], created_here, self.now(vm_id)
        )
        self.execute(process, commands)

    def execute(self, process, commands):
        for command in commands:
            if isinstance(command, protocol.Call):
                self.packets.append(Packet(process, command))
            elif isinstance(command, protocol.RecordEpoch):
                self.epochs_to_record.append((process, command))
            elif isinstance(command, protocol.RetryHandBack):
                self.retrying.append(process)

    def tick(self, vm_id):
        process = self.processes[vm_id]
        self.execute(process, process.machine.tick(self.now(vm_id)))

    def retry_hand_backs(self):
        waiting, self.retrying = self.retrying, []
        for process in waiting:
            if self.processes.get(process.vm_id) is process:
                now_s = self.now(process.vm_id)
                self.execute(process, process.machine.ask_holders(now_s))

    def record(self, index, succeeds=True):
        process, command = self.epochs_to_record.pop(index)
        guard = None
        if succeeds:
            before = self.guards[process.vm_id]
            former = (before.standby_id, *before.former_standby_ids)
            guard = shardmap.Guard(
                before.standby_id,
                before.witness_id,
                max(before.epoch, command.epoch_before) + 1,
                tuple(dict.fromkeys(former)),
            )
            self.guards[process.vm_id] = guard
            for other in self.processes.values():
                other.machine.update_guards(dict(self.guards))
        if self.processes[process.vm_id] is process:
            now_s = self.now(process.vm_id)
            self.execute(process, process.machine.recorded(guard, now_s))

    def deliver(self, index):
        packet = self.packets.pop(index)
        if packet.reply is not None:
            self._finish(packet, packet.reply)
            return
        process = self.processes.get(packet.call.vm_id)
        if process is None:
            return
        reply = self._answer(process, packet.call.body)
        self.packets.append(
            dataclasses.replace(packet, reply=reply, abandoned=packet.abandoned)
        )

    def _answer(self, process, body):
        machine, now_s = process.machine, self.now(process.vm_id)
        if isinstance(body, messages.Heartbeat):
            reply, commands = machine.answer_heartbeat(body, now_s)
        elif isinstance(body, messages.VoteRequest):
            reply, commands = machine.answer_vote(body, now_s), []
        else:
            reply, commands = machine.answer_hand_back(body, now_s)
            if reply is None:
                reply = machine.finish_hand_back(body, True, now_s)
        self.execute(process, commands)
        return reply

    def _finish(self, packet, reply):
        alive = self.processes.get(packet.sender.vm_id) is packet.sender
        if alive and not packet.abandoned:
            now_s = self.now(packet.sender.vm_id)
            self.execute(
                packet.sender,
                packet.sender.machine.replied(packet.call, reply, now_s),
            )

    def time_out(self, index):
        """Times out a call; the message may still arrive."""
        packet = self.packets[index]
        if not packet.abandoned:
            self._finish(packet, None)
            packet.abandoned = True

    def settle(self, seconds, without=()):
        """Advances time while the network delivers messages at once.

        VMs in `without` are partitioned off and do not run.
        """
        for _ in range(int(seconds / 0.05)):
            self.time_s += 0.05
            self.retry_hand_backs()
            for vm_id in VM_IDS:
                if vm_id in self.processes and vm_id not in without:
                    self.tick(vm_id)
            while self.epochs_to_record:
                self.record(0)
            self._flush(without)

    def _flush(self, without):
        held = []
        while self.packets:
            packet = self.packets[0]
            ends = (packet.sender.vm_id, packet.call.vm_id)
            if any(vm_id in without for vm_id in ends):
                held.append(self.packets.pop(0))
            else:
                self.deliver(0)
        self.packets = held
        for index in range(len(held)):
            if held[index].sender.vm_id not in without:
                self.time_out(index)

    def holders(self, home_id):
        """Returns the VMs that may send for a home now."""
        return [
            vm_id
            for vm_id, process in self.processes.items()
            if process.machine.own is not None
            and process.machine.own.holds(self.now(vm_id))
            and home_id in process.machine.send_lease().holdings_by_home_id
        ]

    def check(self):
        for home_id in VM_IDS:
            holders = self.holders(home_id)
            assert len(holders) <= 1, f'{home_id} is held by {holders}'

    def check_knowledge(self):
        """Checks that knowledge in force for a home is kept by its holder."""
        for home_id in VM_IDS:
            for vm_id in self.holders(home_id):
                send_lease = self.processes[vm_id].machine.send_lease()
                lost = set(send_lease.knowledge.lost_epochs_by_id)
                missing = self.lost_ids_by_home.get(home_id, set()) - lost
                assert not missing, f'{vm_id} for {home_id} lacks {missing}'
                self.lost_ids_by_home[home_id] = lost


class LeaseMachine(stateful.RuleBasedStateMachine):
    """Delays, losses, reordering, freezes, crashes and store failures."""

    protocol_class = protocol.LeaseProtocol

    def __init__(self):
        super().__init__()
        self.simulation = Simulation(self.protocol_class)

    @stateful.rule(ticks=st.integers(1, 12))
    def pass_time(self, ticks):
        self.simulation.time_s += ticks * 0.1
        self.simulation.retry_hand_backs()

    @stateful.rule(vm_id=st.sampled_from(VM_IDS))
    def tick(self, vm_id):
        self.simulation.tick(vm_id)

    @stateful.rule(
        seconds=st.sampled_from([0.2, 0.6, 1.2, 2.4]),
        without=st.sets(st.sampled_from(VM_IDS), max_size=2),
    )
    def settle(self, seconds, without):
        self.simulation.settle(seconds, without)

    @stateful.precondition(lambda self: self.simulation.packets)
    @stateful.rule(data=st.data())
    def deliver(self, data):
        last = len(self.simulation.packets) - 1
        self.simulation.deliver(data.draw(st.integers(0, last)))

    @stateful.precondition(lambda self: self.simulation.packets)
    @stateful.rule(data=st.data())
    def time_out(self, data):
        last = len(self.simulation.packets) - 1
        self.simulation.time_out(data.draw(st.integers(0, last)))

    @stateful.precondition(lambda self: self.simulation.epochs_to_record)
    @stateful.rule(succeeds=st.booleans())
    def record(self, succeeds):
        self.simulation.record(0, succeeds)

    @stateful.rule(vm_id=st.sampled_from(VM_IDS))
    def restart(self, vm_id):
        self.simulation.start(vm_id)

    @stateful.rule(vm_id=st.sampled_from(VM_IDS), number=st.integers(1, 3))
    def mark_instance_lost(self, vm_id, number):
        process = self.simulation.processes[vm_id]
        commands = process.machine.declare_lost(
            f'server-{number}', 1, self.simulation.now(vm_id)
        )
        self.simulation.execute(process, commands)

    @stateful.invariant()
    def one_holder(self):
        self.simulation.check()


class KnowledgeMachine(LeaseMachine):
    """The same without restarts; knowledge in force is never lost."""

    restart = None

    @stateful.invariant()
    def knowledge_survives(self):
        self.simulation.check_knowledge()


def run(machine_class, examples=EXAMPLES, shrink=True):
    """Runs a state machine with a fixed seed."""
    phases = [hypothesis.Phase.generate]
    if shrink:
        phases.append(hypothesis.Phase.shrink)
    seeded = hypothesis.seed(basecase.SEED)(machine_class)
    stateful.run_state_machine_as_test(
        seeded,
        settings=hypothesis.settings(
            max_examples=examples,
            stateful_step_count=STEPS,
            phases=phases,
            deadline=None,
            database=None,
            suppress_health_check=list(hypothesis.HealthCheck),
        ),
    )


class RandomHistoryTest(basecase.BaseCase):
    """At most one VM holds the lease of a home under any faults."""

    def test_one_holder(self):
        run(LeaseMachine)

    def test_knowledge_survives_without_crashes(self):
        run(KnowledgeMachine)


class InjectedFaultTest(basecase.BaseCase):
    """The checks detect a protocol that lacks one of its safeguards."""

    def assert_detected(self, guarded_homes_class):
        class Faulty(protocol.LeaseProtocol):
            def __init__(self, *arguments):
                super().__init__(*arguments)
                self.guarded_homes = guarded_homes_class(*arguments)

        class FaultyMachine(LeaseMachine):
            protocol_class = Faulty

        with self.assertRaisesRegex(AssertionError, 'is held by'):
            run(FaultyMachine, DETECTION_EXAMPLES, shrink=False)

    def test_promise_shorter_than_the_lease(self):
        class ShortPromise(guardedhomes.GuardedHomes):
            def __init__(self, vm_id, nonce, terms, now_s):
                short = dataclasses.replace(terms, duration_s=0.4)
                super().__init__(vm_id, nonce, short, now_s)

        self.assert_detected(ShortPromise)

    def test_witness_loses_its_vote(self):
        class LostVote(guardedhomes.GuardedHomes):
            def vote(self, request, now_s):
                reply = super().vote(request, now_s)
                guarded = self.by_home_id.get(request.home_id)
                if guarded is not None:
                    guarded.voted = False
                return reply

        self.assert_detected(LostVote)

    def test_restarted_guard_joins_an_epoch_without_a_claim(self):
        class GuardWithoutClaimCheck(guardedhomes.GuardedHomes):
            def answer_heartbeat(self, heartbeat, now_s):
                heartbeat = dataclasses.replace(
                    heartbeat, established=True, nonce=self._nonce
                )
                return super().answer_heartbeat(heartbeat, now_s)

        self.assert_detected(GuardWithoutClaimCheck)


class ScriptedHistoryTest(basecase.BaseCase):
    """Recovery after a fault when the network works."""

    def setUp(self):
        super().setUp()
        self.simulation = Simulation()
        self.simulation.settle(1.5)

    def test_every_home_holds_its_own_lease(self):
        for vm_id in VM_IDS:
            self.assertEqual(self.simulation.holders(vm_id), [vm_id])

    def test_standby_takes_over_within_two_seconds(self):
        del self.simulation.processes['a']
        self.simulation.settle(1.9, without=('a',))
        self.assertEqual(self.simulation.holders('a'), ['b'])

    def test_standby_of_the_standby_takes_over_both(self):
        del self.simulation.processes['a']
        self.simulation.settle(2, without=('a',))
        del self.simulation.processes['b']
        self.simulation.settle(2, without=('a', 'b'))
        self.assertEqual(self.simulation.holders('a'), ['c'])
        self.assertEqual(self.simulation.holders('b'), ['c'])

    def test_frozen_home_has_lost_its_lease_when_it_returns(self):
        self.simulation.settle(10, without=('a',))
        self.assertEqual(self.simulation.holders('a'), ['b'])
        self.simulation.settle(1)
        self.simulation.check()
        self.assertEqual(self.simulation.holders('a'), ['a'])

    def test_loss_of_one_guard_changes_nothing(self):
        for cut_off in ('b', 'c'):
            self.simulation.settle(5, without=(cut_off,))
            self.assertEqual(self.simulation.holders('a'), ['a'])

    def test_home_that_reaches_no_guard_stops(self):
        self.simulation.settle(1.5, without=('b', 'c'))
        self.assertEqual(self.simulation.holders('a'), [])

    def test_restart_before_a_takeover_resumes_the_epoch(self):
        self.simulation.start('a')
        self.simulation.settle(1.8)
        self.assertEqual(self.simulation.holders('a'), ['a'])
        self.assertEqual(self.simulation.guards['a'].epoch, 1)

    def test_each_vm_restarted_in_turn_loses_nothing(self):
        process = self.simulation.processes['a']
        now_s = self.simulation.now('a')
        self.simulation.execute(
            process, process.machine.declare_lost('s', 4, now_s)
        )
        self.simulation.settle(0.5)
        for vm_id in VM_IDS:
            self.simulation.start(vm_id)
            self.simulation.settle(4)
            self.simulation.check()
        (holder,) = self.simulation.holders('a')
        known = self.simulation.processes[holder].machine.send_lease().knowledge
        self.assertEqual(known.lost_epochs_by_id, {'s': 4})

    def test_simultaneous_restart_of_all_recovers_through_the_store(self):
        for vm_id in VM_IDS:
            self.simulation.start(vm_id)
        self.simulation.settle(6)
        for vm_id in VM_IDS:
            self.assertEqual(self.simulation.holders(vm_id), [vm_id])

    def test_step_down_hands_over_without_waiting(self):
        machine = self.simulation.processes['a'].machine
        machine.step_down()
        for call in machine.final_heartbeats(self.simulation.now('a')):
            self.simulation.packets.append(
                Packet(self.simulation.processes['a'], call)
            )
            while self.simulation.packets:
                self.simulation.deliver(0)
        self.assertEqual(self.simulation.holders('a'), ['b'])

    def test_vm_without_guards_holds_its_lease(self):
        alone = protocol.LeaseProtocol('x', 'p', lease.DEFAULT_TERMS, 5.0)
        alone.begin(shardmap.Guard(epoch=1), True, 5.0)
        self.assertTrue(alone.own.holds(5.5))
        self.assertEqual(
            alone.send_lease().holdings_by_home_id['x'].role,
            shardmap.Role.PRIMARY,
        )

    def test_delayed_heartbeat_does_not_restore_old_knowledge(self):
        guarded_homes = guardedhomes.GuardedHomes(
            'b', 'n', lease.DEFAULT_TERMS, -9.0
        )
        machine = homelease.HomeLease(
            'a',
            'p',
            shardmap.Guard('b', 'c', 1),
            lease.DEFAULT_TERMS,
            True,
            0.0,
        )
        machine.store_nonce(
            'b', messages.HeartbeatReply(messages.Verdict.NO_MEMORY, 'n')
        )
        early = machine.next_heartbeat('b', 0.0)
        machine.add_lost_instance('s', 3)
        guarded_homes.answer_heartbeat(machine.next_heartbeat('b', 0.1), 0.1)
        late = guarded_homes.answer_heartbeat(early, 0.2)
        self.assertIs(late.verdict, messages.Verdict.OUTDATED)
        known = guarded_homes.knowledge_of('a')
        self.assertEqual(known.lost_epochs_by_id, {'s': 3})

    def test_late_answer_of_one_holder_does_not_stand_for_the_next(self):
        machine = protocol.LeaseProtocol('a', 'p', lease.DEFAULT_TERMS, 0.0)
        machine.begin(shardmap.Guard('b', 'c', 1), False, 0.0)
        status = messages.HandBackStatus

        def asked(commands):
            return [
                command
                for command in commands
                if isinstance(command, protocol.Call)
                and isinstance(command.body, messages.HandBackRequest)
            ]

        (earlier,) = asked(
            machine.recorded(shardmap.Guard('b', 'c', 2, ('b', 'c')), 0.1)
        )
        draining = messages.HandBackReply(status.DRAINING)
        (retry,) = machine.replied(earlier, draining, 0.2)
        self.assertIsInstance(retry, protocol.RetryHandBack)
        (first,) = asked(
            machine.recorded(shardmap.Guard('b', 'c', 3, ('b', 'c')), 0.21)
        )
        (second,) = asked(machine.ask_holders(0.22))
        handed_back = messages.HandBackReply(status.HANDED_BACK)
        (next_call,) = asked(machine.replied(first, handed_back, 0.23))
        self.assertEqual(next_call.vm_id, 'c')
        not_held = messages.HandBackReply(status.NOT_HELD)
        machine.replied(second, not_held, 0.24)
        self.assertIs(machine.own.phase, homelease.Phase.RECLAIMING)
        machine.replied(next_call, handed_back, 0.25)
        self.assertIs(machine.own.phase, homelease.Phase.ACTIVE)

    def test_late_record_of_an_epoch_does_not_revive_an_ended_lease(self):
        machine = self.simulation.processes['a'].machine
        machine.step_down()
        machine.recorded(shardmap.Guard('b', 'c', 2), self.simulation.now('a'))
        self.assertIs(machine.own.phase, homelease.Phase.ENDED)

    def test_new_nonce_of_a_guard_does_not_prolong_an_ended_lease(self):
        machine = self.simulation.processes['a'].machine
        now_s = self.simulation.now('a')
        (call,) = [c for c in machine.send_heartbeats(now_s) if c.vm_id == 'b']
        machine.step_down()
        lost = messages.HeartbeatReply(messages.Verdict.NO_MEMORY, 'new')
        self.assertEqual(machine.replied(call, lost, now_s + 0.01), [])
