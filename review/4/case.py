"""The leader is killed while a worker ends more than 500 runs."""

import asyncio
import pathlib
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))
sys.dont_write_bytecode = True

import standin  # noqa: E402

TASKS = 1300
TASK_MS = 5000
KILL_AFTER_SECONDS = 4.9
DOWN_SECONDS = 3.0
WATCH_SECONDS = 40.0


async def case(site: standin.Site) -> list[str]:
    """Kill the leader just before the tasks end; return the tasks that ran twice."""
    workers = [standin.Worker(site, f"w{number}") for number in range(2)]
    async with site.running(workers):
        leader = await site.leader()
        spec = {"ms": TASK_MS, "cpu": 20, "mem": 10}
        step = {"count": TASKS, "cpu": 20, "memMb": 10, "estimatedMs": TASK_MS}
        job = await site.submit(standin.submission(spec, step))
        while not site.record.of("run"):
            await asyncio.sleep(0.01)
        await asyncio.sleep(KILL_AFTER_SECONDS)
        if standin.trouble_is_on():
            leader.kill(DOWN_SECONDS)
        ends_at = asyncio.get_running_loop().time() + WATCH_SECONDS
        state = ""
        while asyncio.get_running_loop().time() < ends_at and state != "completed":
            await asyncio.sleep(1.0)
            state = await site.state(job)
        await asyncio.sleep(2.0)
    site.record.note("last state", job=job, state=state)
    return [
        *standin.runs_at_the_same_time(site.record),
        *standin.starts_after_done(site.record),
    ]


standin.main(case, str(FOLDER))
