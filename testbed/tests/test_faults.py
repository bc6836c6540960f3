"""Fault injection with real processes: kills, suspensions, store outages.

Each step sends requests for every key through the entry VMs, injects a fault
and checks the journals of the servers against the outcomes that callers saw.
"""

import asyncio
import pathlib
import signal
import tempfile
import unittest

from oriolefold_core import results
from oriolefold_testbed import basecase, histories, probing, scenarios, servers

KEYS = [f'key{i}' for i in range(24)]
PROBE_INTERVAL_S = 0.2
RECOVERY_S = 4.0
POST_SHARE = 0.2


class FaultCase(unittest.IsolatedAsyncioTestCase):
    """Base class: a deployment of six entry VMs and six keyed servers."""

    checks_tokens = True

    async def asyncSetUp(self):
        """Starts the deployment."""
        temporary_folder = tempfile.TemporaryDirectory()
        self.addCleanup(temporary_folder.cleanup)
        self.folder = pathlib.Path(temporary_folder.name)
        self.deployment = scenarios.make_deployment(
            self.folder, checks_tokens=self.checks_tokens
        )
        self.addAsyncCleanup(self.deployment.stop)
        await self.deployment.start()
        self.vms = dict(self.deployment.configuration.register.vms_by_id)

    async def probe_during(self, inject_fault, avoided_vm_ids=()):
        """Sends requests while a fault is injected and checks the history.

        Args:
            inject_fault: Async function that causes the fault.
            avoided_vm_ids: VMs that no requests are sent through.

        Returns:
            The samples.
        """
        vms = [
            vm for name, vm in self.vms.items() if name not in avoided_vm_ids
        ]
        prober = probing.Prober(
            vms, KEYS, PROBE_INTERVAL_S, basecase.SEED, POST_SHARE
        )
        prober.start()
        await asyncio.sleep(0.5)
        await inject_fault()
        await asyncio.sleep(RECOVERY_S)
        end_s = servers.now_s()
        await asyncio.sleep(0.5)
        await prober.stop()
        self.assertEqual(len(prober.samples), prober.sent)
        history = histories.read_journals(self.folder)
        violations = histories.check_all(history, prober.samples)
        self.assertEqual([str(v) for v in violations], [])
        self.assert_recovered(prober.samples, end_s)
        return prober.samples

    def assert_recovered(self, samples, end_s):
        """Checks that every key was answered late in the recovery period."""
        answered = {
            sample.key
            for sample in samples
            if sample.outcome == results.Outcome.ANSWERED.value
            and sample.sent_s > end_s - RECOVERY_S / 2
        }
        self.assertEqual(answered, set(KEYS))

    async def suspend(self, name):
        """Suspends a process with SIGSTOP."""
        self.deployment.send_signal(name, signal.SIGSTOP)

    async def resume(self, name):
        """Resumes a suspended process."""
        self.deployment.send_signal(name, signal.SIGCONT)


class TokenCheckingServersTest(FaultCase):
    """Faults with servers that check fencing tokens."""

    async def test_successive_faults(self):
        deployment = self.deployment
        with self.subTest('server killed'):
            await self.probe_during(lambda: deployment.kill('stock-0'))
        await deployment.control_store(mode='down')
        with self.subTest('server killed, store down'):
            await self.probe_during(lambda: deployment.kill('stock-1'))
        with self.subTest('home killed, store down'):
            await self.probe_during(lambda: deployment.kill('vm2'), ('vm2',))
        await deployment.control_store(mode='slow', delay_ms=2000)
        with self.subTest('server suspended, store slow'):
            await self.probe_during(lambda: self.suspend('stock-2'), ('vm2',))
        await deployment.control_store(mode='up')
        with self.subTest('suspended server resumes'):
            await self.probe_during(lambda: self.resume('stock-2'), ('vm2',))
        with self.subTest('home restarts with empty memory'):
            await self.probe_during(
                lambda: deployment.start_daemon('vm2'), ('vm2',)
            )


class NonCheckingServersTest(FaultCase):
    """Faults with servers that do not check fencing tokens."""

    checks_tokens = False

    async def test_successive_faults(self):
        deployment = self.deployment
        with self.subTest('home suspended'):
            await self.probe_during(lambda: self.suspend('vm3'), ('vm3',))
        with self.subTest('suspended home resumes'):
            await self.probe_during(lambda: self.resume('vm3'))
        with self.subTest('server suspended'):
            await self.probe_during(lambda: self.suspend('stock-0'))
        with self.subTest('suspended server resumes'):
            await self.probe_during(lambda: self.resume('stock-0'))
        with self.subTest('home stops gracefully'):

            async def stop_vm4():
                deployment.send_signal('vm4', signal.SIGTERM)
                await deployment.processes_by_name['vm4'].wait()

            await self.probe_during(stop_vm4, ('vm4',))
        with self.subTest('home and server killed at once'):

            async def kill_both():
                await asyncio.gather(
                    deployment.kill('vm5'), deployment.kill('stock-3')
                )

            await self.probe_during(kill_both, ('vm4', 'vm5'))
        with self.subTest('all VMs lost at once, then restarted'):

            async def restart_all():
                for vm_id in self.vms:
                    await deployment.kill(vm_id)
                for vm_id in self.vms:
                    await deployment.start_daemon(vm_id)
                await deployment.wait_ready()

            await self.probe_during(restart_all)


# Only the subclasses are to be collected as test cases.
del FaultCase
