"""Failure tests with real processes: kills, freezes, store outages.

Each step keeps sending requests for every key through all entry VMs, causes a
loss, and checks the history of the servers against what callers were told.
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
AFTER_LOSS_S = 4.0
POST_SHARE = 0.2


class FaultCase(unittest.IsolatedAsyncioTestCase):
    """Deployment of six entry VMs and six keyed servers."""

    checks_tokens = True

    async def asyncSetUp(self):
        """Starts the deployment."""
        scratch = tempfile.TemporaryDirectory()
        self.addCleanup(scratch.cleanup)
        self.folder = pathlib.Path(scratch.name)
        self.deployment = scenarios.make(
            self.folder, checks_tokens=self.checks_tokens
        )
        self.addAsyncCleanup(self.deployment.stop)
        await self.deployment.start()
        self.vms = dict(self.deployment.configuration.register.vms_by_id)

    async def probe_during(self, act, without=()):
        """Probes while something happens and checks the history.

        Returns:
            The samples.
        """
        vms = [vm for name, vm in self.vms.items() if name not in without]
        prober = probing.Prober(
            vms, KEYS, PROBE_INTERVAL_S, basecase.SEED, POST_SHARE
        )
        prober.start()
        await asyncio.sleep(0.5)
        await act()
        await asyncio.sleep(AFTER_LOSS_S)
        ends_s = servers.now_s()
        await asyncio.sleep(0.5)
        await prober.stop()
        self.assertEqual(len(prober.samples), prober.sent)
        history = histories.read_journals(self.folder)
        violations = histories.check_all(history, prober.samples)
        self.assertEqual([str(v) for v in violations], [])
        self.assert_served_again(prober.samples, ends_s)
        return prober.samples

    def assert_served_again(self, samples, ends_s):
        """Checks that every key was answered in the last part of the time."""
        answered = {
            sample.key
            for sample in samples
            if sample.outcome == results.Outcome.ANSWERED.value
            and sample.sent_s > ends_s - AFTER_LOSS_S / 2
        }
        self.assertEqual(answered, set(KEYS))

    async def freeze(self, name):
        """Freezes a process."""
        self.deployment.send_signal(name, signal.SIGSTOP)

    async def thaw(self, name):
        """Lets a frozen process go on."""
        self.deployment.send_signal(name, signal.SIGCONT)


class CheckingServersTest(FaultCase):
    """Servers that check tokens."""

    async def test_losses_one_after_another(self):
        deployment = self.deployment
        with self.subTest('server killed'):
            await self.probe_during(lambda: deployment.kill('stock-0'))
        await deployment.control_store(mode='down')
        with self.subTest('server killed, store down'):
            await self.probe_during(lambda: deployment.kill('stock-1'))
        with self.subTest('home killed, store down'):
            await self.probe_during(lambda: deployment.kill('vm2'), ('vm2',))
        await deployment.control_store(mode='slow', delay_ms=2000)
        with self.subTest('server frozen, store slow'):
            await self.probe_during(lambda: self.freeze('stock-2'), ('vm2',))
        await deployment.control_store(mode='up')
        with self.subTest('frozen server returns'):
            await self.probe_during(lambda: self.thaw('stock-2'), ('vm2',))
        with self.subTest('home restarts with empty memory'):
            await self.probe_during(
                lambda: deployment.start_daemon('vm2'), ('vm2',)
            )


class UncheckingServersTest(FaultCase):
    """Servers that check nothing."""

    checks_tokens = False

    async def test_losses_one_after_another(self):
        deployment = self.deployment
        with self.subTest('home frozen'):
            await self.probe_during(lambda: self.freeze('vm3'), ('vm3',))
        with self.subTest('frozen home returns'):
            await self.probe_during(lambda: self.thaw('vm3'))
        with self.subTest('server frozen'):
            await self.probe_during(lambda: self.freeze('stock-0'))
        with self.subTest('frozen server returns'):
            await self.probe_during(lambda: self.thaw('stock-0'))
        with self.subTest('home stops gracefully'):

            async def stop():
                deployment.send_signal('vm4', signal.SIGTERM)
                await deployment.processes_by_name['vm4'].wait()

            await self.probe_during(stop, ('vm4',))
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


# The base starts no deployment of its own kind.
del FaultCase
