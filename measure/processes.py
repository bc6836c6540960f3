"""Starts, stops and observes the processes of a measurement."""

import asyncio
import os
import sys

from measure import suites


async def start(*arguments: str) -> asyncio.subprocess.Process:
    """Starts a Python process whose output can be read."""
    return await asyncio.create_subprocess_exec(
        sys.executable,
        *arguments,
        cwd=suites.ROOT,
        stdin=asyncio.subprocess.DEVNULL,
        stdout=asyncio.subprocess.PIPE,
    )


async def stop(process: asyncio.subprocess.Process) -> None:
    """Terminates a process and waits for it to exit."""
    if process.returncode is None:
        process.terminate()
        await process.wait()


def cpu_s(process_id: int) -> float:
    """Returns the CPU time that a process has used, in seconds."""
    with open(f'/proc/{process_id}/stat', encoding='ascii') as file:
        fields = file.read().rpartition(')')[2].split()
    ticks = int(fields[11]) + int(fields[12])
    return ticks / os.sysconf('SC_CLK_TCK')


def memory_mb(process_id: int) -> float:
    """Returns the resident memory of a process, in MB."""
    with open(f'/proc/{process_id}/statm', encoding='ascii') as file:
        pages = int(file.read().split()[1])
    return pages * os.sysconf('SC_PAGE_SIZE') / 1e6
